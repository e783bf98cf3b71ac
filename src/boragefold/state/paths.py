"""The grammar of the published tree's paths."""

from __future__ import annotations

import re
from typing import NamedTuple

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")

COMMON_KINDS = ("defaults", "data_centres", "store", "models")
TEAM_KINDS = ("workspaces", "keys")


class TreePath(NamedTuple):
    """A path taken apart.

    ``kind`` is the sort of document, ``owner`` the team, the data centre or
    the service that it belongs to, ``part`` the piece of a split subtree.
    """

    kind: str
    owner: str = ""
    part: str = ""


def is_name(text: str) -> bool:
    """Tell whether a text may name a team, a workspace, an adapter and so on.

    A name holds no slash, because ``team/name`` is how another team's
    workspace or adapter is written.

    :param text: the text
    :return: whether it is a name
    """
    return NAME_PATTERN.fullmatch(text) is not None


def is_reference(text: str) -> bool:
    """Tell whether a text is ``name`` or ``team/name``.

    :param text: the text
    :return: whether it is a reference
    """
    parts = text.split("/")
    return len(parts) <= 2 and all(map(is_name, parts))


def qualify(team: str, reference: str) -> str:
    """Write a reference in full.

    :param team: the team whose document holds the reference
    :param reference: ``name`` or ``team/name``
    :return: ``team/name``
    """
    return reference if "/" in reference else f"{team}/{reference}"


def parse(path: str) -> TreePath | None:
    """Take a path apart.

    :param path: such as ``teams/quadro/adapters/7``
    :return: its parts, or None when no document belongs there
    """
    match path.split("/"):
        case ["common", kind] if kind in COMMON_KINDS:
            return TreePath(kind)
        case ["endpoints", data_centre] if is_name(data_centre):
            return TreePath("endpoints", data_centre)
        case ["services", name] if is_name(name):
            return TreePath("services", name)
        case ["teams", team, kind] if is_name(team) and kind in TEAM_KINDS:
            return TreePath(kind, team)
        case ["teams", team, "adapters", part]:
            if is_name(team) and is_name(part):
                return TreePath("adapters", team, part)
    return None


__all__ = [
    "TreePath",
    "is_name",
    "is_reference",
    "parse",
    "qualify",
]

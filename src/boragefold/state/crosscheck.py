"""What does not fit together between the documents of a tree.

None of this keeps a document out of force: paths change one after the other,
and for a moment one may name what the next will bring.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import itertools
from typing import Any
from typing import NamedTuple

from boragefold.state import catalogue as catalogues
from boragefold.state import paths

COMMON_PATHS = (
    "common/data_centres",
    "common/defaults",
    "common/models",
    "common/store",
)


class Misfit(NamedTuple):
    """Something that one document says and another doesn't bear out."""

    path: str
    reason: str
    remedy: str


class _Known(NamedTuple):
    data_centres: frozenset[str]
    models: frozenset[str]
    workspaces: frozenset[str]


def find(
    tree: Mapping[str, Any], catalogue: catalogues.Catalogue
) -> list[Misfit]:
    """Look for what does not fit together.

    :param tree: valid documents by path
    :param catalogue: the catalogue of the same tree
    :return: misfits, by path
    """
    known = _Known(
        data_centres=frozenset(tree.get("common/data_centres", ())),
        models=frozenset(tree.get("common/models", ())),
        workspaces=frozenset(_workspaces(tree)),
    )
    missing = (
        Misfit(path, "missing", "publish it; every instance needs it")
        for path in COMMON_PATHS
        if path not in tree
    )
    by_path = itertools.chain.from_iterable(
        _check(path, document, known, catalogue)
        for path, document in tree.items()
    )
    doubled = _keys_of_two_teams(tree)
    return sorted(itertools.chain(missing, by_path, doubled))


def _workspaces(tree: Mapping[str, Any]) -> Iterator[str]:
    for path, document in tree.items():
        parsed = paths.parse(path)
        if parsed is not None and parsed.kind == "workspaces":
            yield from (f"{parsed.owner}/{name}" for name in document)


def _check(
    path: str,
    document: Any,
    known: _Known,
    catalogue: catalogues.Catalogue,
) -> Iterator[Misfit]:
    match paths.parse(path):
        case paths.TreePath("endpoints", data_centre):
            yield from _unknown(
                path, "data centre", [data_centre], known.data_centres
            )
            models = [endpoint["model"] for endpoint in document.values()]
            yield from _unknown(path, "model", models, known.models)
        case paths.TreePath("services"):
            yield from _unknown(
                path, "data centre", document["addresses"], known.data_centres
            )
            yield from _unknown(
                path, "workspace", document["workspaces"], known.workspaces
            )
        case paths.TreePath("keys", team):
            owners = [
                f"{team}/{key['workspace']}" for key in document.values()
            ]
            yield from _unknown(path, "workspace", owners, known.workspaces)
        case paths.TreePath("adapters", team):
            yield from _check_adapters(path, team, document, known)
        case paths.TreePath("workspaces", team):
            yield from _check_workspaces(path, team, document, catalogue)


def _check_adapters(
    path: str, team: str, document: Any, known: _Known
) -> Iterator[Misfit]:
    models = [adapter["model"] for adapter in document.values()]
    yield from _unknown(path, "model", models, known.models)
    references = {
        paths.qualify(team, reference)
        for adapter in document.values()
        for reference in adapter["workspaces"]
    }
    yield from _unknown(path, "workspace", references, known.workspaces)


def _check_workspaces(
    path: str, team: str, document: Any, catalogue: catalogues.Catalogue
) -> Iterator[Misfit]:
    for name in document:
        settings = catalogue.workspace(f"{team}/{name}")
        if settings is None:
            yield Misfit(
                path,
                f"{name} leaves out what has no default",
                "publish common/defaults, or every setting here",
            )
        elif settings.burst_tokens < settings.max_tokens:
            yield Misfit(
                path,
                f"{name} has a burst below its max_tokens",
                "raise burst_tokens; a request of max_tokens never fits",
            )


def _unknown(
    path: str, what: str, names: Iterable[str], known: frozenset[str]
) -> Iterator[Misfit]:
    return (
        Misfit(path, f"unknown {what}: {name}", "publish it, or correct this")
        for name in sorted(set(names) - known)
    )


def _keys_of_two_teams(tree: Mapping[str, Any]) -> Iterator[Misfit]:
    seen: dict[str, str] = {}
    for path, document in tree.items():
        if not path.endswith("/keys"):
            continue
        granted = (d for d, k in document.items() if k["state"] == "granted")
        for digest in granted:
            first = seen.setdefault(digest, path)
            if first != path:
                yield Misfit(
                    path,
                    f"key {digest[:8]}... stands in {first} too",
                    "withdraw it in one; it works for neither team",
                )


__all__ = [
    "Misfit",
    "find",
]

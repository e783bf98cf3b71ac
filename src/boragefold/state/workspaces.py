"""The settings of each workspace, defaults filled in."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from boragefold.state import documents


class WorkspaceSettings(NamedTuple):
    """What applies to a workspace; ``workspace`` is ``team/name``."""

    workspace: str
    rate_tokens_per_second: float
    burst_tokens: float
    max_tokens: int
    deadline_seconds: float
    late_sensitive: bool


class WorkspaceIndex:
    """Workspaces by ``team/name``, kept up to date path by path."""

    def __init__(self) -> None:
        self._defaults: documents.Defaults | None = None
        self._teams: dict[str, dict[str, documents.Workspace]] = {}
        self._settings: dict[str, WorkspaceSettings] = {}

    def find(self, workspace: str) -> WorkspaceSettings | None:
        """Read a workspace's settings.

        :param workspace: ``team/name``
        :return: the settings; None for an unknown workspace, and while
            something it leaves out has no published default
        """
        return self._settings.get(workspace)

    def replace_defaults(self, document: documents.Defaults | None) -> None:
        """Take over the common defaults.

        :param document: the defaults, None after a deletion
        """
        self._defaults = document
        for team in self._teams:
            self._settle(team)

    def replace(
        self, *, team: str, document: dict[str, documents.Workspace] | None
    ) -> list[str]:
        """Take over a team's workspaces.

        :param team: the team
        :param document: its workspaces, None after a deletion
        :return: the workspaces that no longer exist, as ``team/name``
        """
        before = self._teams.pop(team, {})
        after = document or {}
        gone = [f"{team}/{name}" for name in before.keys() - after.keys()]
        for workspace in gone:
            self._settings.pop(workspace, None)
        if after:
            self._teams[team] = after
            self._settle(team)
        return gone

    def __iter__(self) -> Iterator[WorkspaceSettings]:
        return iter(self._settings.values())

    def __len__(self) -> int:
        return len(self._settings)

    def _settle(self, team: str) -> None:
        for name, workspace in self._teams[team].items():
            qualified = f"{team}/{name}"
            settings = self._inherit(qualified, workspace)
            if settings is None:
                self._settings.pop(qualified, None)
            else:
                self._settings[qualified] = settings

    def _inherit(
        self, qualified: str, workspace: documents.Workspace
    ) -> WorkspaceSettings | None:
        merged = {**(self._defaults or {}), **workspace}
        merged.setdefault("late_sensitive", False)
        if not merged.keys() >= set(WorkspaceSettings._fields[1:]):
            return None
        return WorkspaceSettings(qualified, **merged)  # type: ignore[arg-type]


__all__ = [
    "WorkspaceIndex",
    "WorkspaceSettings",
]

"""The adapters that may be asked for."""

from __future__ import annotations

from collections.abc import Iterator
import typing
from typing import Any
from typing import NamedTuple
from typing import TypeVar

from boragefold.state import documents
from boragefold.state import paths

Value = TypeVar("Value")


class AdapterRecord(NamedTuple):
    """An adapter: ``versions`` oldest first, ``workspaces`` in full."""

    team: str
    name: str
    model: str
    versions: tuple[str, ...]
    workspaces: tuple[str, ...]

    @property
    def qualified(self) -> str:
        """Write the adapter's name in full.

        :return: ``team/name``, unique in the fleet
        """
        return f"{self.team}/{self.name}"

    def allows(self, workspace: str) -> bool:
        """Tell whether a workspace may use the adapter.

        :param workspace: ``team/name``
        :return: whether it may
        """
        return workspace in self.workspaces


class AdapterIndex:
    """Adapters by team and name, kept up to date path by path."""

    def __init__(self) -> None:
        self._teams: dict[str, dict[str, AdapterRecord]] = {}
        self._pieces: dict[str, dict[str, dict[str, AdapterRecord]]] = {}

    def find(self, *, workspace: str, name: str) -> AdapterRecord | None:
        """Find the adapter that a workspace means by a name.

        :param workspace: ``team/name`` of who asks
        :param name: ``name`` in the team's own catalogue, or ``team/name``
        :return: the adapter, or None; whether it allows the workspace is
            for the caller to ask
        """
        asking_team = workspace.partition("/")[0]
        team, _, own_name = paths.qualify(asking_team, name).partition("/")
        return self._teams.get(team, {}).get(own_name)

    def replace(
        self,
        *,
        team: str,
        part: str,
        document: dict[str, documents.Adapter] | None,
    ) -> None:
        """Take over one piece of a team's adapters.

        :param team: the team
        :param part: which piece
        :param document: its adapters, None after a deletion
        """
        pieces = self._pieces.setdefault(team, {})
        before = pieces.pop(part, {})
        # Equal objects are shared, or each republication would double the
        # memory.
        after = {
            name: kept if (kept := before.get(name)) == record else record
            for name, record in _records(team, document or {}).items()
        }
        if after:
            pieces[part] = after
        names = self._teams.setdefault(team, {})
        for name in before.keys() | after.keys():
            if before.get(name) != after.get(name):
                self._settle(names, pieces, name)
        if not pieces:
            del self._pieces[team], self._teams[team]

    def __iter__(self) -> Iterator[AdapterRecord]:
        for names in self._teams.values():
            yield from names.values()

    def __len__(self) -> int:
        return sum(map(len, self._teams.values()))

    def _settle(
        self,
        names: dict[str, AdapterRecord],
        pieces: dict[str, dict[str, AdapterRecord]],
        name: str,
    ) -> None:
        # An adapter that moves stands in two pieces for a moment; all
        # instances take the first by name.
        found = [part for part, records in pieces.items() if name in records]
        if found:
            names[name] = pieces[min(found)][name]
        else:
            names.pop(name, None)


def _records(
    team: str, document: dict[str, documents.Adapter]
) -> dict[str, AdapterRecord]:
    # Equal values of a piece are kept once.
    shared: dict[object, Any] = {team: team}

    def share(value: Value) -> Value:
        return typing.cast(Value, shared.setdefault(value, value))

    qualified: dict[tuple[str, ...], tuple[str, ...]] = {}

    def workspaces(references: tuple[str, ...]) -> tuple[str, ...]:
        if references not in qualified:
            qualified[references] = tuple(
                share(paths.qualify(team, reference))
                for reference in references
            )
        return qualified[references]

    return {
        name: AdapterRecord(
            team=shared[team],
            name=name,
            model=share(adapter["model"]),
            versions=share(tuple(adapter["versions"])),
            workspaces=workspaces(tuple(adapter["workspaces"])),
        )
        for name, adapter in document.items()
    }


__all__ = [
    "AdapterIndex",
    "AdapterRecord",
]

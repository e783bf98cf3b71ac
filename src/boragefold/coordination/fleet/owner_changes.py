"""Why an engine has another owner than before, as this instance sees it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from boragefold.coordination.fleet import member as member_module
from boragefold.coordination.fleet import members as members_module
from boragefold.protocol import ids

# Why an engine isn't ours any more.
LEAVING = "leaving"
UNREACHABLE = "unreachable"
OTHER_OWNER = "other_owner"
ENGINE_GONE = "engine_gone"


class OwnerChange(NamedTuple):
    """What an instance believed when an engine's owner changed.

    ``owner`` and ``former_owner`` are addresses, None where none is known;
    ``former_heard_seconds`` is how long ago the former owner was heard, None
    where it never was or is ourselves. ``instances_heard`` of the
    ``instances_known`` of the engine's data centre are heard, ourselves among
    them. ``reason`` tells why it isn't ours, empty where it is.
    """

    owner: str | None
    former_owner: str | None
    former_heard_seconds: float | None
    instances_heard: int
    instances_known: int
    reason: str


class OwnerChanges:
    """Remembers each engine's former owner."""

    def __init__(
        self,
        *,
        self_id: ids.InstanceId,
        members: members_module.Members,
    ) -> None:
        """Begin without owners.

        :param self_id: who we are
        :param members: the other instances
        """
        self._self_id = self_id
        self._members = members
        self._owners: Mapping[str, ids.InstanceId] = {}
        self._former: dict[str, ids.InstanceId] = {}

    def note(self, owners: Mapping[str, ids.InstanceId]) -> None:
        """Compare the owners with those of before.

        :param owners: the owners that there are now, by engine
        """
        replaced = {
            engine: owner
            for engine, owner in self._owners.items()
            if owners.get(engine) != owner
        }
        self._former.update(replaced)
        self._owners = owners

    def forget(self, engines: Mapping[str, str]) -> None:
        """Forget the former owners of engines that are gone.

        :param engines: those that exist, with their data centres
        """
        self._former = {
            engine: owner
            for engine, owner in self._former.items()
            if engine in engines
        }

    def of(self, engine: str, data_centre: str, *, reason: str) -> OwnerChange:
        """Tell what is believed of an engine's owners.

        :param engine: its name
        :param data_centre: its data centre
        :param reason: why it isn't ours
        :return: what led to its owner
        """
        owner = self._owners.get(engine)
        former = self._former.get(engine)
        heard = self._members.reachable()
        known = [*heard, *self._members.unreachable()]
        return OwnerChange(
            owner=owner and owner.address,
            former_owner=former and former.address,
            former_heard_seconds=self._heard_seconds(former, known),
            instances_heard=self._count(heard, data_centre),
            instances_known=self._count(known, data_centre),
            reason=reason,
        )

    def _heard_seconds(
        self,
        former: ids.InstanceId | None,
        known: list[member_module.Member],
    ) -> float | None:
        heard_seconds = (
            self._members.heard_seconds_ago(member)
            for member in known
            if member.instance == former
        )
        return next(heard_seconds, None)

    def _count(
        self, members: list[member_module.Member], data_centre: str
    ) -> int:
        others = sum(
            member.instance.data_centre == data_centre for member in members
        )
        return others + (self._self_id.data_centre == data_centre)


__all__ = [
    "ENGINE_GONE",
    "LEAVING",
    "OTHER_OWNER",
    "OwnerChange",
    "OwnerChanges",
    "UNREACHABLE",
]

"""Why the owner of an engine changed, according to this instance."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from boragefold.coordination.fleet import member as member_module
from boragefold.coordination.fleet import members as members_module
from boragefold.protocol import ids

# Reasons why this instance doesn't own an engine any more.
LEAVING = "leaving"
UNREACHABLE = "unreachable"
OTHER_OWNER = "other_owner"
ENGINE_GONE = "engine_gone"


class OwnerChange(NamedTuple):
    """The state of this instance's membership when an engine's owner changed.

    ``owner`` and ``former_owner`` are addresses, None if unknown.
    ``former_heard_seconds`` is how long ago the former owner was last heard,
    None if it never was or is this instance. Of the ``instances_known`` of the
    engine's data centre, ``instances_heard`` are reachable; both include this
    instance. ``reason`` is why this instance doesn't own the engine, empty if
    it does.
    """

    owner: str | None
    former_owner: str | None
    former_heard_seconds: float | None
    instances_heard: int
    instances_known: int
    reason: str


class OwnerChanges:
    """Records each engine's previous owner."""

    def __init__(
        self,
        *,
        self_id: ids.InstanceId,
        members: members_module.Members,
    ) -> None:
        """Create it without owners.

        :param self_id: this instance
        :param members: the other instances
        """
        self._self_id = self_id
        self._members = members
        self._owners: Mapping[str, ids.InstanceId] = {}
        self._former: dict[str, ids.InstanceId] = {}

    def update(self, owners: Mapping[str, ids.InstanceId]) -> None:
        """Update the owners, and record those that were replaced.

        :param owners: the current owners by engine
        """
        replaced = {
            engine: owner
            for engine, owner in self._owners.items()
            if owners.get(engine) != owner
        }
        self._former.update(replaced)
        self._owners = owners

    def discard_missing(self, engines: Mapping[str, str]) -> None:
        """Drop the former owners of engines that no longer exist.

        :param engines: the data centre of each existing engine
        """
        self._former = {
            engine: owner
            for engine, owner in self._former.items()
            if engine in engines
        }

    def describe(
        self, engine: str, data_centre: str, *, reason: str
    ) -> OwnerChange:
        """Describe the last change of an engine's owner.

        :param engine: the engine's name
        :param data_centre: the engine's data centre
        :param reason: why this instance doesn't own it, empty if it does
        :return: the owners and the membership behind the change
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
            self._members.alive_seconds_ago(member)
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

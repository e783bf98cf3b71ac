"""Which instance schedules which engine.

An engine has one owner, the instance that decides on its adapters and on
which requests it runs next. Owners tell of themselves in their heartbeats; an
engine that nobody claims goes to the instance that hashing names, preferably
one of the engine's own data centre, so that a cut between data centres
separates no engine from its owner.

Two instances that can't hear each other may both believe they own an engine.
That is harmless for requests and safe for orders: see
:mod:`boragefold.coordination.fleet.order_turns`.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import functools

import xxhash

from boragefold.coordination.fleet import members as members_module
from boragefold.protocol import ids
from boragefold.state import deployment

# A process that has just started has heard nobody and would claim everything.
# Others are found within two greetings. Orders come later, see order_turns;
# until then it schedules what the engines hold, and learns what is asked for.
SETTLE_SECONDS = 1.2
# Every instance ranks for every engine ten times a second while claims change.
REMEMBERED_HASHES = 16_384


class Ownership:
    """The owners, as this instance sees them."""

    def __init__(
        self,
        *,
        self_id: ids.InstanceId,
        members: members_module.Members,
        leaving: Callable[[], bool],
        avoids: Callable[[str], bool] = lambda engine: False,
    ) -> None:
        """Begin without owners.

        :param self_id: who we are
        :param members: the other instances
        :param leaving: whether this instance is about to stop
        :param avoids: tells the engines that this instance can't reach, so
            that another may try
        """
        self._self_id = self_id
        self._members = members
        self._leaving = leaving
        self._avoids = avoids
        self._claimed: set[str] = set()
        self._owners: dict[str, ids.InstanceId] = {}

    @property
    def claimed(self) -> frozenset[str]:
        """List the engines that this instance owns.

        :return: their names
        """
        return frozenset(self._claimed)

    def owner(self, engine: str) -> ids.InstanceId | None:
        """Tell who owns an engine.

        :param engine: its name
        :return: the instance, perhaps this one; None while nobody does
        """
        return self._owners.get(engine)

    def refresh(self, engines: Iterable[deployment.EndpointRecord]) -> None:
        """Look at all claims anew.

        :param engines: those that exist
        """
        claims = self._claims()
        owners = {
            engine.name: self._owner_of(engine, claims.get(engine.name, []))
            for engine in engines
        }
        self._owners = {
            name: owner for name, owner in owners.items() if owner is not None
        }
        self._claimed = {
            name
            for name, owner in self._owners.items()
            if owner == self._self_id
        }

    def _claims(self) -> dict[str, list[ids.InstanceId]]:
        claims: dict[str, list[ids.InstanceId]] = {}
        if not self._leaving():
            claims = {
                name: [self._self_id]
                for name in self._claimed
                if not self._avoids(name)
            }
        for member in self._members.reachable():
            if member.beat is None or member.beat.leaving:
                continue
            for engine in member.beat.engines:
                claims.setdefault(engine.name, []).append(member.instance)
        return claims

    def _owner_of(
        self,
        engine: deployment.EndpointRecord,
        claims: list[ids.InstanceId],
    ) -> ids.InstanceId | None:
        candidates = claims or self._eligible(engine.name)
        return min(
            candidates,
            key=lambda instance: _rank(instance, engine),
            default=None,
        )

    def _eligible(self, engine: str) -> list[ids.InstanceId]:
        eligible = [
            member.instance
            for member in self._members.reachable()
            if member.beat is not None
            and not member.beat.leaving
            and member.beat.uptime_seconds >= SETTLE_SECONDS
            and engine not in member.beat.avoids
        ]
        settled = self._members.uptime_seconds >= SETTLE_SECONDS
        if settled and not self._leaving() and not self._avoids(engine):
            eligible.append(self._self_id)
        return eligible


def _rank(
    instance: ids.InstanceId, engine: deployment.EndpointRecord
) -> tuple[bool, int]:
    elsewhere = instance.data_centre != engine.data_centre
    return elsewhere, _hash(engine.name, instance.address)


@functools.lru_cache(maxsize=REMEMBERED_HASHES)
def _hash(engine: str, address: str) -> int:
    return xxhash.xxh3_64_intdigest("\0".join((engine, address)).encode())


__all__ = [
    "Ownership",
]

"""Which instance schedules which engine.

An engine has one owner, the instance that decides on its adapters and on
which requests it runs next. Owners tell of themselves in their heartbeats; an
engine that nobody claims goes to the instance that hashing names, preferably
one of the engine's own data centre, so that a cut between data centres
separates no engine from its owner.

Two instances that can't hear each other may both believe they own an engine.
That is harmless for requests; which of them may give orders is voted on, see
:mod:`boragefold.coordination.fleet.order_leases`.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import functools
import itertools
import math
from typing import NamedTuple

import xxhash

from boragefold.coordination.fleet import members as members_module
from boragefold.coordination.fleet import owner_changes
from boragefold.protocol import ids
from boragefold.state import deployment

# A process that has just started has heard nobody and would claim everything.
# Others are found within two greetings. Orders come later, see order_turns;
# until then it schedules what the engines hold, and learns what is asked for.
SETTLE_SECONDS = 1.2
# An instance that was found a moment ago may be this much older than told.
SETTLE_SLACK_SECONDS = 1.0
# All instances of a data centre, for all its engines.
REMEMBERED_HASHES = 16_384


class Candidate(NamedTuple):
    """An instance that may own engines, and those that it can't reach."""

    instance: ids.InstanceId
    avoids: frozenset[str]


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
        self._places: Mapping[str, str] = {}
        self._changes = owner_changes.OwnerChanges(
            self_id=self_id, members=members
        )
        self._looked_at: tuple[object, ...] = ()
        self._look_until_seconds = -math.inf

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

    def change(
        self, record: deployment.EndpointRecord
    ) -> owner_changes.OwnerChange:
        """Tell why an engine is ours, or isn't any more.

        :param record: the engine
        :return: what led to its owner
        """
        return self._changes.of(
            record.name,
            record.data_centre,
            reason=self._reason(record.name),
        )

    def _reason(self, engine: str) -> str:
        if engine in self._claimed:
            return ""
        if self._leaving():
            return owner_changes.LEAVING
        if engine not in self._places:
            return owner_changes.ENGINE_GONE
        if self._avoids(engine):
            return owner_changes.UNREACHABLE
        return owner_changes.OTHER_OWNER

    def refresh(self, engines: Iterable[deployment.EndpointRecord]) -> None:
        """Look at all claims anew, if something about them has changed.

        :param engines: those that exist
        """
        places = {engine.name: engine.data_centre for engine in engines}
        avoided = frozenset(filter(self._avoids, places))
        # The members' version is current only once they were looked at.
        self._members.reachable()
        looked_at = (self._members.version, places, avoided, self._leaving())
        uptime_seconds = self._members.uptime_seconds
        if looked_at != self._looked_at:
            self._looked_at = looked_at
            # Whoever joined just now may own an engine when it has settled.
            self._look_until_seconds = (
                uptime_seconds + SETTLE_SECONDS + SETTLE_SLACK_SECONDS
            )
        if uptime_seconds <= self._look_until_seconds:
            self._look(places, avoided)

    def _look(
        self, places: Mapping[str, str], avoided: frozenset[str]
    ) -> None:
        self._places = places
        claims = self._claims(avoided)
        unclaimed = places.keys() - claims.keys()
        settled = self._settled(avoided) if unclaimed else {}
        owners = {
            engine: self._owner_of(
                engine,
                data_centre,
                claims.get(engine)
                or self._eligible(engine, data_centre, settled),
            )
            for engine, data_centre in places.items()
        }
        self._owners = {
            name: owner for name, owner in owners.items() if owner is not None
        }
        self._changes.note(self._owners)
        self._changes.forget(places)
        self._claimed = {
            name
            for name, owner in self._owners.items()
            if owner == self._self_id
        }

    def _claims(
        self, avoided: frozenset[str]
    ) -> dict[str, list[ids.InstanceId]]:
        claims: dict[str, list[ids.InstanceId]] = {}
        if not self._leaving():
            claims = {
                name: [self._self_id] for name in self._claimed - avoided
            }
        for member in self._members.reachable():
            if member.beat is None or member.beat.leaving:
                continue
            for engine in member.beat.engines:
                claims.setdefault(engine.name, []).append(member.instance)
        return claims

    def _settled(self, avoided: frozenset[str]) -> dict[str, list[Candidate]]:
        settled: dict[str, list[Candidate]] = collections.defaultdict(list)
        for member in self._members.reachable():
            beat = member.beat
            if beat is None or beat.leaving:
                continue
            if self._members.age_seconds(member) >= SETTLE_SECONDS:
                candidate = Candidate(member.instance, frozenset(beat.avoids))
                settled[member.instance.data_centre].append(candidate)
        is_settled = self._members.uptime_seconds >= SETTLE_SECONDS
        if is_settled and not self._leaving():
            us = Candidate(self._self_id, avoided)
            settled[self._self_id.data_centre].append(us)
        return settled

    def _eligible(
        self,
        engine: str,
        data_centre: str,
        settled: Mapping[str, list[Candidate]],
    ) -> list[ids.InstanceId]:
        # Others are looked at only where nobody of its own data centre could
        # own it: with all of them for all engines, a fleet whose instances
        # were killed together is busy with this alone.
        near = _able(engine, settled.get(data_centre, []))
        if near:
            return near
        return _able(engine, itertools.chain.from_iterable(settled.values()))

    def _owner_of(
        self,
        engine: str,
        data_centre: str,
        candidates: list[ids.InstanceId],
    ) -> ids.InstanceId | None:
        if len(candidates) == 1:
            return candidates[0]
        return min(
            candidates,
            key=lambda instance: _rank(instance, engine, data_centre),
            default=None,
        )


def _able(
    engine: str, candidates: Iterable[Candidate]
) -> list[ids.InstanceId]:
    return [one.instance for one in candidates if engine not in one.avoids]


def _rank(
    instance: ids.InstanceId, engine: str, data_centre: str
) -> tuple[bool, int]:
    elsewhere = instance.data_centre != data_centre
    return elsewhere, _hash(engine, instance.address)


@functools.lru_cache(maxsize=REMEMBERED_HASHES)
def _hash(engine: str, address: str) -> int:
    return xxhash.xxh3_64_intdigest("\0".join((engine, address)).encode())


__all__ = [
    "Ownership",
]

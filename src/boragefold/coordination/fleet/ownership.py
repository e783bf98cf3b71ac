"""Which instance schedules which engine.

An engine has one owner: the instance that decides which adapters it loads and
which requests it runs next. Owners announce their engines in heartbeats. An
engine without an owner is assigned by rendezvous hashing, preferably to an
instance of the engine's own data centre, so that a network partition between
data centres separates no engine from its owner.

Two instances that can't reach each other may both believe they own an engine.
That is harmless for requests; which of them may send orders is voted on, see
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

# A process that has just started knows no members and would claim all engines.
# Members are found within two greetings. An instance sends orders only later,
# see order_turns; until then it schedules requests on the adapters that the
# engines have loaded, and learns which adapters are requested.
SETTLE_SECONDS = 1.2
# A recently found instance may have run this much longer than is known here.
SETTLE_MARGIN_SECONDS = 1.0
# Enough for all instances and engines of a data centre.
HASH_CACHE_SIZE = 16_384


class Candidate(NamedTuple):
    """An instance that may own engines, and the engines it can't reach."""

    instance: ids.InstanceId
    unreachable: frozenset[str]


class Ownership:
    """The owners of engines according to this instance's membership."""

    def __init__(
        self,
        *,
        self_id: ids.InstanceId,
        members: members_module.Members,
        is_leaving: Callable[[], bool],
        is_unreachable: Callable[[str], bool] = lambda engine: False,
    ) -> None:
        """Create it without owners.

        :param self_id: this instance
        :param members: the other instances
        :param is_leaving: returns whether this instance is about to stop
        :param is_unreachable: returns whether this instance can't reach an
            engine, so that another instance should own it
        """
        self._self_id = self_id
        self._members = members
        self._is_leaving = is_leaving
        self._is_unreachable = is_unreachable
        self._owned: set[str] = set()
        self._owners: dict[str, ids.InstanceId] = {}
        self._data_centres: Mapping[str, str] = {}
        self._changes = owner_changes.OwnerChanges(
            self_id=self_id, members=members
        )
        self._inputs: tuple[object, ...] = ()
        self._recompute_until_seconds = -math.inf

    @property
    def owned(self) -> frozenset[str]:
        """List the engines that this instance owns.

        :return: their names
        """
        return frozenset(self._owned)

    def owner(self, engine: str) -> ids.InstanceId | None:
        """Return the owner of an engine.

        :param engine: the engine's name
        :return: the owner, possibly this instance; None if there is none
        """
        return self._owners.get(engine)

    def change(
        self, record: deployment.EndpointRecord
    ) -> owner_changes.OwnerChange:
        """Describe the last change of an engine's owner.

        :param record: the engine
        :return: the owners and the membership behind the change
        """
        return self._changes.describe(
            record.name,
            record.data_centre,
            reason=self._reason(record.name),
        )

    def _reason(self, engine: str) -> str:
        if engine in self._owned:
            return ""
        if self._is_leaving():
            return owner_changes.LEAVING
        if engine not in self._data_centres:
            return owner_changes.ENGINE_GONE
        if self._is_unreachable(engine):
            return owner_changes.UNREACHABLE
        return owner_changes.OTHER_OWNER

    def refresh(self, engines: Iterable[deployment.EndpointRecord]) -> None:
        """Update the owners if the membership or the engines have changed.

        :param engines: the existing engines
        """
        data_centres = {engine.name: engine.data_centre for engine in engines}
        unreachable = frozenset(filter(self._is_unreachable, data_centres))
        # Members.version is updated by reachable().
        self._members.reachable()
        inputs = (
            self._members.version,
            data_centres,
            unreachable,
            self._is_leaving(),
        )
        uptime_seconds = self._members.uptime_seconds
        if inputs != self._inputs:
            self._inputs = inputs
            # An instance that has just joined may own engines after a delay.
            self._recompute_until_seconds = (
                uptime_seconds + SETTLE_SECONDS + SETTLE_MARGIN_SECONDS
            )
        if uptime_seconds <= self._recompute_until_seconds:
            self._recompute(data_centres, unreachable)

    def _recompute(
        self, data_centres: Mapping[str, str], unreachable: frozenset[str]
    ) -> None:
        self._data_centres = data_centres
        claims = self._claims(unreachable)
        unclaimed = data_centres.keys() - claims.keys()
        settled = self._settled(unreachable) if unclaimed else {}
        owners = {
            engine: self._owner_of(
                engine,
                data_centre,
                claims.get(engine)
                or self._eligible(engine, data_centre, settled),
            )
            for engine, data_centre in data_centres.items()
        }
        self._owners = {
            name: owner for name, owner in owners.items() if owner is not None
        }
        self._changes.update(self._owners)
        self._changes.discard_missing(data_centres)
        self._owned = {
            name
            for name, owner in self._owners.items()
            if owner == self._self_id
        }

    def _claims(
        self, unreachable: frozenset[str]
    ) -> dict[str, list[ids.InstanceId]]:
        claims: dict[str, list[ids.InstanceId]] = {}
        if not self._is_leaving():
            claims = {
                name: [self._self_id] for name in self._owned - unreachable
            }
        for member in self._members.reachable():
            if member.beat is None or member.beat.leaving:
                continue
            for engine in member.beat.engines:
                claims.setdefault(engine.name, []).append(member.instance)
        return claims

    def _settled(
        self, unreachable: frozenset[str]
    ) -> dict[str, list[Candidate]]:
        settled: dict[str, list[Candidate]] = collections.defaultdict(list)
        for member in self._members.reachable():
            beat = member.beat
            if beat is None or beat.leaving:
                continue
            if self._members.age_seconds(member) >= SETTLE_SECONDS:
                candidate = Candidate(member.instance, frozenset(beat.avoids))
                settled[member.instance.data_centre].append(candidate)
        is_settled = self._members.uptime_seconds >= SETTLE_SECONDS
        if is_settled and not self._is_leaving():
            own_candidate = Candidate(self._self_id, unreachable)
            settled[self._self_id.data_centre].append(own_candidate)
        return settled

    def _eligible(
        self,
        engine: str,
        data_centre: str,
        settled: Mapping[str, list[Candidate]],
    ) -> list[ids.InstanceId]:
        # Instances of other data centres are considered only if no local one
        # can own the engine. Ranking all instances for all engines would
        # overload a fleet whose instances were killed together.
        near = _reaching(engine, settled.get(data_centre, []))
        if near:
            return near
        return _reaching(
            engine, itertools.chain.from_iterable(settled.values())
        )

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


def _reaching(
    engine: str, candidates: Iterable[Candidate]
) -> list[ids.InstanceId]:
    return [
        candidate.instance
        for candidate in candidates
        if engine not in candidate.unreachable
    ]


def _rank(
    instance: ids.InstanceId, engine: str, data_centre: str
) -> tuple[bool, int]:
    elsewhere = instance.data_centre != data_centre
    return elsewhere, _hash(engine, instance.address)


@functools.lru_cache(maxsize=HASH_CACHE_SIZE)
def _hash(engine: str, address: str) -> int:
    return xxhash.xxh3_64_intdigest("\0".join((engine, address)).encode())


__all__ = [
    "Ownership",
]

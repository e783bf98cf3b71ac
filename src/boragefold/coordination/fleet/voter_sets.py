"""Which instances vote on who may send orders to an engine.

The voters are instances of the engine's data centre, and one fewer from other
data centres. The local voters alone are a majority, so a data centre keeps
working during a network partition. A data centre that lost most of its
instances keeps working with votes from elsewhere.

Unreachable instances stay voters for a long time: an instance that can reach
no other one can't tell whether the others have ended or a partition separates
it from them.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
import functools
import itertools
from typing import NamedTuple

import xxhash

from boragefold.coordination.fleet import lease_voter
from boragefold.coordination.fleet import member as member_module
from boragefold.coordination.fleet import members as members_module
from boragefold.protocol import ids

# At most this many instances of a data centre vote; two may be lost at once.
MAX_VOTERS = 5
# Longer than most network partitions last.
SILENT_VOTES_SECONDS = 60.0
CACHE_SECONDS = 0.25
HASH_CACHE_SIZE = 4_096


class VoterSet(NamedTuple):
    """The voters for one engine.

    ``near`` are those of the engine's data centre, ``far`` the others.
    ``near_heard`` tells whether all near ones are reachable.
    """

    near: tuple[ids.InstanceId, ...]
    far: tuple[ids.InstanceId, ...] = ()
    near_heard: bool = True

    @property
    def voters(self) -> tuple[ids.InstanceId, ...]:
        """List all voters.

        :return: those of the engine's data centre first
        """
        return (*self.near, *self.far)

    def decides(self, voted: Collection[ids.InstanceId]) -> bool:
        """Return whether votes are a majority.

        :param voted: the voters that promised the engine
        :return: whether no other instance can have a majority at the same
            time, if all instances know the same voters
        """
        voters = self.voters
        return 2 * sum(voter in voted for voter in voters) > len(voters)


class Voters:
    """The voters for each engine, according to this instance's membership."""

    def __init__(
        self,
        *,
        self_id: ids.InstanceId,
        members: members_module.Members,
    ) -> None:
        """Create it without cached voters.

        :param self_id: this instance
        :param members: the other instances
        """
        self._self_id = self_id
        self._members = members
        self._cached: dict[str, VoterSet] = {}
        self._cache_key: tuple[object, ...] = ()

    def of(self, data_centre: str) -> VoterSet:
        """List the voters for the engines of a data centre.

        :param data_centre: the data centre of the engines
        :return: the voters, equal on all instances with the same membership
        """
        # Cached, as an owner without a majority asks at each decision.
        period = self._members.uptime_seconds // CACHE_SECONDS
        cache_key = (self._members.version, period)
        if cache_key != self._cache_key:
            self._cache_key = cache_key
            self._cached = {}
        if data_centre not in self._cached:
            self._cached[data_centre] = self._choose(data_centre)
        return self._cached[data_centre]

    def is_heard(self, voter: ids.InstanceId) -> bool:
        """Return whether a voter is reachable.

        :param voter: the voter
        :return: whether it is reachable or is this instance
        """
        return voter in self._heard()

    def majority_unheard_seconds(self, voter_set: VoterSet) -> float:
        """Return how long ago a majority of the voters was reachable.

        :param voter_set: the voters
        :return: seconds; 0 while a majority is reachable
        """
        unheard_seconds = {
            member.instance: self._members.unheard_seconds(member)
            for member in self._members.unreachable()
        }
        voters = voter_set.voters
        ages_seconds = sorted(
            unheard_seconds.get(voter, 0.0) for voter in voters
        )
        return ages_seconds[len(voters) // 2] if voters else 0.0

    def _choose(self, data_centre: str) -> VoterSet:
        if self._members.uptime_seconds < lease_voter.PROMISE_SECONDS:
            # Too few members are known shortly after the start.
            return VoterSet(near=(), far=(), near_heard=False)
        by_centre: dict[str, list[ids.InstanceId]] = {}
        for instance in self._eligible():
            # A seed that never answered may be of this data centre.
            centre = instance.data_centre or self._self_id.data_centre
            by_centre.setdefault(centre, []).append(instance)
        near = _ranked(by_centre.pop(data_centre, ()))[:MAX_VOTERS]
        far = _interleave(map(_ranked, by_centre.values()))
        wanted = len(near) - 1 if near else MAX_VOTERS
        return VoterSet(
            near=tuple(near),
            far=tuple(far[:wanted]),
            near_heard=bool(near) and self._heard().issuperset(near),
        )

    def _heard(self) -> set[ids.InstanceId]:
        heard = {member.instance for member in self._members.reachable()}
        return heard | {self._self_id}

    def _eligible(self) -> Iterable[ids.InstanceId]:
        yield self._self_id
        for member in self._members.reachable():
            if self._may_vote(member):
                yield member.instance
        for member in self._members.unreachable():
            has_left = member.beat is not None and member.beat.leaving
            silent_seconds = self._members.unheard_seconds(member)
            if not has_left and silent_seconds < SILENT_VOTES_SECONDS:
                yield member.instance

    def _may_vote(self, member: member_module.Member) -> bool:
        # If many instances that join at the same time were voters, they would
        # outnumber the others, and new instances promise nothing at first.
        age_seconds = self._members.age_seconds(member)
        is_new = age_seconds < lease_voter.PROMISE_SECONDS
        return bool(member.former) or not is_new


def _ranked(instances: Iterable[ids.InstanceId]) -> list[ids.InstanceId]:
    return sorted(instances, key=_rank)


def _rank(instance: ids.InstanceId) -> tuple[int, str]:
    return _hash(instance.address), instance.address


@functools.lru_cache(maxsize=HASH_CACHE_SIZE)
def _hash(address: str) -> int:
    return xxhash.xxh3_64_intdigest(address.encode())


def _interleave(
    by_centre: Iterable[list[ids.InstanceId]],
) -> list[ids.InstanceId]:
    # The first voter of each data centre comes before the second of any.
    tiers = itertools.zip_longest(*by_centre)
    return [
        instance for tier in tiers for instance in _ranked(filter(None, tier))
    ]


__all__ = [
    "MAX_VOTERS",
    "SILENT_VOTES_SECONDS",
    "VoterSet",
    "Voters",
]

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
UNREACHABLE_VOTER_SECONDS = 60.0
CACHE_SECONDS = 0.25
HASH_CACHE_SIZE = 4_096


class VoterSet(NamedTuple):
    """The voters for one engine.

    ``local`` are those of the engine's data centre, ``remote`` the others.
    ``local_reachable`` tells whether all local ones are reachable.
    """

    local: tuple[ids.InstanceId, ...]
    remote: tuple[ids.InstanceId, ...] = ()
    local_reachable: bool = True

    @property
    def voters(self) -> tuple[ids.InstanceId, ...]:
        """List all voters.

        :return: those of the engine's data centre first
        """
        return (*self.local, *self.remote)

    def is_majority(self, voted: Collection[ids.InstanceId]) -> bool:
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

    def for_data_centre(self, data_centre: str) -> VoterSet:
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

    def is_reachable(self, voter: ids.InstanceId) -> bool:
        """Return whether a voter is reachable.

        :param voter: the voter
        :return: whether it is reachable or is this instance
        """
        return voter in self._reachable()

    def majority_lost_seconds(self, voter_set: VoterSet) -> float:
        """Return how long ago a majority of the voters was reachable.

        :param voter_set: the voters
        :return: seconds; 0 while a majority is reachable
        """
        unheard_seconds = {
            member.instance: self._members.lost_seconds(member)
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
            return VoterSet(local=(), remote=(), local_reachable=False)
        by_centre: dict[str, list[ids.InstanceId]] = {}
        for instance in self._eligible():
            # A seed that never answered may be of this data centre.
            centre = instance.data_centre or self._self_id.data_centre
            by_centre.setdefault(centre, []).append(instance)
        local = _ranked(by_centre.pop(data_centre, ()))[:MAX_VOTERS]
        remote = _interleave(map(_ranked, by_centre.values()))
        wanted = len(local) - 1 if local else MAX_VOTERS
        return VoterSet(
            local=tuple(local),
            remote=tuple(remote[:wanted]),
            local_reachable=bool(local)
            and self._reachable().issuperset(local),
        )

    def _reachable(self) -> set[ids.InstanceId]:
        heard = {member.instance for member in self._members.reachable()}
        return heard | {self._self_id}

    def _eligible(self) -> Iterable[ids.InstanceId]:
        yield self._self_id
        for member in self._members.reachable():
            if self._may_vote(member):
                yield member.instance
        for member in self._members.unreachable():
            has_left = member.beat is not None and member.beat.leaving
            silent_seconds = self._members.lost_seconds(member)
            if not has_left and silent_seconds < UNREACHABLE_VOTER_SECONDS:
                yield member.instance

    def _may_vote(self, member: member_module.Member) -> bool:
        # If many instances that join at the same time were voters, they would
        # outnumber the others, and new instances promise nothing at first.
        age_seconds = self._members.age_seconds(member)
        is_new = age_seconds < lease_voter.PROMISE_SECONDS
        return bool(member.former_incarnations) or not is_new


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
    "UNREACHABLE_VOTER_SECONDS",
    "VoterSet",
    "Voters",
]

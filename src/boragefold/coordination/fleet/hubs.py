"""The hubs that forward heartbeats between instances.

Load pattern: dozens of small instances that all need to know of each other.
If each sent its heartbeat to every other, 86 instances would send 7,310
heartbeats a second, and each would spend most of its control budget on
reading them. Instead, a few hubs in each data centre receive the heartbeats
of its instances, exchange them with the other hubs, and forward them to their
instances in one message: 900 messages a second. In a data centre of up to
three instances all are hubs and exchange heartbeats directly.

There is no election. Every instance ranks those that it knows, and an
instance that is addressed as a hub acts as one. If two instances rank
differently for a moment, this costs extra messages and nothing else.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
import itertools
from typing import NamedTuple

import xxhash

# Two hubs of a data centre may fail at once.
MAX_HUBS = 3
# On a narrow link, the messages of a hub would delay responses to callers.
MIN_CAPACITY_RATIO = 0.5
MIN_HUBS = 2
# One hub may fail without a gap in the heartbeats.
UPLINKS = 2


class Candidate(NamedTuple):
    """A possible hub; ``capacity`` is the speed of its network link."""

    address: str
    data_centre: str
    capacity: float


def rank(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Order instances by their suitability as hubs.

    The fastest links come first: a hub sends what all its instances receive.

    :param candidates: the instances of one data centre
    :return: the best first, in the same order at every instance that knows
        the same candidates
    """
    return sorted(
        candidates,
        key=lambda candidate: (-candidate.capacity, _hash(candidate.address)),
    )


def choose_hubs(candidates: Iterable[Candidate]) -> dict[str, list[Candidate]]:
    """Choose the hubs of every data centre.

    :param candidates: the instances that may be alive
    :return: the hubs by data centre
    """
    by_centre = sorted(candidates, key=lambda each: each.data_centre)
    return {
        centre: best_hubs(rank(members))
        for centre, members in itertools.groupby(
            by_centre, key=lambda each: each.data_centre
        )
    }


def best_hubs(ranked: list[Candidate]) -> list[Candidate]:
    """Choose the hubs among the instances of a data centre.

    :param ranked: its instances, the best hub first
    :return: the hubs, best first
    """
    widest = ranked[0].capacity if ranked else 0.0
    return [
        candidate
        for place, candidate in enumerate(ranked[:MAX_HUBS])
        if place < MIN_HUBS
        or candidate.capacity >= MIN_CAPACITY_RATIO * widest
    ]


def uplinks(
    own_address: str,
    ranked: list[Candidate],
    *,
    overdue: Collection[str] = (),
) -> list[str]:
    """Choose the hubs that an instance sends its heartbeats to.

    The order of a data centre's hubs depends on the instance, which spreads
    the instances over the hubs. The next candidate is added while a hub is
    overdue, before that hub is given up: an instance that loses all its hubs
    at once reaches another before it is considered silent.

    :param own_address: the address of the instance
    :param ranked: the other instances of its data centre, best hub first
    :param overdue: the addresses whose heartbeat is overdue
    :return: addresses; more of them if some are overdue
    """
    chosen_hubs = best_hubs(ranked)
    first = sorted(
        chosen_hubs, key=lambda hub: _hash(f"{own_address}\0{hub.address}")
    )
    wanted = itertools.chain(first, ranked[len(chosen_hubs) :])
    chosen: list[str] = []
    on_time = 0
    for hub in wanted:
        if on_time == UPLINKS:
            break
        chosen.append(hub.address)
        on_time += hub.address not in overdue
    return chosen


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())


__all__ = [
    "Candidate",
    "MAX_HUBS",
    "UPLINKS",
    "best_hubs",
    "choose_hubs",
    "rank",
    "uplinks",
]

"""Through which instances heartbeats travel.

Load pattern: dozens of small instances that all have to know of each other.
Told by each to each, 86 instances send 7,310 heartbeats a second, and each
spends most of its control budget on reading them. Here a few hubs of each data
centre hear its instances, tell each other, and tell their instances in one
message: 900 messages a second. In a data centre of up to three instances
everyone is a hub, and all speak to each other.

Nobody appoints a hub. Every instance ranks those it knows, and whoever is
spoken to as a hub acts as one; that two instances rank differently for a
moment costs messages and nothing else.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
import itertools
from typing import NamedTuple

import xxhash

# Two hubs of a data centre may be lost at once.
HUBS = 3
# A hub's messages would hold answers up on a narrow link.
WIDE_SHARE = 0.5
FEWEST_HUBS = 2
# One hub may be lost without a gap.
UPLINKS = 2


class Candidate(NamedTuple):
    """An instance that could be a hub; ``capacity`` is its link's speed."""

    address: str
    data_centre: str
    capacity: float


def rank(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Order instances by how well they would serve as hubs.

    The widest links first: a hub sends what all its instances receive.

    :param candidates: those of one data centre
    :return: the best first, the same at every instance that knows them
    """
    return sorted(
        candidates,
        key=lambda candidate: (-candidate.capacity, _hash(candidate.address)),
    )


def hubs(candidates: Iterable[Candidate]) -> dict[str, list[Candidate]]:
    """Choose the hubs of every data centre.

    :param candidates: the instances that may be alive
    :return: the hubs by data centre
    """
    by_centre = sorted(candidates, key=lambda each: each.data_centre)
    return {
        centre: best(rank(members))
        for centre, members in itertools.groupby(
            by_centre, key=lambda each: each.data_centre
        )
    }


def best(ranked: list[Candidate]) -> list[Candidate]:
    """Choose the hubs among the instances of a data centre.

    :param ranked: its instances, the best hub first
    :return: the hubs, best first
    """
    widest = ranked[0].capacity if ranked else 0.0
    return [
        candidate
        for place, candidate in enumerate(ranked[:HUBS])
        if place < FEWEST_HUBS or candidate.capacity >= WIDE_SHARE * widest
    ]


def uplinks(
    own_address: str,
    ranked: list[Candidate],
    *,
    late: Collection[str] = (),
) -> list[str]:
    """Choose the hubs that an instance speaks to.

    Which of a data centre's hubs depends on the instance, so that they share
    its instances. A hub that is late is joined by the next in the order
    before it is given up: an instance whose hubs were lost together is heard
    again before the others take it for silent.

    :param own_address: the instance's
    :param ranked: the other instances of its data centre, best hub first
    :param late: the addresses that should have been heard and were not
    :return: addresses; with late ones there are more of them
    """
    chosen_hubs = best(ranked)
    first = sorted(
        chosen_hubs, key=lambda hub: _hash(f"{own_address}\0{hub.address}")
    )
    wanted = itertools.chain(first, ranked[len(chosen_hubs) :])
    chosen: list[str] = []
    sound = 0
    for hub in wanted:
        if sound == UPLINKS:
            break
        chosen.append(hub.address)
        sound += hub.address not in late
    return chosen


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())


__all__ = [
    "Candidate",
    "HUBS",
    "UPLINKS",
    "best",
    "hubs",
    "rank",
    "uplinks",
]

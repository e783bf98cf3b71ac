"""Which instances keep the origins of streams, and what they keep."""

from __future__ import annotations

import random

import pytest

from boragefold.policy import origin_book
from boragefold.policy import origin_keepers
from boragefold.protocol import ids
from boragefold.state import deployment

LIFE = deployment.EndpointLife("llm", "e1", 7, "v1")
OTHER = LIFE._replace(endpoint="e2", software_version="v2")


def make_members(count, data_centres):
    return [
        ids.InstanceId(f"dc-{n % data_centres}", f"10.0.0.{n}:70", "a")
        for n in range(count)
    ]


@pytest.mark.parametrize(
    ("count", "data_centres"), [(2, 1), (6, 3), (7, 1), (72, 4), (300, 29)]
)
@pytest.mark.parametrize("lost", [0, 1, 2])
def test_whoever_takes_a_stream_up_asks_a_keeper(
    count, data_centres, lost
) -> None:
    # An instance ended, and others have ended since, known or not.
    rng = random.Random(count)
    members = make_members(count + lost, data_centres)
    for key in range(200):
        begun, taking, *rest = rng.sample(members, len(members))
        ended = set(rest[:lost])
        keepers = origin_keepers.choose_keepers(
            key, set(members) - {begun}, own=begun
        )
        known = set(members) - {taking}
        alive = set(keepers) - ended - {taking}
        for seen in (known, known - ended - {begun}):
            asked = origin_keepers.choose_asked(key, seen, own=taking)
            assert taking in keepers or not alive or alive & set(asked)
            assert len(asked) <= origin_keepers.MAX_ASKED


def test_keepers_are_in_several_data_centres() -> None:
    members = make_members(30, 5)
    own = members[0]
    for key in range(200):
        keepers = origin_keepers.choose_keepers(key, members[1:], own=own)
        assert len(keepers) == origin_keepers.KEEPERS
        names = {keeper.data_centre for keeper in keepers}
        assert own.data_centre in names
        assert len(names) >= 2


def test_keepers_are_spread_evenly() -> None:
    members = make_members(30, 3)
    counts = dict.fromkeys(members, 0)
    for key in range(3_000):
        own = members[key % len(members)]
        others = [each for each in members if each != own]
        for keeper in origin_keepers.choose_keepers(key, others, own=own):
            counts[keeper] += 1
    mean = sum(counts.values()) / len(members)
    assert max(counts.values()) < 1.5 * mean


def record(book, key, origin=LIFE, *, at=0.0, keep=10.0):
    book.record(key, origin, keep_seconds=keep, now_seconds=at)


def test_an_origin_is_set_once() -> None:
    book = origin_book.OriginBook()
    record(book, 1)
    record(book, 1)
    assert book.find(1, now_seconds=1.0) == LIFE


def test_two_origins_of_one_stream_void_each_other() -> None:
    # Two streams with one request ID: neither may be guessed.
    book = origin_book.OriginBook()
    record(book, 1)
    record(book, 1, OTHER)
    record(book, 1)
    assert book.find(1, now_seconds=1.0) is None


def test_an_origin_is_kept_as_long_as_its_caller_may_come_back() -> None:
    book = origin_book.OriginBook()
    record(book, 1)
    assert book.find(1, now_seconds=9.9) == LIFE
    assert book.find(1, now_seconds=10.0) is None
    record(book, 2, at=11.0)
    assert len(book) == 1


def test_the_oldest_origins_are_dropped() -> None:
    book = origin_book.OriginBook(max_origins=3)
    for key in range(5):
        record(book, key)
    assert len(book) == 3
    assert book.find(1, now_seconds=1.0) is None
    assert book.find(4, now_seconds=1.0) == LIFE

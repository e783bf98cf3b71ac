from __future__ import annotations

import pytest

from boragefold.policy import rejection_limits

BEARABLE = 4
ADDRESSES = [f"10.0.0.{number}:70" for number in range(9)]


def limits_of(address, addresses=ADDRESSES):
    others = frozenset(addresses) - {address}
    limits = rejection_limits.RejectionLimits(
        self_address=address, peers=lambda: others
    )
    limits.record_answer("desk", BEARABLE, now_seconds=0.0)
    return limits


def load(in_flight, *, others=0.0, age=9.0, slots=6):
    return rejection_limits.EndpointLoad(slots, in_flight, others, age)


def has_room(limits, given, at=0.0):
    return limits.has_room("desk", "e1", given, now_seconds=at)


@pytest.mark.parametrize("count", [1, 4, 6, 7, 9])
@pytest.mark.parametrize("slots", [1, 6, 64])
def test_all_instances_together_send_no_more_than_fits(count, slots) -> None:
    # All of them see the same free slot at the same moment.
    addresses = ADDRESSES[:count]
    parts = [
        limits_of(address, addresses).part_of_slots("e1", slots)
        for address in addresses
    ]
    assert sum(parts) == slots


def test_endpoints_that_bear_rejections_have_no_limit() -> None:
    limits = limits_of(ADDRESSES[0])
    limits.record_answer("desk", None, now_seconds=1.0)
    limits.record_rejection("desk", "e1", own=True, now_seconds=1.0)
    assert has_room(limits, load(99), at=1.0)
    assert limits.has_room("other", "e9", load(99), now_seconds=1.0)


def test_more_than_the_part_is_sent_where_a_fresh_report_shows_room() -> None:
    # Callers are spread unevenly over instances.
    limits = limits_of(ADDRESSES[0])
    assert has_room(limits, load(1, others=1.0, age=0.1))
    assert not has_room(limits, load(1, others=3.0, age=0.1))
    assert not has_room(limits, load(1, others=0.0, age=0.5))


def test_an_endpoint_without_room_is_rejected_no_more_than_it_bears() -> None:
    # Rejections are counted over all instances, which learn of each other's.
    rejected = []
    fleet = [limits_of(address) for address in ADDRESSES]
    for hundredth in range(900):
        now = hundredth / 100
        for limits in fleet:
            if has_room(limits, load(0, slots=9), at=now):
                rejected.append(now)
                for each in fleet:
                    each.record_rejection(
                        "desk", "e1", own=each is limits, now_seconds=now
                    )
    assert rejected
    for begin in rejected:
        within = [at for at in rejected if begin <= at <= begin + 1.0]
        assert len(within) <= BEARABLE


def test_an_instance_without_a_part_learns_that_there_is_room() -> None:
    # With more instances than slots, some would send nothing for ever.
    limits = [limits_of(address) for address in ADDRESSES]
    (without, *_) = [
        each for each in limits if not each.part_of_slots("e1", 6)
    ]
    waited = rejection_limits.EndpointLoad(6, 0, 0.0, 9.0, 3.0)
    assert has_room(without, waited)
    assert not has_room(without, waited._replace(sent_seconds_ago=1.0))
    assert not has_room(without, waited._replace(in_flight=1))


def test_a_limit_that_nobody_repeats_ends() -> None:
    limits = limits_of(ADDRESSES[0])
    assert not has_room(limits, load(6), at=9.0)
    assert has_room(limits, load(6), at=11.0)

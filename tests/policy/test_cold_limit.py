"""The rate of one cold endpoint, and its shares among senders."""

from __future__ import annotations

import bisect
import math

import pytest

from boragefold.policy import cold_limit
from boragefold.policy import cold_shares

TOLERANCE = cold_limit.Tolerance(overage=1.5, slack=5.0)
SUSTAINED = 9.2
LIMIT = SUSTAINED * 1.5 + 5
ALLOWED = TOLERANCE.allowed_per_second(SUSTAINED)
ADDRESSES = [f"10.0.0.{number}:70" for number in range(9)]


def make(*, at=0.0, until=math.inf, per_second=ALLOWED):
    limit = cold_limit.ColdLimit()
    limit.update(per_second=per_second, until_seconds=until, now_seconds=at)
    return limit


def send_all(limit, *, start, seconds, step=0.001):
    """Send whatever is allowed, and list when."""
    sent = []
    for number in range(round(seconds / step)):
        now = start + number * step
        while limit.may_send("r", now_seconds=now):
            limit.record(now_seconds=now)
            sent.append(now)
            if len(sent) > 10_000:
                return sent
    return sent


def most_in_a_second(times):
    """Count the most times in a window of a second, both ends included."""
    times = sorted(times)
    return max(
        bisect.bisect_right(times, first + 1.0 + 1e-9) - position
        for position, first in enumerate(times)
    )


def test_two_bursts_never_meet() -> None:
    # A burst at the end of one second and one at the beginning of the next
    # crash the endpoint, as would a request that is a little faster on its
    # way than the one before.
    limit = make()
    sent = send_all(limit, start=0.0, seconds=0.5)
    assert not sent
    sent = send_all(limit, start=1.9, seconds=10.0)
    assert sent[0] == 1.9
    jitter = [at - 0.04 * (number % 2) for number, at in enumerate(sent)]
    assert most_in_a_second(sent) == int(SUSTAINED)
    assert most_in_a_second(jitter) == int(SUSTAINED)


def test_the_sustained_rate_is_used() -> None:
    # An endpoint that gets nothing while it is cold is as good as gone.
    sent = send_all(make(), start=2.0, seconds=20.0)
    assert len(sent) >= 0.9 * SUSTAINED * 20


def test_two_owners_stay_within_the_limit() -> None:
    # Two instances believe that they own an engine during a partition.
    one, other = make(), make(at=0.3)
    sent = send_all(one, start=2.0, seconds=5.0)
    sent += send_all(other, start=2.0, seconds=5.0)
    assert most_in_a_second(sent) <= LIMIT
    tight = cold_limit.Tolerance().allowed_per_second(SUSTAINED)
    assert 2 * tight <= SUSTAINED


def test_a_new_owner_counts_the_first_second_as_used() -> None:
    # What its predecessor granted in that second is unknown.
    before = send_all(make(), start=1.5, seconds=1.5)
    after = send_all(make(at=3.0), start=3.0, seconds=3.0)
    assert after[0] > 4.0
    assert most_in_a_second(before + after) <= int(SUSTAINED)


def test_requests_to_the_warm_endpoint_count_when_it_becomes_cold() -> None:
    # They may arrive when it is cold already.
    limit = make(until=-math.inf)
    for number in range(30):
        assert limit.may_send("r", now_seconds=5.0)
        limit.record(now_seconds=5.0 + number / 100)
    limit.update(per_second=ALLOWED, until_seconds=9.0, now_seconds=5.3)
    sent = send_all(limit, start=5.3, seconds=2.0)
    assert 6.2 < sent[0] < 6.4
    assert limit.may_send("r", now_seconds=9.0)


def test_a_higher_rate_counts_as_used_at_first() -> None:
    # Other senders may have had the rest of the rate until then.
    limit = make(per_second=3.0)
    limit.update(per_second=9.0, until_seconds=math.inf, now_seconds=2.0)
    sent = send_all(limit, start=2.0, seconds=0.9)
    assert len(sent) == 3


def test_a_rate_below_one_is_kept() -> None:
    sent = send_all(make(per_second=0.5), start=0.0, seconds=9.0)
    assert len(sent) == 4


def test_a_queued_request_knows_when_its_turn_comes() -> None:
    # Too short an estimate lets requests wait for nothing.
    limit = make()
    expected = [
        limit.wait_seconds(ahead, now_seconds=0.5) for ahead in range(30)
    ]
    sent = send_all(limit, start=0.5, seconds=5.0)
    assert expected == pytest.approx([at - 0.5 for at in sent[:30]], abs=0.005)
    ending = make(until=2.0)
    assert ending.wait_seconds(99, now_seconds=0.5) == 1.5


def test_an_endpoint_without_a_rate_has_no_limit() -> None:
    limit = make(per_second=0.0)
    for _ in range(99):
        assert limit.may_send("r", now_seconds=0.0)
        limit.record(now_seconds=0.0)
    assert limit.wait_seconds(99, now_seconds=0.0) == 0.0
    assert not list(limit.due_times(now_seconds=0.0))


def test_each_request_that_is_held_back_is_counted_once() -> None:
    limit = make()
    for request_id in ("a", "a", "b"):
        assert not limit.may_send(request_id, now_seconds=0.1)
    assert limit.take_held() == 2
    assert limit.take_held() == 0


def shares(allowed, addresses, known=None):
    return [
        cold_shares.share(
            "e1",
            allowed,
            self_address=address,
            reached=frozenset(addresses) - {address},
            known=len(addresses) - 1 if known is None else known,
        )
        for address in addresses
    ]


@pytest.mark.parametrize("allowed", [0.4, 1.0, 4.6, 9.2, 50.0])
@pytest.mark.parametrize("count", [1, 2, 4, 9])
def test_the_shares_of_all_instances_add_up_to_the_rate(
    allowed, count
) -> None:
    # They can't ask each other before each request.
    found = shares(allowed, ADDRESSES[:count])
    assert sum(found) == (int(allowed) or allowed)
    used = [each for each in found if each]
    assert len(used) <= 3
    assert max(used) - min(used) <= 1


def test_the_smaller_side_of_a_partition_sends_nothing() -> None:
    # Its members would have the shares of the other side as well.
    assert not any(shares(9.2, ADDRESSES[:4], known=8))
    assert sum(shares(9.2, ADDRESSES[4:], known=8)) == 9

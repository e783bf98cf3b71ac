from __future__ import annotations

import ipaddress
import itertools

import pytest

from boragefold.coordination.fleet import fencing_numbers
from boragefold.coordination.fleet import order_turns

LEASE_SECONDS = 3.0


class Engine:
    """Counts orders like an engine and refuses those with a wrong count."""

    def __init__(self):
        self.born = 1_790_000_000_000
        self.orders = 0
        self.accepted = []

    def counted(self):
        return fencing_numbers.OrderCount(self.born, self.orders)

    def take(self, expected, issuer, at):
        if expected != self.orders:
            return False
        self.orders += 1
        self.accepted.append((at, issuer))
        return True


class Issuer:
    def __init__(self, engine, number):
        self.engine = engine
        self.number = number
        self.turns = order_turns.OrderTurns(
            lease_seconds=LEASE_SECONDS, issuer=number
        )
        self.turns.begin()

    def look(self, now):
        return self.turns.record_report(self.engine.counted(), now_seconds=now)

    def try_order(self, now):
        may_order = self.turns.may_order(now_seconds=now)
        if not may_order or not self.turns.is_confirmed(now_seconds=now):
            return False
        self.turns.record_sent()
        if self.engine.take(self.turns.expected, self.number, now):
            self.turns.record_accepted(now_seconds=now)
            return True
        self.turns.record_refused(now_seconds=now)
        return False

    def run(self, start, end, step=0.1):
        now = start
        while now < end:
            self.look(now)
            self.try_order(now)
            now += step


def alternations(accepted):
    """Find orders that enclose another instance's order within a lease."""
    return [
        (first, second, third)
        for first, second, third in zip(
            accepted, accepted[1:], accepted[2:], strict=False
        )
        if first[1] == third[1] != second[1]
        and third[0] - first[0] < LEASE_SECONDS
    ]


@pytest.fixture
def engine():
    return Engine()


def test_a_turn_begins_after_a_quiet_time(engine) -> None:
    issuer = Issuer(engine, 1)
    issuer.look(0.0)
    assert not issuer.try_order(0.0)
    issuer.look(0.3)
    assert not issuer.try_order(0.3)
    issuer.look(0.6)
    assert issuer.try_order(0.6)


def test_a_fresh_process_gives_no_order_for_a_lease(engine) -> None:
    # After a restart of all instances none knows whether its predecessor just
    # sent an order. A constant count proves nothing, as nobody was running.
    turns = order_turns.OrderTurns(
        lease_seconds=LEASE_SECONDS, issuer=1, started_at_seconds=10.0
    )
    turns.begin()
    allowed = []
    for step in range(50):
        now = 10.5 + step / 10
        turns.record_report(engine.counted(), now_seconds=now)
        if turns.may_order(now_seconds=now):
            allowed.append(now)
    assert min(allowed) >= 10.0 + LEASE_SECONDS
    assert min(allowed) < 10.0 + LEASE_SECONDS + 0.5
    assert turns.orders_in_seconds(now_seconds=11.0) > 2.0
    assert turns.orders_in_seconds(now_seconds=14.0) == 0.0


def test_two_that_believe_they_own_an_engine_never_alternate(engine) -> None:
    # Two instances that can't reach each other send as many orders to an
    # engine as they can. Only one may succeed within a lease.
    one, two = Issuer(engine, 1), Issuer(engine, 2)
    now = 0.0
    while now < 20.0:
        for issuer in (one, two):
            issuer.look(now)
            issuer.try_order(now)
        now += 0.05
    assert engine.accepted
    assert not alternations(engine.accepted)


@pytest.mark.parametrize("offset", [0.0, 0.05, 0.2, 0.35, 0.7])
def test_a_second_issuer_waits_while_the_first_is_active(
    engine, offset
) -> None:
    one, two = Issuer(engine, 1), Issuer(engine, 2)
    one.run(0.0, 2.0)
    now = 2.0 + offset
    while now < 8.0:
        one.look(now)
        one.try_order(now)
        two.look(now + 0.01)
        two.try_order(now + 0.01)
        now += 0.1
    assert {issuer for _, issuer in engine.accepted} == {1}


def test_a_paused_owner_listens_again_before_its_next_order(engine) -> None:
    # Another instance may have taken the engine over and begun its turn during
    # a pause of two seconds. An order right after the pause would come between
    # the orders of that instance.
    issuer = Issuer(engine, 1)
    issuer.run(0.0, 2.0)
    assert engine.accepted
    before = len(engine.accepted)
    issuer.look(4.0)
    assert not issuer.try_order(4.0)
    issuer.look(4.2)
    assert not issuer.try_order(4.2)
    issuer.look(4.8)
    assert issuer.try_order(4.8)
    assert len(engine.accepted) == before + 1


def test_an_idle_owner_looks_again_before_its_next_order(engine) -> None:
    # The new owner has begun its turn and sent no order yet. The former owner
    # resumes after a pause and sends one before it learns of the new owner.
    # The engine answers an order for its current state without checking the
    # count, so a first order of the new owner with an old count would be
    # executed with a fencing token below one used before.
    issuer = Issuer(engine, 1)
    for step in range(10):
        issuer.look(step / 10)
        issuer.turns.may_order(now_seconds=step / 10)
    expected = engine.orders
    engine.take(expected, 2, 1.2)
    for step in range(14, 18):
        now = step / 10
        allowed = issuer.turns.may_order(now_seconds=now)
        assert not (allowed and issuer.turns.is_confirmed(now_seconds=now))
    issuer.look(1.8)
    assert not issuer.turns.may_order(now_seconds=1.8)


def test_a_report_that_was_read_late_confirms_nothing(engine) -> None:
    # After a pause the process reads a report that predates another
    # instance's orders.
    issuer = Issuer(engine, 1)
    issuer.run(0.0, 1.0)
    seen = engine.counted()
    engine.take(engine.orders, 2, 1.2)
    issuer.turns.record_report(seen, age_seconds=0.8, now_seconds=1.8)
    issuer.turns.may_order(now_seconds=1.8)
    assert not issuer.turns.is_confirmed(now_seconds=1.8)


def test_an_answer_that_was_read_late_confirms_nothing(engine) -> None:
    # After a pause the process reads the answer to an order sent before it.
    issuer = Issuer(engine, 1)
    issuer.run(0.0, 1.0)
    issuer.turns.record_sent()
    assert engine.take(issuer.turns.expected, 1, 1.0)
    issuer.turns.record_accepted(age_seconds=0.5, now_seconds=1.5)
    assert not issuer.turns.is_confirmed(now_seconds=1.5)


def test_a_report_of_fewer_orders_confirms_nothing(engine) -> None:
    # The engine has restarted. Its report must not be taken for an older one
    # that confirms the count from before the restart.
    issuer = Issuer(engine, number=1)
    issuer.run(0.0, 1.0)
    assert issuer.try_order(1.05)
    engine.orders = 0
    issuer.look(1.35)
    assert not issuer.try_order(1.36)
    issuer.look(1.5)
    assert issuer.try_order(1.51)


def test_an_order_relies_on_nothing_older_than_the_quiet_time() -> None:
    # An order of another instance that is younger than the quiet time need not
    # show in reports yet.
    oldest_seconds = (
        order_turns.MAX_COUNT_AGE_SECONDS
        + order_turns.MAX_SEND_DELAY_SECONDS
        + order_turns.REPORT_LAG_SECONDS
    )
    assert oldest_seconds <= order_turns.QUIET_SECONDS


def test_reports_that_were_read_late_prove_no_quiet_time(engine) -> None:
    # Both reports were requested at the same time; one was read after a pause.
    issuer = Issuer(engine, 1)
    seen = engine.counted()
    issuer.turns.record_report(seen, now_seconds=0.0)
    issuer.turns.record_report(seen, age_seconds=0.6, now_seconds=0.7)
    assert not issuer.turns.begun


def test_a_former_owner_waits_a_lease_after_its_successor(engine) -> None:
    # An owner is paused, another takes over and sends orders, then hashing
    # selects the first one again. It must not send orders for a lease.
    one, two = Issuer(engine, 1), Issuer(engine, 2)
    one.run(0.0, 1.0)
    two.run(2.0, 3.0)
    one.turns.begin()
    now = 3.1
    while not one.try_order(now):
        one.look(now)
        now += 0.1
        assert now < 12.0
    last_of_two = max(at for at, issuer in engine.accepted if issuer == 2)
    assert now - last_of_two >= LEASE_SECONDS
    assert not alternations(engine.accepted)


def test_two_that_wait_for_one_lease_dont_begin_together(engine) -> None:
    # Both see the order of a third instance. If both began when its lease has
    # passed, they would load the same adapter, and the engine accepts both
    # orders.
    first_seconds = []
    for number in (1, 2, 3):
        issuer = Issuer(engine, number)
        issuer.look(0.0)
        engine.take(engine.orders, 9, 0.1)
        now = 0.2
        while not issuer.try_order(now):
            now += 0.05
            issuer.look(now)
        first_seconds.append(now)
    first_seconds.sort()
    assert first_seconds[0] >= 0.2 + LEASE_SECONDS
    assert all(
        later - sooner >= 0.35
        for sooner, later in itertools.pairwise(first_seconds)
    )


def test_an_unanswered_order_is_not_taken_for_a_foreign_one(engine) -> None:
    # The answer to an order is lost. The sender must attribute the rise of the
    # count to that order instead of waiting for another instance's lease.
    issuer = Issuer(engine, 1)
    issuer.run(0.0, 1.0)
    issuer.turns.record_sent()
    assert engine.take(issuer.turns.expected, 1, 1.0)
    issuer.turns.record_unanswered(now_seconds=1.0)
    assert not issuer.turns.may_order(now_seconds=1.1)
    assert issuer.look(1.6) is False
    assert issuer.try_order(1.6)


def test_an_order_in_doubt_isnt_settled_by_an_older_report(engine) -> None:
    # Otherwise the same order is sent again, and the engine doesn't count it.
    issuer = Issuer(engine, 1)
    issuer.run(0.0, 1.0)
    old = engine.counted()
    issuer.turns.record_sent()
    assert engine.take(issuer.turns.expected, 1, 1.0)
    issuer.turns.record_unanswered(now_seconds=1.1)
    issuer.turns.record_report(old, now_seconds=1.12)
    assert not issuer.turns.may_order(now_seconds=1.12)
    issuer.look(1.3)
    assert issuer.try_order(1.3)


def test_a_report_that_shows_an_unanswered_order_settles_it(engine) -> None:
    # The report was requested before the order timed out. If it were ignored,
    # a later report would attribute the order to another instance, and the
    # sender would wait for a lease.
    issuer = Issuer(engine, 1)
    issuer.run(0.0, 1.0)
    issuer.turns.record_sent()
    assert engine.take(issuer.turns.expected, 1, 1.0)
    issuer.turns.record_unanswered(now_seconds=1.5)
    issuer.turns.record_report(
        engine.counted(), age_seconds=0.3, now_seconds=1.55
    )
    for now in (1.6, 2.2):
        issuer.turns.may_order(now_seconds=now)
    assert issuer.look(2.6) is False
    assert issuer.try_order(2.6)


def test_no_order_is_given_while_a_lost_one_may_still_arrive(engine) -> None:
    # An unload without an answer is sent again and counted. If its first copy
    # arrives later, the engine answers "done" with an outdated fencing token.
    issuer = Issuer(engine, 1)
    issuer.run(0.0, 1.0)
    issuer.turns.record_sent()
    issuer.turns.record_unanswered(now_seconds=1.0)
    for step in range(2, 10):
        issuer.look(1.0 + step / 10)
        assert not issuer.try_order(1.0 + step / 10)
    issuer.look(2.1)
    assert issuer.try_order(2.1)


def test_another_givers_order_isnt_taken_for_one_lost_long_ago(
    engine,
) -> None:
    # Two orders were lost in a network partition and never arrived. Afterwards
    # another owner sends two. If those were taken for the lost ones, the next
    # order would come between that owner's orders.
    issuer = Issuer(engine, 1)
    issuer.run(0.0, 1.0)
    for at in (1.0, 1.1):
        issuer.turns.record_sent()
        issuer.turns.record_unanswered(now_seconds=at)
        issuer.look(at + 0.05)
    issuer.look(2.5)
    assert engine.take(engine.orders, 2, 2.6)
    assert engine.take(engine.orders, 2, 2.7)
    assert issuer.look(3.0) is True
    assert not issuer.try_order(3.0)


def test_an_order_lost_before_a_handover_hides_no_foreign_one(engine) -> None:
    # The order never arrived, and the owner in between sent one. If that were
    # taken for the lost one, the next order would come between that owner's.
    issuer = Issuer(engine, 1)
    issuer.run(0.0, 1.0)
    issuer.turns.record_sent()
    issuer.turns.record_unanswered(now_seconds=1.5)
    assert engine.take(engine.orders, 2, 1.6)
    issuer.turns.begin()
    assert issuer.look(2.0) is True
    issuer.run(2.1, 4.9)
    assert engine.accepted[-1] == (1.6, 2)
    issuer.run(5.0, 7.0)
    assert not alternations(engine.accepted)


def test_an_order_lost_after_a_handover_hides_no_foreign_one(
    engine,
) -> None:
    # The order times out after its sender has become the owner again.
    issuer = Issuer(engine, 1)
    issuer.run(0.0, 1.0)
    issuer.turns.record_sent()
    assert engine.take(engine.orders, 2, 1.3)
    issuer.turns.begin()
    issuer.turns.record_unanswered(now_seconds=1.5)
    assert issuer.look(2.0) is True
    assert not issuer.try_order(2.6)


def test_an_order_lost_before_a_handover_may_still_arrive(engine) -> None:
    # Otherwise the new turn begins at once and sends the same order while the
    # first copy may still arrive.
    issuer = Issuer(engine, 1)
    issuer.run(0.0, 1.0)
    issuer.turns.record_sent()
    issuer.turns.record_unanswered(now_seconds=1.0)
    issuer.turns.begin()
    for step in range(1, 10):
        issuer.look(1.0 + step / 10)
        assert not issuer.try_order(1.0 + step / 10)
    issuer.look(2.1)
    assert issuer.try_order(2.1)


@pytest.mark.parametrize("lag_seconds", [0.155, 0.3, 0.39])
def test_a_refusal_isnt_forgotten_for_a_report_from_before_it(
    engine, lag_seconds
) -> None:
    # The engine refused an order because it had counted another instance's. A
    # report with the count from before must not make the next order rely on
    # it.
    issuer = Issuer(engine, 1)
    issuer.run(0.0, 1.0)
    before = engine.counted()
    assert engine.take(engine.orders, 2, 1.14)
    assert not issuer.try_order(1.15)
    issuer.turns.record_report(before, now_seconds=1.15 + lag_seconds)
    assert not issuer.turns.may_order(now_seconds=1.15 + lag_seconds)
    assert issuer.look(1.6) is True
    issuer.run(1.7, 4.4)
    assert engine.accepted[-1] == (1.14, 2)


def test_a_refusal_for_another_reason_costs_no_lease(engine) -> None:
    # An engine with too many loads in progress refuses another load with the
    # same response as a wrong count.
    issuer = Issuer(engine, 1)
    issuer.run(0.0, 1.0)
    issuer.turns.record_sent()
    issuer.turns.record_refused(now_seconds=1.0)
    issuer.look(1.2)
    assert not issuer.try_order(1.2)
    issuer.look(1.45)
    assert issuer.try_order(1.45)


def test_a_refusal_for_a_count_taken_for_higher_costs_no_lease(
    engine,
) -> None:
    # The engine answered the last order without counting it, so the expected
    # count is too high although no other instance sent an order.
    issuer = Issuer(engine, 1)
    issuer.run(0.0, 1.0)
    issuer.turns.record_sent()
    issuer.turns.record_accepted(now_seconds=1.0)
    assert not issuer.try_order(1.1)
    issuer.look(1.55)
    assert issuer.try_order(1.55)


def test_a_report_while_an_order_is_on_its_way_changes_nothing(
    engine,
) -> None:
    # A report that arrives between an order and its answer must not stop later
    # orders for good.
    issuer = Issuer(engine, 1)
    issuer.run(0.0, 1.0)
    issuer.turns.record_sent()
    issuer.look(1.05)
    assert engine.take(issuer.turns.expected, 1, 1.1)
    issuer.turns.record_accepted(now_seconds=1.1)
    assert issuer.try_order(1.15)


def test_a_count_that_was_taken_for_higher_is_put_right(engine) -> None:
    # The engine answers an order that changes nothing with "done" and doesn't
    # count it. Otherwise it refuses all later orders for their count.
    issuer = Issuer(engine, 1)
    issuer.run(0.0, 1.0)
    issuer.turns.record_sent()
    issuer.turns.record_accepted(now_seconds=1.0)
    assert not issuer.try_order(1.1)
    issuer.look(1.2)
    assert issuer.turns.expected != engine.orders
    issuer.look(1.6)
    assert issuer.try_order(1.6)


def test_a_restart_of_an_engine_starts_a_new_count(engine) -> None:
    issuer = Issuer(engine, 1)
    issuer.run(0.0, 1.0)
    engine.born += 5_000
    engine.orders = 0
    assert issuer.look(1.1) is False
    assert issuer.try_order(1.1)


def test_fencing_tokens_rise_and_are_never_shared(engine) -> None:
    one, two = Issuer(engine, 1), Issuer(engine, 2)
    seen = []
    for life in range(3):
        engine.born += 2_000
        engine.orders = 0
        for orders in range(5):
            engine.orders = orders
            for issuer in (one, two):
                issuer.turns.record_report(
                    engine.counted(), now_seconds=10.0 * life + orders
                )
                seen.append(issuer.turns.fence())
    assert seen == sorted(seen)
    assert len(set(seen)) == len(seen)
    assert max(seen) < 2**63


def test_a_life_of_a_moment_later_has_higher_numbers() -> None:
    # An unload for an engine may reach its successor after a restart, where it
    # isn't counted. With start times in whole seconds, the successor's fencing
    # tokens could be below the order's.
    born = 1_790_000_000_000
    orders_in_100_milliseconds = 20
    last = fencing_numbers.OrderCount(born, orders_in_100_milliseconds)
    first = fencing_numbers.OrderCount(born + 100, 0)
    former = fencing_numbers.fence(last, issuer=7)
    assert former < fencing_numbers.fence(first, issuer=1)


def test_each_instance_has_a_number_of_its_own() -> None:
    numbers = {
        fencing_numbers.issuer_number(address=f"10.{place}.0.{host}:8000")
        for place in range(29)
        for host in range(1, 32)
    }
    assert len(numbers) == 29 * 31
    assert max(numbers) < 2**fencing_numbers.ISSUER_BITS


@pytest.mark.parametrize("bit", range(fencing_numbers.ISSUER_BITS))
def test_no_two_subnets_share_their_tokens(bit) -> None:
    # Addresses of one data centre that were equal modulo 1,024 shared them.
    base = ipaddress.IPv4Address("10.1.0.25")
    other = ipaddress.IPv4Address(int(base) ^ 1 << bit)
    one, two = (
        fencing_numbers.issuer_number(address=f"{each}:7000")
        for each in (base, other)
    )
    assert one != two

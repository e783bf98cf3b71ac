"""When an instance may send orders to an engine.

Orders of two instances must not alternate within the lease time, and instances
have no shared storage that records which of them sends orders. Therefore the
engine counts the orders that it accepted, and refuses an order that expects
another count. An instance that finds that the count rose by an order of
another one sends no order until the count has been constant for a whole lease.
If two instances send orders, the first order makes the other fail, and the
instance that failed waits.

That holds only for orders that the engine counts. It answers an order whose
effect is already reached or under way without checking or counting it, so
nobody can see who sent it. An order must therefore change something, as far as
the sender can know: none is sent while the engine executes one, on the ground
of an old report, or while a lost one may still arrive. Two instances may still
send the same order at the same time; therefore they also vote on which of them
may send orders, see :mod:`boragefold.coordination.fleet.order_leases`.
"""

from __future__ import annotations

import math

from boragefold.coordination.fleet import fencing_numbers
from boragefold.coordination.fleet import unanswered_orders

# A turn begins after the count has been constant for this time. By then claims
# have reached all reachable instances, and reports show the orders of another
# instance.
QUIET_SECONDS = 0.5
# Instances that saw the same order wait for the same lease. Staggered by their
# numbers they don't begin together; a step is longer than a report's lag.
STAGGER_SECONDS = 0.4
STAGGER_STEPS = 3
# A process that has just started doesn't know whether its predecessor sent
# orders a moment ago. It waits for a lease and this margin.
START_MARGIN_SECONDS = 0.2
# Maximum age of the count that an order relies on. Together with the time to
# send an order and the lag of reports it is at most the quiet time.
MAX_COUNT_AGE_SECONDS = 0.25
# An order that isn't written within this time of its decision is dropped.
MAX_SEND_DELAY_SECONDS = 0.1
# Owners check ten times a second. After a longer gap the process was paused,
# and another instance may have begun a turn.
PAUSE_GAP_SECONDS = 1.0
# Maximum age of a report's content when the report is requested.
MAX_REPORT_AGE_SECONDS = 0.4
# Usual age of a report's content.
REPORT_LAG_SECONDS = 0.15


class OrderTurns:
    """The periods in which one instance may send orders to one engine."""

    def __init__(
        self,
        *,
        lease_seconds: float,
        issuer: int,
        started_at_seconds: float = -math.inf,
    ) -> None:
        """Create it with an unknown order count.

        :param lease_seconds: minimum time between orders of two instances
        :param issuer: this instance's number, below two to the power of
            ISSUER_BITS
        :param started_at_seconds: when this process started, on the clock
            whose readings all methods are passed
        """
        self._wait_seconds = lease_seconds + STAGGER_SECONDS * (
            issuer % STAGGER_STEPS
        )
        self._first_order_at_seconds = (
            started_at_seconds + lease_seconds + START_MARGIN_SECONDS
        )
        self._issuer = issuer
        self._counted: fencing_numbers.OrderCount | None = None
        self._count_known = False
        self._unanswered = unanswered_orders.UnansweredOrders()
        self._settled_orders: tuple[
            unanswered_orders.UnansweredOrder, ...
        ] = ()
        self._refused_at_seconds = -math.inf
        self._in_flight = False
        self._in_flight_from_earlier_turn = False
        self._busy = False
        self._foreign_order_at_seconds: float | None = None
        self._accepted_at_seconds = -math.inf
        self._constant_since_seconds: float | None = None
        self._begun = False
        self._confirmed_at_seconds = -math.inf
        self._checked_at_seconds = math.inf

    def begin(self) -> None:
        """Begin a turn by checking whether another instance sends orders."""
        self._begun = False
        self._count_known = False
        self._constant_since_seconds = None
        self._unanswered.begin_turn()
        self._in_flight_from_earlier_turn = self._in_flight

    def restart_if_before(self, at_seconds: float) -> None:
        """Begin a new turn if the count has been observed since before a time.

        :param at_seconds: when another instance could last send orders
        """
        constant_since_seconds = self._constant_since_seconds
        if (
            constant_since_seconds is not None
            and constant_since_seconds < at_seconds
        ):
            self.begin()

    @property
    def begun(self) -> bool:
        """Return whether the count has been constant for long enough.

        :return: whether the turn has begun; other conditions may still forbid
            an order
        """
        return self._begun

    @property
    def expected(self) -> int:
        """Return the order count that the next order expects.

        :return: the last known count; 0 before the first report
        """
        return 0 if self._counted is None else self._counted.orders

    @property
    def busy(self) -> bool:
        """Return whether the engine is executing an order.

        :return: whether it accepts no other order until that is done
        """
        return self._busy

    @property
    def count_known(self) -> bool:
        """Return whether the engine's order count is known.

        :return: whether it was reported after any refused or unanswered order
        """
        return self._count_known

    @property
    def born_milliseconds(self) -> int:
        """Return when the life of the engine began that the count is of.

        :return: Unix time; 0 before the first report
        """
        return 0 if self._counted is None else self._counted.born_milliseconds

    @property
    def unanswered_count(self) -> int:
        """Count the unanswered orders of this turn.

        :return: how many orders may have been accepted
        """
        return len(self._unanswered)

    @property
    def settled_orders(self) -> tuple[unanswered_orders.UnansweredOrder, ...]:
        """List the unanswered orders that the last report showed as accepted.

        :return: the orders to which the rise of the count was attributed
        """
        return self._settled_orders

    def awaits_other_lease(self, *, now_seconds: float) -> bool:
        """Return whether another instance's lease has to expire first.

        :param now_seconds: reading of a clock that counts suspension
        :return: whether it has to
        """
        foreign_order_at_seconds = self._foreign_order_at_seconds
        return (
            foreign_order_at_seconds is not None
            and now_seconds - foreign_order_at_seconds < self._wait_seconds
        )

    def orders_in_seconds(self, *, now_seconds: float) -> float:
        """Return for how long it is known that no order can be sent.

        :param now_seconds: reading of a clock that counts suspension
        :return: seconds; 0 when orders may be sent now or soon
        """
        allowed_at_seconds = self._first_order_at_seconds
        if self._foreign_order_at_seconds is not None:
            allowed_at_seconds = max(
                allowed_at_seconds,
                self._foreign_order_at_seconds + self._wait_seconds,
            )
        return max(0.0, allowed_at_seconds - now_seconds)

    def may_order(self, *, now_seconds: float) -> bool:
        """Return whether an order may be sent now.

        :param now_seconds: reading of a clock that counts suspension
        :return: whether the count is known, the engine is executing no order
            and no other instance sends orders
        """
        if now_seconds - self._checked_at_seconds > PAUSE_GAP_SECONDS:
            self.begin()
        self._checked_at_seconds = now_seconds
        free = self._begun and self._count_known
        occupied = (
            self._in_flight
            or self._busy
            or self._unanswered.may_arrive(now_seconds=now_seconds)
        )
        return (
            free
            and not occupied
            and not self.awaits_other_lease(now_seconds=now_seconds)
        )

    def is_confirmed(self, *, now_seconds: float) -> bool:
        """Return whether the engine's order count was confirmed recently.

        :param now_seconds: reading of a clock that counts suspension
        :return: whether an order may rely on it; otherwise a new report is
            needed
        """
        return (
            self.count_age_seconds(now_seconds=now_seconds)
            <= MAX_COUNT_AGE_SECONDS
        )

    def count_age_seconds(self, *, now_seconds: float) -> float:
        """Return how long ago the engine's order count was confirmed.

        :param now_seconds: reading of a clock that counts suspension
        :return: seconds since a report or an accepted order; infinite before
            the first
        """
        return now_seconds - self._confirmed_at_seconds

    def fence(self) -> int:
        """Compute the fencing token of the next order.

        :return: a token that rises with the engine's order count
        """
        return fencing_numbers.fence(self._counted, issuer=self._issuer)

    def record_sent(self) -> None:
        """Record that an order is being sent; there is one at a time."""
        self._in_flight = True
        self._in_flight_from_earlier_turn = False

    def record_accepted(
        self,
        *,
        busy: bool = False,
        age_seconds: float = 0.0,
        now_seconds: float,
    ) -> None:
        """Record that the engine accepted the order.

        :param busy: whether the engine accepts no other order until it is done
        :param age_seconds: how long ago the order was decided on
        :param now_seconds: reading of a clock that counts suspension
        """
        self._in_flight = False
        self._busy = busy
        self._accepted_at_seconds = now_seconds
        self._confirm(now_seconds - age_seconds)
        if self._counted is not None:
            self._counted = self._counted._replace(
                orders=self._counted.orders + 1
            )

    def record_unanswered(
        self,
        *,
        order: str = "",
        age_seconds: float = 0.0,
        now_seconds: float,
    ) -> None:
        """Record that the order had no answer, so that a new report is needed.

        :param order: description of the order, for the log
        :param age_seconds: how long ago it was sent
        :param now_seconds: reading of a clock that counts suspension
        """
        self._in_flight = False
        self._count_known = False
        self._unanswered.add(
            unanswered_orders.UnansweredOrder(
                order, now_seconds - age_seconds
            ),
            of_this_turn=not self._in_flight_from_earlier_turn,
            now_seconds=now_seconds,
        )

    def record_unsent(self) -> None:
        """Record that the order was not sent."""
        self._in_flight = False
        self._count_known = False

    def record_refused(self, *, now_seconds: float) -> None:
        """Record that the engine refused the order for its expected count.

        An order of another instance may have come first. The count is known
        again, or that there was none, once a report is recent enough to
        include that order.

        :param now_seconds: reading of a clock that counts suspension
        """
        self._in_flight = False
        self._count_known = False
        self._refused_at_seconds = now_seconds

    def record_report(
        self,
        counted: fencing_numbers.OrderCount,
        *,
        busy: bool = False,
        age_seconds: float = 0.0,
        now_seconds: float,
    ) -> bool:
        """Take over the order count that the engine reports.

        :param counted: the reported count, possibly slightly outdated
        :param busy: whether the engine reports that it is executing an order
        :param age_seconds: how long ago the report was requested; later orders
            need not be included
        :param now_seconds: reading of a clock that counts suspension
        :return: whether the report shows orders of another instance
        """
        self._settled_orders = ()
        if self._in_flight:
            # The answer to the order in flight will tell the count.
            return False
        before = self._counted
        asked_at_seconds = now_seconds - age_seconds
        self._count_known = (
            asked_at_seconds - self._refused_at_seconds
            >= MAX_REPORT_AGE_SECONDS
        )
        # The report may be older than this instance's last order.
        includes_last_order = (
            asked_at_seconds - self._accepted_at_seconds
            >= MAX_REPORT_AGE_SECONDS
        )
        if includes_last_order or not self._is_behind(counted):
            self._confirm(asked_at_seconds)
        self._busy = busy or (self._busy and not includes_last_order)
        self._observe_count(before, counted, asked_at_seconds, now_seconds)
        if (
            before is None
            or before.born_milliseconds != counted.born_milliseconds
        ):
            self._counted = counted
            self._unanswered.clear()
            return False
        self._unanswered.expire(now_seconds=now_seconds)
        rise = counted.orders - before.orders
        if rise <= 0 and not includes_last_order:
            return False
        self._counted = counted
        foreign = rise > len(self._unanswered)
        settled = self._unanswered.settle(max(0, rise))
        if foreign:
            self._foreign_order_at_seconds = now_seconds
        else:
            self._settled_orders = settled
        return foreign

    def _is_behind(self, counted: fencing_numbers.OrderCount) -> bool:
        # The report predates the last order, or the engine has restarted.
        return counted.orders < self.expected

    def _confirm(self, at_seconds: float) -> None:
        self._confirmed_at_seconds = max(
            self._confirmed_at_seconds, at_seconds
        )

    def _observe_count(
        self,
        before: fencing_numbers.OrderCount | None,
        counted: fencing_numbers.OrderCount,
        asked_at_seconds: float,
        now_seconds: float,
    ) -> None:
        if self._begun:
            return
        if self._constant_since_seconds is None or before != counted:
            self._constant_since_seconds = now_seconds
        quiet_seconds = asked_at_seconds - self._constant_since_seconds
        self._begun = (
            quiet_seconds >= QUIET_SECONDS
            and now_seconds >= self._first_order_at_seconds
        )


__all__ = [
    "OrderTurns",
]

"""When an instance may give an engine orders.

Orders of two instances must not alternate within the lease of a giver of
orders, and no instance can write down who gives them. The engine itself
decides instead: it counts the orders that it accepted, and refuses one that
expects another count. Whoever learns that the count has moved without it
stays away until it has stood still for a whole lease. Where two instances both
give orders, the first one's makes the other's fail, and the loser stays away.

That holds only for orders that the engine counts. What is done or under way
already it answers without a look at the count, and doesn't count it: nobody
can see who gave that order. So an order must be one that changes something, as
far as its giver can know: none is given while the engine carries one out, on
an old belief, or while a lost one may still arrive. Two that order at the same
time may still give the same order; which of them may order at all is therefore
put to the vote, see :mod:`boragefold.coordination.fleet.order_leases`.
"""

from __future__ import annotations

import math

from boragefold.coordination.fleet import doubted_orders
from boragefold.coordination.fleet import fencing_numbers

# A turn begins only after the count has stood still for so long: in this time
# claims reach every instance that hears the others, and reports show what
# another giver did.
QUIET_SECONDS = 0.5
# Several that saw the same order wait for the same lease; in slots by their
# numbers they don't begin together. A slot is longer than a report's lag.
SLOT_SECONDS = 0.4
SLOTS = 3
# A process that has just started doesn't know whether its predecessor gave
# orders a moment ago; it waits for so much more than a lease.
START_SLACK_SECONDS = 0.2
# What the count was is known for so long. With the time to send an order and
# the reports' lag, an order relies on nothing older than the quiet time.
CONFIRMED_SECONDS = 0.25
# An order is written within so long of its decision, or not at all.
ORDER_FRESH_SECONDS = 0.1
# Owners look ten times a second: whoever looked this long ago was paused, and
# another instance may have begun a turn.
PAUSED_SECONDS = 1.0
# What a report says may be this old already when it is asked for.
REPORT_AGE_SECONDS = 0.4
# It is this old as a rule.
REPORT_LAG_SECONDS = 0.15


class OrderTurns:
    """One instance's turns at one engine."""

    def __init__(
        self,
        *,
        lease_seconds: float,
        giver: int,
        started_at_seconds: float = -math.inf,
    ) -> None:
        """Begin with nothing known of the engine's count.

        :param lease_seconds: how long the orders of two givers must be apart
        :param giver: this instance's own number, below two to GIVER_BITS
        :param started_at_seconds: when this process started, on the clock
            that all methods are given readings of
        """
        self._wait_seconds = lease_seconds + SLOT_SECONDS * (giver % SLOTS)
        self._earliest_seconds = (
            started_at_seconds + lease_seconds + START_SLACK_SECONDS
        )
        self._giver = giver
        self._counted: fencing_numbers.Counted | None = None
        self._certain = False
        self._doubted = doubted_orders.DoubtedOrders()
        self._explained: tuple[doubted_orders.Doubt, ...] = ()
        self._refused_at_seconds = -math.inf
        self._pending = False
        self._pending_of_former_turn = False
        self._busy = False
        self._moved_at_seconds: float | None = None
        self._accepted_at_seconds = -math.inf
        self._quiet_since_seconds: float | None = None
        self._begun = False
        self._confirmed_at_seconds = -math.inf
        self._looked_at_seconds = math.inf

    def begin(self) -> None:
        """Begin a turn: look first whether somebody else gives orders."""
        self._begun = False
        self._certain = False
        self._quiet_since_seconds = None
        self._doubted.begin_turn()
        self._pending_of_former_turn = self._pending

    def listen_since(self, at_seconds: float) -> None:
        """Begin anew, unless the engine was listened to since then.

        :param at_seconds: when another instance could give orders last
        """
        listening = self._quiet_since_seconds
        if listening is not None and listening < at_seconds:
            self.begin()

    @property
    def begun(self) -> bool:
        """Tell whether the engine was quiet for long enough to begin.

        :return: whether orders may be given, as far as that goes
        """
        return self._begun

    @property
    def expected(self) -> int:
        """Tell which count the next order expects.

        :return: the count, as far as it is known
        """
        return 0 if self._counted is None else self._counted.orders

    @property
    def busy(self) -> bool:
        """Tell whether the engine carries an order out.

        :return: whether it takes no other until then
        """
        return self._busy

    @property
    def certain(self) -> bool:
        """Tell whether the engine's count is known.

        :return: whether it was reported and nothing is in doubt since
        """
        return self._certain

    @property
    def in_doubt_count(self) -> int:
        """Count the orders of this turn that may have been accepted.

        :return: how many orders
        """
        return len(self._doubted)

    @property
    def explained(self) -> tuple[doubted_orders.Doubt, ...]:
        """List what the last report's rise of the count was put down to.

        :return: orders that were in doubt
        """
        return self._explained

    def waits(self, *, now_seconds: float) -> bool:
        """Tell whether another giver's lease has to pass first.

        :param now_seconds: reading of a clock that counts suspension
        :return: whether it does
        """
        moved_at_seconds = self._moved_at_seconds
        return (
            moved_at_seconds is not None
            and now_seconds - moved_at_seconds < self._wait_seconds
        )

    def orders_in_seconds(self, *, now_seconds: float) -> float:
        """Tell how long no order can be given, as far as that is known.

        :param now_seconds: reading of a clock that counts suspension
        :return: seconds, 0 when orders may be given or soon will be
        """
        free_at_seconds = self._earliest_seconds
        if self._moved_at_seconds is not None:
            free_at_seconds = max(
                free_at_seconds, self._moved_at_seconds + self._wait_seconds
            )
        return max(0.0, free_at_seconds - now_seconds)

    def may_order(self, *, now_seconds: float) -> bool:
        """Tell whether an order may be given now.

        :param now_seconds: reading of a clock that counts suspension
        :return: whether the count is known, the engine carries no order out
            and nobody else gives orders
        """
        if now_seconds - self._looked_at_seconds > PAUSED_SECONDS:
            self.begin()
        self._looked_at_seconds = now_seconds
        free = self._begun and self._certain
        occupied = (
            self._pending
            or self._busy
            or self._doubted.may_arrive(now_seconds=now_seconds)
        )
        return (
            free and not occupied and not self.waits(now_seconds=now_seconds)
        )

    def confirmed(self, *, now_seconds: float) -> bool:
        """Tell whether the engine's count was seen or made just now.

        :param now_seconds: reading of a clock that counts suspension
        :return: whether an order may rely on it; else a report is needed
        """
        return (
            self.count_age_seconds(now_seconds=now_seconds)
            <= CONFIRMED_SECONDS
        )

    def count_age_seconds(self, *, now_seconds: float) -> float:
        """Tell how long ago the engine's count was seen or made.

        :param now_seconds: reading of a clock that counts suspension
        :return: seconds; infinite before the first report
        """
        return now_seconds - self._confirmed_at_seconds

    def fence(self) -> int:
        """Make the fencing number of the next order.

        :return: a number that rises with the engine's count
        """
        return fencing_numbers.fence(self._counted, giver=self._giver)

    def sending(self) -> None:
        """Note that an order is on its way; there is one at a time."""
        self._pending = True
        self._pending_of_former_turn = False

    def accepted(
        self,
        *,
        busy: bool = False,
        age_seconds: float = 0.0,
        now_seconds: float,
    ) -> None:
        """Note that the engine accepted the order.

        :param busy: whether the engine takes no other until it is done
        :param age_seconds: how long ago the order was decided
        :param now_seconds: reading of a clock that counts suspension
        """
        self._pending = False
        self._busy = busy
        self._accepted_at_seconds = now_seconds
        self._confirm(now_seconds - age_seconds)
        if self._counted is not None:
            self._counted = self._counted._replace(
                orders=self._counted.orders + 1
            )

    def in_doubt(
        self,
        *,
        order: str = "",
        age_seconds: float = 0.0,
        now_seconds: float,
    ) -> None:
        """Note that the order had no answer: the count must be read anew.

        :param order: what it was, for the log
        :param age_seconds: how long ago it was sent
        :param now_seconds: reading of a clock that counts suspension
        """
        self._pending = False
        self._certain = False
        self._doubted.add(
            doubted_orders.Doubt(order, now_seconds - age_seconds),
            of_this_turn=not self._pending_of_former_turn,
            now_seconds=now_seconds,
        )

    def unsent(self) -> None:
        """Note that the order didn't go out."""
        self._pending = False
        self._certain = False

    def refused(self, *, now_seconds: float) -> None:
        """Note that the engine refused: its count isn't what we expected.

        Another giver's order may have come before ours. Only a report that
        must know of it tells the count again, or that there was none.

        :param now_seconds: reading of a clock that counts suspension
        """
        self._pending = False
        self._certain = False
        self._refused_at_seconds = now_seconds

    def reported(
        self,
        counted: fencing_numbers.Counted,
        *,
        busy: bool = False,
        age_seconds: float = 0.0,
        now_seconds: float,
    ) -> bool:
        """Take over the count that the engine reports.

        :param counted: what it reports, perhaps a moment old
        :param busy: whether it says that it carries an order out
        :param age_seconds: how long ago the report was asked for; it tells
            nothing of what came after that
        :param now_seconds: reading of a clock that counts suspension
        :return: whether somebody else was found to give orders
        """
        self._explained = ()
        if self._pending:
            # The order on its way decides what the count is next.
            return False
        before = self._counted
        asked_at_seconds = now_seconds - age_seconds
        self._certain = (
            asked_at_seconds - self._refused_at_seconds >= REPORT_AGE_SECONDS
        )
        # The report may be older than our last order.
        knows_last = (
            asked_at_seconds - self._accepted_at_seconds >= REPORT_AGE_SECONDS
        )
        if knows_last or not self._is_behind(counted):
            self._confirm(asked_at_seconds)
        self._busy = busy or (self._busy and not knows_last)
        self._listen(before, counted, asked_at_seconds, now_seconds)
        if (
            before is None
            or before.born_milliseconds != counted.born_milliseconds
        ):
            self._counted = counted
            self._doubted.forget()
            return False
        self._doubted.forget_late(now_seconds=now_seconds)
        ahead = counted.orders - before.orders
        if ahead <= 0 and not knows_last:
            return False
        self._counted = counted
        foreign = ahead > len(self._doubted)
        settled = self._doubted.settle(max(0, ahead))
        if foreign:
            self._moved_at_seconds = now_seconds
        else:
            self._explained = settled
        return foreign

    def _is_behind(self, counted: fencing_numbers.Counted) -> bool:
        # It is older than our last order, or the engine has started again.
        return counted.orders < self.expected

    def _confirm(self, at_seconds: float) -> None:
        self._confirmed_at_seconds = max(
            self._confirmed_at_seconds, at_seconds
        )

    def _listen(
        self,
        before: fencing_numbers.Counted | None,
        counted: fencing_numbers.Counted,
        asked_at_seconds: float,
        now_seconds: float,
    ) -> None:
        if self._begun:
            return
        if self._quiet_since_seconds is None or before != counted:
            self._quiet_since_seconds = now_seconds
        quiet_seconds = asked_at_seconds - self._quiet_since_seconds
        self._begun = (
            quiet_seconds >= QUIET_SECONDS
            and now_seconds >= self._earliest_seconds
        )


__all__ = [
    "OrderTurns",
]

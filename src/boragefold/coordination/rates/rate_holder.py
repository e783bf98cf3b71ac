"""Granting, lending and borrowing by the holder of one workspace's rate."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from boragefold.coordination.rates import holder_context
from boragefold.coordination.rates import ledger as ledgers
from boragefold.coordination.rates import lenders as lending
from boragefold.coordination.rates import limits
from boragefold.coordination.rates import relent_grants
from boragefold.coordination.rates import request_queue as request_queues
from boragefold.protocol import ids
from boragefold.protocol import rate_messages

# Prevents one instance from emptying the bucket with tokens fetched ahead.
AHEAD_FRACTION = 0.25

MIN_WAIT_SECONDS = 0.01


class RateHolder:
    """Owns the bucket of a rate while this instance holds that rate."""

    def __init__(
        self,
        *,
        ledger: ledgers.Ledger,
        lenders: lending.Lenders,
        context: holder_context.HolderContext,
        now_seconds: Callable[[], float],
    ) -> None:
        """Start to hold the rate.

        :param ledger: bucket of this data centre's part
        :param lenders: loans from other data centres
        :param context: functions of the instance
        :param now_seconds: clock
        """
        self.workspace = context.workspace
        self.ledger = ledger
        self.lenders = lenders
        self._context = context
        self._now_seconds = now_seconds
        self._queue = request_queues.RequestQueue()
        self._latest_numbers: dict[ids.InstanceId, int] = {}
        self._relent_grants = relent_grants.RelentGrants(lenders=lenders)

    def receive_request(
        self, asker: ids.InstanceId, request: rate_messages.TokensAsked
    ) -> None:
        """Process the reports, then grant, lend, queue or refuse tokens.

        :param asker: instance of this data centre, or holder in another one
        :param request: its message
        """
        now_seconds = self._now_seconds()
        self.receive_reports(asker, request.usages)
        if request.number <= self._latest_numbers.get(asker, -1):
            # The asker ignores a second response, and the tokens in it would
            # be lost.
            return
        self._latest_numbers[asker] = request.number
        if asker.data_centre != self._context.data_centre:
            self._lend(asker, request)
            return
        queued = request_queues.QueuedRequest(
            asker=asker,
            number=request.number,
            needed_tokens=request.needed_tokens,
            ahead_tokens=request.ahead_tokens,
            received_at_seconds=now_seconds,
        )
        self._queue.put(queued)
        self.serve()

    def serve(self) -> float | None:
        """Serve waiting requests in order of arrival.

        :return: seconds until the next attempt, or None if no request waits
        """
        now_seconds = self._now_seconds()
        self.ledger.advance(now_seconds)
        while self._queue:
            first = self._queue.first()
            if not self._can_grant(first.needed_tokens):
                break
            self._queue.remove(first)
            self._grant(first)
        if not self._queue:
            return None
        self._borrow()
        ready_seconds = self._answer_waiting()
        if ready_seconds is None:
            return None
        ask_seconds = self.lenders.next_ask_seconds() - now_seconds
        return max(MIN_WAIT_SECONDS, min(ready_seconds, ask_seconds))

    def receive_loan(
        self, lender: ids.InstanceId, given: rate_messages.TokensGiven
    ) -> None:
        """Process a loan or its refusal.

        :param lender: holder in another data centre
        :param given: its response
        """
        self.lenders.receive(lender.data_centre, given)

    def receive_reports(
        self, asker: ids.InstanceId, usages: Iterable[rate_messages.Usage]
    ) -> None:
        """Process reports on granted or lent tokens.

        :param asker: instance that received the tokens
        :param usages: its reports
        """
        self.ledger.advance(self._now_seconds())
        for usage in usages:
            self._report(asker, usage)

    def tick(self) -> None:
        """Drop entries that are too old for their tokens to be returned."""
        self.ledger.advance(self._now_seconds())
        self.ledger.finish_old(self._now_seconds())
        self.lenders.tick()
        self._relent_grants.expire(self._now_seconds())

    def _can_grant(self, tokens: float) -> bool:
        if self.ledger.level_tokens < tokens:
            self.ledger.replay()
        have_tokens = (
            self.ledger.level_tokens + self.lenders.available_tokens()
        )
        return have_tokens + limits.EPSILON_TOKENS >= tokens

    def _grant(self, queued: request_queues.QueuedRequest) -> None:
        # Loans expire, so they are spent before the own bucket's tokens.
        level_tokens = self.ledger.level_tokens
        have_tokens = level_tokens + self.lenders.available_tokens()
        spare_tokens = max(0.0, have_tokens - queued.needed_tokens)
        wanted_tokens = queued.needed_tokens + min(
            queued.ahead_tokens, spare_tokens * AHEAD_FRACTION
        )
        loans = self.lenders.charge(wanted_tokens)
        borrowed_tokens = sum(loan.tokens for loan in loans)
        own_tokens = max(0.0, wanted_tokens - borrowed_tokens)
        own_tokens = min(own_tokens, level_tokens)
        life_seconds = self.lenders.remaining_seconds(loans)
        self._relent_grants.add(
            queued.asker,
            queued.number,
            loans=loans,
            now_seconds=self._now_seconds(),
        )
        self._debit_and_answer(
            queued.asker,
            queued.number,
            own_tokens=own_tokens,
            tokens=own_tokens + borrowed_tokens,
            life_seconds=life_seconds,
        )

    def _lend(
        self, asker: ids.InstanceId, request: rate_messages.TokensAsked
    ) -> None:
        # Requests of the own data centre take precedence over loans.
        self.ledger.replay()
        spare_tokens = max(
            0.0, self.ledger.level_tokens - self._queue.needed_tokens
        )
        wanted_tokens = request.needed_tokens + request.ahead_tokens
        tokens = min(wanted_tokens, spare_tokens)
        self._debit_and_answer(
            asker,
            request.number,
            own_tokens=tokens,
            tokens=tokens,
            life_seconds=limits.GRANT_VALID_SECONDS,
        )

    def _debit_and_answer(
        self,
        asker: ids.InstanceId,
        number: int,
        *,
        own_tokens: float,
        tokens: float,
        life_seconds: float,
    ) -> None:
        # Another instance may hold the rate after a pause of this process, so
        # the check comes right before the debit.
        if not self._context.holds():
            return
        if tokens <= limits.EPSILON_TOKENS:
            self._answer(asker, number)
            return
        self.ledger.debit(
            asker=asker,
            number=number,
            tokens=own_tokens,
            now_seconds=self._now_seconds(),
        )
        self._answer(asker, number, tokens=tokens, life_seconds=life_seconds)

    def _answer(
        self,
        asker: ids.InstanceId,
        number: int,
        *,
        tokens: float = 0.0,
        life_seconds: float = 0.0,
        ready_in_seconds: float = 0.0,
        queued: bool = False,
    ) -> None:
        self._context.send(
            asker,
            rate_messages.TokensGiven(
                self._context.workspace,
                number,
                tokens,
                life_seconds,
                ready_in_seconds,
                queued,
            ),
        )

    def _report(
        self, asker: ids.InstanceId, report: rate_messages.Usage
    ) -> None:
        charged_tokens = self._relent_grants.report(asker, report)
        self.ledger.report(
            asker=asker,
            number=report.number,
            charged_tokens=charged_tokens,
            final=report.final,
            now_seconds=self._now_seconds(),
        )

    def _borrow(self) -> None:
        have_tokens = (
            self.ledger.level_tokens + self.lenders.available_tokens()
        )
        # Borrows ahead of need instead of once for each request.
        self.lenders.request_tokens(
            self._context.lender_parts(),
            short_tokens=self._queue.needed_tokens - have_tokens,
            ahead_tokens=self._queue.ahead_tokens,
        )

    def _answer_waiting(self) -> float | None:
        """Refuse requests with too long a wait and announce it to the others.

        :return: seconds until the first remaining request can be served
        """
        now_seconds = self._now_seconds()
        in_flight = self.lenders.in_flight()
        before_tokens = 0.0
        next_seconds: float | None = None
        for queued in self._queue:
            before_tokens += queued.needed_tokens
            ready_seconds = self._ready_in_seconds(before_tokens)
            waited_seconds = now_seconds - queued.received_at_seconds
            expected = limits.IN_FLIGHT_SECONDS if in_flight else ready_seconds
            if waited_seconds + expected > limits.MAX_QUEUE_SECONDS:
                self._queue.remove(queued)
                before_tokens -= queued.needed_tokens
                self._answer(
                    queued.asker,
                    queued.number,
                    ready_in_seconds=ready_seconds,
                )
                continue
            if next_seconds is None:
                next_seconds = ready_seconds
            if (
                not queued.wait_announced
                and expected > limits.RETRY_SECONDS / 2
            ):
                queued.wait_announced = True
                self._answer(
                    queued.asker,
                    queued.number,
                    ready_in_seconds=expected,
                    queued=True,
                )
        return next_seconds

    def _ready_in_seconds(self, tokens: float) -> float:
        rate = self.ledger.limit.rate_tokens_per_second
        rate += self.lenders.responsive_rate(self._context.lender_parts())
        if rate <= 0:
            return limits.SETTLE_TIMEOUT_SECONDS
        short = (
            tokens - self.ledger.level_tokens - self.lenders.available_tokens()
        )
        wait_seconds = self.ledger.starts_in_seconds(self._now_seconds())
        return wait_seconds + max(0.001, short / rate)


__all__ = [
    "RateHolder",
]

"""Tokens of one workspace received as grants or loans from one holder."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import itertools

from boragefold.coordination.rates import grants
from boragefold.coordination.rates import limits
from boragefold.coordination.rates import outbox as outboxes
from boragefold.protocol import rate_messages


class GrantPool:
    """Grants of one workspace from one holder.

    A grant expires by the receiver's clock, counted from the moment the
    request was sent. It therefore expires here before it expires at the
    holder, however late the response arrives.
    """

    def __init__(
        self,
        *,
        workspace: str,
        now_seconds: Callable[[], float],
        send: Callable[[rate_messages.TokensAsked], None],
        numbers: itertools.count[int],
    ) -> None:
        """Create an empty pool.

        :param workspace: workspace of the tokens
        :param now_seconds: clock
        :param send: sends a request to the current holder
        :param numbers: source of unique request numbers
        """
        self._workspace = workspace
        self._now_seconds = now_seconds
        self._send = send
        self._numbers = numbers
        self._grants: dict[int, grants.Grant] = {}
        self._outbox = outboxes.Outbox()
        self._asked_at_seconds: float | None = None
        self._asked_number = -1
        self.unanswered = 0
        self.ready_at_seconds = 0.0
        self.last_granted_tokens = 0.0
        self.granted_at_seconds: float | None = None

    @property
    def in_flight(self) -> bool:
        """Return whether a request awaits its response.

        :return: whether a request is pending and not overdue
        """
        return (
            self._asked_at_seconds is not None
            and self._now_seconds()
            < self._asked_at_seconds + limits.RETRY_SECONDS
        )

    @property
    def overdue(self) -> bool:
        """Return whether the response to a request is overdue.

        :return: whether the request should be sent again
        """
        return self._asked_at_seconds is not None and not self.in_flight

    @property
    def idle(self) -> bool:
        """Return whether nothing is left to spend, settle or report.

        :return: whether the pool can be removed
        """
        return not (self._grants or self._outbox)

    def available_tokens(self, *, min_valid_seconds: float = 0.0) -> float:
        """Count the tokens that can be charged now.

        :param min_valid_seconds: minimum remaining validity of the grants
        :return: tokens
        """
        needed_seconds = self._now_seconds() + min_valid_seconds
        return sum(
            grant.available_tokens
            for grant in self._grants.values()
            if grant.ends_at_seconds > needed_seconds
        )

    def remaining_seconds(self, charge: grants.Charge) -> float:
        """Return how long the grants of a charge remain valid.

        :param charge: result of :meth:`charge`
        :return: seconds until the first of them expires
        """
        ends = [
            self._grants[number].ends_at_seconds for number in charge.parts
        ]
        left_seconds = min(ends, default=0.0) - self._now_seconds()
        return max(0.0, left_seconds)

    def charge(
        self,
        tokens: float,
        *,
        min_valid_seconds: float = 0.0,
        regranted: bool = False,
    ) -> grants.Charge:
        """Charge tokens, starting with the grants that expire first.

        :param tokens: at most :meth:`available_tokens`
        :param min_valid_seconds: minimum remaining validity of the grants
        :param regranted: whether the tokens are granted on to another
            instance; see :meth:`finalize`
        :return: the charged grants
        """
        needed_seconds = self._now_seconds() + min_valid_seconds
        usable = sorted(
            (grant.ends_at_seconds, number)
            for number, grant in self._grants.items()
            if grant.ends_at_seconds > needed_seconds
            and grant.available_tokens
        )
        charge = grants.Charge(parts={}, regranted=regranted)
        for _end, number in usable:
            part = min(tokens, self._grants[number].available_tokens)
            if part <= 0:
                break
            tokens -= part
            self._charge(charge, number, part)
        return charge

    def finalize(self, charge: grants.Charge, *, kept_tokens: float) -> None:
        """Record that the receiver of a regranted charge uses no more of it.

        :param charge: result of :meth:`charge`
        :param kept_tokens: charged tokens; settling may lower them
        """
        if charge.settled:
            return
        was_regranted, charge.regranted = charge.regranted, False
        for number, tokens in charge.parts.items():
            kept = min(tokens, kept_tokens)
            kept_tokens -= kept
            charge.parts[number] = kept
            self._return_tokens(number, tokens - kept, regranted=was_regranted)

    def settle(self, charge: grants.Charge, *, used_tokens: float) -> None:
        """Return the unused tokens of a charge; a repeated call is ignored.

        :param charge: result of :meth:`charge`
        :param used_tokens: tokens that were used
        """
        if charge.settled:
            return
        charge.settled = True
        for number, tokens in charge.parts.items():
            used = min(tokens, used_tokens)
            used_tokens -= used
            self._return_tokens(
                number, tokens - used, regranted=charge.regranted, final=True
            )

    def request_tokens(
        self, *, needed_tokens: float, ahead_tokens: float
    ) -> None:
        """Send a request to the holder.

        :param needed_tokens: tokens that are granted in full or not at all
        :param ahead_tokens: additional tokens, granted if there are enough
        """
        now_seconds = self._now_seconds()
        if self._asked_at_seconds is not None:
            self.unanswered += 1
        number = next(self._numbers)
        self._grants[number] = grants.Grant(
            sent_at_seconds=now_seconds,
            ends_at_seconds=now_seconds + limits.GRANT_VALID_SECONDS,
        )
        self._asked_at_seconds = now_seconds
        self._asked_number = number
        self._send_request(number, needed_tokens, ahead_tokens)

    def cancel_request(self) -> None:
        """Stop waiting for a response because the holder has changed."""
        self._asked_at_seconds = None
        self.unanswered = 0
        self.ready_at_seconds = 0.0

    def receive(self, given: rate_messages.TokensGiven) -> bool:
        """Process a response; duplicate and late ones grant nothing.

        :param given: the response
        :return: whether more tokens are available now
        """
        now_seconds = self._now_seconds()
        for number in self._outbox.acknowledge_request(given.number):
            self._drop(number)
        self.unanswered = 0
        if given.number == self._asked_number:
            self.ready_at_seconds = now_seconds + given.ready_in_seconds
            self._asked_at_seconds = now_seconds if given.queued else None
        grant = self._grants.get(given.number)
        if grant is None or grant.answered or given.queued or grant.closed:
            return False
        grant.answered = True
        self.last_granted_tokens = given.tokens
        self.granted_at_seconds = now_seconds
        grant.ends_at_seconds = grant.sent_at_seconds + given.life_seconds
        if given.tokens <= 0:
            del self._grants[given.number]
            return False
        if now_seconds >= grant.ends_at_seconds:
            return False
        grant.available_tokens = given.tokens
        return True

    def tick(self) -> None:
        """Close expired grants and drop those that are too old to settle."""
        now_seconds = self._now_seconds()
        for number, grant in list(self._grants.items()):
            if not grant.expired and now_seconds >= grant.ends_at_seconds:
                grant.expired = True
                self._close(number, grant)
            elif (
                now_seconds
                > grant.sent_at_seconds + limits.SETTLE_TIMEOUT_SECONDS
            ):
                self._drop(number)

    def due_reports(
        self, *, after_seconds: float
    ) -> tuple[rate_messages.Usage, ...]:
        """Return the reports that no request has carried in time.

        :param after_seconds: how long a report waits for a request
        :return: reports to send; they are repeated until acknowledged
        """
        return self._outbox.due(
            after_seconds=after_seconds, now_seconds=self._now_seconds()
        )

    def acknowledge(self, usages: Iterable[rate_messages.Usage]) -> None:
        """Stop repeating acknowledged reports.

        :param usages: the reports as they were sent
        """
        for number in self._outbox.acknowledge(usages):
            self._drop(number)

    def _charge(
        self, charge: grants.Charge, number: int, tokens: float
    ) -> None:
        grant = self._grants[number]
        grant.available_tokens -= tokens
        grant.charged_tokens += tokens
        grant.unsettled_charges += 1
        grant.regranted_charges += charge.regranted
        charge.parts[number] = tokens
        if grant.available_tokens <= limits.EPSILON_TOKENS:
            self._close(number, grant)

    def _return_tokens(
        self,
        number: int,
        tokens: float,
        *,
        regranted: bool,
        final: bool = False,
    ) -> None:
        grant = self._grants.get(number)
        if grant is None:
            return
        grant.charged_tokens -= tokens
        grant.unsettled_charges -= final
        grant.regranted_charges -= regranted
        if grant.closed:
            self._report(number, grant)
        else:
            grant.available_tokens += tokens

    def _close(self, number: int, grant: grants.Grant) -> None:
        # A closed grant ignores a late response, so its remaining tokens
        # can't be spent after they were reported as unused.
        grant.closed = True
        grant.available_tokens = 0.0
        self._report(number, grant)

    def _report(self, number: int, grant: grants.Grant) -> None:
        if grant.regranted_charges and not grant.expired:
            return
        usage = rate_messages.Usage(
            number, grant.charged_tokens, grant.unsettled_charges == 0
        )
        self._outbox.put(usage, now_seconds=self._now_seconds())

    def _send_request(self, number: int, needed: float, ahead: float) -> None:
        usages = self._outbox.attach(number, now_seconds=self._now_seconds())
        self._send(
            rate_messages.TokensAsked(
                self._workspace, number, needed, ahead, usages
            )
        )

    def _drop(self, number: int) -> None:
        self._grants.pop(number, None)
        self._outbox.drop(number)


__all__ = [
    "GrantPool",
]

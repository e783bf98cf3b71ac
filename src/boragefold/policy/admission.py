"""Rate admission: decides whether a request is admitted, queued or refused.

Load pattern: a workspace sends in bursts, and at times several times its
rate. Without this, requests over the rate delay those of all other workspaces
in the queue, or are refused although the tokens they need become available
within milliseconds.
"""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

from boragefold.policy import rate_line
from boragefold.policy import refusal
from boragefold.policy import stock as stocks
from boragefold.policy import work as works
from boragefold.telemetry import counters as telemetry

# Long enough for another data centre to grant tokens.
MAX_WAIT_SECONDS = 1.0
# The rest of the caller's timeout is left for queueing and the endpoint.
PATIENCE_SHARE = 0.25
# A caller that retries sooner would be refused again.
MIN_RETRY_AFTER_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admitted:
    """The tokens are reserved; the reservation must be settled at the end."""

    reservation: stocks.Reservation
    tag: str = "admitted"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Waiting:
    """The request waits for tokens, until ``until_seconds`` at the latest."""

    until_seconds: float
    tag: str = "waiting"


class Decided(NamedTuple):
    """The outcome of a request that waited for tokens."""

    work: works.Work
    outcome: Admitted | refusal.Refused


class Admission:
    """Reserves tokens in order of arrival within each workspace."""

    def __init__(
        self, *, stock: stocks.Stock, counters: telemetry.Counters
    ) -> None:
        self._stock = stock
        self._counters = counters
        self._lines: dict[str, rate_line.Line] = {}
        self._workspace_of: dict[str, str] = {}
        self._without_holder: set[str] = set()

    def offer(
        self, work: works.Work, *, now_seconds: float
    ) -> Admitted | Waiting | refusal.Refused:
        """Decide on a request that has just arrived.

        :param work: the request
        :param now_seconds: reading of the process clock
        :return: admitted with its reservation, waiting, or refused
        """
        line = self._lines.get(work.workspace)
        if line is not None:
            return self._join(line, work, now_seconds)
        got = self._reserve(work)
        if isinstance(got, stocks.Reservation):
            return Admitted(reservation=got)
        if got.ready_in_seconds is None:
            return self._too_large()
        if got.ready_in_seconds > _bound_seconds(work, now_seconds):
            return self._short(work.workspace, got.ready_in_seconds)
        line = rate_line.Line(
            now_seconds=now_seconds, ready_in_seconds=got.ready_in_seconds
        )
        self._lines[work.workspace] = line
        return self._append(line, work, now_seconds)

    def advance(
        self, *, now_seconds: float, workspace: str | None = None
    ) -> list[Decided]:
        """Decide on waiting requests; call it at :meth:`next_due_seconds`.

        Also call it with the workspace that the stock's callback names.

        :param now_seconds: reading of the process clock
        :param workspace: the only one whose tokens may have changed, or None
        :return: the requests that no longer wait
        """
        if workspace is not None:
            return self._drain(workspace, now_seconds)
        due = [
            name
            for name, line in self._lines.items()
            if line.due_seconds() <= now_seconds
        ]
        return [
            decided
            for name in due
            for decided in self._drain(name, now_seconds)
        ]

    def next_due_seconds(self) -> float | None:
        """Return the latest time for the next call of :meth:`advance`.

        :return: reading of the process clock, or None when no request waits
        """
        return min(
            (line.due_seconds() for line in self._lines.values()),
            default=None,
        )

    def withdraw(self, request_id: str) -> works.Work | None:
        """Remove a waiting request whose caller has disconnected.

        :param request_id: the request
        :return: the request, or None if it isn't waiting
        """
        workspace = self._workspace_of.get(request_id)
        if workspace is None:
            return None
        return self._remove(workspace, request_id).work

    def _join(
        self, line: rate_line.Line, work: works.Work, now_seconds: float
    ) -> Waiting | refusal.Refused:
        # Queue behind waiting requests even when the tokens suffice: small
        # requests would otherwise take the tokens that a large one waits for.
        tokens = works.tokens_of(work)
        wait_seconds = line.wait_seconds(tokens, now_seconds=now_seconds)
        if wait_seconds <= _bound_seconds(work, now_seconds):
            return self._append(line, work, now_seconds)
        if tokens > line.head().tokens and self._never_fits(work):
            return self._too_large()
        return self._short(work.workspace, wait_seconds)

    def _never_fits(self, work: works.Work) -> bool:
        got = self._reserve(work)
        if isinstance(got, stocks.Reservation):
            self._stock.settle(got, used_tokens=0)
            return False
        return got.ready_in_seconds is None

    def _drain(self, workspace: str, now_seconds: float) -> list[Decided]:
        decided = self._expire(workspace, now_seconds)
        while (line := self._lines.get(workspace)) is not None:
            outcome = self._ask_for_head(line, now_seconds)
            if outcome is None:
                break
            decided.append(outcome)
        return decided

    def _ask_for_head(
        self, line: rate_line.Line, now_seconds: float
    ) -> Decided | None:
        entry = line.head()
        got = self._reserve(entry.work)
        if isinstance(got, stocks.Reservation):
            line.drained(entry.tokens, now_seconds=now_seconds)
            self._remove(entry.work.workspace, entry.work.request_id)
            self._counters.add("requests_waited", "rate")
            return Decided(entry.work, Admitted(reservation=got))
        ready_in_seconds = got.ready_in_seconds
        if ready_in_seconds is None:
            self._remove(entry.work.workspace, entry.work.request_id)
            return Decided(entry.work, self._too_large())
        line.asked(now_seconds=now_seconds, ready_in_seconds=ready_in_seconds)
        if now_seconds + ready_in_seconds > entry.until_seconds:
            # The tokens can't be available before its time limit.
            return self._refuse(entry, ready_in_seconds)
        return None

    def _expire(self, workspace: str, now_seconds: float) -> list[Decided]:
        line = self._lines.get(workspace)
        if line is None:
            return []
        return [
            self._refuse(
                entry,
                line.wait_seconds(entry.tokens, now_seconds=now_seconds),
            )
            for entry in line.overdue(now_seconds=now_seconds)
        ]

    def _refuse(self, entry: rate_line.Entry, wait_seconds: float) -> Decided:
        self._remove(entry.work.workspace, entry.work.request_id)
        refused = self._short(entry.work.workspace, wait_seconds)
        return Decided(entry.work, refused)

    def _append(
        self, line: rate_line.Line, work: works.Work, now_seconds: float
    ) -> Waiting:
        until_seconds = now_seconds + _bound_seconds(work, now_seconds)
        line.append(
            rate_line.Entry(work, works.tokens_of(work), until_seconds)
        )
        self._workspace_of[work.request_id] = work.workspace
        return Waiting(until_seconds=until_seconds)

    def _remove(self, workspace: str, request_id: str) -> rate_line.Entry:
        line = self._lines[workspace]
        entry = line.remove(request_id)
        del self._workspace_of[request_id]
        if not line:
            del self._lines[workspace]
        return entry

    def _reserve(
        self, work: works.Work
    ) -> stocks.Reservation | stocks.Shortfall:
        got = self._stock.reserve(
            workspace=work.workspace, tokens=works.tokens_of(work)
        )
        if isinstance(got, stocks.Shortfall) and got.no_holder:
            self._without_holder.add(work.workspace)
        else:
            self._without_holder.discard(work.workspace)
        return got

    def _short(self, workspace: str, wait_seconds: float) -> refusal.Refused:
        if workspace in self._without_holder:
            return self._no_holder(wait_seconds)
        return self._over_rate(wait_seconds)

    def _no_holder(self, wait_seconds: float) -> refusal.Refused:
        # The workspace may be within its rate, so don't report rate_exceeded.
        self._counters.add("requests_refused", "no_rate_holder")
        return refusal.Refused(
            status=refusal.UNAVAILABLE,
            reason="no_rate_holder",
            remedy="repeat the request, at another data centre if you can",
            retry_after_seconds=max(wait_seconds, MIN_RETRY_AFTER_SECONDS),
        )

    def _over_rate(self, wait_seconds: float) -> refusal.Refused:
        self._counters.add("requests_refused", "rate_exceeded")
        return refusal.Refused(
            status=refusal.TOO_MANY,
            reason="rate_exceeded",
            remedy="come back later, or ask for a higher rate",
            retry_after_seconds=max(wait_seconds, MIN_RETRY_AFTER_SECONDS),
        )

    def _too_large(self) -> refusal.Refused:
        self._counters.add("requests_refused", "larger_than_burst")
        return refusal.Refused(
            status=refusal.TOO_LARGE,
            reason="larger_than_burst",
            remedy="lower max_tokens, shorten the prompt or raise the burst",
        )


def _bound_seconds(work: works.Work, now_seconds: float) -> float:
    patience_seconds = work.give_up_at_seconds - now_seconds
    return min(MAX_WAIT_SECONDS, PATIENCE_SHARE * patience_seconds)


__all__ = [
    "Admission",
    "Admitted",
    "Decided",
    "MAX_WAIT_SECONDS",
    "Waiting",
]

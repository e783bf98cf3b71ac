"""Rate admission: decides whether a request is admitted, queued or refused.

Load pattern: a workspace sends in bursts, and at times several times its
rate. Without this, requests over the rate delay those of all other workspaces
in the queue, or are refused although the tokens they need become available
within milliseconds.
"""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

from boragefold.policy import refusal
from boragefold.policy import token_balance
from boragefold.policy import token_queue
from boragefold.policy import work as works
from boragefold.telemetry import counters as telemetry

# Long enough for another data centre to grant tokens.
MAX_WAIT_SECONDS = 1.0
# The rest of the caller's timeout is left for queueing and the endpoint.
MAX_WAIT_SHARE = 0.25
# A caller that retries sooner would be refused again.
MIN_RETRY_AFTER_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admitted:
    """The tokens are reserved; the reservation must be settled at the end."""

    reservation: token_balance.Reservation
    tag: str = "admitted"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Waiting:
    """The request waits for tokens, until ``until_seconds`` at the latest."""

    until_seconds: float
    tag: str = "waiting"


class Decision(NamedTuple):
    """The outcome of a request that waited for tokens."""

    work: works.Work
    outcome: Admitted | refusal.Refused


class Admission:
    """Reserves tokens in order of arrival within each workspace."""

    def __init__(
        self,
        *,
        token_balance: token_balance.TokenBalance,
        counters: telemetry.Counters,
    ) -> None:
        self._token_balance = token_balance
        self._counters = counters
        self._queues: dict[str, token_queue.TokenQueue] = {}
        self._workspace_by_request: dict[str, str] = {}
        self._without_holder: set[str] = set()

    def offer(
        self, work: works.Work, *, now_seconds: float
    ) -> Admitted | Waiting | refusal.Refused:
        """Decide on a request that has just arrived.

        :param work: the request
        :param now_seconds: reading of the process clock
        :return: admitted with its reservation, waiting, or refused
        """
        queue = self._queues.get(work.workspace)
        if queue is not None:
            return self._offer_behind(queue, work, now_seconds)
        result = self._reserve(work)
        if isinstance(result, token_balance.Reservation):
            return Admitted(reservation=result)
        if result.ready_in_seconds is None:
            return self._too_large()
        if result.ready_in_seconds > _max_wait_seconds(work, now_seconds):
            return self._refuse_for_now(
                work.workspace, result.ready_in_seconds
            )
        queue = token_queue.TokenQueue(
            now_seconds=now_seconds, ready_in_seconds=result.ready_in_seconds
        )
        self._queues[work.workspace] = queue
        return self._enqueue(queue, work, now_seconds)

    def advance(
        self, *, now_seconds: float, workspace: str | None = None
    ) -> list[Decision]:
        """Decide on waiting requests; call it at :meth:`next_due_seconds`.

        Also call it with the workspace that the balance's callback names.

        :param now_seconds: reading of the process clock
        :param workspace: the only one whose tokens may have changed, or None
        :return: the requests that no longer wait
        """
        if workspace is not None:
            return self._admit_waiting(workspace, now_seconds)
        due = [
            name
            for name, queue in self._queues.items()
            if queue.next_due_seconds() <= now_seconds
        ]
        return [
            decided
            for name in due
            for decided in self._admit_waiting(name, now_seconds)
        ]

    def next_due_seconds(self) -> float | None:
        """Return the latest time for the next call of :meth:`advance`.

        :return: reading of the process clock, or None when no request waits
        """
        return min(
            (queue.next_due_seconds() for queue in self._queues.values()),
            default=None,
        )

    def withdraw(self, request_id: str) -> works.Work | None:
        """Remove a waiting request whose caller has disconnected.

        :param request_id: the request
        :return: the request, or None if it isn't waiting
        """
        workspace = self._workspace_by_request.get(request_id)
        if workspace is None:
            return None
        return self._remove(workspace, request_id).work

    def _offer_behind(
        self,
        queue: token_queue.TokenQueue,
        work: works.Work,
        now_seconds: float,
    ) -> Waiting | refusal.Refused:
        # Queue behind waiting requests even when the tokens suffice: small
        # requests would otherwise take the tokens that a large one waits for.
        tokens = works.charged_tokens(work)
        wait_seconds = queue.wait_seconds(tokens, now_seconds=now_seconds)
        if wait_seconds <= _max_wait_seconds(work, now_seconds):
            return self._enqueue(queue, work, now_seconds)
        if tokens > queue.head().tokens and self._never_fits(work):
            return self._too_large()
        return self._refuse_for_now(work.workspace, wait_seconds)

    def _never_fits(self, work: works.Work) -> bool:
        result = self._reserve(work)
        if isinstance(result, token_balance.Reservation):
            self._token_balance.settle(result, used_tokens=0)
            return False
        return result.ready_in_seconds is None

    def _admit_waiting(
        self, workspace: str, now_seconds: float
    ) -> list[Decision]:
        decided = self._refuse_overdue(workspace, now_seconds)
        while (queue := self._queues.get(workspace)) is not None:
            outcome = self._reserve_for_head(queue, now_seconds)
            if outcome is None:
                break
            decided.append(outcome)
        return decided

    def _reserve_for_head(
        self, queue: token_queue.TokenQueue, now_seconds: float
    ) -> Decision | None:
        entry = queue.head()
        result = self._reserve(entry.work)
        if isinstance(result, token_balance.Reservation):
            queue.record_admitted(entry.tokens, now_seconds=now_seconds)
            self._remove(entry.work.workspace, entry.work.request_id)
            self._counters.add("requests_waited", "rate")
            return Decision(entry.work, Admitted(reservation=result))
        ready_in_seconds = result.ready_in_seconds
        if ready_in_seconds is None:
            self._remove(entry.work.workspace, entry.work.request_id)
            return Decision(entry.work, self._too_large())
        queue.set_ready(
            now_seconds=now_seconds, ready_in_seconds=ready_in_seconds
        )
        if now_seconds + ready_in_seconds > entry.until_seconds:
            # The tokens can't be available before its time limit.
            return self._refuse(entry, ready_in_seconds)
        return None

    def _refuse_overdue(
        self, workspace: str, now_seconds: float
    ) -> list[Decision]:
        queue = self._queues.get(workspace)
        if queue is None:
            return []
        return [
            self._refuse(
                entry,
                queue.wait_seconds(entry.tokens, now_seconds=now_seconds),
            )
            for entry in queue.overdue(now_seconds=now_seconds)
        ]

    def _refuse(
        self, entry: token_queue.WaitingRequest, wait_seconds: float
    ) -> Decision:
        self._remove(entry.work.workspace, entry.work.request_id)
        refused = self._refuse_for_now(entry.work.workspace, wait_seconds)
        return Decision(entry.work, refused)

    def _enqueue(
        self,
        queue: token_queue.TokenQueue,
        work: works.Work,
        now_seconds: float,
    ) -> Waiting:
        until_seconds = now_seconds + _max_wait_seconds(work, now_seconds)
        queue.append(
            token_queue.WaitingRequest(
                work, works.charged_tokens(work), until_seconds
            )
        )
        self._workspace_by_request[work.request_id] = work.workspace
        return Waiting(until_seconds=until_seconds)

    def _remove(
        self, workspace: str, request_id: str
    ) -> token_queue.WaitingRequest:
        queue = self._queues[workspace]
        entry = queue.remove(request_id)
        del self._workspace_by_request[request_id]
        if not queue:
            del self._queues[workspace]
        return entry

    def _reserve(
        self, work: works.Work
    ) -> token_balance.Reservation | token_balance.Shortfall:
        result = self._token_balance.reserve(
            workspace=work.workspace, tokens=works.charged_tokens(work)
        )
        if isinstance(result, token_balance.Shortfall) and result.no_holder:
            self._without_holder.add(work.workspace)
        else:
            self._without_holder.discard(work.workspace)
        return result

    def _refuse_for_now(
        self, workspace: str, wait_seconds: float
    ) -> refusal.Refused:
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


def _max_wait_seconds(work: works.Work, now_seconds: float) -> float:
    timeout_seconds = work.deadline_at_seconds - now_seconds
    return min(MAX_WAIT_SECONDS, MAX_WAIT_SHARE * timeout_seconds)


__all__ = [
    "MAX_WAIT_SECONDS",
    "Admission",
    "Admitted",
    "Decision",
    "Waiting",
]

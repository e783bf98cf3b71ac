"""Starts and ends attempts at endpoints, and retries them where it is safe.

Load pattern: an endpoint fails with many requests in flight. Without the
retry budget and the rule for non-idempotent requests, all of them are retried
at once, and some of them run twice.
"""

from __future__ import annotations

from collections.abc import Iterator

from boragefold.policy import actions
from boragefold.policy import endpoints as endpoints_module
from boragefold.policy import fair_queue
from boragefold.policy import matcher as matchers
from boragefold.policy import open_requests as requests_module
from boragefold.policy import refusal
from boragefold.policy import retry_budget as retry_budgets
from boragefold.telemetry import counters as telemetry

# More refusals show that the instances' views of the fleet don't agree.
MAX_ADAPTER_MISSING = 32
ADAPTER_MISSING_RETRY_AFTER_SECONDS = 2.0


class Attempts:
    """Sends requests to endpoints, and queues failed ones again."""

    def __init__(
        self,
        *,
        queue: fair_queue.FairQueue,
        matcher: matchers.Matcher,
        endpoints: endpoints_module.Endpoints,
        retry_budget: retry_budgets.RetryBudget,
        requests: requests_module.OpenRequests,
        counters: telemetry.Counters,
    ) -> None:
        self._queue = queue
        self._matcher = matcher
        self._endpoints = endpoints
        self._retry_budget = retry_budget
        self._requests = requests
        self._counters = counters

    def begin(self, *, now_seconds: float) -> Iterator[actions.Send]:
        """Send the requests that can start now.

        :param now_seconds: reading of the process clock
        :return: requests and the endpoints to send them to
        """
        for work, endpoint in self._matcher.take_matches(
            self._requests.excluded, now_seconds=now_seconds
        ):
            request = self._requests.get_open(work)
            request.endpoint = endpoint
            request.attempts += 1
            self._endpoints.sent(endpoint, work, now_seconds=now_seconds)
            if request.attempts == 1:
                self._retry_budget.record_first_attempt(
                    endpoint, now_seconds=now_seconds
                )
            yield actions.Send(work, endpoint, request.attempts)

    def end(
        self,
        request: requests_module.OpenRequest,
        *,
        used_tokens: float,
        now_seconds: float,
    ) -> None:
        """Record that a request has left its endpoint, if it was at one.

        :param request: the request
        :param used_tokens: prompt and generated tokens actually used
        :param now_seconds: reading of the process clock
        """
        if not request.endpoint:
            return
        self._endpoints.finished(
            request.endpoint, request.work.request_id, now_seconds=now_seconds
        )
        self._matcher.recheck_endpoint(request.endpoint)
        self._queue.settle(request.work, used_tokens=used_tokens)
        request.endpoint = ""

    def fail(
        self,
        request: requests_module.OpenRequest,
        *,
        bytes_sent: bool,
        used_tokens: float,
        now_seconds: float,
    ) -> actions.Fail | None:
        """Record a failed attempt, and retry the request where that is safe.

        :param request: a request that was sent
        :param bytes_sent: whether a byte of it may have reached the endpoint
        :param used_tokens: tokens of the answer that the caller has received
        :param now_seconds: reading of the process clock
        :return: the answer to the caller, or None when it is retried
        """
        endpoint = request.endpoint
        request.may_have_run |= bytes_sent
        request.broken_attempts += bytes_sent
        self._endpoints.failed(endpoint)
        self.end(request, used_tokens=used_tokens, now_seconds=now_seconds)
        if self._may_retry(request) and self._retry_budget.try_retry(
            endpoint,
            idempotent=request.idempotent,
            bytes_sent=bytes_sent,
            now_seconds=now_seconds,
        ):
            self._stop_using_if_failed_twice(request, endpoint, now_seconds)
            self._retry(request, endpoint, now_seconds)
            return None
        self._requests.end(request, used_tokens=used_tokens)
        return actions.Fail(
            request.work, "attempt_failed", request.may_have_run
        )

    def adapter_missing(
        self, request: requests_module.OpenRequest, *, now_seconds: float
    ) -> actions.Action | None:
        """Record that an endpoint refused because it lacks the adapter.

        Nothing ran, so the request may be retried even if not idempotent.

        :param request: a request that was sent
        :param now_seconds: reading of the process clock
        :return: the answer to the caller, or None when it is retried
        """
        endpoint = request.endpoint
        self._endpoints.stop_using(
            endpoint, request.work.adapter_version, now_seconds=now_seconds
        )
        self.end(request, used_tokens=0.0, now_seconds=now_seconds)
        if request.attempts <= MAX_ADAPTER_MISSING:
            self._counters.add("retries", "adapter_not_held")
            self._retry(request, endpoint, now_seconds)
            return None
        self._requests.end(request, used_tokens=0.0)
        self._counters.add("requests_refused", "adapter_not_held")
        return answer_unserved(
            request,
            refusal.Refused(
                status=refusal.UNAVAILABLE,
                reason="adapter_not_held",
                remedy="come back later; the fleet has just lost the adapter",
                retry_after_seconds=ADAPTER_MISSING_RETRY_AFTER_SECONDS,
            ),
        )

    def _may_retry(self, request: requests_module.OpenRequest) -> bool:
        if request.broken_attempts < retry_budgets.MAX_BROKEN_ATTEMPTS:
            return True
        self._counters.add("retries_denied", "broken_attempts")
        return False

    def _stop_using_if_failed_twice(
        self,
        request: requests_module.OpenRequest,
        endpoint: str,
        now_seconds: float,
    ) -> None:
        # The only holder may fail the adapter's requests again and again.
        # When it no longer counts as a holder, placement loads the adapter on
        # another endpoint.
        if endpoint in self._requests.excluded.get(
            request.work.request_id, frozenset()
        ):
            self._endpoints.stop_using(
                endpoint, request.work.adapter_version, now_seconds=now_seconds
            )

    def _retry(
        self,
        request: requests_module.OpenRequest,
        endpoint: str,
        now_seconds: float,
    ) -> None:
        if request.answered:
            # Restarts the timeout: counted from the arrival, a long answer
            # could never be resumed.
            work = request.work
            timeout_seconds = (
                work.deadline_at_seconds - work.arrived_at_seconds
            )
            request.work = work._replace(
                deadline_at_seconds=now_seconds + timeout_seconds
            )
        self._requests.exclude(request, endpoint)
        self._matcher.requeue(request.work, now_seconds=now_seconds)


def answer_unserved(
    request: requests_module.OpenRequest, refused: refusal.Refused
) -> actions.Action:
    """Choose the answer to a request that ended while it was queued.

    A request that failed at an endpoint and was queued for a retry may have
    run there: refusing it as "not run" would have its caller send it again.

    :param request: the request
    :param refused: the answer if no attempt was made
    :return: the refusal, or that the outcome is unknown
    """
    if request.may_have_run:
        return actions.Fail(request.work, refused.reason, True)
    return actions.Refuse(request.work, refused)


__all__ = [
    "MAX_ADAPTER_MISSING",
    "Attempts",
    "answer_unserved",
]

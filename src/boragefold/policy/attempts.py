"""Attempts at endpoints: begun, ended, and retried where that is safe.

Load pattern: an endpoint fails with many requests in flight. Without the
budget and the rule for non-idempotent requests, each of them comes back at
once, and some of them run twice.
"""

from __future__ import annotations

from collections.abc import Iterator

from boragefold.policy import actions
from boragefold.policy import endpoints as endpoints_module
from boragefold.policy import fair_queue
from boragefold.policy import refusal
from boragefold.policy import requests as requests_module
from boragefold.policy import retry_budget as retry_budgets
from boragefold.policy import sending as sending_module
from boragefold.telemetry import counters as telemetry

# Beyond so many the views of the fleet don't agree.
MAX_NOT_HELD = 32
NOT_HELD_RETRY_AFTER_SECONDS = 2.0


class Attempts:
    """Sends requests to endpoints and takes them back."""

    def __init__(
        self,
        *,
        queue: fair_queue.FairQueue,
        sending: sending_module.Sending,
        endpoints: endpoints_module.Endpoints,
        retry_budget: retry_budgets.RetryBudget,
        requests: requests_module.Requests,
        counters: telemetry.Counters,
    ) -> None:
        self._queue = queue
        self._sending = sending
        self._endpoints = endpoints
        self._retry_budget = retry_budget
        self._requests = requests
        self._counters = counters

    def begin(self, *, now_seconds: float) -> Iterator[actions.Send]:
        """Send what can start now.

        :param now_seconds: reading of the process clock
        :return: requests and where they go
        """
        for work, endpoint in self._sending.matches(
            self._requests.excluded, now_seconds=now_seconds
        ):
            request = self._requests.waiting(work)
            request.endpoint = endpoint
            request.attempts += 1
            self._endpoints.sent(endpoint, work, now_seconds=now_seconds)
            if request.attempts == 1:
                self._retry_budget.fresh(endpoint, now_seconds=now_seconds)
            yield actions.Send(work, endpoint, request.attempts)

    def end(
        self,
        request: requests_module.Request,
        *,
        used_tokens: float,
        now_seconds: float,
    ) -> None:
        """Note that a request is no longer at its endpoint, if it was.

        :param request: the request
        :param used_tokens: prompt and generated tokens really spent
        :param now_seconds: reading of the process clock
        """
        if not request.endpoint:
            return
        self._endpoints.finished(
            request.endpoint, request.work.request_id, now_seconds=now_seconds
        )
        self._sending.stir_endpoint(request.endpoint)
        self._queue.settle(request.work, used_tokens=used_tokens)
        request.endpoint = ""

    def fail(
        self,
        request: requests_module.Request,
        *,
        bytes_sent: bool,
        used_tokens: float,
        now_seconds: float,
    ) -> actions.GiveUp | None:
        """Note that an attempt failed, and retry it where that is safe.

        :param request: a request that was sent
        :param bytes_sent: whether a byte of it may have reached the endpoint
        :param used_tokens: tokens that the caller has got
        :param now_seconds: reading of the process clock
        :return: what the caller is told, or None when it is repeated
        """
        endpoint = request.endpoint
        request.may_have_run |= bytes_sent
        self._endpoints.failed(endpoint)
        self.end(request, used_tokens=used_tokens, now_seconds=now_seconds)
        if self._retry_budget.try_retry(
            endpoint,
            idempotent=request.idempotent,
            bytes_sent=bytes_sent,
            now_seconds=now_seconds,
        ):
            self._avoid_if_it_failed_twice(request, endpoint, now_seconds)
            self._repeat(request, endpoint, now_seconds)
            return None
        self._requests.end(request, used_tokens=used_tokens)
        return actions.GiveUp(
            request.work, "attempt_failed", request.may_have_run
        )

    def not_held(
        self, request: requests_module.Request, *, now_seconds: float
    ) -> actions.Action | None:
        """Note that an endpoint refused for want of the adapter.

        Nothing ran, so the request may be repeated, whatever it is.

        :param request: a request that was sent
        :param now_seconds: reading of the process clock
        :return: what the caller is told, or None when it is repeated
        """
        endpoint = request.endpoint
        self._endpoints.evicted(
            endpoint, request.work.needs, now_seconds=now_seconds
        )
        self.end(request, used_tokens=0.0, now_seconds=now_seconds)
        if request.attempts <= MAX_NOT_HELD:
            self._counters.add("retries", "adapter_not_held")
            self._repeat(request, endpoint, now_seconds)
            return None
        self._requests.end(request, used_tokens=0.0)
        self._counters.add("requests_refused", "adapter_not_held")
        return ended_unserved(
            request,
            refusal.Refused(
                status=refusal.UNAVAILABLE,
                reason="adapter_not_held",
                remedy="come back later; the fleet has just lost the adapter",
                retry_after_seconds=NOT_HELD_RETRY_AFTER_SECONDS,
            ),
        )

    def _avoid_if_it_failed_twice(
        self,
        request: requests_module.Request,
        endpoint: str,
        now_seconds: float,
    ) -> None:
        # The only holder may fail its requests again and again; counted as no
        # holder, it makes placement load another.
        if endpoint in self._requests.excluded.get(
            request.work.request_id, frozenset()
        ):
            self._endpoints.evicted(
                endpoint, request.work.needs, now_seconds=now_seconds
            )

    def _repeat(
        self,
        request: requests_module.Request,
        endpoint: str,
        now_seconds: float,
    ) -> None:
        if request.answered:
            # Counted from the arrival, a long answer could never be resumed.
            work = request.work
            patience = work.give_up_at_seconds - work.arrived_at_seconds
            request.work = work._replace(
                give_up_at_seconds=now_seconds + patience
            )
        self._requests.exclude(request, endpoint)
        self._sending.push_back(request.work, now_seconds=now_seconds)


def ended_unserved(
    request: requests_module.Request, refused: refusal.Refused
) -> actions.Action:
    """Word the end of a request that waited in vain, truthfully.

    A request that failed at an endpoint and waited to be repeated may have
    run there: refusing it as "not run" would have its caller send it again.

    :param request: the request
    :param refused: what to say if no attempt was ever made
    :return: the refusal, or that the outcome is unknown
    """
    if request.may_have_run:
        return actions.GiveUp(request.work, refused.reason, True)
    return actions.Refuse(request.work, refused)


__all__ = [
    "Attempts",
    "MAX_NOT_HELD",
    "ended_unserved",
]

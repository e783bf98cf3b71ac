"""Forwards one request: sends it, retries where safe, and responds."""

from __future__ import annotations

import abc
from typing import Any

from boragefold.entry import answer_deadline
from boragefold.entry import caller_answer
from boragefold.entry import refusals
from boragefold.entry import request_context
from boragefold.entry import request_end
from boragefold.entry import sent_request
from boragefold.policy import crash_causes
from boragefold.policy import engine_decisions
from boragefold.policy import repeat_decision
from boragefold.state import deployment
from boragefold.transport import http_server

# An endpoint that ended is back by then, if it comes back.
VERSION_RETRY_SECONDS = 1.0


class Forwarding(sent_request.SentRequest):
    """Forwards one request and sends exactly one final response for it."""

    def __init__(
        self,
        *,
        admitted: request_context.AdmittedRequest,
        exchange: http_server.Exchange,
        context: request_context.RequestContext,
    ) -> None:
        super().__init__(admitted=admitted, context=context)
        self._finished = False
        self._answer = caller_answer.CallerAnswer(
            admitted=admitted, exchange=exchange, context=context
        )
        self.deadline_at_seconds = answer_deadline.compute_deadline_at_seconds(
            admitted
        )
        exchange.on_closed = self._on_caller_disconnected
        exchange.on_drained = self._on_drained
        exchange.on_given_up = self._on_stopped
        self._timeout = context.timers.once(
            delay_seconds=self.remaining_seconds(), callback=self._on_timeout
        )

    @property
    def finished(self) -> bool:
        """Tell whether the request is finished or its caller disconnected.

        :return: whether no more work is to be done
        """
        return self._finished

    @property
    def inside_event(self) -> bool:
        """Tell whether the response so far ends inside an event.

        :return: whether it has been broken off if it ends here
        """
        return self._answer.inside_event

    @property
    def resume_after(self) -> str:
        """Return the event after which the stream is to go on.

        :return: its ID, empty at the beginning
        """
        return self._answer.last_event_id

    def remaining_seconds(self) -> float:
        """Return the time until the deadline of the response.

        :return: seconds
        """
        return self.deadline_at_seconds - self.context.timers.now_seconds()

    @abc.abstractmethod
    def can_try_another(self, *, may_wait: bool) -> bool:
        """Tell whether the request could be sent to another endpoint.

        :param may_wait: whether it may wait there for room
        :return: whether one is available and the route allows another attempt
        """

    @abc.abstractmethod
    def _on_finished(self) -> None:
        """Release the resources that other objects hold for the request."""

    def may_repeat(
        self,
        endpoint: str,
        setback: repeat_decision.Setback,
        *,
        may_have_run: bool,
    ) -> bool:
        """Decide whether the request is sent once more.

        :param endpoint: name of the endpoint that didn't serve it
        :param setback: why it didn't
        :param may_have_run: whether it may have run there
        :return: whether it is
        """
        is_broken = setback is repeat_decision.Setback.BROKEN
        inputs = repeat_decision.RepeatInputs(
            setback=setback,
            may_have_run=may_have_run,
            repeatable=self.admitted.route.repeatable,
            resumable=self._answer.resumable,
            earlier_crashes=self.admitted.guard.count_crashes(),
            has_endpoint=self.can_try_another(may_wait=is_broken),
            remaining_seconds=self.remaining_seconds(),
        )
        return self.sendings.may_repeat(inputs, endpoint)

    def forward_headers(self, status: int, headers: dict[str, str]) -> bool:
        """Forward the headers of an endpoint's response.

        :param status: status of the response
        :param headers: headers of the response
        :return: whether to forward the rest of the response
        """
        return self._answer.forward_headers(status, headers)

    def forward_data(self, data: bytes) -> None:
        """Forward a chunk of an endpoint's response.

        :param data: the chunk
        """
        keeps_up = self._answer.forward_data(data)
        if self._attempt is None:
            return
        if self._answer.has_events:
            self.continuity.record_events(
                self._attempt.record, self._attempt.connection
            )
        if not keeps_up:
            self.continuity.record_pause()
            self._attempt.pause()

    def forward_end(self, status: int) -> None:
        """Finish the caller's response.

        :param status: status of the response
        """
        self._answer.forward_end()
        proven = self._attempt is not None and self._attempt.proven
        # The endpoint may have crashed under a request of which this is all.
        if proven and status in caller_answer.SUCCESSES:
            self.admitted.guard.record_success()
        self._finish("answered", status)

    def on_attempt_failed(
        self, endpoint: str, reason: str, *, may_have_run: bool
    ) -> None:
        """Retry or fail the request after an attempt without full response.

        :param endpoint: name of the endpoint that failed
        :param reason: the cause of the failure
        :param may_have_run: whether the request may have run there
        """
        self.context.log.write(
            "attempt_failed",
            request_id=self.admitted.request.request_id,
            endpoint=endpoint,
            reason=reason,
            may_have_run=may_have_run,
            answer_begun=self._answer.started,
            fingerprint=(
                crash_causes.describe(self.admitted.guard.fingerprint)
                if may_have_run
                else ""
            ),
        )
        if not may_have_run:
            self._record_unreachable(endpoint)
        if not may_have_run and self._has_time():
            # Nothing was sent, so another attempt isn't a repeat.
            self._answer.discard_partial_event()
            self.begin()
        elif may_have_run and self.may_repeat(
            endpoint, repeat_decision.Setback.BROKEN, may_have_run=True
        ):
            self._answer.discard_partial_event()
            self._begin_after_pause()
        elif self._answer.started:
            self._answer.abort()
            self._finish("broken_off", 0)
        elif may_have_run:
            self.refuse(refusals.UNKNOWN, reason)
        else:
            self.refuse(refusals.NOT_RUN, reason)

    def refuse(
        self,
        kind: refusals.ErrorKind,
        reason: str,
        retry_after_seconds: float = refusals.RETRY_AFTER_SECONDS,
    ) -> None:
        """Send an error as the final response to the caller.

        :param kind: the kind of error
        :param reason: one of a small fixed set
        :param retry_after_seconds: when to retry, where a retry helps
        """
        if self._finished:
            return
        if (
            self.sendings.may_have_run
            and kind.outcome == refusals.NOT_RUN.outcome
        ):
            kind = refusals.MAY_HAVE_RUN
        self._answer.refuse(kind, reason, retry_after_seconds)
        self.context.counters.add("requests_refused", reason)
        self._finish(reason, kind.status, retry_after_seconds)

    def refuse_if_version_gone(self) -> bool:
        """Refuse or break off a stream that can't go on anywhere.

        :return: whether no endpoint of its software version serves
        """
        if not self.continuity.lacks_endpoint():
            return False
        self.refuse(
            refusals.VERSION_GONE, "version_gone", VERSION_RETRY_SECONDS
        )
        return True

    def refuse_without_endpoint(
        self,
        reason: str,
        retry_after_seconds: float = refusals.RETRY_AFTER_SECONDS,
    ) -> None:
        """Refuse the request because no endpoint may receive it.

        :param reason: why, unless endpoints of its service are evacuated
        :param retry_after_seconds: when to retry
        """
        service = self.admitted.service.name
        if self.context.fleet.is_service_evacuated(service):
            reason = engine_decisions.EVACUATED
        self.refuse(refusals.NOT_RUN, reason, retry_after_seconds)

    def queue_time_fields(self) -> dict[str, Any]:
        """Return the time spent before the last attempt, as log fields.

        :return: seconds and counts by field name
        """
        return {}

    def decision_fields(self) -> dict[str, Any]:
        """Return what the choice of an endpoint expected, as log fields.

        :return: values by field name
        """
        return {}

    def _has_time(self) -> bool:
        return self.remaining_seconds() > answer_deadline.MARGIN_SECONDS

    def _begin_after_pause(self) -> None:
        self.context.timers.once(
            delay_seconds=self.context.repeats.draw_pause_seconds(
                self.remaining_seconds()
            ),
            callback=lambda: None if self._finished else self.start(),
        )

    def _on_caller_disconnected(self) -> None:
        route = self.admitted.route
        once = route.kind is deployment.RouteKind.NON_IDEMPOTENT
        attempt = self._attempt
        if attempt is not None and not once:
            attempt.cancel()
        elif attempt is not None and attempt.running:
            # It runs to its end, but the answer may have none.
            self.context.timers.once(
                delay_seconds=max(0.0, self.remaining_seconds()),
                callback=lambda: (
                    attempt.cancel(failed=True) if attempt.running else None
                ),
            )
        self._finish("caller_gone", 0)

    def _on_drained(self) -> None:
        if self._attempt is not None:
            self._attempt.resume()

    def _on_timeout(self) -> None:
        self._give_up(
            not_run="not_started_in_time", unknown="timeout", failed=True
        )

    def _on_stopped(self) -> None:
        self._give_up(not_run="stopping", unknown="stopping", failed=False)

    def _give_up(self, *, not_run: str, unknown: str, failed: bool) -> None:
        if self._finished:
            return
        attempt = self._attempt
        if attempt is not None and attempt.end_without_evidence():
            return
        if attempt is not None:
            attempt.cancel(failed=failed)
        if attempt is None or attempt.not_run:
            self.refuse(refusals.NOT_RUN, not_run)
        else:
            self.refuse(refusals.TIMED_OUT, unknown)

    def _finish(
        self, outcome: str, status: int, retry_after_seconds: float = 0.0
    ) -> None:
        if self._finished:
            return
        self._finished = True
        self._timeout.cancel()
        self.sendings.close()
        self._end_guard(settles=outcome != "answered")
        self._on_finished()
        self._refund_unused()
        end = request_end.RequestEnd(
            outcome=outcome,
            status=status,
            retry_after_seconds=retry_after_seconds,
            sent_to=self._sent_to,
            waited_seconds=self.waited_seconds(),
            queue_time_fields=self.queue_time_fields(),
            times=self._answer.times,
            framing=None if self._attempt is None else self._attempt.framing,
            inside_event=self.inside_event,
            decision_fields=self.decision_fields(),
        )
        request_end.record(end, admitted=self.admitted, context=self.context)
        if not self._is_running():
            # They refer to each other, with the whole request.
            self._attempt = None

    def _refund_unused(self) -> None:
        # A request that didn't run isn't charged to the rate limit.
        workspace = self.admitted.workspace
        attempt = self._attempt
        unused = not self.sendings.may_have_run and (
            attempt is None or attempt.not_run
        )
        if workspace is not None and unused:
            self.context.rate.refund(
                workspace.name,
                self.admitted.charged,
                now_seconds=self.context.timers.now_seconds(),
            )


__all__ = [
    "Forwarding",
]

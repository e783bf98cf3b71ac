"""One caller's request on its way: sent, repeated where lawful, answered."""

from __future__ import annotations

import abc
from typing import Any

from boragefold.entry import answer_times
from boragefold.entry import attempt as attempts
from boragefold.entry import dialect as dialects
from boragefold.entry import event_stream
from boragefold.entry import refusals
from boragefold.entry import serving
from boragefold.state import deployment
from boragefold.transport import http_client
from boragefold.transport import http_server

# An answer is given up this long before its caller leaves.
MARGIN_SECONDS = 0.02
# With more time the margin grows, for an instance short of processor time.
MARGIN_SHARE = 0.025
MAX_MARGIN_SECONDS = 0.1
# Where nothing better is known.
RETRY_AFTER_SECONDS = 0.3


class Forwarding(abc.ABC):
    """Sees one request through; exactly one final answer leaves it."""

    def __init__(
        self,
        *,
        admitted: serving.Admitted,
        exchange: http_server.Exchange,
        shared: serving.Shared,
    ) -> None:
        self.admitted = admitted
        self.shared = shared
        self._exchange = exchange
        self._attempt: attempts.Attempt | None = None
        self._sent_to: list[str] = []
        self._unreachable: set[str] = set()
        self._over = False
        self._sent_at_seconds = admitted.arrived_at_seconds
        self._times = answer_times.AnswerTimes(
            arrived_at_seconds=admitted.arrived_at_seconds
        )
        self._events = (
            event_stream.EventSplitter() if admitted.route.resumable else None
        )
        limit_seconds = admitted.route.timeout_seconds
        if admitted.request.deadline_seconds is not None:
            limit_seconds = min(
                limit_seconds, admitted.request.deadline_seconds
            )
        margin_seconds = min(MARGIN_SHARE * limit_seconds, MAX_MARGIN_SECONDS)
        self.ends_at_seconds = (
            admitted.arrived_at_seconds
            + limit_seconds
            - max(MARGIN_SECONDS, margin_seconds)
        )
        exchange.on_closed = self._caller_gone
        exchange.on_drained = self._caller_caught_up
        self._timeout = shared.timers.once(
            delay_seconds=self.left_seconds(), callback=self._timed_out
        )

    @property
    def over(self) -> bool:
        """Tell whether the caller has its final answer, or is gone.

        :return: whether nothing more is to be done
        """
        return self._over

    @property
    def resume_after(self) -> str:
        """Tell which event of a stream the caller got last.

        :return: its id; empty before the first
        """
        if self._events is None or not self._events.last_event_id:
            return self.admitted.request.last_event_id
        return self._events.last_event_id

    def left_seconds(self) -> float:
        """Tell how much time is left for the answer.

        :return: seconds
        """
        return self.ends_at_seconds - self.shared.timers.now_seconds()

    @abc.abstractmethod
    def begin(self) -> None:
        """Choose an endpoint and send the request, or refuse it."""

    @abc.abstractmethod
    def has_untried(self) -> bool:
        """Tell whether the request could go to a further endpoint.

        :return: whether there is one and the route allows it
        """

    @abc.abstractmethod
    def _ended(self) -> None:
        """Let go of what the request holds elsewhere."""

    @abc.abstractmethod
    def attempt_answering(self) -> None:
        """Learn that the endpoint has begun to answer."""

    @abc.abstractmethod
    def attempt_rejected(
        self, endpoint: str, facts: dialects.AnswerFacts
    ) -> None:
        """Learn that an endpoint didn't run the request.

        :param endpoint: which
        :param facts: what it said
        """

    def may_go_to(self, endpoint: str) -> bool:
        """Tell whether the route lets the request be sent to an endpoint.

        :param endpoint: which
        :return: whether it was sent there before, or to few enough others
        """
        if endpoint in self._unreachable:
            return False
        if endpoint in self._sent_to:
            return True
        return len(set(self._sent_to)) < self.admitted.route.max_attempts

    def still_allowed(self) -> bool:
        """Tell whether the key that came with the request still works.

        It may have been withdrawn while the request waited.

        :return: whether it does, or none was needed
        """
        current = self.shared.fleet.deployment
        workspace = self.admitted.workspace
        if workspace is None or current is None:
            return True
        holder = current.workspace_of(self.admitted.request.key)
        return holder is not None and holder.name == workspace.name

    def send(self, record: deployment.EndpointRecord, version: int) -> None:
        """Send the request to an endpoint.

        :param record: the endpoint
        :param version: of the adapter, 0 for any
        """
        admitted, shared = self.admitted, self.shared
        if self._sent_to:
            shared.counters.add("requests_repeated", admitted.route.kind.value)
        else:
            shared.retries.of(admitted.service.name).fresh(
                record.name, now_seconds=shared.timers.now_seconds()
            )
        self._sent_to.append(record.name)
        self._sent_at_seconds = shared.timers.now_seconds()
        attempt = attempts.Attempt(forwarding=self, record=record)
        self._attempt = attempt
        workspace = admitted.workspace
        target = dialects.EndpointTarget(
            record=record,
            deadline_seconds=max(self.left_seconds(), MARGIN_SECONDS),
            workspace="" if workspace is None else workspace.name,
            version=version,
            resume_after=self.resume_after,
        )
        shared.log.write_ordinary(
            "request_sent",
            request_id=admitted.request.request_id,
            endpoint=record.name,
            attempt=len(self._sent_to),
            adapter_version=version,
            waited_seconds=round(self._waited_seconds(), 4),
        )
        attempt.begin(self._call(target))

    def may_repeat(self, endpoint: str, *, may_have_run: bool) -> bool:
        """Ask whether the request may be sent once more.

        :param endpoint: where it failed
        :param may_have_run: whether it may have run there
        :return: whether kind, budget and time allow it
        """
        if self.left_seconds() <= MARGIN_SECONDS:
            return False
        budget = self.shared.retries.of(self.admitted.service.name)
        return budget.try_retry(
            endpoint,
            idempotent=self.admitted.route.repeatable,
            bytes_sent=may_have_run,
            now_seconds=self.shared.timers.now_seconds(),
        )

    def pass_head(self, status: int, headers: dict[str, str]) -> None:
        """Pass the head of an endpoint's answer on.

        :param status: its status
        :param headers: its headers
        """
        if self._exchange.started:
            return
        passed = self.shared.dialect.caller_headers(headers)
        if self._events is not None:
            # The rest may come from another endpoint with another length.
            passed = [
                (name, value)
                for name, value in passed
                if name.lower() != "content-length"
            ]
        self._exchange.start(status, passed)

    def pass_data(self, data: bytes) -> None:
        """Pass a piece of an endpoint's answer on.

        :param data: the piece
        """
        if self._events is not None:
            # Whole events only: the rest of a torn one would be joined with
            # another endpoint's.
            data = self._events.feed(data)
        if data:
            self._times.passed(now_seconds=self.shared.timers.now_seconds())
        if not self._exchange.send(data) and self._attempt is not None:
            if not self._exchange.finished and data:
                self._attempt.pause()

    def pass_end(self, status: int) -> None:
        """Tell the caller that the answer is whole.

        :param status: the answer's
        """
        if self._events is not None:
            self._exchange.send(self._events.rest())
        self._exchange.finish()
        self._finish("answered", status)

    def attempt_failed(
        self, endpoint: str, reason: str, *, may_have_run: bool
    ) -> None:
        """Go on after an endpoint failed without a whole answer.

        :param endpoint: which
        :param reason: why
        :param may_have_run: whether the request may have run there
        """
        self.shared.log.write(
            "attempt_failed",
            request_id=self.admitted.request.request_id,
            endpoint=endpoint,
            reason=reason,
            may_have_run=may_have_run,
            answer_begun=self._exchange.started,
        )
        if not may_have_run:
            self._note_unreachable(endpoint)
        resumable = self._events is not None or not self._exchange.started
        if not may_have_run and self.left_seconds() > MARGIN_SECONDS:
            # Nothing was sent, so this is no retry.
            self.begin()
        elif resumable and self.may_repeat(
            endpoint, may_have_run=may_have_run
        ):
            self._begin_again()
        elif self._exchange.started:
            # Closed normally it would look whole.
            self._exchange.abort()
            self._finish("broken_off", 0)
        elif may_have_run:
            self.refuse(refusals.UNKNOWN, reason)
        else:
            self.refuse(refusals.NOT_RUN, reason)

    def refuse(
        self,
        kind: refusals.Kind,
        reason: str,
        retry_after_seconds: float = RETRY_AFTER_SECONDS,
    ) -> None:
        """Give the caller its final answer.

        :param kind: which of our own answers
        :param reason: one of a small fixed set
        :param retry_after_seconds: when to come back, where that helps
        """
        if self._over:
            return
        if self._exchange.started:
            self._exchange.abort()
        else:
            refusals.write(
                self._exchange,
                kind,
                reason,
                retry_after_seconds=retry_after_seconds,
                headers=self.shared.dialect.refusal_headers(
                    self.admitted.request
                ),
            )
        self.shared.counters.add("requests_refused", reason)
        self._finish(reason, kind.status, retry_after_seconds)

    def wait_fields(self) -> dict[str, Any]:
        """Tell where the time before the last sending went, for the log.

        :return: seconds and counts, by name
        """
        return {}

    def _waited_seconds(self) -> float:
        return self._sent_at_seconds - self.admitted.arrived_at_seconds

    def _note_unreachable(self, endpoint: str) -> None:
        self._sent_to.remove(endpoint)
        self._unreachable.add(endpoint)
        self.shared.choice.unreachable(
            endpoint, now_seconds=self.shared.timers.now_seconds()
        )

    def _begin_again(self) -> None:
        if self._exchange.started and self._events is not None:
            self._events.drop_torn()
        self.begin()

    def _call(self, target: dialects.EndpointTarget) -> http_client.Call:
        request = self.admitted.request
        headers = self.shared.dialect.endpoint_headers(request, target)
        return http_client.Call(
            address=target.record.address,
            method=request.http.method,
            target=request.http.target,
            headers=headers,
            body=request.http.body,
            # An idle connection may be dead, which would leave the outcome of
            # a non-idempotent request unknown.
            fresh=not self.admitted.route.repeatable,
            progress_seconds=max(self.left_seconds(), MARGIN_SECONDS) + 1.0,
            may_send=lambda: not self._over,
            accepts=lambda found: self.shared.dialect.answers(request, found),
            whole_at_close=True,
        )

    def _caller_gone(self) -> None:
        route = self.admitted.route
        once = route.kind is deployment.RouteKind.NON_IDEMPOTENT
        if self._attempt is not None and not once:
            self._attempt.cancel()
        self._finish("caller_gone", 0)

    def _caller_caught_up(self) -> None:
        if self._attempt is not None:
            self._attempt.resume()

    def _timed_out(self) -> None:
        if self._over:
            return
        attempt = self._attempt
        if attempt is not None:
            attempt.cancel(failed=True)
        if attempt is None or attempt.rejected:
            self.refuse(refusals.NOT_RUN, "not_started_in_time")
        else:
            self.refuse(refusals.TIMED_OUT, "timeout")

    def _finish(
        self, outcome: str, status: int, retry_after_seconds: float = 0.0
    ) -> None:
        if self._over:
            return
        self._over = True
        self._timeout.cancel()
        self._ended()
        self._give_back_unused()
        self._log_end(outcome, status, retry_after_seconds)

    def _give_back_unused(self) -> None:
        # A request that didn't run isn't charged.
        workspace = self.admitted.workspace
        attempt = self._attempt
        unused = attempt is None or attempt.rejected
        if workspace is not None and unused:
            self.shared.rate.give_back(
                workspace.name,
                self.admitted.charged,
                now_seconds=self.shared.timers.now_seconds(),
            )

    def _log_end(
        self, outcome: str, status: int, retry_after_seconds: float
    ) -> None:
        shared, admitted = self.shared, self.admitted
        took_seconds = (
            shared.timers.now_seconds() - admitted.arrived_at_seconds
        )
        current = shared.fleet.deployment
        fields = {
            "request_id": admitted.request.request_id,
            "route": admitted.route.name,
            "workspace": admitted.workspace and admitted.workspace.name,
            "outcome": outcome,
            "status": status,
            "endpoints": self._sent_to,
            "took_seconds": round(took_seconds, 4),
            "retry_after_seconds": round(retry_after_seconds, 3),
            "deployment_version": current and current.version,
        }
        if admitted.route.kind is deployment.RouteKind.STREAM:
            fields |= self.wait_fields() | self._stream_fields()
        shared.counters.add("requests_ended", outcome)
        shared.counters.observe_seconds("request_seconds", took_seconds)
        if outcome == "answered" and len(self._sent_to) == 1:
            shared.log.write_ordinary("request_ended", **fields)
        else:
            shared.log.write("request_ended", **fields)

    def _stream_fields(self) -> dict[str, Any]:
        times = self._times
        if times.first_event_seconds is None:
            return {}
        counters = self.shared.counters
        lateness = times.lateness(self.admitted.route)
        if lateness is not answer_times.Lateness.NONE:
            counters.add("answers_late", lateness.value)
        waited_seconds = self._waited_seconds()
        counters.observe_seconds("waited_seconds", waited_seconds)
        counters.observe_seconds(
            "first_event_seconds", times.first_event_seconds
        )
        counters.observe_seconds(
            "longest_pause_seconds", times.longest_pause_seconds
        )
        return {
            "waited_seconds": round(waited_seconds, 4),
            "first_event_seconds": round(times.first_event_seconds, 4),
            "longest_pause_seconds": round(times.longest_pause_seconds, 4),
            "late": lateness.value,
        }


__all__ = [
    "Forwarding",
    "MARGIN_SECONDS",
    "RETRY_AFTER_SECONDS",
]

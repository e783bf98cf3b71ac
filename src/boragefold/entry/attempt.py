"""One attempt to send a request to one endpoint."""

from __future__ import annotations

from boragefold.entry import answer_end
from boragefold.entry import attempt_owner
from boragefold.entry import break_evidence
from boragefold.entry import caller_answer
from boragefold.entry import crash_detector
from boragefold.entry import dialect as dialects
from boragefold.entry import load_reports
from boragefold.entry import refusals
from boragefold.entry import request_sendings
from boragefold.policy import repeat_decision
from boragefold.state import deployment
from boragefold.transport import http_client

# Statuses which say that the endpoint did not and will not run the request.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
SERVER_ERRORS = range(500, 600)
# Why an answer without a framing failed whose endpoint has crashed.
CLOSED_BY_CRASH = "closed_by_crash"
# An answer that goes on for so long shows that no part of its prompt crashes
# the endpoint.
PROGRESS_SECONDS = 2.0
# Answers to requests with this method have no body.
BODILESS_ANSWER_METHOD = "HEAD"
# Limit for the body of an answer that isn't forwarded.
MAX_UNUSED_BYTES = 1_048_576


class Attempt(http_client.AnswerSink):
    """One attempt to send a request to one endpoint."""

    def __init__(
        self,
        *,
        forwarding: attempt_owner.AttemptOwner,
        record: deployment.EndpointRecord,
        version: int,
    ) -> None:
        self._forwarding = forwarding
        self.record = record
        self._version = version
        self._pending: http_client.Pending | None = None
        self._status = 0
        self._facts: dialects.AnswerFacts | None = None
        self.framing: http_client.Framing | None = None
        self._sent_at_seconds = 0.0
        self._chosen_revision = 0
        self._result_recorded = False
        self._ended = False
        self._retry_at_end = False
        self._forwarded = False
        self._unused_bytes = 0
        self._first_data_at_seconds: float | None = None
        self._awaits_evidence = False
        # Whether the response is known to be whole if it has ended.
        self.proven = True

    @property
    def rejected(self) -> bool:
        """Tell whether the endpoint confirmed that it did not run the request.

        :return: whether it did so
        """
        return self._facts is not None and self._facts.not_run

    @property
    def running(self) -> bool:
        """Tell whether the endpoint's response may still come.

        :return: whether the attempt has neither ended nor been cancelled
        """
        return not self._ended

    @property
    def not_run(self) -> bool:
        """Tell whether the endpoint certainly didn't run the request.

        :return: whether it was rejected, or never sent
        """
        return self.rejected or self.unsent

    @property
    def unsent(self) -> bool:
        """Tell whether nothing was sent to the endpoint.

        :return: whether no connection to it was opened for the request
        """
        return self._pending is not None and not self._pending.may_have_arrived

    def begin(self, call: http_client.Call) -> None:
        """Send the request.

        :param call: the request in the form that the endpoint receives
        """
        context = self._forwarding.context
        self._chosen_revision = context.fleet.entry_revision(self.record.name)
        self._sent_at_seconds = context.timers.now_seconds()
        context.choice.sent(
            self.record.name, now_seconds=self._sent_at_seconds
        )
        self._pending = context.client.send(call, self)
        if self._pending.may_have_arrived:
            self._forwarding.continuity.record_sent(
                self.record, self.connection
            )

    def cancel(self, *, failed: bool = False) -> None:
        """Cancel the attempt by closing the connection to the endpoint.

        :param failed: whether this counts as a failure of the endpoint,
            because it did not respond before the deadline
        """
        self._ended = True
        self._awaits_evidence = False
        if self._pending is not None:
            self._pending.cancel()
        if not self._result_recorded:
            self._record_end(failed=failed)

    @property
    def connection(self) -> http_client.ClientConnection | None:
        """Return the connection on which the response comes.

        :return: the connection, None before and after the call
        """
        return None if self._pending is None else self._pending.connection

    def pause(self) -> None:
        """Stop reading the response until ``resume`` is called."""
        if self._pending is not None:
            self._pending.pause()

    def resume(self) -> None:
        """Continue reading the response."""
        if self._pending is not None:
            self._pending.resume()

    def sent_through(self, peer: str) -> None:
        """Log that a peer opens the connection.

        :param peer: address of the peer
        """
        forwarding = self._forwarding
        forwarding.context.log.write_ordinary(
            "request_tunnelled",
            request_id=forwarding.admitted.request.request_id,
            endpoint=self.record.name,
            peer=peer,
        )

    def written(self, *, reused: bool) -> None:
        """Log and count the sending of the request.

        :param reused: whether the connection was used before
        """
        forwarding = self._forwarding
        fleet = forwarding.context.fleet
        forwarding.sendings.record_written(
            request_sendings.Written(
                endpoint=self.record.name,
                software_version=self.record.software_version,
                born_milliseconds=self.record.born_milliseconds,
                resume_after=forwarding.resume_after,
                version=self._version,
                reused_connection=reused,
                connecting_seconds=self._ran_seconds(),
                waited_seconds=forwarding.waited_seconds(),
                remaining_seconds=forwarding.remaining_seconds(),
                published_age_seconds=fleet.age_seconds(),
                chosen_revision=self._chosen_revision,
                entry_revision=fleet.entry_revision(self.record.name),
            )
        )
        # Without a pending call, the call is being sent by ``begin``.
        if self._pending is not None:
            forwarding.continuity.record_sent(self.record, self.connection)

    def head(self, status: int, headers: dict[str, str]) -> None:
        """Process the status and the headers of the response.

        :param status: the HTTP status
        :param headers: values by lower-case name
        """
        context = self._forwarding.context
        facts = context.dialect.read_answer(status, headers)
        self._status, self._facts = status, facts
        load_reports.record(facts, record=self.record, context=context)
        if facts.cold_seconds is not None:
            context.cold.record_answer(self.record, facts.cold_seconds)
        self._record_limit(facts)
        if facts.no_room and facts.work_factor is not None:
            # The reported load is used instead of a failure.
            self._result_recorded = True
            context.choice.withdrawn(self.record.name)
        else:
            self._record_result(
                failed=status in SERVER_ERRORS and not facts.not_held
            )
        if self._may_repeat(facts):
            self._retry_at_end = True
        elif not facts.not_run and not self._is_invalid(facts):
            self._forwarded = self._forwarding.forward_headers(status, headers)
            if self._forwarded:
                self._forwarding.on_answer_started()

    def data(self, data: bytes) -> None:
        """Forward a chunk of the response body.

        :param data: the chunk
        """
        if not self._forwarded:
            self._unused_bytes += len(data)
            self.full = self._unused_bytes > MAX_UNUSED_BYTES
            return
        self._forwarding.forward_data(data)
        now_seconds = self._forwarding.context.timers.now_seconds()
        if self._first_data_at_seconds is None:
            self._first_data_at_seconds = now_seconds
        elif now_seconds - self._first_data_at_seconds >= PROGRESS_SECONDS:
            self._forwarding.admitted.guard.record_progress()

    def end(self, framing: http_client.Framing) -> None:
        """Finish the request, or try another endpoint.

        :param framing: what showed the end of the response
        """
        self.framing = framing
        if not self._forwarded:
            self._finish()
            return
        verdict = answer_end.judge_end(
            framing,
            is_empty_success=self._is_empty_success(),
            inside_event=self._forwarding.inside_event,
            confirmed=self._pending is not None and bool(self._pending.peer),
        )
        if verdict is answer_end.Verdict.BROKEN:
            self.failed(
                http_client.Failure(
                    reason=(
                        break_evidence.INSIDE_EVENT
                        if self._forwarding.inside_event
                        else break_evidence.BEHIND_HEAD
                    ),
                    may_have_arrived=True,
                )
            )
        elif verdict is answer_end.Verdict.UNPROVEN:
            self._awaits_evidence = True
            guard = self._forwarding.admitted.guard
            ran_seconds = self._ran_seconds()
            self._forwarding.context.crashes.detector.check_closing(
                self.record,
                on_evidence=self._judge_closing,
                list_suspects=lambda: crash_detector.describe_suspects(
                    guard.causes, ran_seconds
                ),
            )
        else:
            self._finish()

    def _is_empty_success(self) -> bool:
        # Of a stream that is taken up, nothing may be left.
        forwarding = self._forwarding
        return (
            forwarding.admitted.request.http.method != BODILESS_ANSWER_METHOD
            and self._status in caller_answer.SUCCESSES
            and self._first_data_at_seconds is None
            and not forwarding.resume_after
        )

    def end_without_evidence(self) -> bool:
        """Finish the request if only the end of its response is in question.

        :return: whether the response has come and was judged now
        """
        if not self._awaits_evidence:
            return False
        self._judge_closing(break_evidence.NO_EVIDENCE)
        return True

    def _judge_closing(self, evidence: break_evidence.ClosingEvidence) -> None:
        if not self._awaits_evidence:
            return
        self._awaits_evidence = False
        verdict = answer_end.judge_closing(evidence)
        forwarding = self._forwarding
        forwarding.context.counters.add("closed_answers", verdict.value)
        log = forwarding.context.log
        write = (
            log.write_ordinary
            if verdict is answer_end.Verdict.WHOLE
            else log.write
        )
        write(
            "answer_closed",
            request_id=forwarding.admitted.request.request_id,
            endpoint=self.record.name,
            verdict=verdict.value,
            cause=evidence.cause.value,
            listens=evidence.listens,
            others_broke=evidence.others_broke,
        )
        self.proven = verdict is not answer_end.Verdict.UNPROVEN
        if verdict is answer_end.Verdict.BROKEN:
            self._ended = True
            if not forwarding.finished:
                forwarding.on_attempt_failed(
                    self.record.name, CLOSED_BY_CRASH, may_have_run=True
                )
        else:
            self._finish()

    def _finish(self) -> None:
        self._ended = True
        facts = self._facts
        if facts is None or self._forwarding.finished:
            return
        if facts.not_run:
            self._forwarding.on_attempt_rejected(self.record.name, facts)
        elif self._retry_at_end:
            self._forwarding.begin()
        elif self._is_invalid(facts):
            self._forwarding.refuse(refusals.UNKNOWN, "answer_unfit")
        elif not self._forwarded:
            self._forwarding.on_attempt_failed(
                self.record.name, "resume_failed", may_have_run=True
            )
        else:
            self._forwarding.forward_end(self._status)

    def failed(self, failure: http_client.Failure) -> None:
        """Handle the failure to receive a complete response.

        :param failure: the cause
        """
        self._ended = True
        if not self._result_recorded:
            self._record_end(failed=True)
        if failure.may_have_arrived and not self.rejected:
            self._record_broken(failure.reason)
        if self._forwarding.finished:
            return
        if self.rejected and self._facts is not None:
            self._forwarding.on_attempt_rejected(self.record.name, self._facts)
        else:
            self._forwarding.on_attempt_failed(
                self.record.name,
                failure.reason,
                may_have_run=failure.may_have_arrived,
            )

    def _may_repeat(self, facts: dialects.AnswerFacts) -> bool:
        if facts.not_run or self._status not in SERVER_ERRORS:
            return False
        return self._forwarding.may_repeat(
            self.record.name,
            repeat_decision.Setback.FAILED,
            may_have_run=True,
        )

    def _is_invalid(self, facts: dialects.AnswerFacts) -> bool:
        # A success without a signature, or an unconfirmed "not run" status.
        if facts.status in caller_answer.SUCCESSES:
            return not facts.signed
        return facts.status in NOT_RUN_STATUSES

    def _record_limit(self, facts: dialects.AnswerFacts) -> None:
        context = self._forwarding.context
        service = self._forwarding.admitted.service.name
        context.choice.limits.record_answer(
            service,
            facts.bearable_rejections,
            now_seconds=context.timers.now_seconds(),
        )
        if facts.no_room:
            context.rejections.record(service, self.record.name)

    def _record_broken(self, reason: str) -> None:
        context = self._forwarding.context
        context.crashes.detector.record_broken(
            self.record,
            reason,
            causes=self._forwarding.admitted.guard.causes,
            ran_seconds=self._ran_seconds(),
        )

    def _ran_seconds(self) -> float:
        now_seconds = self._forwarding.context.timers.now_seconds()
        return now_seconds - self._sent_at_seconds

    def _record_end(self, *, failed: bool) -> None:
        context = self._forwarding.context
        if self.unsent or context.reach.is_cut_off(self.record.name):
            # The fault is that of a path, not of the endpoint.
            self._result_recorded = True
            context.choice.withdrawn(self.record.name)
        else:
            self._record_result(failed=failed)

    def _record_result(self, *, failed: bool) -> None:
        context = self._forwarding.context
        now_seconds = context.timers.now_seconds()
        self._result_recorded = True
        context.choice.ended(
            self.record.name,
            failed=failed,
            took_seconds=now_seconds - self._sent_at_seconds,
            now_seconds=now_seconds,
        )


__all__ = [
    "Attempt",
]

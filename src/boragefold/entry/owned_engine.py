"""Orders to and reports of one engine that this instance owns."""

from __future__ import annotations

from collections.abc import Callable
import math

from boragefold.coordination.fleet import order_lease
from boragefold.coordination.fleet import order_turns
from boragefold.entry import cold_endpoints
from boragefold.entry import engine_dialect as dialects
from boragefold.entry import order_descriptions
from boragefold.entry import report_timer
from boragefold.entry import sent_order
from boragefold.policy import engine_decisions
from boragefold.policy import engine_schedule
from boragefold.state import deployment
from boragefold.telemetry import counters as telemetry
from boragefold.telemetry import decision_log
from boragefold.timing import timers as timing
from boragefold.transport import http_client
from boragefold.transport import whole_answer

# Interval of report requests after a failure, or while the count is unsettled.
REPORT_INTERVAL_SECONDS = 0.25
# A report is about this old when it arrives, so asking sooner yields nothing
# new. Without a limit, an overdue load would request one on each event.
MIN_REPORT_INTERVAL_SECONDS = 0.1
# Orders without the lease need this time of ownership first.
MIN_OWNED_SECONDS = 2.0
# Failed reports in a row after which an engine counts as back.
RECOVERED_FROM_REPORTS = 3

# Whether an engine receives nothing, for all requests or those of one adapter.
IsEvacuated = Callable[
    [deployment.EndpointRecord, deployment.AdapterKey | None], bool
]


class OwnedEngine:
    """Gives orders to one engine, and updates its schedule from reports."""

    def __init__(
        self,
        *,
        record: deployment.EndpointRecord,
        schedule: engine_schedule.EngineSchedule,
        turns: order_turns.OrderTurns,
        lease: order_lease.OrderLease,
        dialect: dialects.EngineDialect,
        client: http_client.HttpClient,
        timers: timing.TimerService,
        counters: telemetry.Counters,
        log: decision_log.DecisionLog,
        on_changed: Callable[[], None],
        cold: cold_endpoints.ColdEndpoints | None = None,
        is_evacuated: IsEvacuated = lambda record, adapter: False,
    ) -> None:
        self.record = record
        self.schedule = schedule
        self._turns = turns
        self._lease = lease
        self._order_pending = False
        self._dialect = dialect
        self._client = client
        self._timers = timers
        self._counters = counters
        self._log = log
        self._on_changed = on_changed
        self._cold = cold
        self._is_evacuated = is_evacuated
        self._report_pending = False
        self._asked_report_at_seconds = -math.inf
        # When the newest known report was requested.
        self._reported_as_of_seconds = -math.inf
        self._next_report = report_timer.ReportTimer(
            timers=timers, request=self.request_report
        )
        self._stopped = False
        # Whether the last request for a report succeeded. An owner that is
        # cut off believes that it owns engines which it can't reach.
        self.is_responsive = False
        self._failed_reports = 0
        self._owned_since_seconds = timers.now_seconds()
        self._unreachable_since_seconds = self._owned_since_seconds
        turns.begin()
        self.request_report()

    def seconds_without_report(self) -> float:
        """Compute how long requests for a report have failed.

        :return: seconds; 0 if the last one succeeded
        """
        if self.is_responsive:
            return 0.0
        return self._timers.now_seconds() - self._unreachable_since_seconds

    def stop(self) -> None:
        """Stop giving orders: another instance owns the engine now."""
        self._stopped = True
        if not self._order_pending:
            self._lease.release()

    def update_record(self, record: deployment.EndpointRecord) -> None:
        """Replace the engine's record by a newer one.

        :param record: the record
        """
        restarted = record.born_milliseconds != self.record.born_milliseconds
        self.record = record
        if not restarted:
            return
        self.schedule.restart_limit()
        # A load that is ordered again isn't counted: what reports have shown
        # since the restart stays, and it may be loading its model.
        if self._turns.born_milliseconds != record.born_milliseconds:
            self.schedule.slots.apply_report(
                {}, {}, now_seconds=self._timers.now_seconds(), busy=True
            )
        self.request_report()

    def advance(self) -> list[engine_decisions.Action]:
        """Decide what to do now, and give the order that is due.

        :return: grants and refusals for requests
        """
        now_seconds = self._timers.now_seconds()
        evacuated = self._is_evacuated(self.record, None)
        wants_order = not evacuated and self.schedule.needs_order()
        if wants_order and not self._stopped:
            self._lease.request()
        self._turns.restart_if_before(self._lease.foreign_lease_end_seconds())
        self.schedule.order_delay_seconds = self._lease.order_delay_seconds(
            now_seconds=now_seconds
        )
        may_order = (
            self._has_order_permission(now_seconds)
            and self._turns.may_order(now_seconds=now_seconds)
            and not self._stopped
            and not self.record.leaving
            and not evacuated
        )
        confirmed = self._turns.is_confirmed(now_seconds=now_seconds)
        self.schedule.slots.may_order = may_order and confirmed
        self.schedule.slots.orders_in_seconds = max(
            self._turns.orders_in_seconds(now_seconds=now_seconds),
            self._lease.unavailable_seconds(now_seconds=now_seconds),
        )
        awaits_count = may_order and not confirmed and wants_order
        if self._needs_report(now_seconds, awaits_count=awaits_count):
            self.request_report()
        if self._cold is not None:
            self._cold.update_grants(self.record, self.schedule.cold)
        return self._decide(now_seconds, evacuated=evacuated)

    def _decide(
        self, now_seconds: float, *, evacuated: bool
    ) -> list[engine_decisions.Action]:
        actions: list[engine_decisions.Action] = []
        if evacuated:
            actions += self.schedule.refuse_queued(
                self.must_move,
                reason=engine_decisions.EVACUATED,
                now_seconds=now_seconds,
            )
        actions += self.schedule.advance(now_seconds=now_seconds)
        for action in actions:
            if isinstance(action, engine_decisions.Order):
                self._send_order(action)
        return actions

    def must_move(self, adapter: deployment.AdapterKey) -> bool:
        """Check whether the requests of an adapter must go elsewhere.

        :param adapter: what the requests need
        :return: whether the data centre is evacuated, and the adapter handed
            over or not loaded, since no adapter is loaded any more
        """
        return self._is_evacuated(self.record, adapter) or (
            self._is_evacuated(self.record, None)
            and not self.schedule.slots.holds(adapter)
        )

    def _has_order_permission(self, now_seconds: float) -> bool:
        if self._lease.is_held(now_seconds=now_seconds):
            return True
        owned_seconds = now_seconds - self._owned_since_seconds
        return (
            owned_seconds >= MIN_OWNED_SECONDS and self._lease.majority_lost()
        )

    def _needs_report(self, now_seconds: float, *, awaits_count: bool) -> bool:
        elapsed_seconds = now_seconds - self._asked_report_at_seconds
        if elapsed_seconds < MIN_REPORT_INTERVAL_SECONDS:
            return False
        slots = self.schedule.slots
        if awaits_count or slots.has_overdue_load(now_seconds=now_seconds):
            return True
        # A turn that is starting requests reports until it has started. If it
        # starts anew after a pause, nothing else requests one.
        intervals = elapsed_seconds / REPORT_INTERVAL_SECONDS
        return intervals >= 2 and not self._turns.begun

    def record_missing(self, key: deployment.AdapterKey) -> None:
        """Record that the engine rejected a request for a missing adapter.

        :param key: the adapter or model
        """
        now_seconds = self._timers.now_seconds()
        self.schedule.slots.record_missing(key, now_seconds=now_seconds)
        self.request_report()

    def request_report(self) -> None:
        """Request the engine's report of loaded adapters and order count."""
        self._next_report.cancel()
        if self._report_pending or self._stopped:
            return
        self._report_pending = True
        self._asked_report_at_seconds = self._timers.now_seconds()
        self._counters.add("engine_reports", "asked")
        sink = whole_answer.WholeAnswerSink(done=self._on_report)
        self._client.send(self._dialect.report_call(self.record), sink)

    def _on_report(
        self, answer: whole_answer.WholeAnswer | http_client.Failure
    ) -> None:
        self._report_pending = False
        report = (
            None
            if isinstance(answer, http_client.Failure)
            else self._dialect.read_report(answer.status, answer.body)
        )
        self.is_responsive = report is not None
        if report is None:
            self._failed_reports += 1
            self._counters.add("engine_reports", "failed")
            self._next_report.schedule(REPORT_INTERVAL_SECONDS)
            return
        if self._failed_reports >= RECOVERED_FROM_REPORTS:
            self.schedule.restart_limit()
        self._failed_reports = 0
        now_seconds = self._timers.now_seconds()
        self._unreachable_since_seconds = now_seconds
        age_seconds = now_seconds - self._asked_report_at_seconds
        self._reported_as_of_seconds = self._asked_report_at_seconds
        believed = self._turns.expected
        in_doubt = self._turns.unanswered_count
        other_giver_seen = self._turns.record_report(
            report.counted,
            busy=report.busy,
            age_seconds=age_seconds,
            now_seconds=now_seconds,
        )
        self._apply_report(report, now_seconds)
        if self._cold is not None:
            self._cold.record_report(self.record, report)
        self._log.write(
            "engine_report",
            engine=self.record.name,
            **order_descriptions.describe_report(report),
            believed=believed,
            age_seconds=round(age_seconds, 3),
            adapters=len(self.schedule.slots.held()),
            other_giver=other_giver_seen,
            certain=self._turns.count_known,
            in_doubt=in_doubt,
            explained_by=order_descriptions.describe_unanswered(
                self._turns.settled_orders, now_seconds
            ),
        )
        if self._turns.expected < believed:
            self._counters.add("engine_orders", "not_counted")
        if other_giver_seen:
            self._counters.add("engine_orders", "other_giver_seen")
        if self._needs_next_report(now_seconds):
            self._next_report.schedule(REPORT_INTERVAL_SECONDS)
        self._on_changed()

    def _apply_report(
        self, report: dialects.AdapterReport, now_seconds: float
    ) -> None:
        slots = self.schedule.slots
        if report.counted.orders != self._turns.expected:
            slots.apply_old_report(report.held, count=report.counted.orders)
            return
        slots.apply_report(
            report.held,
            report.coming,
            now_seconds=now_seconds,
            busy=report.busy,
        )

    def _needs_next_report(self, now_seconds: float) -> bool:
        # Reports are needed until the count is known and no longer changes,
        # and until an accepted order has been carried out.
        turns = self._turns
        return (
            not turns.begun
            or not turns.count_known
            or turns.busy
            or turns.awaits_other_lease(now_seconds=now_seconds)
        )

    def _send_order(self, order: engine_decisions.Order) -> None:
        now_seconds = self._timers.now_seconds()
        sent = sent_order.SentOrder(
            order=order,
            expected=self._turns.expected,
            fence=self._turns.fence(),
            count_age_seconds=self._turns.count_age_seconds(
                now_seconds=now_seconds
            ),
            report_age_seconds=now_seconds - self._reported_as_of_seconds,
            in_doubt=self._turns.unanswered_count,
            leased=self._lease.is_held(now_seconds=now_seconds),
            order_sent_at_seconds=now_seconds,
        )
        call = self._dialect.order_call(
            self.record, order, expected=sent.expected, fence=sent.fence
        )
        # Checked again right before the first byte, on a clock that counts
        # suspension: a process that was frozen since must not order.
        call = call._replace(may_send=lambda: self._still_fresh(now_seconds))
        self._turns.record_sent()
        self._order_pending = True
        sink = whole_answer.WholeAnswerSink(
            done=lambda answer: self._on_order_response(sent, answer),
            may_be_empty=True,
        )
        self._client.send(call, sink)

    def _still_fresh(self, asked_at_seconds: float) -> bool:
        now_seconds = self._timers.now_seconds()
        age_seconds = now_seconds - asked_at_seconds
        fresh = age_seconds < order_turns.MAX_SEND_DELAY_SECONDS
        allowed = self._has_order_permission(now_seconds)
        moved = self._stopped or self._is_evacuated(self.record, None)
        return fresh and allowed and not moved

    def _on_order_response(
        self,
        sent: sent_order.SentOrder,
        answer: whole_answer.WholeAnswer | http_client.Failure,
    ) -> None:
        self._order_pending = False
        now_seconds = self._timers.now_seconds()
        order = sent.order
        outcome = order_descriptions.outcome_of(self._dialect, order, answer)
        self._counters.add("engine_orders", outcome)
        self._log.write(
            "engine_order",
            engine=self.record.name,
            **order_descriptions.describe_sent(sent),
            took_seconds=round(now_seconds - sent.order_sent_at_seconds, 3),
            places=self.schedule.slots.summary(),
            status=order_descriptions.status_of(answer),
            outcome=outcome,
        )
        done = outcome == dialects.OrderOutcome.DONE.value
        if done or outcome == dialects.OrderOutcome.ACCEPTED.value:
            unloading = isinstance(order, engine_decisions.Unload) and not done
            self._turns.record_accepted(
                busy=unloading,
                age_seconds=now_seconds - sent.order_sent_at_seconds,
                now_seconds=now_seconds,
            )
            self.schedule.slots.record_order(
                order,
                done=done,
                now_seconds=now_seconds,
                count=sent.expected + 1,
            )
            if unloading:
                self._next_report.schedule(REPORT_INTERVAL_SECONDS)
        else:
            self._order_failed(sent, outcome, now_seconds)
        if self._stopped and outcome != order_descriptions.UNKNOWN:
            self._lease.release()
        self._on_changed()

    def _order_failed(
        self, sent: sent_order.SentOrder, outcome: str, now_seconds: float
    ) -> None:
        if outcome == order_descriptions.UNKNOWN:
            self._turns.record_unanswered(
                order=order_descriptions.describe_order(sent.order),
                age_seconds=now_seconds - sent.order_sent_at_seconds,
                now_seconds=now_seconds,
            )
        elif outcome == "not_sent":
            self._turns.record_unsent()
        else:
            self._turns.record_refused(now_seconds=now_seconds)
        self.schedule.slots.record_failed_order(now_seconds=now_seconds)
        self._next_report.schedule(order_turns.REPORT_LAG_SECONDS)


__all__ = [
    "OwnedEngine",
]

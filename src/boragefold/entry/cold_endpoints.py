"""Decides what may be sent to endpoints that are cold."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from boragefold.coordination.fleet import members as members_module
from boragefold.entry import engine_dialect
from boragefold.policy import cold_limit
from boragefold.policy import cold_shares
from boragefold.policy import cold_times
from boragefold.state import deployment
from boragefold.state import fleet as fleets
from boragefold.telemetry import counters as telemetry
from boragefold.telemetry import decision_log
from boragefold.timing import timers as timing

HELD_COUNTER = "requests_held_cold"


class ColdEndpoints:
    """The cold endpoints, and this instance's shares of their rates."""

    def __init__(
        self,
        *,
        self_address: str,
        members: members_module.Members,
        fleet: fleets.Fleet,
        timers: timing.TimerService,
        counters: telemetry.Counters,
        log: decision_log.DecisionLog,
        tolerance: Callable[[], cold_limit.Tolerance],
    ) -> None:
        """Subscribe to the entries of endpoints.

        :param self_address: of this instance
        :param members: the other instances
        :param fleet: the published deployment and endpoints
        :param timers: the process clock
        :param counters: counts the requests that are held back
        :param log: gets a line when an endpoint becomes cold
        :param tolerance: returns the limits in force
        """
        self._self_address = self_address
        self._members = members
        self._fleet = fleet
        self._timers = timers
        self._counters = counters
        self._log = log
        self._tolerance = tolerance
        self._times = cold_times.ColdTimes()
        self._limits: dict[str, cold_limit.ColdLimit] = {}
        fleet.subscribe_entries(self._on_entry)

    def allowed_per_second(self, record: deployment.EndpointRecord) -> float:
        """Return the rate of all senders to an endpoint while it is cold.

        :param record: the endpoint
        :return: requests per second, 0 if its service has no such limit
        """
        service = self._fleet.service_of(record)
        if service is None or service.cold_requests_per_second <= 0:
            return 0.0
        return self._tolerance().allowed_per_second(
            service.cold_requests_per_second
        )

    def is_limited(self, record: deployment.EndpointRecord) -> bool:
        """Return whether an endpoint is cold and has a limit while it is.

        :param record: the endpoint
        :return: whether it may only get what its owner or a share allows
        """
        until_seconds = self._times.until_seconds(record.name)
        return (
            self._timers.now_seconds() < until_seconds
            and self.allowed_per_second(record) > 0
        )

    def is_engine_limited(self, engine: str) -> bool:
        """Return whether an engine may get nothing without a grant.

        :param engine: its name
        :return: whether it is cold and has a limit while it is
        """
        record = self._fleet.endpoint(engine)
        return record is not None and self.is_limited(record)

    def update_grants(
        self, record: deployment.EndpointRecord, grants: cold_limit.ColdLimit
    ) -> None:
        """Update the limit of an owned engine, and count what it held back.

        :param record: the engine
        :param grants: the limit of what is granted there
        """
        grants.update(
            per_second=self.allowed_per_second(record),
            until_seconds=self._times.until_seconds(record.name),
            now_seconds=self._timers.now_seconds(),
        )
        self._count_held(grants)

    def record_answer(
        self, record: deployment.EndpointRecord, cold_seconds: float
    ) -> None:
        """Record what an endpoint stated in an answer.

        :param record: the endpoint
        :param cold_seconds: how long it stays cold
        """
        statement = cold_times.ColdStatement(cold_seconds)
        self._record(cold_times.Source.ANSWER, record, statement)

    def record_report(
        self,
        record: deployment.EndpointRecord,
        report: engine_dialect.AdapterReport,
    ) -> None:
        """Record what an engine stated in a report.

        :param record: the engine
        :param report: its report
        """
        statement = cold_times.ColdStatement(
            report.cold_seconds, report.counted.born_milliseconds
        )
        self._record(cold_times.Source.ANSWER, record, statement)

    def may_send(
        self, record: deployment.EndpointRecord, request_id: str
    ) -> bool:
        """Return whether this instance may send a request without a grant.

        :param record: the endpoint
        :param request_id: id of the request
        :return: whether the endpoint isn't cold, or this instance has a share
            of its rate that isn't used up
        """
        if not self.is_limited(record):
            self._limits.pop(record.name, None)
            return True
        if self._fleet.engine_of(record) is not None:
            return False
        limit = self._update_share(record)
        now_seconds = self._timers.now_seconds()
        allowed = limit.is_cold(now_seconds=now_seconds) and limit.may_send(
            request_id, now_seconds=now_seconds
        )
        self._count_held(limit)
        return allowed

    def record_sent(self, record: deployment.EndpointRecord) -> None:
        """Record that a request is sent that no owner has granted.

        :param record: the endpoint
        """
        limit = self._limits.get(record.name)
        if limit is not None:
            limit.record(now_seconds=self._timers.now_seconds())

    def status(self) -> dict[str, Any]:
        """Describe the cold endpoints for operators.

        :return: values that can be encoded as JSON
        """
        return {"cold_seconds": self.remaining_seconds()}

    def remaining_seconds(self) -> dict[str, float]:
        """List the endpoints that are cold.

        :return: the seconds that they stay so, by name
        """
        cold = self._times.cold(now_seconds=self._timers.now_seconds())
        return {
            name: round(seconds, 3)
            for name, seconds in cold.items()
            if self._fleet.endpoint(name) is not None
        }

    def _update_share(
        self, record: deployment.EndpointRecord
    ) -> cold_limit.ColdLimit:
        # A limit without a share of the rate is never cold.
        limit = self._limits.setdefault(record.name, cold_limit.ColdLimit())
        limit.update(
            per_second=cold_shares.share(
                record.name,
                self.allowed_per_second(record),
                self_address=self._self_address,
                reached=self._members.reachable_addresses(),
                known=len(self._members.silences_seconds()),
            ),
            until_seconds=self._times.until_seconds(record.name),
            now_seconds=self._timers.now_seconds(),
        )
        return limit

    def _count_held(self, limit: cold_limit.ColdLimit) -> None:
        if held := limit.take_held():
            self._counters.add(HELD_COUNTER, amount=held)

    def _on_entry(self, record: deployment.EndpointRecord) -> None:
        self._record(
            cold_times.Source.ENTRY,
            record,
            cold_times.ColdStatement(
                record.cold_seconds if record.cold_stated else None,
                record.born_milliseconds,
            ),
        )

    def _record(
        self,
        source: cold_times.Source,
        record: deployment.EndpointRecord,
        statement: cold_times.ColdStatement,
    ) -> None:
        now_seconds = self._timers.now_seconds()
        before_seconds = self._times.until_seconds(record.name)
        service = self._fleet.service_of(record)
        self._times.record(
            record.name,
            statement,
            source=source,
            cold_start_seconds=service.cold_start_seconds if service else 0.0,
            now_seconds=now_seconds,
        )
        until_seconds = self._times.until_seconds(record.name)
        if before_seconds <= now_seconds and self.is_limited(record):
            self._log.write(
                "endpoint_cold",
                endpoint=record.name,
                remaining_seconds=round(until_seconds - now_seconds, 3),
                allowed_per_second=round(self.allowed_per_second(record), 2),
            )
            # A share begins now, with its first second used up.
            self._limits.pop(record.name, None)
            self._update_share(record)


__all__ = [
    "ColdEndpoints",
]

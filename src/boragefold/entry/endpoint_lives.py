"""Finds out which life of an endpoint is at the other end of a connection.

An entry speaks for the life that wrote it. An endpoint may have started again
since, at another software version, while the store is away or the entry is on
its way. A connection ends with the life that accepted it, so what an endpoint
reports while a connection is open holds for that connection.
"""

from __future__ import annotations

from collections.abc import Callable
import math
from typing import NamedTuple

from boragefold.entry import engine_dialect
from boragefold.state import deployment
from boragefold.state import fleet as fleets
from boragefold.telemetry import counters as telemetry
from boragefold.timing import timers as timing
from boragefold.transport import http_client
from boragefold.transport import whole_answer

# Endpoints close some connections behind an answer.
MAX_REPORTS = 3
# Before an endpoint is asked again that told nothing.
FAILED_PAUSE_SECONDS = 0.25


class ConfirmedLife(NamedTuple):
    """An endpoint's present life, and an idle connection that leads to it."""

    life: deployment.EndpointLife
    connection: http_client.ClientConnection


class ReportedLife(NamedTuple):
    """What an endpoint reported when it was asked, and on which connection."""

    address: str
    born_milliseconds: int
    asked_at_seconds: float
    opened_at_seconds: float


OnConfirmed = Callable[[ConfirmedLife | None], None]


class EndpointLives:
    """Asks endpoints for the start of their present lives."""

    def __init__(
        self,
        *,
        client: http_client.HttpClient,
        fleet: fleets.Fleet,
        dialect: engine_dialect.EngineDialect,
        timers: timing.TimerService,
        counters: telemetry.Counters,
    ) -> None:
        """Begin without knowledge.

        :param client: sends the calls
        :param fleet: the entries of the endpoints
        :param dialect: writes the calls and reads the reports
        :param timers: the process clock
        :param counters: counts the reports
        """
        self._client = client
        self._fleet = fleet
        self._dialect = dialect
        self._timers = timers
        self._counters = counters
        self._reported: dict[str, ReportedLife] = {}
        self._failed_at_seconds: dict[str, float] = {}
        # Endpoints that are being asked in the background, and whether a
        # connection was opened since.
        self._observing: dict[str, bool] = {}
        fleet.subscribe(self._forget_gone)

    def find(
        self, endpoint: str, connection: http_client.ClientConnection
    ) -> deployment.EndpointLife | None:
        """Tell which life is, or was, at the other end of a connection.

        A report counts if it was asked for after this connection was opened,
        and came on one that was open when data last came on this one.

        :param endpoint: name of the endpoint
        :param connection: one on which data has come
        :return: the life, None as long as it isn't known
        """
        reported = self._reported.get(endpoint)
        if (
            reported is None
            or reported.address != connection.address
            or reported.asked_at_seconds < connection.opened_at_seconds
            or reported.opened_at_seconds > connection.received_at_seconds
        ):
            return None
        return self._make_life(endpoint, reported.born_milliseconds)

    def observe(
        self,
        record: deployment.EndpointRecord,
        connection: http_client.ClientConnection,
    ) -> None:
        """Find out in the background which life a connection leads to.

        :param record: the endpoint
        :param connection: an open one
        """
        if self.find(record.name, connection) is not None:
            return
        if record.name in self._observing:
            self._observing[record.name] = True
        else:
            self._observe(record)

    def is_observed(self, endpoint: str) -> bool:
        """Tell whether an endpoint is being asked in the background.

        :param endpoint: its name
        :return: whether a report is on its way
        """
        return endpoint in self._observing

    def confirm(
        self, record: deployment.EndpointRecord, on_confirmed: OnConfirmed
    ) -> None:
        """Find out in which life an endpoint is now.

        :param record: the endpoint
        :param on_confirmed: called once, never inside this call, with the
            life and the connection on which it was told; None if the endpoint
            doesn't tell it
        """
        self._confirm(record, on_confirmed, MAX_REPORTS)

    def _observe(self, record: deployment.EndpointRecord) -> None:
        failed_at_seconds = self._failed_at_seconds.get(record.name, -math.inf)
        paused_seconds = self._timers.now_seconds() - failed_at_seconds
        if paused_seconds < FAILED_PAUSE_SECONDS:
            return

        def on_born(
            born_milliseconds: int,
            used: http_client.ClientConnection | None,
        ) -> None:
            # One report tells the life of all connections opened before.
            if self._observing.pop(record.name):
                self._observe(record)

        self._observing[record.name] = False
        self._ask(record, on_born)

    def _confirm(
        self,
        record: deployment.EndpointRecord,
        on_confirmed: OnConfirmed,
        reports: int,
    ) -> None:
        def on_born(
            born_milliseconds: int,
            used: http_client.ClientConnection | None,
        ) -> None:
            life = self._make_life(record.name, born_milliseconds)
            if life is None or used is None:
                on_confirmed(None)
            elif self._client.is_idle(used):
                on_confirmed(ConfirmedLife(life, used))
            elif reports > 1:
                self._confirm(record, on_confirmed, reports - 1)
            else:
                on_confirmed(None)

        self._ask(record, on_born)

    def _ask(
        self,
        record: deployment.EndpointRecord,
        on_born: Callable[[int, http_client.ClientConnection | None], None],
    ) -> None:
        asked_at_seconds = self._timers.now_seconds()

        def on_answer(
            answer: whole_answer.WholeAnswer | http_client.Failure,
        ) -> None:
            born = self._read_born(answer)
            used = pending.last_connection
            self._counters.add("life_reports", "told" if born else "failed")
            if born and used is not None:
                self._reported[record.name] = ReportedLife(
                    record.address,
                    born,
                    asked_at_seconds,
                    used.opened_at_seconds,
                )
            else:
                self._failed_at_seconds[record.name] = (
                    self._timers.now_seconds()
                )
            on_born(born, used)

        call = self._dialect.report_call(record)._replace(
            endpoint=record.name, repeatable=True
        )
        pending = self._client.send(
            call, whole_answer.WholeAnswerSink(done=on_answer)
        )

    def _read_born(
        self, answer: whole_answer.WholeAnswer | http_client.Failure
    ) -> int:
        if isinstance(answer, http_client.Failure):
            return 0
        report = self._dialect.read_report(answer.status, answer.body)
        return 0 if report is None else report.counted.born_milliseconds

    def _make_life(
        self, endpoint: str, born_milliseconds: int
    ) -> deployment.EndpointLife | None:
        record = self._fleet.endpoint(endpoint)
        if record is None or not born_milliseconds:
            return None
        if record.born_milliseconds == born_milliseconds:
            return record.life
        # The entry speaks for another life, so the version isn't known.
        return record.life._replace(
            born_milliseconds=born_milliseconds, software_version=""
        )

    def _forget_gone(self) -> None:
        names = set(self._fleet.names())
        for known in (self._reported, self._failed_at_seconds):
            for endpoint in known.keys() - names:
                del known[endpoint]


__all__ = [
    "ConfirmedLife",
    "EndpointLives",
    "OnConfirmed",
]

"""Polls endpoints for their load, and keeps their specifications current."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from boragefold.policy import endpoint_spec
from boragefold.policy import endpoints as fleet
from boragefold.policy import fleet_events
from boragefold.policy import work as works
from boragefold.protocol import decoding
from boragefold.state import catalogue as catalogues
from boragefold.state import documents
from boragefold.state import endpoints as published
from boragefold.telemetry import counters as telemetry
from boragefold.timing import timers as timing
from boragefold.transport import http_client
from boragefold.transport import whole_answer

# A report is useful for about a second.
POLL_PERIOD_SECONDS = 0.5
# Bounds the CPU time, however many endpoints there are.
MAX_POLLS_PER_SECOND = 20.0
# A poll without progress for this long has failed: the endpoint is slow.
POLL_TIMEOUT_SECONDS = 1.0
STATUS_OK = 200
# Assumed round-trip times; none are published.
SAME_DATA_CENTRE_SECONDS = 0.0005
SAME_REGION_SECONDS = 0.003
OTHER_REGION_SECONDS = 0.08


class EngineReport(msgspec.Struct):
    """An engine's response to ``GET /v1/load``.

    ``resident`` lists adapter, version and number of running requests.
    """

    incarnation: str
    running: int
    waiting: int
    resident: list[tuple[str, str, int]]
    fencing: int = 0


# The endpoint, its report, the running requests by adapter, and a time no
# later than that of the count.
SampleCallback = Callable[
    [str, EngineReport, dict[works.AdapterVersion, int], float], None
]


class LoadPoller:
    """Keeps the endpoints up to date for the decisions."""

    def __init__(
        self,
        *,
        catalogue: catalogues.Catalogue,
        data_centre: str,
        endpoints: fleet.Endpoints,
        events: fleet_events.FleetEvents,
        client: http_client.HttpClient,
        timers: timing.TimerService,
        counters: telemetry.Counters,
        on_sample: SampleCallback,
        on_changed: Callable[[], None],
    ) -> None:
        self._catalogue = catalogue
        self._data_centre = data_centre
        self._endpoints = endpoints
        self._events = events
        self._client = client
        self._timers = timers
        self._counters = counters
        self._on_sample = on_sample
        self._on_changed = on_changed
        self._records: dict[str, published.EndpointRecord] = {}
        self._specs: dict[str, endpoint_spec.EndpointSpec] = {}
        self._unpolled: list[str] = []

    def start(self) -> None:
        """Start polling."""
        self._poll_next()

    def address_of(self, endpoint: str) -> str | None:
        """Look up the address of an endpoint.

        :param endpoint: its name
        :return: IP address and port, or None if it isn't published
        """
        record = self._records.get(endpoint)
        return None if record is None else record.address

    def record(self, endpoint: str) -> published.EndpointRecord | None:
        """Look up the published record of an endpoint.

        :param endpoint: its name
        :return: the record, or None if it isn't published
        """
        return self._records.get(endpoint)

    def local_endpoints(self) -> list[str]:
        """List the endpoints of this instance's data centre.

        :return: their names
        """
        return [
            record.name
            for record in self._records.values()
            if record.data_centre == self._data_centre
        ]

    def documents(self) -> dict[str, dict[str, documents.Endpoint]]:
        """List the endpoints in their published form.

        :return: documents by data centre and unique name
        """
        listed: dict[str, dict[str, documents.Endpoint]] = {}
        for name, record in self._records.items():
            listed.setdefault(record.data_centre, {})[name] = (
                documents.Endpoint(
                    address=record.address,
                    model=record.model,
                    role=record.role,
                    slots=record.slots,
                    batch_size=record.batch_size,
                    checks_fencing=record.checks_fencing,
                    state=record.state,
                )
            )
        return listed

    def apply_records(self) -> None:
        """Apply the published records of all endpoints."""
        self._records = {
            qualified_name(record): record._replace(
                name=qualified_name(record)
            )
            for record in self._catalogue.endpoints
        }
        old_specs = self._specs
        self._specs = {
            name: self._spec(record) for name, record in self._records.items()
        }
        for name in old_specs.keys() - self._specs.keys():
            self._events.endpoint_gone(name)
        for name, spec in self._specs.items():
            if old_specs.get(name) != spec:
                self._endpoints.put(spec)
        self._on_changed()

    def _spec(
        self, record: published.EndpointRecord
    ) -> endpoint_spec.EndpointSpec:
        return endpoint_spec.EndpointSpec(
            name=record.name,
            data_centre=record.data_centre,
            model=record.model,
            role=record.role,
            slots=record.slots,
            batch_size=record.batch_size,
            distance_seconds=self._distance_seconds(record.data_centre),
            leaving=record.state == "leaving",
        )

    def _distance_seconds(self, data_centre: str) -> float:
        if data_centre == self._data_centre:
            return SAME_DATA_CENTRE_SECONDS
        known = self._catalogue.data_centres()
        here, there = known.get(self._data_centre), known.get(data_centre)
        if here and there and here["region"] == there["region"]:
            return SAME_REGION_SECONDS
        return OTHER_REGION_SECONDS

    def _poll_next(self) -> None:
        if not self._unpolled:
            self._unpolled = list(self._records)
        if self._unpolled:
            self._poll(self._unpolled.pop())
        wait_seconds = POLL_PERIOD_SECONDS / max(1, len(self._records))
        self._timers.once(
            delay_seconds=max(wait_seconds, 1 / MAX_POLLS_PER_SECOND),
            callback=self._poll_next,
        )

    def _poll(self, name: str) -> None:
        record = self._records.get(name)
        if record is None:
            return
        polled_at_seconds = self._timers.now_seconds()
        call = http_client.Call(
            address=record.address,
            method="GET",
            target="/v1/load",
            headers=[],
            body=b"",
            fresh=False,
            progress_seconds=POLL_TIMEOUT_SECONDS,
        )

        def done(
            answer: whole_answer.WholeAnswer | http_client.Failure,
        ) -> None:
            self._on_response(record, polled_at_seconds, answer)

        self._client.send(call, whole_answer.WholeAnswerSink(done=done))

    def _on_response(
        self,
        record: published.EndpointRecord,
        polled_at_seconds: float,
        answer: whole_answer.WholeAnswer | http_client.Failure,
    ) -> None:
        if isinstance(answer, http_client.Failure):
            self._counters.add("load_reports_missed", answer.reason)
            return
        try:
            report = _DECODER.decode(answer.body)
        except decoding.ERRORS:
            self._counters.add("load_reports_missed", "malformed")
            return
        running = {
            works.AdapterVersion(record.model, adapter, version): count
            for adapter, version, count in report.resident
        }
        self._on_sample(record.name, report, running, polled_at_seconds)
        self._events.report(
            endpoint_spec.LoadReport(
                endpoint=record.name,
                incarnation=report.incarnation,
                running=report.running,
                waiting=report.waiting,
                # It was measured after the request was sent. Requests of this
                # instance may be counted twice, which overestimates the load.
                measured_at_seconds=polled_at_seconds,
                resident=tuple(running),
            )
        )
        self._on_changed()


def qualified_name(record: published.EndpointRecord) -> str:
    """Build the name of an endpoint that is unique among all endpoints.

    :param record: as published
    :return: data centre and name
    """
    return f"{record.data_centre}/{record.name}"


_DECODER = msgspec.json.Decoder(EngineReport)

__all__ = [
    "LoadPoller",
    "qualified_name",
]

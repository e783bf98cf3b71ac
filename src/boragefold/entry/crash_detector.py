"""Finds out whether an endpoint crashed when its connections broke.

A connection that breaks during a response has many causes: the endpoint
crashed or left, the network reset the connection, or the endpoint closed it.
After a crash nothing listens at the address, so a new connection is refused,
to all instances alike.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import enum
from typing import NamedTuple

from boragefold.entry import request_fingerprint
from boragefold.protocol import crash_messages
from boragefold.state import deployment
from boragefold.state import fleet as fleets
from boragefold.telemetry import counters as telemetry
from boragefold.telemetry import decision_log
from boragefold.timing import timers as timing
from boragefold.transport import connect_probe
from boragefold.transport import http_client

# How connections of a process that has ended break. Others fail a request for
# reasons of its own, such as its deadline.
BREAK_REASONS = frozenset({"eof", "reset"})
# A lost packet delays the answer to a probe beyond its timeout.
MAX_PROBES = 4
# All connections of a crashed process break within this time.
CASE_SECONDS = 2.0
# Limits the length of a log line.
MAX_LOGGED_SUSPECTS = 64
MILLISECONDS = 1000.0

CheckRefusal = Callable[
    [
        deployment.EndpointRecord,
        Callable[[connect_probe.ProbeResult], None],
    ],
    None,
]


class BreakCause(enum.Enum):
    """Why the connections to an endpoint broke."""

    PENDING = "pending"
    CRASHED = "crashed"
    LEFT = "left"
    ALIVE = "alive"
    UNKNOWN = "unknown"


class EndpointLife(NamedTuple):
    """One run of an endpoint's process."""

    name: str
    born_milliseconds: int


class DetectedCrash(NamedTuple):
    """A crash, and the requests that ran there for this instance."""

    life: EndpointLife
    suspects: tuple[crash_messages.Suspect, ...]


@dataclasses.dataclass(kw_only=True)
class BreakCase:
    """The connections that broke at one endpoint at about the same time."""

    record: deployment.EndpointRecord
    began_at_seconds: float
    reasons: set[str] = dataclasses.field(default_factory=set)
    suspects: list[crash_messages.Suspect] = dataclasses.field(
        default_factory=list
    )
    probes: int = 0
    cause: BreakCause = BreakCause.PENDING


class CrashDetector:
    """Judges broken connections, and reports the crashes among them."""

    def __init__(
        self,
        *,
        client: http_client.HttpClient,
        fleet: fleets.Fleet,
        timers: timing.TimerService,
        counters: telemetry.Counters,
        log: decision_log.DecisionLog,
        on_crash: Callable[[DetectedCrash], None],
        check_refusal: CheckRefusal = lambda record, on_result: on_result(
            connect_probe.ProbeResult.REFUSED
        ),
    ) -> None:
        """Begin without any broken connection.

        :param client: opens the connections that probe an endpoint
        :param fleet: the published endpoints
        :param timers: the process clock
        :param counters: counts the verdicts
        :param log: gets a line for each verdict
        :param on_crash: called with each crash, again when more of the
            requests that ran there become known
        :param check_refusal: tells an endpoint that has ended from a path
            that refuses connections
        """
        self._client = client
        self._fleet = fleet
        self._timers = timers
        self._counters = counters
        self._log = log
        self._on_crash = on_crash
        self._check_refusal = check_refusal
        self._cases: dict[EndpointLife, BreakCase] = {}

    def record_broken(
        self,
        record: deployment.EndpointRecord,
        reason: str,
        *,
        fingerprint: int,
        ran_seconds: float,
    ) -> None:
        """Record that the connection of a running request broke.

        :param record: the endpoint, as it was when the request was sent
        :param reason: how the connection broke
        :param fingerprint: of the request
        :param ran_seconds: how long ago the request was sent there
        """
        if reason not in BREAK_REASONS:
            return
        life = EndpointLife(record.name, record.born_milliseconds)
        case = self._cases.get(life)
        if case is None:
            case = self._open(life, record)
        suspect = crash_messages.Suspect(
            fingerprint, round(ran_seconds * MILLISECONDS)
        )
        case.reasons.add(reason)
        case.suspects.append(suspect)
        if case.cause is BreakCause.CRASHED:
            self._on_crash(DetectedCrash(life, (suspect,)))

    def _open(
        self, life: EndpointLife, record: deployment.EndpointRecord
    ) -> BreakCase:
        case = BreakCase(
            record=record, began_at_seconds=self._timers.now_seconds()
        )
        self._cases[life] = case
        self._probe(life, case)
        return case

    def _probe(self, life: EndpointLife, case: BreakCase) -> None:
        case.probes += 1
        self._client.probe(
            case.record.address,
            lambda result: self._judge(life, case, result),
        )

    def _judge(
        self,
        life: EndpointLife,
        case: BreakCase,
        result: connect_probe.ProbeResult,
    ) -> None:
        no_answer = result is connect_probe.ProbeResult.NO_ANSWER
        if no_answer and case.probes < MAX_PROBES:
            self._probe(life, case)
            return
        listed = self._fleet.endpoint(life.name)
        if find_cause(result, listed) is BreakCause.CRASHED:
            self._check_refusal(
                case.record,
                lambda checked: self._conclude(life, case, checked),
            )
        else:
            self._conclude(life, case, result)

    def _conclude(
        self,
        life: EndpointLife,
        case: BreakCase,
        result: connect_probe.ProbeResult,
    ) -> None:
        listed = self._fleet.endpoint(life.name)
        case.cause = find_cause(result, listed)
        self._write(life, case, result, listed)
        if case.cause is BreakCause.CRASHED:
            self._on_crash(DetectedCrash(life, tuple(case.suspects)))
            self._timers.once(
                delay_seconds=CASE_SECONDS,
                callback=lambda: self._close(life),
            )
        else:
            # The next break may have another cause.
            self._close(life)

    def _close(self, life: EndpointLife) -> None:
        del self._cases[life]

    def _write(
        self,
        life: EndpointLife,
        case: BreakCase,
        result: connect_probe.ProbeResult,
        listed: deployment.EndpointRecord | None,
    ) -> None:
        self._counters.add("endpoint_breaks", case.cause.value)
        logged = case.suspects[:MAX_LOGGED_SUSPECTS]
        took_seconds = self._timers.now_seconds() - case.began_at_seconds
        self._log.write(
            "endpoint_broke",
            endpoint=life.name,
            born_milliseconds=life.born_milliseconds,
            verdict=case.cause.value,
            reasons=sorted(case.reasons),
            broken=len(case.suspects),
            suspects={
                request_fingerprint.describe(
                    each.fingerprint
                ): each.ran_milliseconds
                for each in logged
            },
            probe=result.value,
            probes=case.probes,
            took_seconds=round(took_seconds, 4),
            listed=listed is not None,
            leaving=listed is not None and listed.leaving,
        )


def find_cause(
    result: connect_probe.ProbeResult,
    listed: deployment.EndpointRecord | None,
) -> BreakCause:
    """Judge why the connections to an endpoint broke.

    :param result: how its address reacts to a new connection
    :param listed: the endpoint as published now, None if it isn't any more
    :return: the cause
    """
    if listed is None or listed.leaving:
        return BreakCause.LEFT
    return {
        connect_probe.ProbeResult.REFUSED: BreakCause.CRASHED,
        connect_probe.ProbeResult.ACCEPTED: BreakCause.ALIVE,
        connect_probe.ProbeResult.NO_ANSWER: BreakCause.UNKNOWN,
    }[result]


__all__ = [
    "BreakCause",
    "CrashDetector",
    "DetectedCrash",
    "EndpointLife",
    "find_cause",
]

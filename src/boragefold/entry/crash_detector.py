"""Finds out whether an endpoint crashed when its connections broke.

A connection that breaks during a response has many causes: the endpoint
crashed or left, the network reset the connection, or the endpoint closed it.
After a crash nothing listens at the address, so a new connection is refused,
to all instances alike.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import itertools
import math
from typing import NamedTuple

from boragefold.entry import break_evidence
from boragefold.policy import crash_causes
from boragefold.protocol import crash_messages
from boragefold.state import deployment
from boragefold.state import fleet as fleets
from boragefold.telemetry import counters as telemetry
from boragefold.telemetry import decision_log
from boragefold.timing import timers as timing
from boragefold.transport import connect_probe
from boragefold.transport import http_client
from boragefold.transport import streams

# How a connection ended that may have been closed behind a whole answer.
CLOSED = "closed"
# How answers of a process that has ended break. Others fail a request for
# reasons of its own, such as its deadline.
BREAK_REASONS = frozenset(
    {
        streams.END_OF_INPUT,
        streams.RESET,
        break_evidence.INSIDE_EVENT,
        break_evidence.BEHIND_HEAD,
    }
)
# A lost packet delays the answer to a probe beyond its timeout, and a process
# that ends accepts connections for a moment.
MAX_PROBES = 4
# A process that ends closes its connections before it stops listening.
SETTLE_SECONDS = 0.02
# Connections of a process that ends close within this time.
SAME_MOMENT_SECONDS = 0.1
# A caller has all of its answer but the end while the endpoint is probed.
MAX_EVIDENCE_SECONDS = 0.25
# All connections of a crashed process break within this time.
CASE_SECONDS = 2.0
# Limits the length of a log line.
MAX_LOGGED_SUSPECTS = 64
MILLISECONDS = 1000.0
# Other instances may know of a crash.
MAYBE_CRASHED = frozenset(
    {break_evidence.BreakCause.ALIVE, break_evidence.BreakCause.UNKNOWN}
)
# What ended in good order then may have been cut off, too.
MAY_CUT_CLOSINGS = frozenset(
    {break_evidence.BreakCause.CRASHED, break_evidence.BreakCause.UNKNOWN}
)
UNDECIDED = frozenset(
    {
        connect_probe.ProbeResult.DROPPED,
        connect_probe.ProbeResult.NO_ANSWER,
    }
)

CheckRefusal = Callable[
    [
        deployment.EndpointRecord,
        Callable[[connect_probe.ProbeResult], None],
    ],
    None,
]


ListSuspects = Callable[[], tuple[crash_messages.Suspect, ...]]


class Closing(NamedTuple):
    """A request whose answer ended as its connection was closed."""

    list_suspects: ListSuspects
    closed_at_seconds: float
    on_evidence: Callable[[break_evidence.ClosingEvidence], None]


@dataclasses.dataclass(kw_only=True)
class BreakCase:
    """The connections that broke at one endpoint at about the same time.

    ``closings`` are those that may have been closed behind whole answers.
    """

    record: deployment.EndpointRecord
    began_at_seconds: float
    broke_at_seconds: float = -math.inf
    reasons: set[str] = dataclasses.field(default_factory=set)
    suspects: list[crash_messages.Suspect] = dataclasses.field(
        default_factory=list
    )
    closings: list[Closing] = dataclasses.field(default_factory=list)
    probes: int = 0
    cause: break_evidence.BreakCause = break_evidence.BreakCause.PENDING


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
        on_crash: Callable[[break_evidence.DetectedCrash], None],
        on_unproven: Callable[[break_evidence.DetectedCrash], None] = (
            lambda crash: None
        ),
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
        :param on_unproven: called with breaks that may be a crash, which
            others may know
        :param check_refusal: tells an endpoint that has ended from a path
            that refuses connections
        """
        self._client = client
        self._fleet = fleet
        self._timers = timers
        self._counters = counters
        self._log = log
        self._on_crash = on_crash
        self._on_unproven = on_unproven
        self._check_refusal = check_refusal
        self._cases: dict[break_evidence.EndpointLife, BreakCase] = {}

    def record_broken(
        self,
        record: deployment.EndpointRecord,
        reason: str,
        *,
        causes: crash_causes.RequestCauses,
        ran_seconds: float,
    ) -> None:
        """Record that the connection of a running request broke.

        :param record: the endpoint, as it was when the request was sent
        :param reason: how the connection broke
        :param causes: those of the request
        :param ran_seconds: how long ago the request was sent there
        """
        if reason not in BREAK_REASONS:
            return
        case = self._find_case(record)
        suspects = describe_suspects(causes, ran_seconds)
        case.broke_at_seconds = self._timers.now_seconds()
        case.reasons.add(reason)
        case.suspects += suspects
        if case.cause is break_evidence.BreakCause.CRASHED:
            self._report(_life_of(record), suspects)

    def check_closing(
        self,
        record: deployment.EndpointRecord,
        *,
        on_evidence: Callable[[break_evidence.ClosingEvidence], None],
        list_suspects: ListSuspects = tuple,
    ) -> None:
        """Find out why an endpoint closed a connection behind an answer.

        :param record: the endpoint, as it was when the request was sent
        :param on_evidence: called once, within ``MAX_EVIDENCE_SECONDS``
        :param list_suspects: called after a crash; a peer whose request it is
            knows them itself
        """
        case = self._find_case(record)
        now_seconds = self._timers.now_seconds()
        case.reasons.add(CLOSED)
        closing = Closing(list_suspects, now_seconds, on_evidence)
        if case.cause is break_evidence.BreakCause.CRASHED:
            self._report(_life_of(record), list_suspects())
            on_evidence(_describe_evidence(case, closing, listens=False))
            return
        case.closings.append(closing)
        self._timers.once(
            delay_seconds=MAX_EVIDENCE_SECONDS,
            callback=lambda: self._stop_waiting(case, closing),
        )

    def _find_case(self, record: deployment.EndpointRecord) -> BreakCase:
        life = _life_of(record)
        case = self._cases.get(life)
        if case is None:
            case = BreakCase(
                record=record, began_at_seconds=self._timers.now_seconds()
            )
            self._cases[life] = case
            self._probe(life, case)
        return case

    def _stop_waiting(self, case: BreakCase, closing: Closing) -> None:
        if closing in case.closings:
            case.closings.remove(closing)
            evidence = _describe_evidence(case, closing, listens=False)
            closing.on_evidence(evidence)

    def _probe(
        self, life: break_evidence.EndpointLife, case: BreakCase
    ) -> None:
        case.probes += 1
        self._client.probe(
            case.record.address,
            lambda result: self._judge(life, case, result),
            settle_seconds=SETTLE_SECONDS,
        )

    def _judge(
        self,
        life: break_evidence.EndpointLife,
        case: BreakCase,
        result: connect_probe.ProbeResult,
    ) -> None:
        if result in UNDECIDED and case.probes < MAX_PROBES:
            self._probe(life, case)
            return
        listed = self._fleet.endpoint(life.name)
        if (
            break_evidence.find_cause(result, listed)
            is break_evidence.BreakCause.CRASHED
        ):
            self._check_refusal(
                case.record,
                lambda checked: self._conclude(life, case, checked),
            )
        else:
            self._conclude(life, case, result)

    def _conclude(
        self,
        life: break_evidence.EndpointLife,
        case: BreakCase,
        result: connect_probe.ProbeResult,
    ) -> None:
        listed = self._fleet.endpoint(life.name)
        case.cause = break_evidence.find_cause(result, listed)
        closings, case.closings = case.closings, []
        if case.cause in MAY_CUT_CLOSINGS:
            case.suspects += itertools.chain.from_iterable(
                closing.list_suspects() for closing in closings
            )
        if case.suspects:
            self._write(life, case, result, listed)
        if case.cause is break_evidence.BreakCause.CRASHED:
            self._report(life, case.suspects)
            self._timers.once(
                delay_seconds=CASE_SECONDS,
                callback=lambda: self._close(life),
            )
        else:
            if case.suspects and case.cause in MAYBE_CRASHED:
                self._on_unproven(
                    break_evidence.DetectedCrash(life, tuple(case.suspects))
                )
            # The next break may have another cause.
            self._close(life)
        listens = result is connect_probe.ProbeResult.ACCEPTED
        for closing in closings:
            evidence = _describe_evidence(case, closing, listens=listens)
            closing.on_evidence(evidence)

    def _report(
        self,
        life: break_evidence.EndpointLife,
        suspects: Iterable[crash_messages.Suspect],
    ) -> None:
        known = tuple(suspects)
        if known:
            self._on_crash(break_evidence.DetectedCrash(life, known))

    def _close(self, life: break_evidence.EndpointLife) -> None:
        del self._cases[life]

    def _write(
        self,
        life: break_evidence.EndpointLife,
        case: BreakCase,
        result: connect_probe.ProbeResult,
        listed: deployment.EndpointRecord | None,
    ) -> None:
        self._counters.add("endpoint_breaks", case.cause.value)
        requests = [
            each
            for each in case.suspects
            if not crash_causes.is_part(each.fingerprint)
        ]
        parts = collections.Counter(
            each.fingerprint
            for each in case.suspects
            if crash_causes.is_part(each.fingerprint)
        )
        took_seconds = self._timers.now_seconds() - case.began_at_seconds
        self._log.write(
            "endpoint_broke",
            endpoint=life.name,
            crash=crash_causes.describe(life.crash),
            born_milliseconds=life.born_milliseconds,
            verdict=case.cause.value,
            reasons=sorted(case.reasons),
            broken=len(requests),
            suspects={
                crash_causes.describe(each.fingerprint): each.ran_milliseconds
                for each in requests[:MAX_LOGGED_SUSPECTS]
            },
            parts={
                crash_causes.describe(part): count
                for part, count in parts.most_common(MAX_LOGGED_SUSPECTS)
            },
            probe=result.value,
            probes=case.probes,
            took_seconds=round(took_seconds, 4),
            listed=listed is not None,
            leaving=listed is not None and listed.leaving,
        )


def _life_of(record: deployment.EndpointRecord) -> break_evidence.EndpointLife:
    return break_evidence.EndpointLife(record.name, record.born_milliseconds)


def describe_suspects(
    causes: crash_causes.RequestCauses, ran_seconds: float
) -> tuple[crash_messages.Suspect, ...]:
    """List what may have crashed an endpoint that cut off a request.

    :param causes: those of the request
    :param ran_seconds: how long ago the request was sent there
    :return: the suspects
    """
    ran_milliseconds = round(ran_seconds * MILLISECONDS)
    return tuple(
        crash_messages.Suspect(cause, ran_milliseconds) for cause in causes.all
    )


def _describe_evidence(
    case: BreakCase, closing: Closing, *, listens: bool
) -> break_evidence.ClosingEvidence:
    apart_seconds = abs(case.broke_at_seconds - closing.closed_at_seconds)
    return break_evidence.ClosingEvidence(
        cause=case.cause,
        listens=listens,
        others_broke=apart_seconds <= SAME_MOMENT_SECONDS,
    )


__all__ = [
    "CrashDetector",
    "describe_suspects",
]

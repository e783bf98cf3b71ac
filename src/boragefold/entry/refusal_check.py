"""Finds out whether an endpoint that refuses connections has ended.

A path that is cut may refuse connections, too. An endpoint has ended if no
peer reaches it, while this instance reaches others.
"""

from __future__ import annotations

from collections.abc import Callable
import functools
import random

from boragefold.coordination.fleet import path_inquiries
from boragefold.protocol import paths
from boragefold.state import deployment
from boragefold.state import fleet as fleets
from boragefold.telemetry import decision_log
from boragefold.transport import connect_probe
from boragefold.transport import http_client

# Others may have ended at the same time.
MAX_CONTROLS = 3
ACCEPTED = connect_probe.ProbeResult.ACCEPTED
REFUSED = connect_probe.ProbeResult.REFUSED
NO_ANSWER = connect_probe.ProbeResult.NO_ANSWER

OnResult = Callable[[connect_probe.ProbeResult], None]


class RefusalChecks:
    """Checks refused connections."""

    def __init__(
        self,
        *,
        client: http_client.HttpClient,
        fleet: fleets.Fleet,
        inquiries: path_inquiries.PathInquiries,
        rng: random.Random,
        log: decision_log.DecisionLog,
    ) -> None:
        """Begin without checks.

        :param client: opens connections
        :param fleet: the published endpoints
        :param inquiries: asks the peers
        :param rng: chooses the other endpoints
        :param log: gets a line for each check without a verdict
        """
        self._client = client
        self._fleet = fleet
        self._inquiries = inquiries
        self._rng = rng
        self._log = log

    def begin(
        self, record: deployment.EndpointRecord, on_result: OnResult
    ) -> None:
        """Check an endpoint that refused a connection.

        :param record: the endpoint
        :param on_result: called once: ``ACCEPTED`` if a peer reaches it,
            ``REFUSED`` if it has ended, otherwise ``NO_ANSWER``
        """
        others = [
            found
            for name in self._fleet.names()
            if name != record.name
            and (found := self._fleet.endpoint(name)) is not None
        ]
        controls = self._rng.sample(others, min(MAX_CONTROLS, len(others)))
        results: dict[str, str] = {}

        def conclude(result: connect_probe.ProbeResult) -> None:
            if result is NO_ANSWER:
                self._log.write(
                    "refusal_unexplained", endpoint=record.name, probes=results
                )
            on_result(result)

        check = RefusalCheck(controls=len(controls), on_result=conclude)

        def record_control(
            name: str, result: connect_probe.ProbeResult
        ) -> None:
            results[name] = result.value
            check.record_control(result)

        for control in controls:
            self._client.probe(
                control.address,
                functools.partial(record_control, control.name),
            )
        self._inquiries.ask(
            record.name,
            on_reached=check.record_reaching,
            on_end=check.record_inquiry_end,
        )


class RefusalCheck:
    """One check, until all results are there."""

    def __init__(self, *, controls: int, on_result: OnResult) -> None:
        self._controls_left = controls
        self._control_accepted = not controls
        self._reached_by_peer = False
        self._asking = True
        self._on_result: OnResult | None = on_result

    def record_control(self, result: connect_probe.ProbeResult) -> None:
        """Record whether this instance reaches another endpoint.

        :param result: of a connection there
        """
        self._controls_left -= 1
        self._control_accepted |= result is ACCEPTED
        self._conclude()

    def record_reaching(self, path: paths.Path | None) -> None:
        """Record that a peer reaches the endpoint.

        :param path: how it could be reached through that peer
        """
        self._reached_by_peer = True
        self._conclude()

    def record_inquiry_end(self, reached: bool, asked: int) -> None:
        """Record that no more peers will be asked.

        :param reached: whether any of them reaches the endpoint
        :param asked: how many were asked
        """
        self._asking = False
        self._conclude()

    def _conclude(self) -> None:
        on_result = self._on_result
        if on_result is None:
            return
        if self._reached_by_peer:
            result = ACCEPTED
        elif self._asking:
            return
        elif self._control_accepted:
            result = REFUSED
        elif self._controls_left:
            return
        else:
            result = NO_ANSWER
        self._on_result = None
        on_result(result)


__all__ = [
    "RefusalChecks",
]

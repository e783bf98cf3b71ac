"""Finds out whether an endpoint that refuses connections has ended.

A path that is cut may refuse connections, too. An endpoint has ended if no
peer reaches it, while this instance reaches others.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import functools
import itertools
import random

from boragefold.coordination.fleet import path_inquiries
from boragefold.protocol import paths
from boragefold.state import deployment
from boragefold.state import fleet as fleets
from boragefold.telemetry import decision_log
from boragefold.transport import connect_probe
from boragefold.transport import http_client

# How many others are tried at first, and then if none of them accepts: they
# may have ended at the same time.
CONTROLS = 3
FURTHER_CONTROLS = 12
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
        controls = Controls(
            client=self._client, others=self._list_others(record.name)
        )

        def conclude(result: connect_probe.ProbeResult) -> None:
            if result is NO_ANSWER:
                self._log.write(
                    "refusal_unexplained",
                    endpoint=record.name,
                    probes=controls.results,
                )
            on_result(result)

        check = RefusalCheck(
            controls=controls.probe(CONTROLS, lambda: check),
            on_result=conclude,
            probe_further=lambda: controls.probe(
                FURTHER_CONTROLS, lambda: check
            ),
        )
        self._inquiries.ask(
            record.name,
            on_reached=check.record_reaching,
            on_end=check.record_inquiry_end,
        )

    def _list_others(
        self, endpoint: str
    ) -> Iterator[deployment.EndpointRecord]:
        names = [name for name in self._fleet.names() if name != endpoint]
        self._rng.shuffle(names)
        found = map(self._fleet.endpoint, names)
        return (record for record in found if record is not None)


class Controls:
    """Other endpoints that are tried, and how each reacted."""

    def __init__(
        self,
        *,
        client: http_client.HttpClient,
        others: Iterator[deployment.EndpointRecord],
    ) -> None:
        """Try none yet.

        :param client: opens connections
        :param others: the endpoints, in the order in which they are tried
        """
        self._client = client
        self._others = others
        self.results: dict[str, str] = {}

    def probe(self, count: int, find_check: Callable[[], RefusalCheck]) -> int:
        """Try the next ones.

        :param count: how many at most
        :param find_check: returns the check that gets the results
        :return: how many there are
        """
        chosen = list(itertools.islice(self._others, count))
        for control in chosen:
            self._client.probe(
                control.address,
                functools.partial(self._record, control.name, find_check),
            )
        return len(chosen)

    def _record(
        self,
        name: str,
        find_check: Callable[[], RefusalCheck],
        result: connect_probe.ProbeResult,
    ) -> None:
        self.results[name] = result.value
        find_check().record_control(result)


class RefusalCheck:
    """One check, until all results are there."""

    def __init__(
        self,
        *,
        controls: int,
        on_result: OnResult,
        probe_further: Callable[[], int] = lambda: 0,
    ) -> None:
        """Wait for the results.

        :param controls: how many other endpoints are tried
        :param on_result: called once
        :param probe_further: tries more of them, and returns how many
        """
        self._controls_left = controls
        self._probe_further = probe_further
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
        elif further := self._take_further():
            self._controls_left = further
            return
        else:
            result = NO_ANSWER
        self._on_result = None
        on_result(result)

    def _take_further(self) -> int:
        probe_further, self._probe_further = self._probe_further, lambda: 0
        return probe_further()


__all__ = [
    "RefusalChecks",
]

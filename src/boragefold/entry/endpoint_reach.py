"""Finds out which endpoints this instance reaches, and how to reach them."""

from __future__ import annotations

import collections
from collections.abc import Callable
import math
from typing import NamedTuple

from boragefold.coordination.fleet import path_inquiries
from boragefold.policy import endpoint_paths
from boragefold.protocol import paths
from boragefold.state import fleet as fleets
from boragefold.telemetry import counters as telemetry
from boragefold.telemetry import decision_log
from boragefold.timing import timers as timing
from boragefold.transport import connect_probe
from boragefold.transport import http_client
from boragefold.transport import path_finder

# The end of a partition is noticed this soon, at a connection each.
PROBE_SECONDS = 0.5
# Whoever is cut off from one endpoint may be cut off from all.
SCAN_SECONDS = 2.0
# Silence goes on after a probe that showed the path sound.
SILENT_PROBE_SECONDS = 3.0
# A call that waits longer for the peers' word is better sent elsewhere.
WAIT_SECONDS = 0.05
REACHED = endpoint_paths.Reach.REACHED
SUSPECTED = endpoint_paths.Reach.SUSPECTED
CUT_OFF = endpoint_paths.Reach.CUT_OFF
DOWN = endpoint_paths.Reach.DOWN


class WaitingCall(NamedTuple):
    """A call that waits for the peers' word on its endpoint."""

    tried: tuple[str, ...]
    on_path: path_finder.OnPath


class EndpointReach(path_finder.PathFinder):
    """Asks peers and probes endpoints, and finds paths accordingly."""

    def __init__(
        self,
        *,
        client: http_client.HttpClient,
        fleet: fleets.Fleet,
        timers: timing.TimerService,
        counters: telemetry.Counters,
        log: decision_log.DecisionLog,
        choice: endpoint_paths.PathChoice,
        inquiries: path_inquiries.PathInquiries,
        on_changed: Callable[[str], None],
    ) -> None:
        """Begin with all endpoints reached.

        :param client: opens the connections; asks this object for paths
        :param fleet: the published endpoints
        :param timers: the process clock
        :param counters: counts the changes
        :param log: gets a line for each change
        :param choice: knows the paths
        :param inquiries: asks the peers
        :param on_changed: called with an endpoint's name when it turns out
            that this instance is cut off from it, and when it is reached again
        """
        self._client = client
        self._fleet = fleet
        self._timers = timers
        self._counters = counters
        self._log = log
        self._choice = choice
        self._on_changed = on_changed
        self._inquiries = inquiries
        self._waiting: dict[str, list[WaitingCall]] = collections.defaultdict(
            list
        )
        self._probing: set[str] = set()
        self._probed_at_seconds: dict[str, float] = {}
        self._scanned_at_seconds = -math.inf
        client.path_finder = self
        timers.every(period_seconds=PROBE_SECONDS, callback=self._review)

    def is_cut_off(self, endpoint: str) -> bool:
        """Tell whether only peers reach an endpoint.

        :param endpoint: its name
        :return: whether it is cut off from this instance
        """
        return self._choice.is_cut_off(endpoint)

    def is_down(self, endpoint: str) -> bool:
        """Tell whether nobody is known to reach an endpoint.

        :param endpoint: its name
        :return: whether a request would be sent there in vain
        """
        return self._choice.reach(endpoint) is DOWN

    def find(
        self,
        endpoint: str,
        *,
        tried: tuple[str, ...],
        on_path: path_finder.OnPath,
    ) -> None:
        """Choose the path of a new connection, if need be after an inquiry.

        :param endpoint: name of the endpoint
        :param tried: peers of the paths that failed for this call, in order
        :param on_path: called once; None if no path is known to work
        """
        if self._choice.reach(endpoint) is SUSPECTED:
            call = WaitingCall(tried, on_path)
            self._waiting[endpoint].append(call)
            self._timers.once(
                delay_seconds=WAIT_SECONDS,
                callback=lambda: self._give_up(endpoint, call),
            )
        else:
            on_path(self._choose(endpoint, tried))

    def record_opened(self, endpoint: str, path: paths.Path) -> None:
        """Record that a connection was opened.

        :param endpoint: name of the endpoint
        :param path: how it was opened
        """
        if path.peer:
            return
        before = self._choice.reach(endpoint)
        if before is REACHED:
            return
        now_seconds = self._timers.now_seconds()
        lost_seconds = now_seconds - self._choice.since_seconds(endpoint)
        self._choice.record_opened(endpoint)
        if before is not SUSPECTED:
            self._write(
                "path_found",
                endpoint,
                before=before.value,
                lost_seconds=round(lost_seconds, 3),
            )
            self._on_changed(endpoint)
        self._settle(endpoint)

    def record_failed(
        self, endpoint: str, path: paths.Path, reason: str
    ) -> None:
        """Record that a connection could not be opened.

        :param endpoint: name of the endpoint
        :param path: how it was tried
        :param reason: why it failed
        """
        self._counters.add("paths_failed", "tunnel" if path.peer else "direct")
        ask_now = self._choice.record_failed(
            endpoint, path, now_seconds=self._timers.now_seconds()
        )
        if ask_now:
            self._inquire(endpoint, reason)

    def record_silent(self, endpoint: str) -> None:
        """Check the direct path to an endpoint from which nothing comes.

        :param endpoint: name of the endpoint
        """
        now_seconds = self._timers.now_seconds()
        probed_at_seconds = self._probed_at_seconds.get(endpoint, -math.inf)
        if (
            self._choice.reach(endpoint) is REACHED
            and now_seconds - probed_at_seconds > SILENT_PROBE_SECONDS
        ):
            self._probe(endpoint)

    def check(self, endpoint: str, on_result: Callable[[bool], None]) -> None:
        """Find out whether this instance can connect to an endpoint now.

        :param endpoint: its name
        :param on_result: called once, with whether it can
        """
        record = self._fleet.endpoint(endpoint)
        if record is None or self._choice.reach(endpoint) in (CUT_OFF, DOWN):
            on_result(False)
        else:
            self._client.probe(
                record.address,
                lambda result: on_result(
                    result is connect_probe.ProbeResult.ACCEPTED
                ),
            )

    def _choose(
        self, endpoint: str, tried: tuple[str, ...]
    ) -> paths.Path | None:
        return self._choice.choose(
            endpoint, tried=tried, now_seconds=self._timers.now_seconds()
        )

    def _inquire(self, endpoint: str, reason: str) -> None:
        began_at_seconds = self._timers.now_seconds()
        self._choice.record_inquiry(endpoint, now_seconds=began_at_seconds)

        def on_reached(path: paths.Path | None) -> None:
            if path is not None:
                self._record_reaching(endpoint, path, reason)

        def on_end(reached: bool, asked: int) -> None:
            if self._choice.record_inquiry_end(endpoint):
                took_seconds = self._timers.now_seconds() - began_at_seconds
                self._write(
                    "endpoint_unreached",
                    endpoint,
                    reason=reason,
                    asked=asked,
                    reached=reached,
                    took_seconds=round(took_seconds, 4),
                )
            self._settle(endpoint)

        self._inquiries.ask(endpoint, on_reached=on_reached, on_end=on_end)

    def _record_reaching(
        self, endpoint: str, path: paths.Path, reason: str
    ) -> None:
        if self._choice.record_reaching(endpoint, path):
            self._write("path_lost", endpoint, reason=reason, peer=path.peer)
            self._client.drop_idle(
                lambda name, used: name == endpoint and not used.peer
            )
            self._on_changed(endpoint)
            # A sound endpoint that was silent for a moment accepts again.
            self._probe(endpoint)
            self._scan()
        self._settle(endpoint)

    def _give_up(self, endpoint: str, call: WaitingCall) -> None:
        if call in self._waiting.get(endpoint, ()):
            self._waiting[endpoint].remove(call)
            call.on_path(None)

    def _settle(self, endpoint: str) -> None:
        # The calls that waited for the peers' word.
        if self._choice.reach(endpoint) is SUSPECTED:
            return
        for call in self._waiting.pop(endpoint, ()):
            call.on_path(self._choose(endpoint, call.tried))

    def _probe(self, endpoint: str) -> None:
        record = self._fleet.endpoint(endpoint)
        if record is None or endpoint in self._probing:
            return
        self._probing.add(endpoint)
        self._probed_at_seconds[endpoint] = self._timers.now_seconds()
        self._counters.add("path_probes", "")
        self._client.probe(
            record.address, lambda result: self._probed(endpoint, result)
        )

    def _probed(
        self, endpoint: str, result: connect_probe.ProbeResult
    ) -> None:
        self._probing.discard(endpoint)
        if result is connect_probe.ProbeResult.ACCEPTED:
            self.record_opened(endpoint, paths.DIRECT)
            return
        self.record_failed(endpoint, paths.DIRECT, result.value)
        if self._choice.reach(endpoint) is CUT_OFF:
            self._client.abandon_silent(endpoint)

    def _scan(self) -> None:
        now_seconds = self._timers.now_seconds()
        if now_seconds - self._scanned_at_seconds < SCAN_SECONDS:
            return
        self._scanned_at_seconds = now_seconds
        for endpoint in list(self._fleet.names()):
            if self._choice.reach(endpoint) is REACHED:
                self._probe(endpoint)

    def _review(self) -> None:
        for endpoint in self._choice.not_reached():
            if self._fleet.endpoint(endpoint) is None:
                self._choice.drop(endpoint)
                self._probed_at_seconds.pop(endpoint, None)
                self._settle(endpoint)
                continue
            self._probe(endpoint)
            now_seconds = self._timers.now_seconds()
            if self._choice.is_inquiry_due(endpoint, now_seconds=now_seconds):
                self._inquire(endpoint, "asked_again")
        self._client.drop_idle(self._is_needless)

    def _is_needless(self, endpoint: str, path: paths.Path) -> bool:
        # Unused tunnels would hold up a peer's planned stop.
        return bool(path.peer) and (
            self._choice.reach(endpoint) is REACHED
            or not self._choice.is_staying(path.peer)
        )

    def _write(self, event: str, endpoint: str, **fields: object) -> None:
        self._counters.add("path_changes", event)
        self._log.write(event, endpoint=endpoint, **fields)


__all__ = [
    "EndpointReach",
]

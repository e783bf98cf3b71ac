"""Telling neighbours what waits here, and which endpoint holds what."""

from __future__ import annotations

from collections.abc import Callable

from boragefold.coordination import link as links
from boragefold.policy import fleet_events
from boragefold.policy import work as works
from boragefold.protocol import fleet_messages
from boragefold.protocol import ids
from boragefold.telemetry import counters as telemetry
from boragefold.timing import timers as timing

# Four a second: placement's ticks are finer, but a load takes 0.25 s anyway.
PERIOD_SECONDS = 0.25


class WorkDigests:
    """Sends our digest to the other instances, and takes in theirs."""

    def __init__(
        self,
        *,
        link: links.PeerLink,
        peers: Callable[[], list[ids.InstanceId]],
        events: fleet_events.FleetEvents,
        timers: timing.TimerService,
        counters: telemetry.Counters,
        changed: Callable[[], None],
    ) -> None:
        self._link = link
        self._peers = peers
        self._events = events
        self._timers = timers
        self._counters = counters
        self._changed = changed
        link.subscribe(fleet_messages.WorkDigest, self._on_digest)
        link.subscribe(fleet_messages.AdapterLoaded, self._on_loaded)

    def start(self) -> None:
        """Begin to send."""
        self._timers.every(period_seconds=PERIOD_SECONDS, callback=self._send)

    def tell_loaded(
        self, endpoint: str, adapter: works.AdapterVersion
    ) -> None:
        """Tell the others that an endpoint holds an adapter now.

        :param endpoint: its name
        :param adapter: the adapter version
        """
        body = fleet_messages.AdapterLoaded(endpoint, adapter)
        for peer in self._peers():
            self._link.send(to=peer, body=body)

    def _send(self) -> None:
        digest = self._events.digest()
        if not (digest.waiting or digest.arrived or digest.in_use):
            return
        body = fleet_messages.WorkDigest(digest)
        for peer in self._peers():
            self._link.send(to=peer, body=body)

    def _on_digest(
        self, sender: ids.InstanceId, body: fleet_messages.WorkDigest
    ) -> None:
        self._events.peer(
            sender.incarnation,
            body.digest,
            now_seconds=self._timers.now_seconds(),
        )

    def _on_loaded(
        self, sender: ids.InstanceId, body: fleet_messages.AdapterLoaded
    ) -> None:
        self._events.loaded(
            body.endpoint,
            body.adapter,
            now_seconds=self._timers.now_seconds(),
        )
        self._changed()


__all__ = [
    "WorkDigests",
]

"""Exchanges digests of queued work and loaded adapters with peers."""

from __future__ import annotations

from collections.abc import Callable

from boragefold.coordination import link as links
from boragefold.policy import actions
from boragefold.policy import fleet_events
from boragefold.policy import work as works
from boragefold.protocol import fleet_messages
from boragefold.protocol import ids
from boragefold.timing import timers as timing


class WorkDigests:
    """Sends digests to the instances concerned, and applies received ones."""

    def __init__(
        self,
        *,
        link: links.PeerLink,
        peers: Callable[[], list[ids.InstanceId]],
        view_members: Callable[[], list[ids.InstanceId]],
        events: fleet_events.FleetEvents,
        timers: timing.TimerService,
        on_changed: Callable[[], None],
    ) -> None:
        self._link = link
        self._peers = peers
        self._view_members = view_members
        self._events = events
        self._timers = timers
        self._on_changed = on_changed
        link.subscribe(fleet_messages.WorkDigest, self._on_digest)
        link.subscribe(fleet_messages.AdapterLoaded, self._on_loaded)

    def send_digest(self, message: actions.SendDigest) -> None:
        """Send a digest to the instance that decides about its content.

        :param message: the receiver and the digest
        """
        body = fleet_messages.WorkDigest(message.digest)
        for peer in self._peers():
            if peer.incarnation == message.peer:
                self._link.send(to=peer, body=body)

    def announce_loaded(
        self, endpoint: str, adapter: works.AdapterVersion
    ) -> None:
        """Tell this instance's data centre that an endpoint loaded an adapter.

        Others learn it from the endpoint's next load report.

        :param endpoint: its name
        :param adapter: the adapter version
        """
        body = fleet_messages.AdapterLoaded(endpoint, adapter)
        for peer in self._view_members():
            self._link.send(to=peer, body=body)

    def _on_digest(
        self, sender: ids.InstanceId, body: fleet_messages.WorkDigest
    ) -> None:
        self._events.receive_digest(
            sender.incarnation,
            body.digest,
            now_seconds=self._timers.now_seconds(),
        )
        self._on_changed()

    def _on_loaded(
        self, sender: ids.InstanceId, body: fleet_messages.AdapterLoaded
    ) -> None:
        self._events.loaded(
            body.endpoint,
            body.adapter,
            now_seconds=self._timers.now_seconds(),
        )
        self._on_changed()


__all__ = [
    "WorkDigests",
]

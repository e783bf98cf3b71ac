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
        others: Callable[[], list[ids.InstanceId]],
        neighbours: Callable[[], list[ids.InstanceId]],
        events: fleet_events.FleetEvents,
        timers: timing.TimerService,
        changed: Callable[[], None],
    ) -> None:
        self._link = link
        self._others = others
        self._neighbours = neighbours
        self._events = events
        self._timers = timers
        self._changed = changed
        link.subscribe(fleet_messages.WorkDigest, self._on_digest)
        link.subscribe(fleet_messages.AdapterLoaded, self._on_loaded)

    def tell(self, tell: actions.SendDigest) -> None:
        """Send a digest to the instance that decides about its content.

        :param tell: the receiver and the digest
        """
        body = fleet_messages.WorkDigest(tell.digest)
        for peer in self._others():
            if peer.incarnation == tell.peer:
                self._link.send(to=peer, body=body)

    def tell_loaded(
        self, endpoint: str, adapter: works.AdapterVersion
    ) -> None:
        """Tell this instance's data centre that an endpoint loaded an adapter.

        Others learn it from the endpoint's next load report.

        :param endpoint: its name
        :param adapter: the adapter version
        """
        body = fleet_messages.AdapterLoaded(endpoint, adapter)
        for peer in self._neighbours():
            self._link.send(to=peer, body=body)

    def _on_digest(
        self, sender: ids.InstanceId, body: fleet_messages.WorkDigest
    ) -> None:
        self._events.receive_digest(
            sender.incarnation,
            body.digest,
            now_seconds=self._timers.now_seconds(),
        )
        self._changed()

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

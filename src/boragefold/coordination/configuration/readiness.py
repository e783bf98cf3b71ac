"""Decides when an instance's configuration suffices to answer callers."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

from boragefold.coordination.configuration import watching
from boragefold.protocol import ids
from boragefold.state import tree as trees
from boragefold.timing import timers as timing

# How long a starting instance that has read the platform waits for a peer
# with newer values.
NO_PEER_SECONDS = 3.0
# How long it waits for a ready peer whose tree still differs: enough to
# transfer the whole tree.
DIFFERING_PEER_SECONDS = 10.0
# Peers of the same data centre have answered by then.
REMOTE_AFTER_SECONDS = 2.0
# After this time without an answer no source is reachable.
NO_SOURCE_AFTER_SECONDS = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ready:
    """The configuration is complete as far as reachable sources show.

    ``source`` is ``peer`` or ``platform``.
    """

    since_seconds: float
    source: str
    tag: str = "ready"


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotReady:
    """The configuration is not known yet.

    ``reason`` is one of ``asking``, ``no_source`` and ``nothing_published``.
    """

    reason: str
    remedy: str
    tag: str = "not_ready"


Readiness = Ready | NotReady


class ReadinessTracker:
    """Decides when a starting instance is ready, which is final."""

    def __init__(
        self,
        *,
        tree: trees.Tree,
        watcher: watching.TreeWatcher,
        timers: timing.TimerService,
        data_centre: str,
    ) -> None:
        self._data_centre = data_centre
        self._tree = tree
        self._watcher = watcher
        self._timers = timers
        self._ready: Ready | None = None
        self._ready_peer_seconds: float | None = None
        self._heard_local = False
        self._started_seconds = timers.now_seconds()
        self._subscribers: list[Callable[[Ready], None]] = []

    def subscribe(self, callback: Callable[[Ready], None]) -> None:
        """Call back when the instance becomes ready.

        :param callback: called once
        """
        self._subscribers.append(callback)

    def readiness(self) -> Readiness:
        """Return whether the instance is ready, with the reason if not.

        :return: ready, or why not
        """
        return self._ready or self._reason()

    def is_ready(self) -> bool:
        """Return whether the instance is ready.

        :return: whether the instance is ready
        """
        return self._ready is not None

    def on_comparison(
        self, peer: ids.InstanceId, differing: int, is_ready: bool
    ) -> None:
        """Record the result of a comparison with another instance.

        :param peer: the other instance
        :param differing: the number of buckets with newer values there
        :param is_ready: whether the other instance is ready itself
        """
        if not is_ready:
            return
        if self._ready_peer_seconds is None:
            self._ready_peer_seconds = self._timers.now_seconds()
        is_local = peer.data_centre == self._data_centre
        self._heard_local = self._heard_local or is_local
        if differing or not len(self._tree):
            return
        if is_local or self._may_rely_on_remote():
            self._become_ready("peer")

    def check(self) -> None:
        """Become ready without a peer if there is none to wait for."""
        full_read_seconds = self._watcher.full_read_seconds
        if self._ready or full_read_seconds is None or not len(self._tree):
            return
        now_seconds = self._timers.now_seconds()
        waited_seconds = now_seconds - full_read_seconds
        # A replica of the platform that lags may still hold an API key that
        # has been revoked, so a peer with newer values is waited for.
        peer_seconds = self._ready_peer_seconds
        limit_seconds = (
            NO_PEER_SECONDS if peer_seconds is None else DIFFERING_PEER_SECONDS
        )
        if waited_seconds >= limit_seconds:
            self._become_ready("platform")

    def _become_ready(self, source: str) -> None:
        if self._ready is not None:
            return
        self._ready = Ready(
            since_seconds=self._timers.now_seconds(), source=source
        )
        for callback in self._subscribers:
            callback(self._ready)

    def _reason(self) -> NotReady:
        if self._watcher.full_read_seconds is not None:
            if not len(self._tree):
                return NotReady(
                    reason="nothing_published",
                    remedy="publish a configuration; the platform has none",
                )
        elif self._ready_peer_seconds is None and self._is_overdue():
            return NotReady(
                reason="no_source",
                remedy="restore the platform's configuration service, or the"
                " connection to an instance that is ready",
            )
        return NotReady(
            reason="asking",
            remedy="wait; the configuration is being fetched",
        )

    def _may_rely_on_remote(self) -> bool:
        waited_seconds = self._timers.now_seconds() - self._started_seconds
        return not self._heard_local and waited_seconds >= REMOTE_AFTER_SECONDS

    def _is_overdue(self) -> bool:
        waited_seconds = self._timers.now_seconds() - self._started_seconds
        return waited_seconds >= NO_SOURCE_AFTER_SECONDS


__all__ = [
    "NotReady",
    "Readiness",
    "ReadinessTracker",
    "Ready",
]

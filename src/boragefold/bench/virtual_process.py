"""What one process has of a fleet in virtual time: its timers and link."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from boragefold.coordination import link as links
from boragefold.protocol import ids
from boragefold.timing import timers as timing

Post = Callable[[ids.InstanceId, ids.InstanceId, Any], None]


class ProcessTimers(timing.TimerService):
    """The timers of one process, which may be paused or dead.

    They stand in the heap of the fleet, so a step costs the same for nine
    processes and for nine hundred.
    """

    def __init__(
        self,
        *,
        shared: timing.TimerService,
        run: Callable[[timing.Callback], None],
    ) -> None:
        """Use the timers of the fleet.

        :param shared: those timers
        :param run: runs what is due, if the process can
        """
        self._shared = shared
        self._run = run

    def now_seconds(self) -> float:
        """Read the clock of the fleet.

        :return: its reading
        """
        return self._shared.now_seconds()

    def once(
        self, *, delay_seconds: float, callback: timing.Callback
    ) -> timing.Subscription:
        """Call back once.

        :param delay_seconds: after this time
        :param callback: what to run
        :return: what cancels it
        """
        return self._shared.once(
            delay_seconds=delay_seconds,
            callback=lambda: self._run(callback),
        )

    def every(
        self,
        *,
        period_seconds: float,
        callback: timing.Callback,
        first_delay_seconds: float | None = None,
    ) -> timing.Subscription:
        """Call back again and again.

        :param period_seconds: the time between two calls
        :param callback: what to run
        :param first_delay_seconds: the time before the first, if another
        :return: what cancels it
        """
        return self._shared.every(
            period_seconds=period_seconds,
            callback=lambda: self._run(callback),
            first_delay_seconds=first_delay_seconds,
        )


class ProcessLink(links.PeerLink):
    """The link of one process; the fleet carries its messages."""

    def __init__(self, *, self_id: ids.InstanceId, post: Post) -> None:
        """Begin without subscribers.

        :param self_id: who we are
        :param post: carries a message from a sender to a receiver
        """
        self._self_id = self_id
        self._post = post
        self.handlers: dict[type, Callable[[ids.InstanceId, Any], None]] = {}

    @property
    def self_id(self) -> ids.InstanceId:
        """Tell who we are.

        :return: the identity
        """
        return self._self_id

    def send(self, *, to: ids.InstanceId, body: Any) -> None:
        """Send a message.

        :param to: the receiver
        :param body: the message
        """
        self._post(self._self_id, to, body)

    def subscribe(self, kind: Any, handler: Any) -> None:
        """Receive one kind of message.

        :param kind: the message type
        :param handler: called with the sender and the message
        """
        self.handlers[kind] = handler


__all__ = [
    "ProcessLink",
    "ProcessTimers",
]

"""A check whether anything listens at an address."""

from __future__ import annotations

from collections.abc import Callable
import enum

from boragefold.timing import timers as timing
from boragefold.transport import sockets
from boragefold.transport import streams

ACCEPTED_REASON = "accepted"


class ProbeResult(enum.Enum):
    """How an address reacts to a new connection."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    # Accepted, and closed again at once.
    DROPPED = "dropped"
    NO_ANSWER = "no_answer"


class ConnectProbe(streams.StreamHandler):
    """Opens one connection and closes it without sending anything."""

    def __init__(
        self,
        *,
        sockets_: sockets.SocketSet,
        timers: timing.TimerService,
        address: str,
        timeout_seconds: float,
        on_result: Callable[[ProbeResult], None],
        settle_seconds: float = 0.0,
    ) -> None:
        """Begin to connect.

        :param sockets_: holds the connection
        :param timers: the process clock
        :param address: IP number and port
        :param timeout_seconds: how long the connection may take to open
        :param on_result: called once, never inside this call
        :param settle_seconds: how long the connection has to last; a process
            that ends accepts connections until it stops listening
        """
        self._on_result = on_result
        self._timers = timers
        self._settle_seconds = settle_seconds
        self._accepted = False
        host, _, port = address.rpartition(":")
        self._stream = sockets_.connect(
            host=host, port=int(port), handler=self
        )
        self._timeout = timers.once(
            delay_seconds=timeout_seconds,
            callback=lambda: self._stream.abort("timeout"),
        )

    def connected(self) -> None:
        """Report that the address accepts connections, if this one lasts."""
        self._accepted = True
        self._timeout.cancel()
        if not self._settle_seconds:
            self._stream.abort(ACCEPTED_REASON)
            return
        self._timeout = self._timers.once(
            delay_seconds=self._settle_seconds,
            callback=lambda: self._stream.abort(ACCEPTED_REASON),
        )

    def received(self, data: bytes) -> None:
        """Ignore what arrives.

        :param data: bytes
        """

    def drained(self) -> None:
        """Do nothing: nothing is written."""

    def closed(self, reason: str) -> None:
        """Report the result.

        :param reason: why the connection is gone
        """
        self._timeout.cancel()
        self._on_result(self._result(reason))

    def _result(self, reason: str) -> ProbeResult:
        if reason == ACCEPTED_REASON:
            return ProbeResult.ACCEPTED
        if self._accepted:
            return ProbeResult.DROPPED
        if reason == "refused":
            return ProbeResult.REFUSED
        return ProbeResult.NO_ANSWER


__all__ = [
    "ConnectProbe",
    "ProbeResult",
]

"""A loop under the test's control, with raw sockets on loopback."""

from __future__ import annotations

from collections.abc import Callable
import socket

from boragefold.timing import clock as clocks
from boragefold.timing import timers as timing
from boragefold.transport import http_client
from boragefold.transport import loop as loops
from boragefold.transport import sockets

TICKS = 60
TICK_SECONDS = 0.001


class Loopback:
    """A loop on a virtual clock; the test turns it."""

    def __init__(self) -> None:
        self.clock = clocks.VirtualClock()
        self.timers = timing.TimerService(clock=self.clock)
        self.loop = loops.Loop(timers=self.timers)
        self.loop._running = True
        self.sockets = sockets.SocketSet(poller=self.loop.poller)
        self.sockets.register(self.loop)
        self.client = http_client.HttpClient(
            sockets_=self.sockets, timers=self.timers
        )

    def turn(self, until: Callable[[], bool] = lambda: False) -> None:
        for _ in range(TICKS):
            if until():
                return
            self.loop.tick(timeout=TICK_SECONDS)

    def pass_time(self, duration_seconds: float) -> None:
        self.clock.move_to(self.clock.now_seconds() + duration_seconds)
        self.turn()

    def connect(self, port: int) -> socket.socket:
        sock = socket.create_connection(("127.0.0.1", port))
        sock.setblocking(False)
        return sock

    def read(self, sock: socket.socket) -> bytes:
        parts: list[bytes] = []
        for _ in range(TICKS):
            self.loop.tick(timeout=TICK_SECONDS)
            try:
                part = sock.recv(65536)
            except BlockingIOError:
                continue
            except ConnectionResetError:
                break
            if not part:
                break
            parts.append(part)
        return b"".join(parts)


class Listener:
    """A raw server whose every byte the test decides."""

    def __init__(self) -> None:
        self._sock = socket.create_server(("127.0.0.1", 0))
        self._sock.setblocking(False)
        self.address = f"127.0.0.1:{self._sock.getsockname()[1]}"

    def accept(self) -> socket.socket:
        accepted, _ = self._sock.accept()
        accepted.setblocking(False)
        return accepted

    def close(self) -> None:
        self._sock.close()


__all__ = [
    "Listener",
    "Loopback",
]

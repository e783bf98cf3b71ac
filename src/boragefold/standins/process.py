"""Runs one HTTP stand-in as a process of its own."""

from __future__ import annotations

from collections.abc import Callable

from boragefold.standins import endpoint_connection
from boragefold.timing import clock as clocks
from boragefold.timing import timers as timing
from boragefold.transport import http_server
from boragefold.transport import loop as loops
from boragefold.transport import sockets


def run(
    listen: str,
    make_face: Callable[[timing.TimerService], http_server.Application],
) -> None:
    """Serve until the process is stopped.

    :param listen: IP number and port
    :param make_face: makes what answers, on the process's timers
    """
    timers = timing.TimerService(clock=clocks.BootClock())
    loop = loops.Loop(timers=timers)
    sockets_ = sockets.SocketSet(poller=loop.poller).register(loop)
    face = make_face(timers)
    host, _, port = listen.rpartition(":")
    sockets_.listen(
        host=host,
        port=int(port),
        make_handler=lambda: endpoint_connection.EndpointConnection(
            application=face, on_bad_request=lambda reason: None
        ),
    )
    loop.run()


__all__ = [
    "run",
]

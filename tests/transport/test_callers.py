"""How callers' connections end while something is on its way on them."""

from __future__ import annotations

import pytest

from boragefold.telemetry import counters as telemetry
from boragefold.transport import callers
from tests.fakes import loopback

REQUEST = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
IDLE_SECONDS = 15.0
REQUEST_SECONDS = 3.0


class Case:
    def __init__(self):
        self.net = loopback.Loopback()
        self.face = callers.CallersFace(
            sockets_=self.net.sockets,
            application=lambda request, exchange: exchange.reply(
                200, [], request.body
            ),
            counters=telemetry.Counters(),
            now_seconds=self.net.timers.now_seconds,
        )
        self.face.listen(host="127.0.0.1", port=0, tls=None)
        (listener,) = self.net.sockets._listeners
        self.port = listener.getsockname()[1]

    def connect(self):
        return self.net.connect(self.port)

    def keep(self):
        sock = self.connect()
        sock.sendall(REQUEST)
        assert b"200" in self.net.read(sock)
        return sock

    def close_idle(self):
        self.net.pass_time(5.0)
        return self.face.close_idle()


@pytest.fixture
def case():
    return Case()


def test_a_request_that_lies_unread_is_answered_before_the_close(case):
    sock = case.keep()
    case.net.pass_time(5.0)
    sock.sendall(REQUEST)
    case.face.stop_listening()
    case.face.close_idle()
    assert b"200" in case.net.read(sock)


def test_a_request_of_which_half_has_come_is_answered(case):
    sock = case.connect()
    sock.sendall(REQUEST[:20])
    case.net.turn()
    case.face.stop_listening()
    case.face.close_idle()
    sock.sendall(REQUEST[20:])
    assert b"200" in case.net.read(sock)


def test_a_connection_that_waits_to_be_accepted_is_served(case):
    sock = case.connect()
    sock.sendall(REQUEST)
    case.face.stop_listening()
    case.face.close_idle()
    assert b"200" in case.net.read(sock)


def test_a_request_at_the_idle_timeout_is_answered(case):
    sock = case.keep()
    case.net.pass_time(IDLE_SECONDS + 1)
    sock.sendall(REQUEST)
    case.face.refuse_slow(
        idle_seconds=IDLE_SECONDS, request_seconds=REQUEST_SECONDS
    )
    assert b"200" in case.net.read(sock)


def test_a_quiet_connection_is_closed_when_the_process_stops(case):
    sock = case.keep()
    case.face.stop_listening()
    case.close_idle()
    case.net.turn()
    assert sock.recv(1) == b""

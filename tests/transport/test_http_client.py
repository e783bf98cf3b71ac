from __future__ import annotations

import pytest

from boragefold.transport import http_client
from boragefold.transport import whole_answer
from tests.fakes import loopback

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Side:
    def __init__(self):
        self.net = loopback.Loopback()
        self.listener = loopback.Listener()
        self.ended = []

    def call(self, *, fresh=False, address=None):
        call = http_client.Call(
            address=address or self.listener.address,
            method="GET",
            target="/",
            headers=[],
            body=b"",
            fresh=fresh,
            progress_seconds=5.0,
        )
        sink = whole_answer.WholeAnswerSink(done=self.ended.append)
        self.net.client.send(call, sink)

    def accept(self):
        found = []

        def arrived():
            try:
                found.append(self.listener.accept())
            except BlockingIOError:
                return False
            return True

        self.net.turn(arrived)
        return found[0]


@pytest.fixture
def side():
    side = Side()
    yield side
    side.listener.close()


def pooled(side):
    side.call()
    sock = side.accept()
    side.net.turn(lambda: False)
    sock.recv(65536)
    sock.sendall(WHOLE)
    side.net.turn(lambda: bool(side.ended))
    side.ended.clear()
    return sock


def test_an_idle_connection_that_died_is_replaced_before_blame(side):
    # A device between us and the endpoint has lost track of an idle
    # connection. The next call on it fails although the endpoint is well.
    old = pooled(side)
    old.close()
    side.call()
    fresh = side.accept()
    side.net.turn(lambda: False)
    fresh.recv(65536)
    fresh.sendall(WHOLE)
    side.net.turn(lambda: bool(side.ended))
    assert side.ended[0].body == b"ok"


def test_a_call_that_may_run_once_never_uses_an_idle_connection(side):
    pooled(side)
    side.call(fresh=True)
    assert side.accept() is not None


def test_a_refused_connection_cannot_have_delivered(side):
    address = side.listener.address
    side.listener.close()
    side.call(address=address)
    side.net.turn(lambda: bool(side.ended))
    assert side.ended == [
        http_client.Failure(reason="refused", may_have_arrived=False)
    ]


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", "eof"),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"4\r\nhalf\r\n",
            "eof",
        ),
        (b"HTTP/1.1 200 OK\r\n\r\nunbounded", "eof"),
        (b"nonsense\r\n\r\n", "malformed_answer"),
    ],
    ids=["short", "no last chunk", "no framing", "nonsense"],
)
def test_an_answer_that_ends_early_is_never_whole(side, data, reason):
    side.call(fresh=True)
    sock = side.accept()
    side.net.turn(lambda: False)
    sock.recv(65536)
    sock.sendall(data)
    sock.close()
    side.net.turn(lambda: bool(side.ended))
    assert side.ended == [
        http_client.Failure(reason=reason, may_have_arrived=True)
    ]


def test_silence_is_a_timeout_and_progress_is_not(side):
    # A stream that goes on is never cut for its length; a connection on
    # which nothing comes any more is given up.
    side.call(fresh=True)
    sock = side.accept()
    side.net.turn(lambda: False)
    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n")
    for _ in range(4):
        sock.sendall(b"more")
        side.net.turn(lambda: False)
        side.net.pass_time(4.0)
    assert not side.ended
    side.net.pass_time(6.0)
    assert side.ended == [
        http_client.Failure(reason="timeout", may_have_arrived=True)
    ]


def test_a_second_answer_reaches_nobody(side):
    side.call()
    sock = side.accept()
    side.net.turn(lambda: False)
    sock.recv(65536)
    sock.sendall(WHOLE + WHOLE.replace(b"ok", b"no"))
    side.net.turn(lambda: bool(side.ended))
    assert [getattr(end, "body", b"") for end in side.ended] != [b"no"]
    side.ended.clear()
    side.call()
    assert side.accept() is not None

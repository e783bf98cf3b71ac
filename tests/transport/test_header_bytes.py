"""Headers that aren't ASCII, or that no header can hold."""

from __future__ import annotations

import pytest

from boragefold.transport import callers
from boragefold.transport import client_connection
from boragefold.transport import http_client
from boragefold.transport import whole_answer
from tests.fakes import loopback


def send(net, listener, headers, target="/"):
    ended = []
    net.client.send(
        http_client.Call(
            address=listener.address,
            method="GET",
            target=target,
            headers=headers,
            body=b"",
            fresh=True,
            progress_seconds=5.0,
        ),
        whole_answer.WholeAnswerSink(done=ended.append),
    )
    net.turn()
    return ended


def test_bytes_beyond_ascii_reach_an_endpoint_unchanged():
    net, listener = loopback.Loopback(), loopback.Listener()
    send(net, listener, [("X-Note", "caf\xe9 \xc3\xa9")])
    assert b"X-Note: caf\xe9 \xc3\xa9\r\n" in listener.accept().recv(4096)


@pytest.mark.parametrize("value", ["a\r\nb", "€", "a\x0cb"])
def test_a_call_that_http_cant_express_fails_without_being_sent(value):
    net, listener = loopback.Loopback(), loopback.Listener()
    ended = send(net, listener, [("X-Note", value)])
    net.pass_time(0.1)
    (failure,) = ended
    assert failure.reason == client_connection.UNSENDABLE
    assert not failure.may_have_arrived


@pytest.mark.parametrize("value", ["caf\xe9", "spaces behind  ", "\tx"])
def test_an_endpoints_header_reaches_the_caller(value):
    net = loopback.Loopback()
    face = callers.CallersFace(
        sockets_=net.sockets,
        application=lambda request, exchange: exchange.reply(
            200, [("X-Note", value)], b""
        ),
        counters=None,
        timers=net.timers,
    )
    port = face.listen(host="127.0.0.1", port=0, tls=None)
    sock = net.connect(port)
    sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    expected = f"X-Note: {value.strip()}\r\n".encode("latin-1")
    assert expected in net.read(sock)

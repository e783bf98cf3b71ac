"""Whether anything listens at an address."""

from __future__ import annotations

import errno

import pytest

from boragefold.transport import connect_probe
from boragefold.transport import streams
from tests.fakes import loopback


@pytest.fixture
def net():
    return loopback.Loopback()


def _probe(net, address):
    results = []
    net.client.probe(address, results.append)
    net.turn(lambda: bool(results))
    return results


def test_who_listens_accepts_and_gets_nothing(net) -> None:
    listener = loopback.Listener()
    assert _probe(net, listener.address) == [
        connect_probe.ProbeResult.ACCEPTED
    ]
    assert listener.accept().recv(100) == b""
    listener.close()


def test_a_process_that_has_ended_refuses(net) -> None:
    listener = loopback.Listener()
    listener.close()
    assert _probe(net, listener.address) == [connect_probe.ProbeResult.REFUSED]


def test_a_connection_has_to_last_where_that_is_asked(net) -> None:
    # A process that ends accepts connections until it stops listening.
    listener = loopback.Listener()
    results = []
    net.client.probe(listener.address, results.append, settle_seconds=0.02)
    net.turn()
    assert not results
    net.pass_time(0.02)
    assert results == [connect_probe.ProbeResult.ACCEPTED]
    net.client.probe(listener.address, results.append, settle_seconds=0.02)
    net.turn()
    listener.close()
    net.turn(lambda: len(results) > 1)
    assert results[1] is connect_probe.ProbeResult.DROPPED


@pytest.mark.parametrize(
    ("code", "reason"),
    [
        (errno.ECONNREFUSED, "refused"),
        (errno.EHOSTUNREACH, "unreachable"),
        (errno.ENETUNREACH, "unreachable"),
        (errno.ETIMEDOUT, "unreachable"),
    ],
)
def test_only_a_refusal_tells_that_nothing_listens(code, reason) -> None:
    assert streams.connect_failure(code) == reason


def test_a_connection_that_failed_sends_nothing(net) -> None:
    # A request whose connection was closed as it opened must count as not
    # sent.
    listener = loopback.Listener()
    host, _, port = listener.address.rpartition(":")
    told = []

    class Handler(streams.StreamHandler):
        def connected(self):
            told.append("connected")

        def received(self, data):
            told.append("received")

        def drained(self):
            told.append("drained")

        def closed(self, reason):
            told.append(reason)

    stream = net.sockets.connect(host=host, port=int(port), handler=Handler())
    assert stream.connecting
    stream.on_error()
    assert told == ["unreachable"]
    listener.close()

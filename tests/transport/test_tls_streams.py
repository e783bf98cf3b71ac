"""Encrypted connections at a planned stop."""

from __future__ import annotations

import socket
import ssl

import pytest

from boragefold.transport import tls_streams


class Sock(socket.socket):
    """Refuses to look at bytes in advance, as an encrypted one does."""

    decrypted = 0

    def recv(self, *arguments):
        raise ValueError("non-zero flags not allowed in calls to recv()")

    def pending(self):
        return self.decrypted


@pytest.fixture
def ends():
    one, other = socket.socketpair()
    sock = Sock(fileno=one.detach())
    sock.setblocking(False)
    yield sock, other
    sock.close()
    other.close()


def make(sock, monkeypatch):
    monkeypatch.setattr(ssl, "SSLSocket", Sock)
    return tls_streams.TlsStream(
        owner=None, sock=sock, handler=None, connecting=False
    )


def test_bytes_that_arrived_are_seen_without_being_read(ends, monkeypatch):
    sock, other = ends
    stream = make(sock, monkeypatch)
    assert not stream.is_readable()
    other.send(b"x")
    assert stream.is_readable()
    assert socket.socket.recv(sock, 1) == b"x"


def test_decrypted_bytes_count_as_arrived(ends, monkeypatch):
    sock, _ = ends
    stream = make(sock, monkeypatch)
    sock.decrypted = 3
    assert stream.is_readable()

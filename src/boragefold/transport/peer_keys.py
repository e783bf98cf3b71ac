"""Who may speak on the peer link: CURVE keys from the settings."""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

import zmq
from zmq.utils import z85

ZAP_ADDRESS = "inproc://zeromq.zap.01"
ZAP_VERSION = b"1.0"
KEY_CHARACTERS = 40


@dataclasses.dataclass(frozen=True, kw_only=True)
class BadPeerKey:
    """A setting that is no CURVE key."""

    remedy: str = (
        "give a 40-character Z85 secret; make one with 'boragefold peer-key'"
    )


class PeerKeys(NamedTuple):
    """The key pair that all entry instances of the fleet share."""

    public: bytes
    secret: bytes

    def guard(self, socket: zmq.Socket[bytes]) -> None:
        """Accept only peers that know the key pair.

        :param socket: a socket that will be bound
        """
        socket.setsockopt(zmq.ZAP_DOMAIN, b"peers")
        socket.curve_secretkey = self.secret
        socket.curve_publickey = self.public
        socket.curve_server = True

    def introduce(self, socket: zmq.Socket[bytes]) -> None:
        """Show a peer that we know the key pair.

        :param socket: a socket that will be connected
        """
        socket.curve_secretkey = self.secret
        socket.curve_publickey = self.public
        socket.curve_serverkey = self.public


class Gate:
    """Answers ZeroMQ's question whether a peer's key is accepted.

    CURVE alone proves that the peer has some key pair, not that it has ours;
    anyone who learnt the public key could connect.
    """

    def __init__(
        self, *, context: zmq.Context[zmq.Socket[bytes]], keys: PeerKeys
    ) -> None:
        self._accepted = z85.decode(keys.public)
        self._socket = context.socket(zmq.REP)
        self._socket.bind(ZAP_ADDRESS)
        self.descriptor = int(self._socket.getsockopt(zmq.FD))

    def answer(self) -> None:
        """Answer every question that waits."""
        while True:
            try:
                frames = self._socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            accepted = frames[-1] == self._accepted
            status = [b"200", b"OK"] if accepted else [b"400", b"key"]
            reply = [ZAP_VERSION, frames[1], *status, b"", b""]
            self._socket.send_multipart(reply, zmq.NOBLOCK)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close(linger=0)


def read(secret: str) -> PeerKeys | BadPeerKey:
    """Read the secret key from the settings.

    :param secret: 40 characters of Z85
    :return: the key pair, or what to do
    """
    if len(secret) != KEY_CHARACTERS:
        return BadPeerKey()
    try:
        public = zmq.curve_public(secret.encode())
    except (ValueError, zmq.ZMQError):
        return BadPeerKey()
    return PeerKeys(public=public, secret=secret.encode())


__all__ = [
    "BadPeerKey",
    "Gate",
    "PeerKeys",
    "read",
]

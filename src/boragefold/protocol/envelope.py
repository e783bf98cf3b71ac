"""The codec of messages between entry instances."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
from typing import Any
from typing import NamedTuple
import zlib

import msgspec

from boragefold.protocol import decoding
from boragefold.protocol import ids

# Shorter messages gain nothing from compression.
COMPRESSED_FROM_BYTES = 1_500
# The fastest level; higher levels save little more.
COMPRESSION_LEVEL = 1
# First byte of a compressed message; no other message begins with it.
COMPRESSED_MARK = b"\x00"
# Longer messages come from a faulty peer; bounds the decompressed size.
MAX_BYTES = 16_777_216


class Envelope(NamedTuple):
    """A message on the wire: sender, kind and encoded body."""

    sender: ids.InstanceId
    kind: str
    body: msgspec.Raw


@dataclasses.dataclass(frozen=True, kw_only=True)
class Malformed:
    """Reports bytes that are not a valid message."""

    reason: str
    remedy: str = "run the same release on every instance of the data centre"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Received:
    """A decoded message."""

    sender: ids.InstanceId
    body: Any


class Codec:
    """Encodes and decodes messages, which are ``NamedTuple`` classes."""

    def __init__(self, *, kinds: Iterable[type]) -> None:
        self._decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {
            kind.__name__: msgspec.msgpack.Decoder(kind) for kind in kinds
        }
        self._encoder = msgspec.msgpack.Encoder()
        self._envelopes = msgspec.msgpack.Decoder(Envelope)

    def encode(self, *, sender: ids.InstanceId, body: Any) -> bytes:
        """Encode a message.

        :param sender: the instance that sends it
        :param body: an object of a registered message class
        :return: MessagePack array of sender, kind and body, compressed if it
            is long
        """
        kind = type(body).__name__
        if kind not in self._decoders:
            raise TypeError(
                f"{kind} is not a registered message class; add it"
            )
        raw = msgspec.Raw(self._encoder.encode(body))
        data = self._encoder.encode(Envelope(sender, kind, raw))
        if len(data) < COMPRESSED_FROM_BYTES:
            return data
        return COMPRESSED_MARK + zlib.compress(data, COMPRESSION_LEVEL)

    def decode(self, data: bytes) -> Received | Malformed:
        """Decode a message.

        :param data: bytes from a peer
        :return: the message, or the reason why it can't be decoded
        """
        try:
            envelope = self._envelopes.decode(_decompress(data))
            decoder = self._decoders.get(envelope.kind)
            if decoder is None:
                return Malformed(reason="unknown_kind")
            body = decoder.decode(envelope.body)
        except (*decoding.ERRORS, zlib.error):
            return Malformed(reason="undecodable")
        return Received(sender=envelope.sender, body=body)


def _decompress(data: bytes) -> bytes:
    if not data.startswith(COMPRESSED_MARK):
        return data
    return zlib.decompressobj().decompress(data[1:], MAX_BYTES)


__all__ = [
    "Codec",
    "Envelope",
    "Malformed",
    "Received",
]

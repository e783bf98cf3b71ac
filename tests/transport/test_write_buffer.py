"""What waits to be sent, in order and without copies of large pieces."""

from __future__ import annotations

import itertools
import random

from boragefold.transport import client_connection
from boragefold.transport import write_buffer

LARGE = bytes(write_buffer.JOINED_BYTES + 1)


def test_large_pieces_are_not_copied() -> None:
    # A body was held several times on its way to an endpoint.
    buffer = write_buffer.WriteBuffer()
    buffer.append(LARGE)
    assert buffer.first().obj is LARGE
    buffer.drop(10)
    assert buffer.first().obj is LARGE
    assert client_connection._pieces(b"head", LARGE)[1] is LARGE


def test_a_small_body_leaves_with_its_head() -> None:
    assert client_connection._pieces(b"head", b"body") == [b"headbody"]


def test_pieces_leave_in_order_however_little_is_taken() -> None:
    rng = random.Random(74)
    sizes = [rng.choice([1, 50, 9_000, 20_000]) for _ in range(50)]
    sent = [rng.randbytes(size) for size in sizes]
    buffer = write_buffer.WriteBuffer()
    taken = b""
    for piece in itertools.chain(sent, itertools.repeat(b"", 200)):
        buffer.append(piece)
        if len(buffer):
            count = rng.randint(0, len(buffer.first()))
            taken += bytes(buffer.first()[:count])
            buffer.drop(count)
    while len(buffer):
        taken += bytes(first := buffer.first())
        buffer.drop(len(first))
    assert taken == b"".join(sent)

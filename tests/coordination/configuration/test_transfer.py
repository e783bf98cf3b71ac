from __future__ import annotations

import random
import zlib

import pytest

from boragefold.coordination.configuration import transfer
from boragefold.protocol import ids
from boragefold.state import tree as trees

PEER = ids.InstanceId("east", "east-0", "a")
DATA = random.Random(1).randbytes(200_000).hex().encode()


def pieces(data: bytes = DATA):
    entry = trees.Entry(3, b"digest", zlib.compress(data))
    return list(transfer.split_value("common/store", entry, 5.0))


def test_a_large_value_arrives_whole_in_any_order_and_doubled() -> None:
    sent = pieces()
    assert all(len(piece.chunk) <= transfer.CHUNK_BYTES for piece in sent)
    assert len(sent) > 3
    arriving = [piece for piece in sent for _ in "ab"]
    random.Random(2).shuffle(arriving)
    assembler = transfer.Assembler()
    whole = [assembler.add(PEER, piece) for piece in arriving]
    found = [value for value in whole if value is not None]
    assert found[0].data == DATA
    assert found[0].since_seconds == 5.0


def test_a_deletion_travels_as_one_piece() -> None:
    entry = trees.Entry(4, trees.NO_VALUE_DIGEST, None)
    (piece,) = transfer.split_value("common/store", entry, 5.0)
    whole = transfer.Assembler().add(PEER, piece)
    assert whole is not None
    assert (whole.revision, whole.data) == (4, None)


@pytest.mark.parametrize("size_bytes", [0, 1 << 22])
def test_pieces_of_an_impossible_size_are_dropped(size_bytes: int) -> None:
    piece = pieces()[0]._replace(total_bytes=size_bytes)
    assert transfer.Assembler().add(PEER, piece) is None


def test_a_value_that_unpacks_to_gigabytes_is_dropped() -> None:
    # A corrupt or malicious message declares a small value that decompresses
    # to more memory than the instance has.
    packed = zlib.compress(bytes(64 << 20))
    entry = trees.Entry(1, b"digest", packed)
    assembler = transfer.Assembler()
    for piece in transfer.split_value("common/store", entry, 0.0):
        assert assembler.add(PEER, piece) is None


def test_unfinished_values_take_bounded_memory() -> None:
    # A peer fails after the first chunk, repeatedly.
    assembler = transfer.Assembler()
    first = pieces()[0]
    for revision in range(100):
        assembler.add(PEER, first._replace(revision=revision))
    assert len(assembler._unfinished) == transfer.MAX_UNFINISHED

"""Chunks of callers' bodies, however they are cut."""

from __future__ import annotations

import random

import h11
import pytest

from boragefold.transport import chunked_body

HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
SEED = 74
ROUNDS = 2_000
# What could be taken for the end of a body.
CONTENT = b"\n0\r;a1"
BEHIND = (b"", b"REST", b"0\r\n\r\n", b"GET / HTTP/1.1\r\n")
TRAILERS = (b"", b"X: 1\r\n", b"A: 0\r\n0b: 0\r\n")


def reference(data):
    parser = h11.Connection(h11.SERVER)
    parser.receive_data(HEAD + data)
    body = b""
    while not isinstance(event := parser.next_event(), h11.EndOfMessage):
        body += event.data if isinstance(event, h11.Data) else b""
    return body, parser.trailing_data[0]


def decode(data, cuts):
    body = bytearray()
    chunks = chunked_body.ChunkedBody(body=body)
    at = 0
    while at < len(data):
        part = data[at : at + cuts()]
        at += len(part)
        if (rest := chunks.feed(part)) is not None:
            return bytes(body), rest + data[at:]
    return bytes(body), None


def message(rng):
    parts = []
    for _ in range(rng.randrange(6)):
        size = rng.choice([1, 1, 2, 3, 10, 16, 48])
        content = bytes(rng.choices(CONTENT, k=size))
        zeros = b"0" * rng.randrange(3)
        extension = rng.choice([b"", b";a=b"])
        parts.append(b"%s%x%s\r\n" % (zeros, size, extension))
        parts.append(content + b"\r\n")
    last = b"0" * rng.randrange(1, 4) + rng.choice([b"", b";a=1"])
    end = b"\r\n%s\r\n" % rng.choice(TRAILERS)
    return b"".join(parts) + last + end + rng.choice(BEHIND)


def test_bodies_end_where_another_parser_ends_them():
    # Bytes behind a body, taken for a part of it, would smuggle a request.
    rng = random.Random(SEED)
    for _ in range(ROUNDS):
        data = message(rng)
        cuts = rng.choice([1, 2, 3, 7, 50, 1000])
        assert decode(data, lambda cuts=cuts: cuts) == reference(data), data


@pytest.mark.parametrize(
    "data",
    [
        b"3\nabc\n0\n\n",
        b"3\r\nabcd\r\n0\r\n\r\n",
        b"0x3\r\nabc\r\n",
        b" 3\r\nabc\r\n",
        b"-1\r\n",
        b"\r\n",
        b"ffffffffffffffffff\r\n",
        b"3;a\nb\r\nabc\r\n0\r\n\r\n",
        b"3\rXabc",
        b"3\r\nabc\r\n0\r\nbad trailer\r\n\r\n",
        b"3\r\nabc\r\n0\r\nContent-Length: 5\r\n\r\nhello",
    ],
)
def test_what_others_could_read_differently_is_refused(data):
    # Two readings of one body let a request hide behind another.
    with pytest.raises(chunked_body.BadChunks):
        decode(data, lambda: len(data))


@pytest.mark.parametrize(
    "begin", [b"1;", b"3\r\nabc\r\n0;", b"0\r\nX: ", b"0" * 10]
)
def test_framing_without_content_is_bounded(begin):
    # Heads of chunks and trailers without an end would be read for ever.
    more = b"0" if begin.isdigit() else b"x"
    chunks = chunked_body.ChunkedBody(body=bytearray())
    chunks.feed(begin)
    with pytest.raises(chunked_body.BadChunks):
        for _ in range(chunked_body.MAX_FRAMING_BYTES // 1000 + 2):
            chunks.feed(more * 1000)


def test_content_that_looks_like_the_end_is_read_in_small_portions():
    # Such content made one turn of the loop long.
    chunks = chunked_body.ChunkedBody(body=bytearray())
    chunks.feed(b"ffff\r\n" + b"\n0" * 1000)
    assert chunks.is_costly
    chunks.feed(b"x" * 1000)
    assert not chunks.is_costly

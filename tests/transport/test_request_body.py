from __future__ import annotations

import h11
import hypothesis
from hypothesis import strategies

from boragefold.policy import caller_budget
from boragefold.transport import caller_memory
from boragefold.transport import requests

LENGTH_BYTES = caller_budget.SMALL_REQUEST_BYTES + 1_000
BODY = bytes(range(256)) * (LENGTH_BYTES // 256)
HEAD = b"POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
ANSWER = (
    h11.Response(status_code=200, headers=[("Content-Length", "0")]),
    h11.EndOfMessage(),
)
TWO = b"".join(HEAD % (number, len(BODY)) + BODY for number in (1, 2))


def new_reader():
    return requests.RequestReader(
        limits=requests.RequestLimits, account=caller_memory.CallerMemory()
    )


def read_all(pieces):
    """Answer each request, and return all of them."""
    reader = new_reader()
    found = []
    for piece in pieces:
        reader.feed(piece)
        while (outcome := reader.read()) is not None:
            found.append(outcome)
            for event in ANSWER:
                reader.parser.send(event)
            reader.next_request()
    return found


@hypothesis.settings(max_examples=60, derandomize=True, deadline=None)
@hypothesis.given(
    cuts=strategies.lists(strategies.integers(0, len(TWO)), max_size=4)
)
def test_large_bodies_are_whole_wherever_they_are_cut(cuts):
    # What lies behind a body must neither be lost nor added to it.
    ends = [0, *sorted(cuts), len(TWO)]
    pieces = [TWO[a:b] for a, b in zip(ends, ends[1:], strict=False) if a < b]
    found = read_all(pieces)
    assert [(one.path, one.body) for one in found] == [
        ("/1", BODY),
        ("/2", BODY),
    ]


def test_what_lies_behind_a_request_is_dropped_with_it():
    # The parser kept it, uncounted, until the connection was closed.
    reader = new_reader()
    reader.feed(TWO)
    assert reader.read().path == "/1"
    assert reader.unparsed_bytes == len(TWO) // 2
    reader.drop()
    assert reader.unparsed_bytes == len(reader.parser.trailing_data[0]) == 0

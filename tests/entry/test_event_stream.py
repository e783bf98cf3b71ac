"""Where the events of a stream begin and end."""

from __future__ import annotations

import itertools

import pytest

from boragefold.entry import event_stream

LINE_ENDS = ("\n", "\r\n", "\r")
LINES = ("id: 1", "data: t1", "", ": note", "id:2", "data: t2", "data", "")
STREAM = [
    (line_end, "".join(line + line_end for line in LINES).encode())
    for line_end in LINE_ENDS
]


def _feed(stream, data, sizes):
    sizes = itertools.cycle(sizes)
    got, rest = b"", data
    while rest:
        size = next(sizes)
        got += stream.feed(rest[:size])
        rest = rest[size:]
    return got


@pytest.mark.parametrize("sizes", [(1,), (2, 3), (5,), (100,)])
@pytest.mark.parametrize(("line_end", "data"), STREAM)
def test_events_are_found_in_any_pieces(line_end, data, sizes) -> None:
    # A line end of two bytes that is split must not look like a blank line.
    stream = event_stream.EventStream(resumable=True)
    assert _feed(stream, data, sizes) + stream.take_partial() == data
    assert stream.last_event_id == "2"
    assert not stream.inside_event


@pytest.mark.parametrize("resumable", [False, True])
@pytest.mark.parametrize(("line_end", "data"), STREAM)
def test_a_stream_cut_anywhere_tells_whether_an_event_is_open(
    line_end, data, resumable
) -> None:
    first = len("".join(line + line_end for line in LINES[:3]))
    note = first + len(LINES[3] + line_end)
    last = len("".join(line + line_end for line in LINES[:7]))
    for size in range(1, len(data) + 1):
        stream = event_stream.EventStream(resumable=resumable)
        _feed(stream, data[:size], (1,))
        # A first byte of two ends a line by itself.
        open_end = first - len(line_end) if size <= note else last
        closed = size > open_end and (size <= note or size > last)
        assert stream.inside_event is not closed, data[:size]


@pytest.mark.parametrize("data", [b"", b": x", b": x\n", b"\n", b"\r\n\r\n"])
def test_nothing_is_open_without_a_field(data) -> None:
    stream = event_stream.EventStream(resumable=True)
    if data:
        stream.feed(data)
    assert not stream.inside_event


@pytest.mark.parametrize("data", [b"data", b"data: x\n", b"\xc3", b"id: 1\r"])
def test_a_field_without_a_blank_line_is_open(data) -> None:
    stream = event_stream.EventStream(resumable=False)
    assert stream.feed(data) == data
    assert stream.inside_event


def test_only_complete_events_are_passed_on_where_it_is_resumable() -> None:
    stream = event_stream.EventStream(resumable=True)
    assert stream.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    stream.discard_partial()
    assert stream.last_event_id == "1"
    assert stream.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"
    assert stream.last_event_id == "2"


def test_an_event_without_an_id_keeps_the_last_one() -> None:
    stream = event_stream.EventStream(resumable=True)
    stream.feed(b"id: 1\ndata: a\n\ndata: b\n\n")
    assert stream.last_event_id == "1"
    stream.feed(b"data: c\n\n")
    assert stream.last_event_id == "1"
    stream.feed(b"id\ndata: d\n\n")
    assert stream.last_event_id == ""


@pytest.mark.parametrize("size", [1, 5, 1_000])
@pytest.mark.parametrize(
    ("data", "resumable"),
    [
        (b"", True),
        (b": note\n\n", True),
        (b"id: 1\ndata: a\n\n", True),
        (b"id: 1\ndata: a\n\n: note\n\n", True),
        (b"data: a\n\nid: 2\ndata: b\n\n", True),
        (b"data: a\n\n", False),
        (b"id: 1\ndata: a\n\ndata: b\n\n", False),
        (b"id: 1\ndata: a\n\ndata: b\n\n: note\n\n", False),
        (b"id: 1\ndata: a\n\nid:\ndata: b\n\n", False),
        (b"id: 1\ndata: a\n\ndata: b\n\nid: 3\nda", False),
    ],
)
def test_a_stream_isnt_resumed_behind_an_event_without_an_id(
    size, data, resumable
) -> None:
    # Another endpoint would send that event, or all of them, once more.
    stream = event_stream.EventStream(resumable=True)
    for begin in range(0, len(data), size):
        stream.feed(data[begin : begin + size])
    assert stream.resumable is resumable
    stream.discard_partial()
    assert stream.resumable is resumable


def test_a_stream_isnt_resumed_behind_a_part_of_an_event() -> None:
    # The events of another endpoint would be joined to that part.
    stream = event_stream.EventStream(resumable=True)
    part = b"id: 1\ndata: " + b"x" * event_stream.MAX_EVENT_BYTES
    assert stream.feed(part) == part
    assert stream.inside_event and not stream.resumable
    assert stream.feed(b"\n\ndata: y") == b"\n\n"
    assert stream.resumable


@pytest.mark.parametrize(
    ("headers", "expected", "is_stream"),
    [
        ({"content-type": "text/event-stream"}, False, True),
        ({"content-type": "Text/Event-Stream; charset=utf-8"}, False, True),
        ({"content-type": "application/json"}, True, False),
        ({}, True, True),
        ({}, False, False),
        (
            {"content-type": "text/event-stream", "content-encoding": "gzip"},
            True,
            False,
        ),
    ],
)
def test_a_stream_is_told_by_its_type(headers, expected, is_stream) -> None:
    found = event_stream.is_event_stream(headers, expected=expected)
    assert found is is_stream

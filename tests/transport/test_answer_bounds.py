"""Answers that go on without an end, and sound ones that look like them."""

from __future__ import annotations

import itertools
import time
import tracemalloc

import pytest

from boragefold.transport import answer_parser
from boragefold.transport import client_connection
from boragefold.transport import http_client
from boragefold.transport import streams
from boragefold.transport import whole_answer
from tests.fakes import loopback

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKS = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
OTHER = b"HTTP/1.1 200 OK\r\nX-Id: other\r\n"
# What a small instance can spare for one connection.
MAX_KEPT_BYTES = 1_048_576
# The loop serves all callers; the shortest time limits are half a second.
MAX_PROCESSOR_SECONDS = 0.25
PROGRESS_SECONDS = 5.0
# Without a limit, a test ends here.
STOP_BYTES = 33_554_432
BOUND_BYTES = answer_parser.MAX_OVERHEAD_BYTES + streams.READ_BYTES
SKIPPED_BYTES = answer_parser.MAX_SKIPPED_BYTES + streams.READ_BYTES
ENDLESS = {
    "header name": (HEAD, b"x", BOUND_BYTES),
    "header value": (HEAD + b"x: ", b"x", BOUND_BYTES),
    "headers": (HEAD, b"x: y\r\n", BOUND_BYTES),
    "empty headers": (HEAD, b"x:\r\n", BOUND_BYTES),
    "reason phrase": (b"HTTP/1.1 200 ", b"O", BOUND_BYTES),
    "interim answers": (b"", b"HTTP/1.1 100 Go on\r\n\r\n", BOUND_BYTES),
    "chunk extension": (CHUNKS + b"1;x=", b"x", BOUND_BYTES),
    "chunk extensions": (
        CHUNKS,
        b"1;x=" + bytes(b"x" * 60_000) + b"\r\nx\r\n",
        3 * BOUND_BYTES,
    ),
    "chunk size": (CHUNKS, b"0", BOUND_BYTES),
    "trailer name": (CHUNKS + b"0\r\n", b"x", BOUND_BYTES),
    "trailer value": (CHUNKS + b"0\r\nx: ", b"x", BOUND_BYTES),
    "trailers": (CHUNKS + b"0\r\n", b"x: y\r\n", BOUND_BYTES),
    "skipped body": (OTHER + b"\r\n", b"x", SKIPPED_BYTES),
    "skipped chunks": (
        OTHER + b"Transfer-Encoding: chunked\r\n\r\n",
        b"8\r\nxxxxxxxx\r\n",
        2 * SKIPPED_BYTES,
    ),
    "skipped answers": (
        b"",
        OTHER + b"Content-Length: 0\r\n\r\n",
        BOUND_BYTES,
    ),
}


class Sink(answer_parser.AnswerSink):
    def __init__(self):
        self.heads = 0
        self.body_bytes = 0

    def head(self, status, headers):
        self.heads += 1

    def data(self, data):
        self.body_bytes += len(data)

    def end(self, framing):
        raise AssertionError

    def failed(self, failure):
        raise AssertionError


def _make(sink=None):
    return answer_parser.AnswerParser(
        sink=sink or Sink(),
        accepts=lambda headers: headers.get("x-id") != "other",
    )


def _feed_until_refused(parser, beginning, piece) -> int:
    block = piece * max(1, streams.READ_BYTES // len(piece))
    pieces = itertools.chain([beginning], itertools.repeat(block))
    fed_bytes = 0
    for data in pieces:
        for start in range(0, len(data), streams.READ_BYTES):
            part = data[start : start + streams.READ_BYTES]
            fed_bytes += len(part)
            if not parser.feed(part) or fed_bytes > STOP_BYTES:
                return fed_bytes
    raise AssertionError


@pytest.mark.parametrize("form", ENDLESS)
def test_an_answer_without_end_is_refused_within_its_bound(form):
    # A header value of 100 MB took 96 MB and 55 s in the only loop.
    beginning, piece, bound_bytes = ENDLESS[form]
    parser = _make()
    began = time.process_time()
    fed_bytes = _feed_until_refused(parser, beginning, piece)
    took_seconds = time.process_time() - began
    assert fed_bytes <= bound_bytes + len(beginning)
    assert took_seconds < MAX_PROCESSOR_SECONDS
    assert parser.reason == answer_parser.UNBOUNDED


@pytest.mark.parametrize("form", ENDLESS)
def test_an_answer_without_end_takes_little_memory(form):
    # A small instance has 160 MB for everything.
    beginning, piece, _ = ENDLESS[form]
    parser = _make()
    tracemalloc.start()
    try:
        _feed_until_refused(parser, beginning, piece)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes < MAX_KEPT_BYTES


def test_headers_count_with_their_separators():
    # Joining many empty headers costs the square of their number.
    parser = _make()
    assert not parser.feed(HEAD + b"x:\r\n" * 12_000 + b"\r\n")
    assert parser.reason == answer_parser.UNBOUNDED


def test_a_line_that_comes_in_single_bytes_costs_little():
    # What a parser keeps of a line must not be copied for every read.
    parser = _make()
    parser.feed(HEAD + b"x: ")
    began = time.process_time()
    fed = next(n for n in range(STOP_BYTES) if not parser.feed(b"x"))
    assert fed <= answer_parser.MAX_OVERHEAD_BYTES
    assert time.process_time() - began < 1.0


@pytest.mark.parametrize("size", [1, 7, 1_000, streams.READ_BYTES])
def test_a_stream_of_tiny_chunks_isnt_cut(size):
    # The framing of tokens outweighs them many times.
    sink = Sink()
    parser = _make(sink)
    signature = b";chunk-signature=" + b"0" * 64
    chunk = b"1" + signature + b"\r\nx\r\n"
    count = 2 * answer_parser.MAX_OVERHEAD_BYTES // len(chunk)
    data = CHUNKS + count * chunk + b"0\r\n\r\n"
    for start in range(0, len(data), size):
        assert parser.feed(data[start : start + size])
    assert parser.complete
    assert sink.body_bytes == count


@pytest.mark.parametrize(
    "head", [HEAD + b"\r\n", HEAD + b"Content-Length: 67108864\r\n\r\n"]
)
def test_a_huge_download_isnt_cut(head):
    # Limits hold for what surrounds a body, never for the body.
    sink = Sink()
    parser = _make(sink)
    assert parser.feed(head)
    block = bytes(streams.READ_BYTES)
    assert all(parser.feed(block) for _ in range(1_024))
    assert sink.body_bytes == 67_108_864


def test_an_answer_behind_interim_ones_and_a_late_one_arrives():
    # Interim answers and a late one to another call are lawful.
    sink = Sink()
    parser = _make(sink)
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
    late = OTHER + b"Content-Length: 300000\r\n\r\n" + bytes(300_000)
    answer = HEAD + b"Content-Length: 2\r\n\r\nok"
    assert parser.feed(interim * 20 + late + answer)
    assert (parser.complete, sink.heads, sink.body_bytes) == (True, 1, 2)


def test_an_answer_that_changes_the_protocol_is_malformed():
    # The parser's error left the loop, and the call waited for its timeout.
    upgrade = b"Upgrade: x\r\nConnection: upgrade\r\n\r\n"
    parser = _make()
    assert not parser.feed(b"HTTP/1.1 101 Switching\r\n" + upgrade)
    assert parser.reason == answer_parser.MALFORMED


def test_a_collected_answer_ends_when_it_is_too_large():
    # A report without end was read, and dropped, for as long as it came.
    ended = []
    sink = whole_answer.WholeAnswerSink(done=ended.append, max_bytes=100_000)
    parser = _make(sink)
    fed_bytes = _feed_until_refused(parser, HEAD + b"\r\n", b"x")
    assert fed_bytes <= 100_000 + streams.READ_BYTES + len(HEAD)
    assert parser.reason == answer_parser.TOO_LARGE


class Receiver(streams.StreamHandler):
    def __init__(self):
        self.sizes = []

    def connected(self):
        self.sizes.clear()

    def received(self, data):
        self.sizes.append(len(data))
        assert sum(self.sizes) < STOP_BYTES

    def drained(self):
        raise AssertionError

    def closed(self, reason):
        self.sizes.append(0)


class FullSocket:
    """Always has more to read."""

    def recv(self, size):
        return bytes(size)


class Owner:
    def want_read(self, stream, wanted):
        self.wanted = wanted


def test_bytes_without_end_leave_the_loop_to_others():
    # One connection that always has bytes kept the loop for itself.
    receiver = Receiver()
    stream = streams.Stream(
        owner=Owner(), sock=FullSocket(), handler=receiver, connecting=False
    )
    stream.resume_reading()
    stream.on_readable()
    assert len(receiver.sizes) == streams.MAX_READS_IN_A_ROW


def test_what_a_turn_left_is_read_in_the_next():
    # A limit for each turn must leave nothing behind.
    net = loopback.Loopback()
    receiver = Receiver()
    port = net.sockets.listen(
        host="127.0.0.1", port=0, make_handler=lambda: receiver
    )
    sock = net.connect(port)
    sent = 0
    for _ in range(20):
        net.loop.tick(timeout=0.001)
        try:
            sent += sock.send(bytes(1_000_000))
        except BlockingIOError:
            continue
    net.turn()
    assert sent > 1_000_000
    assert sum(receiver.sizes) == sent
    sock.close()


@pytest.mark.parametrize("collects", [True, False])
def test_a_collected_answer_has_a_limit_in_time(collects):
    # A report that came byte by byte was waited for without an end; a
    # stream of tokens may go on.
    net, listener, ended = loopback.Loopback(), loopback.Listener(), []
    sink = whole_answer.WholeAnswerSink(done=ended.append)
    sink.collects = collects
    call = http_client.Call(
        address=listener.address,
        method="GET",
        target="/",
        headers=[],
        body=b"",
        fresh=True,
        progress_seconds=PROGRESS_SECONDS,
    )
    net.client.send(call, sink)
    net.turn()
    sock = listener.accept()
    sock.send(HEAD + b"Content-Length: 1000\r\n\r\n")
    for _ in range(client_connection.COLLECTING_FACTOR + 1):
        sock.send(b"x")
        net.turn()
        net.pass_time(PROGRESS_SECONDS * 0.9)
        if ended:
            break
    expected = http_client.Failure(reason="timeout", may_have_arrived=True)
    assert ended == ([expected] if collects else [])
    listener.close()
    sock.close()

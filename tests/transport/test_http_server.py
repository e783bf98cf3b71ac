from __future__ import annotations

import gc
import socket
import struct
import types
import weakref

import hypothesis
from hypothesis import strategies
import pytest

from boragefold.policy import caller_budget
from boragefold.transport import caller_admission
from boragefold.transport import exchange as exchanges
from boragefold.transport import http_server
from boragefold.transport import unsent_budget
from tests.fakes import loopback

NO_LINGER = struct.pack("ii", 1, 0)
CHUNKED = b"Transfer-Encoding: chunked"
GOOD = b"POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"


class Face:
    def __init__(self):
        self.net = loopback.Loopback()
        self.refused = []
        self.requests = []
        self.exchanges = []
        self.application = self.echo
        self.port = self.net.sockets.listen(
            host="127.0.0.1",
            port=0,
            make_handler=lambda: http_server.ServerConnection(
                application=lambda *both: self.application(*both),
                on_bad_request=self.refused.append,
                max_body_bytes=1000,
            ),
        )

    def echo(self, request, exchange):
        self.requests.append(request)
        exchange.reply(200, [], request.path.encode() + request.body)

    def hold(self, request, exchange):
        self.exchanges.append(exchange)

    def say(self, data):
        sock = self.net.connect(self.port)
        sock.sendall(data)
        answer = self.net.read(sock)
        sock.close()
        return answer


@pytest.fixture(scope="module")
def face():
    return Face()


def test_pipelined_requests_are_both_answered_in_order(face):
    # A pipelined request must not be lost.
    second = GOOD.replace(b"abc", b"xyz")
    answer = face.say(GOOD + second)
    assert answer.count(b"HTTP/1.1 200") == 2
    assert answer.index(b"/echoabc") < answer.index(b"/echoxyz")


@pytest.mark.parametrize(
    ("data", "status", "reason"),
    [
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
            "conflicting_framing",
        ),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
            b"Content-Length: 2\r\n\r\nab",
            400,
            "malformed",
        ),
        (b"GET / HTTP/1.1\r\nX: " + b"x" * 40_000, 431, "malformed"),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n"
            + b"x" * 5000,
            413,
            "body_too_large",
        ),
        (b"what is this\r\n\r\n", 400, "malformed"),
    ],
    ids=["two framings", "two lengths", "header", "body", "no request"],
)
def test_bad_framing_is_refused_with_its_reason(face, data, status, reason):
    face.refused.clear()
    answer = face.say(data)
    assert answer.startswith(b"HTTP/1.1 %d" % status)
    assert reason.encode() in answer
    assert face.refused == [reason]


@hypothesis.settings(max_examples=60, derandomize=True, deadline=None)
@hypothesis.given(
    noise=strategies.binary(max_size=200),
    at=strategies.integers(0, len(GOOD)),
)
def test_noise_harms_no_other_caller(face, noise, at):
    sock = face.net.connect(face.port)
    sock.sendall(GOOD[:at] + noise + GOOD[at:])
    face.net.turn(lambda: False if at % 2 else True)
    sock.close()
    assert b"/echoabc" in face.say(GOOD)


def test_a_slow_reader_fills_a_bounded_buffer():
    # A caller that reads slowly must not fill the memory.
    face = Face()
    face.application = face.hold
    sock = face.net.connect(face.port)
    sock.sendall(GOOD)
    face.net.turn(lambda: bool(face.exchanges))
    exchange = face.exchanges[0]
    drained = []
    exchange.on_drained = lambda: drained.append(True)
    exchange.start(200, [])
    written = 0
    while exchange.send(b"x" * 10_000):
        written += 10_000
    stream = exchange._connection.stream
    assert stream.unsent_bytes <= unsent_budget.HIGH_WATER_BYTES + 20_000
    assert not drained
    received = 0
    while part := face.net.read(sock):
        received += len(part)
    assert received > written
    assert drained


def test_a_caller_that_vanishes_is_noticed():
    face = Face()
    face.application = face.hold
    sock = face.net.connect(face.port)
    sock.sendall(GOOD)
    face.net.turn(lambda: bool(face.exchanges))
    gone = []
    face.exchanges[0].on_closed = lambda: gone.append(True)
    sock.close()
    face.net.turn(lambda: bool(gone))
    assert gone
    assert not face.exchanges[0].send(b"to nobody")


def test_a_caller_that_left_before_its_request_was_read_is_known():
    # Guards against forwarding a request that its caller gave up while the
    # loop was busy: the end is read only behind it.
    face = Face()
    face.application = face.hold
    sock = face.net.connect(face.port)
    sock.sendall(GOOD)
    waits = face.net.connect(face.port)
    waits.sendall(GOOD)
    sock.close()
    face.net.turn(lambda: len(face.exchanges) == 2)
    assert [each.has_caller_left() for each in face.exchanges] == [True, False]
    waits.close()


def test_a_cut_answer_does_not_look_whole():
    # The endpoint breaks off. The caller must not see a clean end.
    face = Face()
    face.application = face.hold
    sock = face.net.connect(face.port)
    sock.sendall(GOOD)
    face.net.turn(lambda: bool(face.exchanges))
    face.exchanges[0].start(200, [])
    face.exchanges[0].send(b"half")
    face.exchanges[0].abort()
    answer = face.net.read(sock)
    assert b"half" in answer
    assert not answer.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize(
    ("finishes", "is_reset"), [(True, False), (False, True)]
)
def test_an_answer_without_chunks_is_reset_unless_it_is_whole(
    finishes, is_reset
):
    # To a caller of HTTP/1.0, closing in good order is the end of the body.
    face = Face()
    face.application = face.hold
    sock = face.net.connect(face.port)
    sock.sendall(GOOD.replace(b"HTTP/1.1", b"HTTP/1.0"))
    face.net.turn(lambda: bool(face.exchanges))
    (exchange,) = face.exchanges
    exchange.start(200, [])
    exchange.send(b"a part")
    (exchange.finish if finishes else exchange.abort)()
    face.net.turn()
    assert sock.recv(65536).endswith(b"a part")
    if is_reset:
        with pytest.raises(ConnectionResetError):
            sock.recv(1)
    else:
        assert sock.recv(1) == b""


def slow_side():
    net = loopback.Loopback()
    connections = []

    def connect():
        connections.append(
            http_server.ServerConnection(
                application=lambda request, exchange: exchange.reply(
                    200, [], b""
                ),
                on_bad_request=lambda reason: None,
                now_seconds=net.clock.now_seconds,
            )
        )
        return connections[-1]

    port = net.sockets.listen(host="127.0.0.1", port=0, make_handler=connect)
    return net, connections, net.connect(port)


@pytest.mark.parametrize(
    ("sent", "waited", "answered"),
    [
        (b"", 5.0, None),
        (b"", 16.0, b""),
        (b"POST /x HT", 5.0, b"HTTP/1.1 408"),
        (
            b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n",
            5.0,
            None,
        ),
        (
            b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n",
            16.0,
            b"HTTP/1.1 408",
        ),
    ],
    ids=["waits", "idle", "slow head", "body", "slow body"],
)
def test_callers_that_send_nothing_or_too_slowly(sent, waited, answered):
    # Idle callers must not use up the descriptors.
    net, connections, sock = slow_side()
    sock.sendall(sent)
    net.turn(lambda: False)
    net.pass_time(waited)
    for connection in connections:
        connection.refuse_slow(idle_seconds=15.0, request_seconds=3.0)
    net.turn(lambda: False)
    if answered is None:
        with pytest.raises(BlockingIOError):
            sock.recv(100)
    else:
        assert sock.recv(100).startswith(answered)
    sock.close()


def test_an_answer_that_turned_out_to_be_the_last_ends_its_connection():
    # A request behind the last answer must not be taken and then given up.
    net = loopback.Loopback()
    taken, last = [], []

    def hold(request, exchange):
        taken.append(exchange)
        exchange.start(200, [])

    port = net.sockets.listen(
        host="127.0.0.1",
        port=0,
        make_handler=lambda: http_server.ServerConnection(
            application=hold,
            on_bad_request=lambda reason: None,
            last_answer=lambda: bool(last),
        ),
    )
    sock = net.connect(port)
    sock.sendall(GOOD)
    net.turn(lambda: bool(taken))
    last.append(True)
    taken[0].finish()
    sock.sendall(GOOD)
    net.turn(lambda: False)
    assert len(taken) == 1
    assert b"HTTP/1.1 200" in net.read(sock)
    sock.close()


def test_an_exchange_that_is_over_holds_no_request() -> None:
    # Each held the other, body included, until a collection of garbage.
    class Request:
        def leave(self) -> None:
            pass

    connection = types.SimpleNamespace(finish=lambda: None)
    exchange = exchanges.Exchange(connection=connection)
    request = Request()
    exchange.on_closed = exchange.on_drained = request.leave
    held = weakref.ref(request)
    exchange.finish()
    del request
    assert held() is None


class BoundedFace(Face):
    """Connections of one admission, whose turns the loop takes."""

    def __init__(self, **budget):
        super().__init__()
        self.max_body_bytes = 100_000
        self.connections = []
        self.admission = caller_admission.CallerAdmission(
            budget=caller_budget.CallerBudget(
                **{
                    "memory_bytes": 1_000_000,
                    "large_bytes": 750_000,
                    "connections": 10,
                    "tunnels": 0,
                    **budget,
                }
            ),
            now_seconds=self.net.clock.now_seconds,
        )
        self.port = self.net.sockets.listen(
            host="127.0.0.1", port=0, make_handler=self.connect
        )

    def connect(self):
        connection = http_server.ServerConnection(
            application=lambda *both: self.application(*both),
            on_bad_request=self.refused.append,
            limits=lambda: http_server.RequestLimits(
                max_body_bytes=self.max_body_bytes
            ),
            admission=self.admission,
            now_seconds=self.net.clock.now_seconds,
            call_later=lambda callback: self.net.timers.once(
                delay_seconds=0.0, callback=callback
            ),
        )
        self.connections.append(connection)
        return connection


def post(length, *fields):
    lines = ["POST /echo HTTP/1.1", "Host: a", f"Content-Length: {length}"]
    return ("\r\n".join([*lines, *fields]) + "\r\n\r\n").encode()


def test_many_short_requests_in_a_row_are_all_answered():
    # Their answers were nested in one another until the stack ended.
    face = BoundedFace()
    sock = face.net.connect(face.port)
    sock.sendall(GOOD * 900)
    face.net.turn(lambda: len(face.requests) == 900)
    assert len(face.requests) == 900
    sock.close()


@pytest.mark.parametrize("fields", [(), ("Expect: 100-continue",)])
def test_a_length_over_the_limit_is_refused_before_the_body(fields):
    # The process received what it was to refuse, and asked for it.
    face = BoundedFace()
    answer = face.say(post(face.max_body_bytes + 1, *fields))
    assert answer.startswith(b"HTTP/1.1 413")
    assert face.refused == ["body_too_large"]


def test_chunks_over_the_limit_are_refused_and_their_bytes_freed():
    # What had come of a refused body stayed while its connection lingered.
    face = BoundedFace()
    sock = face.net.connect(face.port)
    opening = post(0).replace(b"Content-Length: 0", CHUNKED)
    sock.sendall(opening + b"%x\r\n" % 150_000 + b"x" * 150_000)
    assert b"HTTP/1.1 413" in face.net.read(sock)
    assert face.refused == ["body_too_large"]
    assert face.admission.memory.large_bytes == 0
    sock.close()


def test_headers_over_the_published_limit_are_refused():
    # The published limit of headers was read and not applied.
    face = BoundedFace()
    field = "X: " + "x" * http_server.MAX_HEADER_BYTES
    assert face.say(post(0, field)).startswith(b"HTTP/1.1 431")
    assert face.refused == ["head_too_large"]


def test_a_new_limit_holds_for_the_next_request_of_a_connection():
    # Kept connections kept the limit under which they were opened.
    face = BoundedFace()
    sock = face.net.connect(face.port)
    sock.sendall(post(50) + b"x" * 50)
    assert b"200" in face.net.read(sock)
    face.max_body_bytes = 10
    sock.sendall(post(50) + b"x" * 50)
    assert b"HTTP/1.1 413" in face.net.read(sock)
    sock.close()


FORMS = {
    "length": post(90_000) + b"x" * 80_000,
    "chunks": post(0).replace(b"Content-Length: 0", CHUNKED)
    + b"13880\r\n"
    + b"x" * 80_000,
    "head": post(0, "X: " + "x" * 9_000)[:-4],
}


@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("ending", ["reset", "close", "refused", "cut"])
def test_what_a_closed_connection_held_is_given_back(form, ending):
    # Bodies of closed connections stayed until a collection of garbage.
    face = BoundedFace()
    gc.collect()
    gc.disable()
    try:
        sock = face.net.connect(face.port)
        sock.sendall(FORMS[form])
        least_bytes = len(FORMS[form]) * 0.9
        face.net.turn(lambda: face.admission.memory.held_bytes > least_bytes)
        assert face.admission.memory.held_bytes > least_bytes
        (connection,) = face.connections
        gone = weakref.ref(connection)
        if ending == "reset":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        if ending == "refused":
            connection.refuse_slow(idle_seconds=-1.0, request_seconds=-1.0)
        if ending == "cut":
            connection.cut()
        face.connections.clear()
        del connection
        sock.close()
        face.net.turn(lambda: gone() is None)
        assert gone() is None
        assert face.admission.memory.held_bytes == 0
        assert face.admission.connections == 0
    finally:
        gc.enable()


def test_a_body_stays_counted_while_its_request_runs():
    # Whole requests at slow endpoints were in no sum.
    face = BoundedFace()
    face.application = face.hold
    sock = face.net.connect(face.port)
    sock.sendall(post(80_000) + b"x" * 80_000)
    face.net.turn(lambda: bool(face.exchanges))
    assert face.admission.memory.large_bytes >= 80_000
    face.exchanges.pop().reply(200, [], b"")
    assert face.admission.memory.large_bytes == 0
    sock.close()


def test_requests_behind_a_running_one_give_way_to_others():
    # Callers who send ahead kept the room of those who don't.
    face = BoundedFace(memory_bytes=220_000, large_bytes=100_000)
    face.application = face.hold
    ahead = [face.net.connect(face.port) for _ in range(2)]
    for sock in ahead:
        sock.sendall(GOOD + GOOD[:-1] * 200)
    face.net.turn(lambda: len(face.exchanges) == 2)
    face.net.turn(lambda: False)
    other = face.net.connect(face.port)
    other.sendall(GOOD)
    face.net.turn(lambda: len(face.exchanges) == 3)
    assert len(face.exchanges) == 3
    held_bytes = face.admission.memory.held_bytes
    for sock in ahead:
        sock.sendall(GOOD * 200)
    face.net.turn(lambda: False)
    assert face.admission.memory.held_bytes <= held_bytes
    for exchange in face.exchanges:
        exchange.reply(200, [], b"")
    answer = face.net.read(ahead[0])
    assert b"200" in answer and b"connection: close" in answer.lower()
    for sock in (*ahead, other):
        sock.close()


def test_without_room_a_request_is_refused_and_may_come_again():
    # A refusal for lack of room promises that nothing ran.
    face = BoundedFace(memory_bytes=150_000, large_bytes=100_000)
    face.application = face.hold
    first = face.net.connect(face.port)
    first.sendall(post(70_000) + b"x" * 70_000)
    face.net.turn(lambda: bool(face.exchanges))
    answer = face.say(post(80_000) + b"x" * 80_000)
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"retry-after: 1" in answer.lower()
    assert face.refused == ["no_room"]
    assert b"not_run" in answer
    first.close()


def test_one_turn_reads_little_of_one_connection():
    # One connection with tiny chunks kept the loop for as long as it sent.
    face = BoundedFace()
    sock = face.net.connect(face.port)
    sock.sendall(FORMS["chunks"])
    face.net.turn(lambda: bool(face.connections))
    (connection,) = face.connections
    face.net.turn(lambda: connection.is_idle(quiet_seconds=0.0) is False)
    assert connection.reads_in_a_row == 1
    assert connection.read_bytes <= 16_384
    sock.sendall(b"\r\nffff\r\n" + b"\n0" * 5_000)
    face.net.turn(lambda: connection.read_bytes <= 2_048)
    assert connection.read_bytes <= 2_048
    sock.close()

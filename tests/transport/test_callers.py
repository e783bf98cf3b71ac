"""How callers' connections end while something is on its way on them."""

from __future__ import annotations

import errno

import pytest

from boragefold.policy import caller_budget
from boragefold.telemetry import counters as telemetry
from boragefold.transport import accept_gate
from boragefold.transport import caller_admission
from boragefold.transport import callers
from tests.fakes import loopback

REQUEST = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
IDLE_SECONDS = 15.0
REQUEST_SECONDS = 3.0


class Case:
    def __init__(self, connections=100):
        self.net = loopback.Loopback()
        self.held = []
        limits = caller_budget.MachineLimits(memory_mb=160, max_fds=500)
        self.admission = caller_admission.CallerAdmission(
            budget=caller_budget.derive(limits)._replace(
                connections=connections
            ),
            now_seconds=self.net.clock.now_seconds,
        )
        self.face = callers.CallersFace(
            sockets_=self.net.sockets,
            application=lambda request, exchange: exchange.reply(
                200, [], request.body
            ),
            counters=telemetry.Counters(),
            timers=self.net.timers,
            admission=self.admission,
        )
        self.port = self.face.listen(host="127.0.0.1", port=0, tls=None)

    def connect(self):
        return self.net.connect(self.port)

    def keep(self):
        sock = self.connect()
        sock.sendall(REQUEST)
        assert b"200" in self.net.read(sock)
        return sock

    def close_idle(self):
        self.net.pass_time(5.0)
        return self.face.close_idle()


@pytest.fixture
def case():
    return Case()


def test_a_request_that_lies_unread_is_answered_before_the_close(case):
    sock = case.keep()
    case.net.pass_time(5.0)
    sock.sendall(REQUEST)
    case.face.stop_listening()
    case.face.close_idle()
    assert b"200" in case.net.read(sock)


def test_a_request_of_which_half_has_come_is_answered(case):
    sock = case.connect()
    sock.sendall(REQUEST[:20])
    case.net.turn()
    case.face.stop_listening()
    case.close_idle()
    sock.sendall(REQUEST[20:])
    assert b"200" in case.net.read(sock)


@pytest.mark.parametrize("sent_bytes", [20, len(REQUEST) - 1])
def test_half_a_request_behind_another_is_answered(case, sent_bytes):
    sock = case.connect()
    sock.sendall(REQUEST + REQUEST[:sent_bytes])
    assert b"200" in case.net.read(sock)
    case.face.stop_listening()
    case.close_idle()
    sock.sendall(REQUEST[sent_bytes:])
    assert b"200" in case.net.read(sock)


def test_answers_say_that_they_are_the_last_once_nothing_is_accepted(case):
    sock = case.keep()
    case.face.stop_listening()
    sock.sendall(REQUEST)
    assert b"Connection: close" in case.net.read(sock)


def test_a_connection_that_waits_to_be_accepted_is_served(case):
    sock = case.connect()
    sock.sendall(REQUEST)
    case.face.stop_listening()
    case.face.close_idle()
    assert b"200" in case.net.read(sock)


def test_a_request_at_the_idle_timeout_is_answered(case):
    sock = case.keep()
    case.net.pass_time(IDLE_SECONDS + 1)
    sock.sendall(REQUEST)
    case.face.refuse_slow(
        idle_seconds=IDLE_SECONDS, request_seconds=REQUEST_SECONDS
    )
    assert b"200" in case.net.read(sock)


def test_a_quiet_connection_is_closed_when_the_process_stops(case):
    sock = case.keep()
    case.face.stop_listening()
    case.close_idle()
    case.net.turn()
    assert sock.recv(1) == b""


def test_answers_say_that_they_are_the_last_once_a_stop_has_begun(case):
    sock = case.keep()
    case.face.announce_stop()
    sock.sendall(REQUEST)
    assert b"Connection: close" in case.net.read(sock)
    assert case.face.close_idle() == 1
    sock.close()
    case.net.turn()
    assert case.face.close_idle() == 0


def test_an_answer_that_began_before_the_stop_leaves_its_connection_open(case):
    exchanges = []
    case.face._application = lambda request, exchange: exchanges.append(
        exchange
    )
    sock = case.connect()
    sock.sendall(REQUEST)
    case.net.turn()
    exchanges[0].start(200, [])
    case.face.announce_stop()
    exchanges[0].finish()
    sock.sendall(REQUEST)
    case.net.turn()
    assert len(exchanges) == 2


def test_a_request_that_crosses_the_close_doesnt_reset_the_answer(case):
    sock = case.connect()
    case.face.announce_stop()
    sock.sendall(REQUEST * 2)
    answer = case.net.read(sock)
    assert answer.count(b"HTTP/1.1 200") == 1
    assert sock.recv(1) == b""
    case.net.pass_time(callers.LINGER_SECONDS + 0.1)
    assert case.face.close_idle() == 0


def test_what_has_just_happened_on_a_connection_keeps_it_open(case):
    counters = case.face._counters
    socks = [case.keep(), case.connect()]
    case.net.turn()
    case.face.stop_listening()
    assert case.face.close_idle() == len(socks)
    case.net.turn()
    for sock in socks:
        with pytest.raises(BlockingIOError):
            sock.recv(1)
    case.net.pass_time(callers.QUIET_SECONDS + 0.1)
    for _ in range(3):
        case.face.close_idle()
    assert counters.value("connections_closed", "stopping") == len(socks)
    case.net.pass_time(callers.LINGER_SECONDS + 0.1)
    assert case.face.close_idle() == 0


def test_whoever_still_waits_when_the_time_is_over_gets_an_answer(case):
    def handle(request, exchange):
        exchange.on_given_up = lambda: exchange.reply(503, [], b"")

    case.face._application = handle
    sock = case.connect()
    sock.sendall(REQUEST)
    case.net.turn()
    case.face.stop_listening()
    assert case.face.close_idle() == 1
    case.face.give_up()
    assert b"503" in case.net.read(sock)


def test_a_late_process_reads_before_it_calls_a_caller_slow(case):
    sock = case.connect()
    sock.sendall(REQUEST[:20])
    case.net.turn()
    case.net.clock.move_to(REQUEST_SECONDS + 5)
    sock.sendall(REQUEST[20:])
    case.face.refuse_slow(
        idle_seconds=IDLE_SECONDS, request_seconds=REQUEST_SECONDS
    )
    assert b"200" in case.net.read(sock)


def test_a_new_caller_takes_the_place_of_the_one_idle_for_longest():
    # Connections that say nothing took all descriptors.
    case = Case(connections=3)
    idle = [case.keep() for _ in range(3)]
    case.net.pass_time(1.0)
    idle[0].sendall(REQUEST)
    assert b"200" in case.net.read(idle[0])
    fourth = case.keep()
    assert idle[1].recv(100) == b""
    assert case.admission.connections == 3
    for sock in (*idle, fourth):
        sock.close()


def hold_all(case):
    case.face._application = lambda request, exchange: case.held.append(
        exchange
    )
    socks = [case.connect() for _ in range(3)]
    for sock in socks:
        sock.sendall(REQUEST)
    case.net.turn(lambda: len(case.held) == 3)
    return socks


@pytest.mark.parametrize("how", ["one leaves", "one is idle"])
def test_a_caller_without_place_waits_for_one(how):
    # The listener stayed readable, and the loop spun.
    case = Case(connections=3)
    socks = hold_all(case)
    fourth = case.connect()
    fourth.sendall(REQUEST)
    case.net.turn(lambda: bool(case.net.sockets._paused))
    (listener,) = case.net.sockets._paused
    assert not case.net.loop.poller.isReading(listener)
    if how == "one leaves":
        socks.pop().close()
    else:
        case.held[0].reply(200, [], b"")
        case.net.pass_time(5.0)
    case.net.turn(lambda: len(case.held) == 4)
    assert len(case.held) == 4
    for sock in (*socks, fourth):
        sock.close()


class FullListener:
    def accept(self):
        raise OSError(errno.EMFILE, "too many open files")


def test_without_descriptors_a_listener_is_not_watched(case, monkeypatch):
    # Accepting failed, and was tried again at once for ever.
    removed = []
    sockets = case.net.sockets
    listener = FullListener()
    sockets._listeners[listener] = accept_gate.Listener(
        case.face._connect, None, accept_gate.OpenGate()
    )
    monkeypatch.setattr(sockets._poller, "removeReader", removed.append)
    sockets._accept(listener)
    assert removed == [listener]

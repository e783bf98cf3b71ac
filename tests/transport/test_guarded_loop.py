"""An error in one callback of the loop leaves all others as they are."""

from __future__ import annotations

import types

import pytest

from boragefold.entry import guarded_application
from boragefold.protocol import envelope
from boragefold.protocol import ids
from boragefold.protocol import peer_messages
from boragefold.standins import ports
from boragefold.telemetry import counters as telemetry
from boragefold.telemetry import error_guard
from boragefold.timing import clock as clocks
from boragefold.timing import timers as timing
from boragefold.transport import callers
from boragefold.transport import http_client
from boragefold.transport import peer_link
from boragefold.transport import sockets
from boragefold.transport import whole_answer
from tests.fakes import loopback

REQUEST = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Case:
    """A loop whose callbacks are guarded."""

    def __init__(self):
        self.counters = telemetry.Counters()
        self.lines = []
        self.guard = error_guard.ErrorGuard(
            counters=self.counters,
            log=types.SimpleNamespace(
                write=lambda event, **fields: self.lines.append(fields)
            ),
        )
        self.net = loopback.Loopback()
        self.net.timers._run_callback = self.guard.runner("timer")
        self.net.sockets._run = self.guard.runner("socket")

    def errors(self, where):
        return self.counters.value("callback_errors", where)


@pytest.fixture
def case():
    return Case()


def fail(*args, **kwargs):
    raise RecursionError("too deep")


def test_what_is_due_with_a_callback_that_fails_still_runs(case):
    ran = []
    timers = timing.TimerService(
        clock=clocks.VirtualClock(), run=case.guard.runner("timer")
    )
    timers.once(delay_seconds=0.0, callback=fail)
    timers.once(delay_seconds=0.0, callback=lambda: ran.append("once"))
    timers.every(
        period_seconds=1.0,
        callback=lambda: ran.append("every"),
        first_delay_seconds=0.0,
    )
    timers.run_due()
    assert ran == ["once", "every"]
    assert case.errors("timer") == 1
    (line,) = case.lines
    assert (line["where"], line["error"]) == ("timer", "RecursionError")


def test_a_log_of_errors_has_an_end(case):
    for _ in range(error_guard.MAX_LOGGED + 5):
        case.guard.run("timer", fail)
    assert len(case.lines) == error_guard.MAX_LOGGED
    assert case.errors("timer") == error_guard.MAX_LOGGED + 5


def test_a_connection_whose_handler_fails_is_closed_and_others_go_on(case):
    client, listener = case.net.client, loopback.Listener()
    done = []
    answers = [fail, done.append]
    for each in answers:
        client.send(
            http_client.Call(
                address=listener.address,
                method="GET",
                target="/",
                headers=[],
                body=b"",
                fresh=True,
                progress_seconds=5.0,
            ),
            whole_answer.WholeAnswerSink(done=each),
        )
    case.net.turn()
    accepted = [listener.accept(), listener.accept()]
    for each in accepted:
        assert each.recv(4096)
        each.sendall(ANSWER)
    case.net.turn()
    # The one whose state isn't known any more is used for nothing else.
    assert accepted[0].recv(1) == b""
    with pytest.raises(BlockingIOError):
        accepted[1].recv(1)
    assert [each.body for each in done] == [b"ok"]
    assert case.errors("socket") == 1
    listener.close()


def test_a_caller_whose_request_fails_here_is_told_so(case):
    handled = []

    def handle(request, exchange):
        handled.append(request)
        if len(handled) == 1:
            fail()
        exchange.reply(200, [], b"")

    face = callers.CallersFace(
        sockets_=case.net.sockets,
        application=guarded_application.GuardedApplication(
            application=handle, guard=case.guard
        ).handle,
        counters=case.counters,
        timers=case.net.timers,
    )
    port = face.listen(host="127.0.0.1", port=0, tls=None)
    sock = case.net.connect(port)
    sock.sendall(REQUEST)
    answer = case.net.read(sock)
    assert answer.startswith(b"HTTP/1.1 502") and b"internal_error" in answer
    sock.sendall(REQUEST)
    assert case.net.read(sock).startswith(b"HTTP/1.1 200")
    assert case.errors("request") == 1


def test_an_answer_that_began_isnt_made_to_look_whole(case):
    closed = []

    def handle(request, exchange):
        exchange.on_closed = lambda: closed.append(True)
        exchange.start(200, [])
        exchange.send(b"part")
        fail()

    face = callers.CallersFace(
        sockets_=case.net.sockets,
        application=guarded_application.GuardedApplication(
            application=handle, guard=case.guard
        ).handle,
        counters=case.counters,
        timers=case.net.timers,
    )
    sock = case.net.connect(face.listen(host="127.0.0.1", port=0, tls=None))
    sock.sendall(REQUEST)
    answer = case.net.read(sock)
    assert b"part" in answer and not answer.endswith(b"0\r\n\r\n")
    # What was begun for the request is told that its caller is gone.
    assert closed == [True]


@pytest.mark.parametrize(
    ("host", "port"),
    [
        ("127.0.0.1", 99_999),
        ("127.0.0.1", -1),
        ("a\x00b", 80),
        ("h" * 300, 80),
    ],
)
def test_a_connection_to_no_address_fails_at_once(case, host, port):
    reasons = []
    handler = types.SimpleNamespace(closed=reasons.append)
    case.net.sockets.connect(host=host, port=port, handler=handler)
    case.net.turn()
    assert reasons == ["unreachable"]


def test_a_message_whose_handler_fails_leaves_those_behind_it(case):
    addresses = [ports.free_address() for _ in range(2)]
    codec = envelope.Codec(kinds=peer_messages.KINDS)
    links = [
        peer_link.ZmqPeerLink(
            poller=case.net.loop.poller,
            timers=case.net.timers,
            self_id=ids.InstanceId("a", address, f"i{number}"),
            codec=codec,
            counters=case.counters,
            run=case.guard.runner("peer"),
        ).register(case.net.loop)
        for number, address in enumerate(addresses)
    ]
    received = []
    links[1].subscribe(peer_messages.Pull, fail)
    links[1].subscribe(
        peer_messages.Published, lambda sender, body: received.append(body)
    )
    target = links[1].self_id
    links[0].send(to=target, body=peer_messages.Pull(told={}))
    published = peer_messages.Published(
        told={}, items=(), settling_seconds=0.0
    )
    links[0].send(to=target, body=published)
    case.net.turn(lambda: bool(received))
    assert received == [published]
    assert case.errors("peer") == 1
    for link in links:
        link.close()


def test_the_set_of_sockets_needs_no_guard():
    net = loopback.Loopback()
    assert isinstance(net.sockets, sockets.SocketSet)
    with pytest.raises(RecursionError):
        net.sockets._react(types.SimpleNamespace(), fail)

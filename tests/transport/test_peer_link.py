from __future__ import annotations

from typing import NamedTuple

import pytest
import zmq

from boragefold.protocol import envelope
from boragefold.protocol import ids
from boragefold.standins import ports
from boragefold.telemetry import counters as telemetry
from boragefold.timing import clock as clocks
from boragefold.timing import timers as timing
from boragefold.transport import loop as loops
from boragefold.transport import peer_keys
from boragefold.transport import peer_link

TICKS = 300


class Ping(NamedTuple):
    number: int


class Pair:
    def __init__(self, first_keys=None, second_keys=None):
        self.counters = telemetry.Counters()
        self.loops = []
        self.links = []
        for name, keys in (("one", first_keys), ("two", second_keys)):
            timers = timing.TimerService(clock=clocks.BootClock())
            loop = loops.Loop(timers=timers)
            loop._running = True
            link = peer_link.ZmqPeerLink(
                poller=loop.poller,
                timers=timers,
                self_id=ids.InstanceId("a", ports.free_address(), name),
                codec=envelope.Codec(kinds=[Ping]),
                counters=self.counters,
                keys=keys,
            )
            link.register(loop)
            self.loops.append(loop)
            self.links.append(link)
        self.got = []
        self.links[1].subscribe(Ping, lambda who, ping: self.got.append(ping))

    def turn(self, until=lambda: False):
        for _ in range(TICKS):
            if until():
                return
            for loop in self.loops:
                loop.tick(timeout=0.005)

    def close(self):
        for link in self.links:
            link.close()


def keys():
    return peer_keys.read(zmq.curve_keypair()[1].decode())


@pytest.fixture(params=[False, True], ids=["plain", "curve"])
def pair(request):
    shared = keys() if request.param else None
    pair = Pair(shared, shared)
    yield pair
    pair.close()


def test_messages_arrive_in_order(pair):
    one, two = pair.links
    for number in range(50):
        one.send(to=two.self_id, body=Ping(number))
    pair.turn(lambda: len(pair.got) == 50)
    assert [ping.number for ping in pair.got] == list(range(50))


def test_a_message_for_a_predecessor_is_dropped(pair):
    # A message for an earlier incarnation must not reach its successor.
    one, two = pair.links
    one.send(to=two.self_id._replace(incarnation="dead"), body=Ping(1))
    one.send(to=two.self_id, body=Ping(2))
    pair.turn(lambda: bool(pair.got))
    assert pair.got == [Ping(2)]
    assert pair.counters.value("peer_messages_refused", "incarnation") == 1


def test_a_stranger_is_not_heard():
    # Knowing the public key must not be enough to be heard.
    ours, theirs = keys(), keys()
    stranger = theirs._replace(public=theirs.public)
    pair = Pair(stranger, ours)
    one, two = pair.links
    one._keys = Stranger(theirs, ours)
    one.send(to=two.self_id, body=Ping(1))
    pair.turn(lambda: bool(pair.got))
    assert not pair.got
    pair.close()


class Stranger:
    def __init__(self, own, target):
        self.own, self.target = own, target

    def introduce(self, sock):
        self.own.introduce(sock)
        sock.curve_serverkey = self.target.public


def test_a_bad_key_is_named():
    assert isinstance(peer_keys.read("short"), peer_keys.BadPeerKey)

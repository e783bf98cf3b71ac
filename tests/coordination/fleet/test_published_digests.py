"""Comparing what instances know of the published items, in virtual time."""

from __future__ import annotations

import random

import pytest

from boragefold.coordination.fleet import published_digests
from boragefold.protocol import peer_messages
from boragefold.state import published_items
from boragefold.telemetry import counters as telemetry
from tests.fakes import gateways

READY = published_items.Item("servers/a", 1, b"ready")
LEAVING = published_items.Item("servers/a", 2, b"leaving")
LATER = published_items.Item("servers/b", 3, b"ready")


class Log:
    def __init__(self):
        self.events = []

    def write(self, event, **fields):
        self.events.append((event, fields.get("prefix")))


def ignore(peer, prefix, revision):
    pass


def add_digests(instance, *, mends=False):
    log = Log()
    exchange = published_digests.DigestExchange(
        link=instance.node.link,
        items=instance.items,
        members=instance.members,
        timers=instance.node.timers,
        counters=telemetry.Counters(),
        log=log,
        rng=random.Random(1),
        pull_all=instance.relay.pull_all if mends else ignore,
    )
    exchange.start()
    return log


@pytest.fixture
def fleet():
    fleet = gateways.Gateways()
    fleet.run(6.0)
    return fleet


def test_two_that_differ_at_the_same_number_find_out(fleet) -> None:
    lacking, *others = fleet.instances.values()
    logs = [add_digests(each) for each in fleet.instances.values()]
    for each in others:
        each.items.take([READY, LEAVING, LATER], revision=3)
    lacking.items.take([READY, LATER], revision=3)
    fleet.run(3.0)
    told = [log for log in logs if log.events]
    assert logs[0] in told
    assert len(told) > 1


def test_a_difference_at_the_same_number_is_mended(fleet) -> None:
    lacking, contagious, *others = fleet.instances.values()
    for each in fleet.instances.values():
        add_digests(each, mends=True)
    for each in others:
        each.items.take([READY, LEAVING, LATER], revision=3)
    for each in (lacking, contagious):
        each.items.take([READY, LATER], revision=3)
    fleet.run(5.0)
    assert {
        state
        for each in fleet.instances.values()
        for state in each.items.states()
    } == {*others[0].items.states()}
    assert LEAVING.value in {x.value for x in lacking.items.below("servers/")}


def test_what_a_pull_doesnt_mend_is_pulled_ever_less_often(fleet) -> None:
    # Two releases may differ in what matters to them.
    odd, *others = fleet.instances.values()
    for each in fleet.instances.values():
        add_digests(each, mends=True)
    odd.items._content = lambda item: b"other"
    pulls = []
    for each in fleet.instances.values():
        each.relay._link.subscribe(
            peer_messages.Pull, lambda sender, pull: pulls.append(sender)
        )
        each.items.take([READY], revision=1)
    fleet.run(60.0)
    assert 0 < len(pulls) < 20 * len(others)


def test_whoever_is_behind_by_the_numbers_doesnt_differ(fleet) -> None:
    # It asks for the changes by these; the difference says nothing.
    behind, *others = fleet.instances.values()
    logs = [add_digests(each) for each in fleet.instances.values()]
    behind.items.take([READY], revision=1)
    for each in others:
        each.items.take([READY, LEAVING], revision=2)
    fleet.run(3.0)
    assert not any(log.events for log in logs)


def test_digests_cover_removals_and_no_order() -> None:
    one, other = (
        published_items.PublishedItems(prefixes=["servers/"]) for _ in range(2)
    )
    one.take([READY, LEAVING, LATER], revision=3)
    other.take([LATER], revision=3)
    other.take([LEAVING], revision=3)
    assert list(one.states()) == list(other.states())
    one.take([published_items.Item("servers/b", 4, None)], revision=4)
    assert next(one.states()).digest != next(other.states()).digest

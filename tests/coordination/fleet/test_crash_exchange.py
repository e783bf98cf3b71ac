"""What instances tell each other of crashes, in virtual time."""

from __future__ import annotations

import collections

import pytest

from boragefold.coordination.fleet import crash_exchange
from boragefold.policy import crash_suspects
from boragefold.protocol import crash_messages as messages
from boragefold.protocol import envelope
from tests.fakes import gateways

SETTLED_SECONDS = 6.0
LARGE = 195
# All in touch must know of a crash by then.
CONTACT_SECONDS = 3.0
SUSPECTS = tuple(messages.Suspect((1 << 63) + n, 900) for n in range(40))
# One message of a crash reaches each instance, and its answer comes back.
MESSAGES_EACH = 12
# Two messages follow each other well within a heartbeat.
TOLD_SECONDS = 0.15
# What an instance may send for control in a second.
BYTES_PER_SECOND = 6_000


class Fleet(gateways.Gateways):
    """A fleet whose instances exchange crashes."""

    def __init__(self, *arguments, **options):
        self.suspects = {}
        self.sent = collections.Counter()
        self.sent_bytes = collections.Counter()
        self.deaf = set()
        super().__init__(*arguments, **options)
        codec = envelope.Codec(kinds=messages.KINDS)
        post = self.network.post

        def counted(sender, to, body):
            if isinstance(body, messages.CrashNews):
                size = len(codec.encode(sender=sender, body=body))
                self.sent[sender.address] += 1
                self.sent_bytes[sender.address] += size
            post(sender, to, body)

        self.network.post = counted
        self.run(SETTLED_SECONDS)

    def start(self, address, seeds=None):
        instance = super().start(address, seeds)
        known = crash_suspects.CrashSuspects(trial_jitter=0.0)
        self.suspects[address] = known
        if address not in self.deaf:
            instance.exchange = crash_exchange.CrashExchange(
                link=instance.node.link,
                members=instance.members,
                timers=instance.node.timers,
                suspects=known,
                is_hub=lambda: instance.heartbeats.is_hub,
            )
        return instance

    def crash(self, number, *addresses):
        for address in addresses:
            self.suspects[address].record_crash(
                number,
                SUSPECTS,
                now_seconds=self.network.clock.now_seconds(),
            )
            self.instances[address].exchange.schedule()

    def digests(self, addresses=None):
        return {
            self.suspects[address].digest
            for address in (addresses or self.instances)
        }

    def agrees(self, addresses=None):
        found = self.digests(addresses)
        return len(found) == 1 and 0 not in found


def test_hundreds_know_of_a_crash_at_once_and_at_a_low_cost() -> None:
    fleet = Fleet(LARGE)
    assert not fleet.sent
    fleet.crash(1, *fleet.addresses[5:10])
    fleet.run(CONTACT_SECONDS / 2)
    assert fleet.agrees()
    fleet.run(CONTACT_SECONDS)
    assert fleet.sent.total() <= MESSAGES_EACH * LARGE
    assert fleet.sent_bytes.total() / LARGE <= BYTES_PER_SECOND
    before = fleet.sent.total()
    fleet.run(5.0)
    assert fleet.sent.total() == before


def test_who_starts_later_learns_of_it() -> None:
    # Whoever knew would forget it, one restart after the other.
    fleet = Fleet(9)
    fleet.crash(1, fleet.addresses[0])
    fleet.run(1.0)
    for address in fleet.addresses:
        fleet.kill(address)
        fleet.start(address)
        fleet.run(CONTACT_SECONDS)
    assert fleet.agrees()


def test_two_sides_of_a_cut_agree_afterwards() -> None:
    fleet = Fleet(9)
    inside = [
        address
        for address, instance in fleet.instances.items()
        if instance.node.self_id.data_centre == "dc-a"
    ]
    outside = [each for each in fleet.addresses if each not in inside]
    fleet.cut(inside)
    fleet.run(4.0)
    fleet.crash(1, inside[0])
    fleet.crash(2, outside[0])
    fleet.run(CONTACT_SECONDS)
    assert fleet.agrees(inside) and fleet.agrees(outside)
    assert not fleet.agrees()
    fleet.heal()
    fleet.run(CONTACT_SECONDS + 2.0)
    assert fleet.agrees()


def test_a_killed_observer_has_told_the_others() -> None:
    fleet = Fleet(9)
    fleet.crash(1, fleet.addresses[4])
    fleet.run(0.1)
    fleet.kill(fleet.addresses[4])
    fleet.run(CONTACT_SECONDS)
    assert fleet.agrees(list(fleet.instances))


@pytest.mark.parametrize("seed", range(4))
def test_lost_messages_are_made_up_for(seed) -> None:
    fleet = Fleet(9, seed=seed, loss=0.3)
    fleet.crash(1, fleet.addresses[3])
    fleet.run(CONTACT_SECONDS * 3)
    assert fleet.agrees()


def test_a_release_that_doesnt_know_the_messages_is_asked_ever_less() -> None:
    fleet = Fleet(9)
    old = fleet.addresses[8]
    fleet.kill(old)
    fleet.deaf.add(old)
    fleet.start(old)
    fleet.crash(1, fleet.addresses[0])
    fleet.run(30.0)
    assert fleet.agrees([each for each in fleet.addresses if each != old])
    before = fleet.sent.total()
    fleet.run(60.0)
    assert fleet.sent.total() - before <= 2 * len(fleet.addresses)


def test_what_only_a_follower_knew_of_a_crash_is_told_at_once() -> None:
    # An instance that isn't a hub passes on nothing of what it is told.
    fleet = Fleet(40)
    witness, other = [
        address
        for address, instance in fleet.instances.items()
        if not instance.heartbeats.is_hub
    ][:2]
    fleet.suspects[witness].record_unproven(
        1,
        [messages.Suspect(1, 50)],
        now_seconds=fleet.network.clock.now_seconds(),
    )
    fleet.crash(1, other)
    fleet.run(TOLD_SECONDS)
    assert all(
        known.count_crashes(1, now_seconds=fleet.network.clock.now_seconds())
        == 1
        for known in fleet.suspects.values()
    )

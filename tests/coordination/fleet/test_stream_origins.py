"""Origins of streams at instances that end, are cut off or lose messages."""

from __future__ import annotations

import random

import pytest

from boragefold.coordination.fleet import stream_origins
from boragefold.protocol import origin_messages as messages
from boragefold.state import deployment
from tests.fakes import gateways

SEEDS = range(20)
SETTLE_SECONDS = 3.0
KEEP_SECONDS = 30.0


def make_life(number):
    version = ("v1", "v2", "")[number % 3]
    return deployment.EndpointLife("llm", f"e{number}", number, version)


class World:
    """A fleet whose instances keep origins."""

    def __init__(self, seed, **options):
        self.fleet = gateways.Gateways(seed=seed, **options)
        self.origins = {}
        self.found = []
        for address in self.fleet.addresses:
            self.connect(address)
        self.fleet.run(SETTLE_SECONDS)

    def connect(self, address):
        instance = self.fleet.instances[address]
        self.origins[address] = stream_origins.StreamOrigins(
            link=instance.node.link,
            members=instance.members,
            timers=instance.node.timers,
        )

    def restart(self, address):
        self.fleet.kill(address)
        self.fleet.start(address)
        self.connect(address)

    def publish(self, address, key, life):
        self.origins[address].publish(key, life, keep_seconds=KEEP_SECONDS)

    def find(self, address, key):
        self.origins[address].find(
            key, lambda found: self.found.append((key, found))
        )


@pytest.mark.parametrize("seed", SEEDS)
def test_an_origin_is_the_first_life_or_unknown(seed) -> None:
    # Announcements are lost, doubled and late, instances restart and are cut
    # off, and some callers name attempts that took streams up themselves.
    world = World(seed, loss=0.2)
    world.fleet.network.doubling = 0.3
    world.fleet.network.delay_seconds = (0.001, 0.5)
    rng = random.Random(seed)
    addresses = world.fleet.addresses
    lives = {}
    for key in range(120):
        if lives and rng.random() < 0.3:
            # A take-up passes on the origin of what it takes up.
            lives[key] = lives[rng.choice(list(lives))]
        else:
            lives[key] = make_life(rng.randrange(30))
        world.publish(rng.choice(addresses), key, lives[key])
        world.find(rng.choice(addresses), rng.choice(list(lives)))
        if rng.random() < 0.1:
            world.restart(rng.choice(addresses))
        if rng.random() < 0.1:
            cut = rng.sample(addresses, 3)
            world.fleet.cut(cut, [a for a in addresses if a not in cut])
        if rng.random() < 0.1:
            world.fleet.heal()
        world.fleet.run(rng.uniform(0.0, 0.2))
    world.fleet.run(SETTLE_SECONDS)
    assert world.found
    for key, found in world.found:
        assert found.origin in (None, lives[key])


@pytest.mark.parametrize("seed", SEEDS)
def test_streams_of_an_instance_that_ends_are_known_elsewhere(seed) -> None:
    # Nobody but the instance that ended knew where its streams began.
    world = World(seed)
    ended, *others = world.fleet.addresses
    for key in range(40):
        world.publish(ended, key, make_life(key))
    world.fleet.run(0.01)
    world.fleet.kill(ended)
    for key in range(40):
        world.find(random.Random(key).choice(others), key)
    world.fleet.run(SETTLE_SECONDS)
    assert len(world.found) == 40
    for key, found in world.found:
        assert found.origin == make_life(key)


@pytest.mark.parametrize("seed", SEEDS)
def test_an_instance_that_has_just_started_finds_origins(seed) -> None:
    # It asked the first that it met, who weren't the keepers.
    world = World(seed)
    begun, taking, *_ = world.fleet.addresses
    for key in range(40):
        world.publish(begun, key, make_life(key))
    world.fleet.run(0.01)
    world.fleet.kill(begun)
    world.restart(taking)
    for key in range(40):
        world.find(taking, key)
    world.fleet.run(SETTLE_SECONDS)
    sources = [found.source for _, found in world.found]
    assert stream_origins.Source.NOBODY not in sources
    known = [found.origin == make_life(key) for key, found in world.found]
    assert sum(known) >= 0.9 * len(known)


def test_a_lost_data_centre_knows_its_own_streams() -> None:
    world = World(1, count=9)
    near = [a for a in world.fleet.addresses if _centre(world, a) == "dc-a"]
    far = [a for a in world.fleet.addresses if a not in near]
    begun, taking, *_ = near
    for key in range(40):
        world.publish(begun, key, make_life(key))
    world.fleet.run(0.01)
    world.fleet.cut(near, far)
    world.fleet.kill(begun)
    for key in range(40):
        world.find(taking, key)
    world.fleet.run(SETTLE_SECONDS)
    assert all(found.origin == make_life(key) for key, found in world.found)


def test_nobody_knows_a_stream_that_never_began() -> None:
    world = World(1)
    world.find(world.fleet.addresses[0], 1)
    world.fleet.run(SETTLE_SECONDS)
    ((_, found),) = world.found
    assert found.source is stream_origins.Source.NOBODY
    assert found.took_seconds < stream_origins.ASK_SECONDS


def test_silent_keepers_are_told_from_ones_that_know_nothing() -> None:
    world = World(1)
    own, *others = world.fleet.addresses
    world.fleet.cut([own], others)
    world.find(own, 1)
    world.fleet.run(SETTLE_SECONDS)
    ((_, found),) = world.found
    assert found.source is stream_origins.Source.SILENT


def test_a_stream_costs_few_messages_in_a_large_fleet() -> None:
    world = World(1, count=30)
    counted = []
    network = world.fleet.network
    post = network.post

    def count(sender, to, body):
        if isinstance(body, messages.KINDS):
            counted.append(body)
        post(sender, to, body)

    network.post = count
    world.publish(world.fleet.addresses[0], 1, make_life(1))
    assert len(counted) == 3


def _centre(world, address):
    return world.fleet.instances[address].node.self_id.data_centre

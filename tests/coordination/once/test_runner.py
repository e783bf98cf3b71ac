"""Run-once tickets under kills, pauses, partitions and message faults."""

from __future__ import annotations

import itertools
import random

import pytest

from boragefold.coordination.once import attempt_handler
from boragefold.coordination.once import reachability as reachabilities
from boragefold.coordination.once import register as registers
from boragefold.coordination.once import runner as runners
from boragefold.coordination.once import tickets
from boragefold.protocol import once_messages
from boragefold.telemetry import counters as telemetry
from tests.fakes import network as networks

ANSWER = once_messages.StoredAnswer(200, "application/json", b"{}")
WALK_STEPS = 600
SERIALS = itertools.count()


class Entry:
    """One instance; it sends as soon as it may, and records each run."""

    def __init__(self, net, data_centre, address, runs):
        self.node = net.start(data_centre, address)
        self.runs = runs
        self.log = []
        self.answers = True
        counters = telemetry.Counters()
        self.peers = []
        reachability = reachabilities.Reachability(timers=self.node.timers)
        self.ticket_issuer = tickets.TicketIssuer(
            reachability=reachability,
            self_id=self.node.self_id,
            timers=self.node.timers,
            others=lambda: [p.node.self_id for p in self.peers if p != self],
            new_serial=lambda: f"{next(SERIALS):032x}",
        )
        register = registers.Register(
            link=self.node.link,
            timers=self.node.timers,
            ticket_issuer=self.ticket_issuer,
            counters=counters,
        )
        self.runner = runners.Runner(
            link=self.node.link,
            timers=self.node.timers,
            register=register,
            counters=counters,
            reachability=reachability,
        )

    def begin(self, ticket, digest="d", give_up_seconds=30.0):
        now_seconds = self.node.timers.now_seconds()
        handler = Handler(self, ticket)
        self.runner.begin(
            ticket=ticket,
            digest=digest,
            deadline_at_seconds=now_seconds + give_up_seconds,
            handler=handler,
        )
        return handler

    def ask(self, ticket):
        handler = Handler(self, ticket)
        now_seconds = self.node.timers.now_seconds()
        self.runner.query(
            ticket=ticket,
            deadline_at_seconds=now_seconds + 30.0,
            handler=handler,
        )
        return handler


class Handler(attempt_handler.AttemptHandler):
    def __init__(self, entry, ticket):
        self.entry = entry
        self.ticket = ticket
        self.outcome = None

    def on_granted(self, attempt):
        assert not self.entry.node.dead
        self.entry.runs.append(self.ticket.serial)
        self.outcome = "ran"
        if self.entry.answers:
            self.entry.runner.store_answer(attempt, ANSWER)
        else:
            self.entry.runner.abandon(attempt)
            self.outcome = "unknown"

    def on_replay(self, answer):
        self.outcome = "replayed"

    def on_not_run(self, reason):
        # "request_differs" refers to another request than the one that ran.
        ran = self.ticket.serial in self.entry.runs
        assert not ran or reason == "request_differs"
        self.outcome = f"not_run:{reason}"

    def on_unknown(self, reason):
        self.outcome = f"unknown:{reason}"


@pytest.fixture
def fleet():
    net = networks.Network(seed=7)
    runs = []
    entries = [
        Entry(net, data_centre, f"{data_centre}-{n}", runs)
        for data_centre, n in itertools.product("abc", (0, 1))
    ]
    for entry in entries:
        entry.peers = entries
    return net, entries, runs


def by_id(entries, self_id):
    return next(e for e in entries if e.node.self_id == self_id)


def test_a_repeat_through_another_instance_gets_the_first_answer(fleet):
    # A caller sends a payment, loses its connection and repeats the request,
    # which the load balancer routes to an instance that has no state of it.
    net, entries, runs = fleet
    ticket = entries[0].ticket_issuer.issue("rights")
    first = entries[1].begin(ticket)
    net.run_for(1)
    repeat = entries[4].begin(ticket)
    net.run_for(1)
    assert (first.outcome, repeat.outcome) == ("ran", "replayed")
    assert len(runs) == 1


@pytest.mark.parametrize("killed", ["first", "second", "runner"])
def test_after_one_death_the_outcome_is_still_known(fleet, killed):
    # After a payment ran, one of the instances involved is killed and the
    # caller repeats the request: it must neither run again nor be refused.
    net, entries, runs = fleet
    ticket = entries[0].ticket_issuer.issue("rights")
    runner = (
        entries[2]
        if ticket.second != entries[2].node.self_id
        else (entries[3])
    )
    runner.begin(ticket)
    net.run_for(1)
    victim = {
        "first": entries[0],
        "second": by_id(entries, ticket.second),
        "runner": runner,
    }[killed]
    net.kill(victim.node)
    survivor = next(e for e in entries[1:] if e not in (victim, runner))
    repeat = survivor.begin(ticket)
    net.run_for(5)
    assert repeat.outcome == "replayed"
    assert len(runs) == 1


def test_an_unused_ticket_of_a_dead_instance_is_not_run_for_good(fleet):
    # An instance issues a ticket and is killed before its use. The caller is
    # told "not run", so a delayed first attempt must not run afterwards.
    net, entries, runs = fleet
    ticket = entries[0].ticket_issuer.issue("rights")
    second = by_id(entries, ticket.second)
    late = next(e for e in entries[1:] if e is not second)
    net.pause(late.node)
    late_handler = late.begin(ticket)
    net.run_for(0.1)  # The first register grants; the runner is suspended.
    net.kill(entries[0].node)
    other = next(e for e in entries[1:] if e not in (second, late))
    refused = other.begin(ticket)
    net.run_for(5)
    assert refused.outcome == "not_run:ticket_sealed"
    net.resume(late.node)
    net.run_for(5)
    assert late_handler.outcome.startswith("not_run")
    assert not runs


def test_a_runner_that_slept_past_its_deadline_does_not_send(fleet):
    # The runner is suspended between the registers' replies and the send. Its
    # caller has given up since and may have paid in another way.
    net, entries, runs = fleet
    ticket = entries[0].ticket_issuer.issue("rights")
    handler = entries[0].begin(ticket, give_up_seconds=10.0)
    net.pause(entries[0].node)
    net.run_for(3600)
    net.resume(entries[0].node)
    net.run_for(5)
    assert handler.outcome == "not_run:deadline"
    assert not runs


def test_a_cut_between_data_centres_never_runs_twice(fleet):
    # Two data centres are partitioned and the caller repeats its request on
    # both sides. A side that can't reach both registers must not run it.
    net, entries, runs = fleet
    ticket = entries[0].ticket_issuer.issue("rights")
    net.is_cut = lambda a, b: a.data_centre != b.data_centre
    one = entries[1].begin(ticket)
    second = by_id(entries, ticket.second)
    other = second.begin(ticket)
    net.run_for(5)
    assert one.outcome == "not_run:register_unreachable"
    assert other.outcome.startswith("not_run")
    net.is_cut = lambda a, b: False
    net.run_for(5)
    assert not runs


def test_a_data_centre_that_is_cut_off_goes_on_paying(fleet):
    # A data centre is partitioned off for minutes. Its first payment names a
    # register elsewhere and is refused; if later tickets did the same, every
    # payment would be refused until the partition ends.
    net, entries, runs = fleet
    net.is_cut = lambda a, b: (
        "a" in (a.data_centre, b.data_centre)
        and (a.data_centre != b.data_centre)
    )
    outcomes = []
    for _ in range(4):
        handler = entries[0].begin(entries[0].ticket_issuer.issue("rights"))
        net.run_for(2)
        outcomes.append(handler.outcome)
    assert outcomes.count("ran") >= 2
    assert outcomes[-1] == "ran"
    assert set(outcomes) <= {"ran", "not_run:register_unreachable"}
    assert len(runs) == outcomes.count("ran")


def test_a_send_without_answer_is_unknown_everywhere(fleet):
    net, entries, runs = fleet
    ticket = entries[0].ticket_issuer.issue("rights")
    entries[0].answers = False
    entries[0].begin(ticket)
    net.run_for(1)
    repeat = entries[3].begin(ticket)
    question = entries[4].ask(ticket)
    net.run_for(3)
    assert repeat.outcome == "unknown:already_sent"
    assert question.outcome == "unknown:already_sent"
    assert len(runs) == 1


def test_another_request_can_not_use_the_ticket(fleet):
    net, entries, runs = fleet
    ticket = entries[0].ticket_issuer.issue("rights")
    entries[0].begin(ticket, digest="pay 10")
    net.run_for(1)
    other = entries[1].begin(ticket, digest="pay 20")
    net.run_for(1)
    assert other.outcome == "not_run:request_differs"


def test_a_restarted_register_vouches_for_nothing(fleet):
    # A new process replaces the first register at the same address. It has no
    # records, so a grant from it would run the payment again.
    net, entries, runs = fleet
    ticket = entries[0].ticket_issuer.issue("rights")
    entries[2].begin(ticket)
    net.run_for(1)
    net.kill(entries[0].node)
    net.kill(by_id(entries, ticket.second).node)
    restarted = Entry(net, "a", "a-0", runs)
    survivor = next(e for e in entries if not e.node.dead)
    repeat = survivor.begin(ticket)
    own = restarted.begin(ticket)
    net.run_for(5)
    assert repeat.outcome == "unknown:registers_unreachable"
    assert own.outcome.startswith("unknown")
    assert len(runs) == 1


@pytest.mark.parametrize("seed", range(8))
def test_random_walk_runs_no_ticket_twice_and_tells_no_lie(seed):
    # Callers repeat tickets through random instances while messages are lost,
    # duplicated and delayed, data centres are partitioned, and instances are
    # suspended, resumed and killed. No ticket may run twice, and none that ran
    # may have been reported as not run by a sealed register.
    walk = Walk(seed)
    for _ in range(WALK_STEPS):
        walk.step()
    walk.check()


class Walk:
    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.net = networks.Network(
            seed=seed, delay_seconds=(0.0005, 0.5), loss=0.05, doubling=0.1
        )
        self.runs = []
        self.count = itertools.count()
        self.entries = [self.start(dc) for dc in "aabbcc"]
        self.tickets = []
        self.handlers = []

    def start(self, data_centre):
        name = f"{data_centre}-{next(self.count)}"
        entry = Entry(self.net, data_centre, name, self.runs)
        entry.answers = self.rng.random() < 0.8
        return entry

    def step(self):
        for entry in self.entries:
            entry.peers = self.entries
        entry = self.rng.choice(self.entries)
        act = self.rng.choices(
            ["mint", "begin", "ask", "kill", "pause", "wake", "cut"],
            [8, 20, 2, 1, 2, 6, 1],
        )[0]
        getattr(self, act)(entry)
        self.net.run_for(self.rng.uniform(0, 0.6))

    def mint(self, entry):
        if not entry.node.paused:
            self.tickets.append(entry.ticket_issuer.issue("rights"))

    def begin(self, entry):
        if self.tickets and not entry.node.paused:
            ticket = self.rng.choice(self.tickets[-6:])
            self.handlers.append(entry.begin(ticket))

    def ask(self, entry):
        if self.tickets and not entry.node.paused:
            ticket = self.rng.choice(self.tickets[-6:])
            self.handlers.append(entry.ask(ticket))

    def kill(self, entry):
        self.net.kill(entry.node)
        self.entries.remove(entry)
        self.entries.append(self.start(entry.node.self_id.data_centre))

    def pause(self, entry):
        self.net.pause(entry.node)

    def wake(self, entry):
        if entry.node.paused:
            self.net.resume(entry.node, timers_first=self.rng.random() < 0.5)

    def cut(self, entry):
        lost = self.rng.choice(["", "a", "b", "c"])
        self.net.is_cut = lambda x, y: (
            x.data_centre != y.data_centre
            and lost in (x.data_centre, y.data_centre)
        )

    def check(self):
        self.net.run_for(60)
        assert len(self.runs) == len(set(self.runs))
        assert len(self.runs) > 5
        denied = {
            h.ticket.serial
            for h in self.handlers
            if h.outcome == "not_run:ticket_sealed"
        }
        assert not denied & set(self.runs)

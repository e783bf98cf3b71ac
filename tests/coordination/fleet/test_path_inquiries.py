"""Questions to peers on whether they reach an endpoint."""

from __future__ import annotations

import random

import pytest

from boragefold.coordination.fleet import path_inquiries
from boragefold.protocol import path_messages
from tests.fakes import gateways

MAX_ASKED = sum(path_inquiries.ROUND_SIZES)
# Rounds, and connections that don't open.
MAX_SECONDS = (
    2 * path_inquiries.NEXT_ROUND_SECONDS + path_inquiries.ANSWER_SECONDS
)


class Fleet(gateways.Gateways):
    """Instances of which some reach the endpoint."""

    def __init__(self, count, *, reaching=(), slow=(), old=()):
        super().__init__(count, seed=7)
        self.asked = []
        self.inquiries = {
            address: self._connect(address, address in reaching, slow)
            for address in self.addresses
            if address not in old
        }
        self.run(4.0)

    def _connect(self, address, reaches, slow):
        node = self.instances[address].node

        def check(endpoint, on_result):
            self.asked.append(address)
            delay = 0.25 if address in slow else 0.001
            node.timers.once(
                delay_seconds=delay, callback=lambda: on_result(reaches)
            )

        return path_inquiries.PathInquiries(
            link=node.link,
            members=self.instances[address].members,
            timers=node.timers,
            rng=random.Random(1),
            check=check,
            tunnel=lambda: path_inquiries.Tunnel(7600, "issued"),
        )

    def ask(self, seconds=MAX_SECONDS + 0.01):
        asker, *_ = self.addresses
        found, ended = [], []
        begun = self.network.clock.now_seconds()
        self.inquiries[asker].ask(
            "e1",
            on_reached=lambda path: found.append(
                (path, self.network.clock.now_seconds() - begun)
            ),
            on_end=lambda reached, asked: ended.append((reached, asked)),
        )
        self.run(seconds)
        return found, ended


def peers(count):
    return [f"10.1.0.{number}:70" for number in range(1, count)]


def test_nobody_is_asked_without_a_question() -> None:
    assert not Fleet(7, reaching=peers(7)).asked


def test_the_first_peers_that_reach_it_are_enough() -> None:
    found, ended = Fleet(9, reaching=peers(9)).ask()
    assert len(found) == path_inquiries.ROUND_SIZES[0]
    assert ended == [(True, path_inquiries.ROUND_SIZES[0])]
    path, seconds = found[0]
    assert path.tunnel == path.peer.rpartition(":")[0] + ":7600"
    assert seconds < 0.01


@pytest.mark.parametrize("number", range(1, 6))
def test_one_of_six_that_reaches_it_is_found(number) -> None:
    # All but one of a small fleet may be cut off, and slow to know it.
    reaching = [f"10.1.0.{number}:70"]
    found, ended = Fleet(6, reaching=reaching, slow=peers(6)).ask(1.0)
    assert [path.peer for path, _ in found] == reaching
    assert all(seconds < MAX_SECONDS for _, seconds in found)
    assert ended == [(True, 5)]


def test_an_inquiry_ends_though_nobody_answers() -> None:
    # Peers of an older release don't know the question.
    found, ended = Fleet(6, old=peers(6)).ask()
    assert not found
    assert ended == [(False, 5)]


def test_few_are_asked_in_a_large_fleet() -> None:
    # Each question costs a message and a connection.
    fleet = Fleet(60)
    _, ended = fleet.ask()
    assert ended == [(False, MAX_ASKED)]
    assert len(fleet.asked) == MAX_ASKED


def test_whoever_isnt_of_the_fleet_gets_no_token() -> None:
    # The token opens connections to endpoints.
    fleet = Fleet(3, reaching=peers(3))
    outsider = fleet.network.start("dc-a", "10.9.9.9:70")
    answers = []
    outsider.link.subscribe(
        path_messages.PathAnswer, lambda sender, body: answers.append(body)
    )
    member = fleet.instances[fleet.addresses[1]].node.self_id
    outsider.link.send(to=member, body=path_messages.PathQuestion(1, "e1"))
    fleet.run(0.5)
    assert not answers and not fleet.asked

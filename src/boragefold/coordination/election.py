"""Elects a voter of a view as its leader."""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import NamedTuple

from boragefold.coordination import instance_list as instance_lists
from boragefold.coordination import link
from boragefold.coordination import peer_status as peer_statuses
from boragefold.coordination import quorum
from boragefold.coordination import rights
from boragefold.coordination import view_state
from boragefold.protocol import ids
from boragefold.protocol import view_messages as messages
from boragefold.telemetry import counters as telemetry

# Candidates start at different times, so that the first one wins without
# competition.
CANDIDATE_DELAY_SECONDS = 0.15
RETRY_SECONDS = 0.4


class ElectionResult(NamedTuple):
    """A quorum's promises, and an undecided successor view to complete."""

    ballot: messages.Ballot
    ends: dict[ids.InstanceId, float]
    dead: frozenset[ids.InstanceId]
    successor: rights.View | None


class Election:
    """Requests promises when this instance has promised none to a leader."""

    def __init__(
        self,
        *,
        peer_link: link.PeerLink,
        state: view_state.ViewState,
        peer_status: peer_statuses.PeerStatus,
        counters: telemetry.Counters,
        random_source: random.Random,
        on_won: Callable[[ElectionResult], None],
    ) -> None:
        self._link = peer_link
        self._state = state
        self._peer_status = peer_status
        self._counters = counters
        self._random = random_source
        self._on_won = on_won
        self._ballot = messages.NO_BALLOT
        self._promise_ends: dict[ids.InstanceId, float] = {}
        self._accepted: list[tuple[messages.Ballot, rights.View]] = []
        self._dead: frozenset[ids.InstanceId] | None = None
        self._highest_round = 0
        self._next_try_seconds = 0.0
        self.running = False

    def tick(self) -> None:
        """Start an election if there is no leader and the delay is over."""
        state = self._state
        view = state.view
        now_seconds = state.now_seconds()
        if view is None or state.is_outdated():
            self.running = False
            return
        dead = self._peer_status.verified_dead()
        voters = quorum.voters_of(view, dead or ())
        if state.self_id not in voters or now_seconds < self._next_try_seconds:
            return
        wait_seconds = voters.index(state.self_id) * CANDIDATE_DELAY_SECONDS
        if now_seconds >= state.promise_until_seconds + wait_seconds:
            self.start()

    def start(self) -> None:
        """Request the promises of the voters now."""
        state = self._state
        view = state.view
        if view is None or not state.may_promise(state.self_id.incarnation):
            return
        now_seconds = state.now_seconds()
        self._highest_round = 1 + max(
            self._highest_round, state.promised.round
        )
        self._ballot = messages.Ballot(
            self._highest_round, state.self_id.incarnation
        )
        self._dead = self._peer_status.verified_dead()
        self._promise_ends = {}
        self._accepted = []
        self._next_try_seconds = now_seconds + RETRY_SECONDS * (
            1 + self._random.random()
        )
        self.running = True
        self._counters.add("view_elections", "started")
        prepare = messages.Prepare(
            state.view_id(), self._ballot.round, now_seconds
        )
        for voter in quorum.voters_of(view, self._dead or ()):
            if voter != state.self_id:
                self._link.send(to=voter, body=prepare)
        self._win_if_quorum()

    def on_promise(
        self, sender: ids.InstanceId, promise: messages.Promise
    ) -> None:
        """Count a promise, and end the election if a quorum is reached.

        :param sender: the voter
        :param promise: its promise
        """
        if (
            not self.running
            or promise.view_id != self._state.view_id()
            or promise.round != self._ballot.round
        ):
            return
        self._promise_ends[sender] = (
            promise.echo_seconds
            + quorum.shortened_seconds(quorum.PREPARE_SECONDS)
        )
        if promise.accepted is not None:
            successor = rights.View(*promise.accepted)
            self._accepted.append((promise.accepted_ballot, successor))
        self._win_if_quorum()

    def record_round(self, round_number: int) -> None:
        """Record a round that the next ballot has to exceed.

        :param round_number: the round
        """
        self._highest_round = max(self._highest_round, round_number)

    def _win_if_quorum(self) -> None:
        # This instance promises itself its ballot only when it has won. If it
        # did so at the start, its ballot would rise with each failed election
        # during a partition, and it would refuse the leader afterwards.
        state = self._state
        view = state.view
        if view is None or not state.may_promise(state.self_id.incarnation):
            return
        if self._ballot <= state.promised:
            self.running = False
            return
        now_seconds = state.now_seconds()
        ends = {
            **self._promise_ends,
            state.self_id: now_seconds + quorum.PREPARE_SECONDS,
        }
        sole_leader_until_seconds = state.sole_leader_until_seconds
        if self._dead is not None:
            sole_leader_until_seconds = (
                now_seconds + instance_lists.FRESH_SECONDS
            )
        led_until_seconds = quorum.led_until_seconds(
            view,
            leader=state.self_id,
            ends=ends,
            sole_leader_until_seconds=sole_leader_until_seconds,
            dead=self._dead or (),
        )
        if led_until_seconds <= now_seconds:
            return
        self.running = False
        state.sole_leader_until_seconds = sole_leader_until_seconds
        state.promise(self._ballot, quorum.PREPARE_SECONDS)
        accepted = list(self._accepted)
        if state.accepted is not None:
            accepted.append((state.accepted_ballot, state.accepted))
        successor = max(accepted)[1] if accepted else None
        self._counters.add("view_elections", "won")
        self._on_won(
            ElectionResult(
                self._ballot, ends, self._dead or frozenset(), successor
            )
        )


__all__ = [
    "CANDIDATE_DELAY_SECONDS",
    "Election",
    "ElectionResult",
    "RETRY_SECONDS",
]

"""Asks the other instances whether they can connect to an endpoint.

Nothing is sent while endpoints are reached. An instance that runs a release
without these messages doesn't answer, and counts as one that reaches nothing.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import itertools
import random
from typing import NamedTuple

from boragefold.coordination.fleet import members as members_module
import boragefold.coordination.link as links
from boragefold.protocol import ids
from boragefold.protocol import path_messages as messages
from boragefold.protocol import paths
from boragefold.timing import timers as timing

# Most failures are an endpoint's or a single path's: few are asked at first.
ROUND_SIZES = (2, 6)
# Peers that know, or that reach the endpoint, answer much sooner.
NEXT_ROUND_SECONDS = 0.05
# Others take as long as a connection may take to open.
ANSWER_SECONDS = 0.35


class Tunnel(NamedTuple):
    """Where this instance opens connections for its peers; port 0 nowhere."""

    port: int
    token: str


@dataclasses.dataclass(kw_only=True)
class Inquiry:
    """A question that peers are being asked."""

    question: messages.PathQuestion
    rounds: list[list[ids.InstanceId]]
    on_reached: Callable[[paths.Path | None], None]
    on_end: Callable[[bool, int], None]
    waiting_for: set[str] = dataclasses.field(default_factory=set)
    asked: int = 0
    reached: bool = False
    next_step: timing.Subscription | None = None


class PathInquiries:
    """Asks peers about endpoints, and answers their questions."""

    def __init__(
        self,
        *,
        link: links.PeerLink,
        members: members_module.Members,
        timers: timing.TimerService,
        rng: random.Random,
        check: Callable[[str, Callable[[bool], None]], None],
        tunnel: Callable[[], Tunnel],
    ) -> None:
        """Subscribe to the messages.

        :param link: to the peers
        :param members: the other instances
        :param timers: the process clock
        :param rng: chooses whom to ask
        :param check: finds out whether this instance can connect to an
            endpoint
        :param tunnel: returns where this instance opens connections for peers
        """
        self._link = link
        self._members = members
        self._timers = timers
        self._rng = rng
        self._check = check
        self._tunnel = tunnel
        self._numbers = itertools.count()
        self._inquiries: dict[int, Inquiry] = {}
        link.subscribe(messages.PathQuestion, self._handle_question)
        link.subscribe(messages.PathAnswer, self._handle_answer)

    def ask(
        self,
        endpoint: str,
        *,
        on_reached: Callable[[paths.Path | None], None],
        on_end: Callable[[bool, int], None],
    ) -> None:
        """Ask peers whether they can connect to an endpoint.

        :param endpoint: its name
        :param on_reached: called for each peer that can, with the path over
            its tunnel; None if it opens none
        :param on_end: called at the end, with whether any peer can and how
            many were asked; inside this call if there are none
        """
        number = next(self._numbers)
        inquiry = Inquiry(
            question=messages.PathQuestion(number, endpoint),
            rounds=self._choose_peers(),
            on_reached=on_reached,
            on_end=on_end,
        )
        self._inquiries[number] = inquiry
        self._begin_round(inquiry)

    def _choose_peers(self) -> list[list[ids.InstanceId]]:
        peers = self._members.staying()
        self._rng.shuffle(peers)
        own = self._link.self_id.data_centre
        near = [peer for peer in peers if peer.data_centre == own]
        far = [peer for peer in peers if peer.data_centre != own]
        # A data centre may be cut off as a whole.
        mixed = itertools.chain.from_iterable(itertools.zip_longest(near, far))
        chosen = iter([peer for peer in mixed if peer is not None])
        return [list(itertools.islice(chosen, size)) for size in ROUND_SIZES]

    def _begin_round(self, inquiry: Inquiry) -> None:
        peers = inquiry.rounds.pop(0) if inquiry.rounds else []
        if peers and not inquiry.reached:
            inquiry.asked += len(peers)
            inquiry.waiting_for.update(peer.address for peer in peers)
            self._link.send_all(to=peers, body=inquiry.question)
            self._schedule(inquiry, NEXT_ROUND_SECONDS, self._begin_round)
        elif inquiry.waiting_for:
            self._schedule(inquiry, ANSWER_SECONDS, self._end)
        else:
            self._end(inquiry)

    def _schedule(
        self,
        inquiry: Inquiry,
        delay_seconds: float,
        step: Callable[[Inquiry], None],
    ) -> None:
        if inquiry.next_step is not None:
            inquiry.next_step.cancel()
        inquiry.next_step = self._timers.once(
            delay_seconds=delay_seconds, callback=lambda: step(inquiry)
        )

    def _end(self, inquiry: Inquiry) -> None:
        if inquiry.next_step is not None:
            inquiry.next_step.cancel()
        del self._inquiries[inquiry.question.number]
        inquiry.on_end(inquiry.reached, inquiry.asked)

    def _handle_question(
        self, sender: ids.InstanceId, question: messages.PathQuestion
    ) -> None:
        known = self._members.identity(sender.address)
        if known.incarnation != sender.incarnation:
            # Tunnels are for the instances of the fleet only.
            return
        self._check(
            question.endpoint,
            lambda reached: self._answer(sender, question, reached),
        )

    def _answer(
        self,
        sender: ids.InstanceId,
        question: messages.PathQuestion,
        reached: bool,
    ) -> None:
        answer = messages.PathAnswer(question.number, reached, *self._tunnel())
        self._link.send(to=sender, body=answer)

    def _handle_answer(
        self, sender: ids.InstanceId, answer: messages.PathAnswer
    ) -> None:
        inquiry = self._inquiries.get(answer.number)
        if inquiry is None or sender.address not in inquiry.waiting_for:
            return
        inquiry.waiting_for.discard(sender.address)
        if answer.reached:
            inquiry.reached = True
            inquiry.on_reached(_path(sender, answer))
        if not inquiry.waiting_for:
            self._begin_round(inquiry)


def _path(
    sender: ids.InstanceId, answer: messages.PathAnswer
) -> paths.Path | None:
    if not answer.tunnel_port:
        return None
    host = sender.address.rpartition(":")[0]
    return paths.Path(
        peer=sender.address,
        tunnel=f"{host}:{answer.tunnel_port}",
        token=answer.tunnel_token,
    )


__all__ = [
    "PathInquiries",
    "Tunnel",
]

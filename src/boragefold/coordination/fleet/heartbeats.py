"""The heartbeats of an instance, and how it finds the others."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import itertools
import random

from boragefold.coordination.fleet import hubs
from boragefold.coordination.fleet import member as member_module
from boragefold.coordination.fleet import members as members_module
import boragefold.coordination.link as links
from boragefold.protocol import ids
from boragefold.protocol import peer_messages as messages
from boragefold.timing import timers as timing

# On a new connection each time: the old one may be dead without a sign.
GREET_SECONDS = 1.0
# Beside the addresses from the settings and each data centre's hubs.
GREETED_AT_RANDOM = 6
# An instance that hears fewer peers than this asks for all that others know.
FEW = 3
# Two instances that know different peers level out within some seconds.
EXCHANGE_SECONDS = 2.0
# News within this time shares one message.
NEWS_SECONDS = 0.05


class Heartbeats:
    """Tells the others that we live, and hears that they do."""

    def __init__(
        self,
        *,
        link: links.PeerLink,
        timers: timing.TimerService,
        members: members_module.Members,
        seeds: Iterable[str],
        compose: Callable[[], messages.Beat],
        rng: random.Random,
    ) -> None:
        """Begin with the addresses from the settings.

        :param link: to the peers
        :param timers: the process clock
        :param members: keeps what is heard
        :param seeds: IP numbers and ports where instances may listen
        :param compose: makes our own heartbeat
        :param rng: chooses among peers
        """
        self._link = link
        self._timers = timers
        self._members = members
        self._compose = compose
        self._rng = rng
        self._seeds: set[str] = set()
        self._news: timing.Subscription | None = None
        self._told_news: tuple[object, ...] = ()
        self.add_seeds(seeds)
        link.subscribe(messages.Heartbeat, self._take_heartbeat)
        link.subscribe(messages.Introduction, self._take_introduction)

    def start(self) -> None:
        """Begin to greet and to send heartbeats."""
        self._greet()
        self._timers.every(period_seconds=GREET_SECONDS, callback=self._greet)
        self._timers.every(
            period_seconds=EXCHANGE_SECONDS, callback=self._exchange
        )
        self._beat()

    def add_seeds(self, seeds: Iterable[str]) -> None:
        """Take note of addresses where instances may listen.

        :param seeds: IP numbers and ports
        """
        for seed in seeds:
            self._seeds.add(seed)
            self._members.know(ids.InstanceId("", seed, ""))

    def refresh(self) -> None:
        """Send a heartbeat at once if others must hear of something new."""
        if member_module.news_of(self._compose()) != self._told_news:
            self.beat_now()

    def beat_now(self) -> None:
        """Send a heartbeat at once."""
        own = self._compose()
        self._told_news = member_module.news_of(own)
        targets = self._targets(own)
        self._members.await_from(targets)
        followers = self._followers(targets)
        self._send(targets, messages.Heartbeat(own, self._told(followers)))
        if followers:
            everyone = self._told(self._members.reachable())
            self._send(
                (member.instance.address for member in followers),
                messages.Heartbeat(own, everyone),
            )

    def _beat(self) -> None:
        self.beat_now()
        self._members.note_silence()
        self._timers.once(
            delay_seconds=self._members.beat_seconds(), callback=self._beat
        )

    def _targets(self, own: messages.Beat) -> set[str]:
        self_id = self._link.self_id
        us = hubs.Candidate(
            self_id.address, self_id.data_centre, own.link_megabits
        )
        others = self._members.hub_candidates()
        near = [
            other
            for other in others
            if other.data_centre == self_id.data_centre
        ]
        late = self._members.late()
        # A late hub's successor acts before that hub is given up, or nobody
        # would hear of its instances.
        sound = [other for other in others if other.address not in late]
        at_once = hubs.hubs(sound if own.leaving else [us, *sound])
        if us not in at_once.get(self_id.data_centre, []):
            return set(
                hubs.uplinks(self_id.address, hubs.rank(near), late=late)
            )
        every = itertools.chain(
            *at_once.values(), *hubs.hubs([us, *others]).values()
        )
        return {hub.address for hub in every} - {self_id.address}

    def _followers(self, targets: set[str]) -> list[member_module.Member]:
        # They take us for a hub, whether or not we do.
        return [
            member
            for member in self._members.direct()
            if member.instance.address not in targets
            and member.instance.data_centre == self._link.self_id.data_centre
        ]

    def _told(
        self, members: Iterable[member_module.Member]
    ) -> tuple[messages.Told, ...]:
        now_seconds = self._timers.now_seconds()
        return tuple(
            messages.Told(
                member.instance,
                now_seconds - member.heard_at_seconds,
                member.beat,
            )
            for member in members
            if member.beat is not None
        )

    def _send(self, addresses: Iterable[str], body: object) -> None:
        self._link.send_all(to=map(_anyone, addresses), body=body)

    def _greet(self) -> None:
        self._members.forget_lost()
        silent = {
            member.instance.address: member
            for member in self._members.unreachable()
        }
        best = hubs.hubs(map(member_module.candidate_of, silent.values()))
        wanted = {
            candidate.address
            for candidate in itertools.chain.from_iterable(best.values())
        } | (self._seeds & silent.keys())
        rest = sorted(silent.keys() - wanted)
        wanted.update(
            self._rng.sample(rest, min(len(rest), GREETED_AT_RANDOM))
        )
        heard = len(self._members.reachable())
        for address in sorted(wanted):
            self._link.reconnect(silent[address].instance)
            self._introduce(address, known=(), reply=heard)

    def _exchange(self) -> None:
        direct = self._members.direct()
        if direct:
            peer = self._rng.choice(direct)
            self._introduce(
                peer.instance.address, known=self._members.instances()
            )

    def _introduce(
        self,
        address: str,
        *,
        known: Iterable[ids.InstanceId],
        reply: int | None = None,
    ) -> None:
        body = messages.Introduction(members=tuple(known), heard=reply)
        self._link.send(to=_anyone(address), body=body)

    def _take_introduction(
        self, sender: ids.InstanceId, body: messages.Introduction
    ) -> None:
        for instance in body.members:
            self._members.know(instance)
        self._members.hear(sender)
        if body.heard is None:
            return
        # Only a new instance is told of all: a list would repeat what the
        # others know.
        if body.heard < FEW:
            self._introduce(sender.address, known=self._members.instances())
        self._send([sender.address], messages.Heartbeat(self._compose(), ()))

    def _take_heartbeat(
        self, sender: ids.InstanceId, body: messages.Heartbeat
    ) -> None:
        before = self._members.news_version
        self._members.hear(sender, body.beat)
        for told in body.others:
            self._members.hear_of(told)
        if self._link.self_id.address in body.beat.unheard:
            # Our messages don't arrive there: that connection may be dead.
            self._link.reconnect(sender)
        if self._members.news_version != before and self._news is None:
            self._news = self._timers.once(
                delay_seconds=NEWS_SECONDS, callback=self._pass_news_on
            )

    def _pass_news_on(self) -> None:
        self._news = None
        if self._followers(self._targets(self._compose())):
            self.beat_now()


def _anyone(address: str) -> ids.InstanceId:
    # Any incarnation: the process may have been restarted.
    return ids.InstanceId("", address, "")


__all__ = [
    "Heartbeats",
]

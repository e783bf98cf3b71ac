"""Sending and receiving heartbeats, and discovering other instances."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import itertools
import random

from boragefold.coordination.fleet import heartbeat_targets
from boragefold.coordination.fleet import hubs
from boragefold.coordination.fleet import member as member_module
from boragefold.coordination.fleet import members as members_module
from boragefold.coordination.fleet import rate_messages
from boragefold.coordination.fleet import reports
import boragefold.coordination.link as links
from boragefold.protocol import ids
from boragefold.protocol import peer_messages as messages
from boragefold.timing import timers as timing

# Each attempt opens a new connection: the old one may be dead without a sign.
CONTACT_SECONDS = 1.0
# Of all mutually reachable instances together. If hundreds each contacted all
# instances behind a network partition, they would be busy with connections
# that don't open.
CONTACTS_PER_SECOND = 6.0
# An instance with fewer reachable peers than this asks for the full list.
MIN_PEERS = 3
# Two instances that know different peers converge within some seconds.
EXCHANGE_SECONDS = 2.0
# Changes within this time share one message.
BATCH_SECONDS = 0.05


class Heartbeats:
    """Sends this instance's heartbeats and handles those of the others."""

    def __init__(
        self,
        *,
        link: links.PeerLink,
        timers: timing.TimerService,
        members: members_module.Members,
        seeds: Iterable[str],
        compose: Callable[[], messages.Beat],
        rng: random.Random,
        rates: rate_messages.RateMessages,
    ) -> None:
        """Start with the addresses from the settings.

        :param link: to the peers
        :param timers: the process clock
        :param members: records what is received
        :param seeds: IP numbers and ports where instances may listen
        :param compose: builds this instance's own heartbeat
        :param rng: chooses among peers
        :param rates: adds the rate limit usage of workspaces to heartbeats
        """
        self._link = link
        self._timers = timers
        self._members = members
        self._compose = compose
        self._rng = rng
        self._rates = rates
        self._target_chooser = heartbeat_targets.TargetChooser(
            self_id=link.self_id, members=members, timers=timers
        )
        numbering = itertools.count()
        self._hub_reports = reports.ReportWriter(
            numbering=numbering, first_hand=True
        )
        self._follower_reports = reports.ReportWriter(
            numbering=numbering, first_hand=False
        )
        self._seeds: set[str] = set()
        self._pending_send: timing.Subscription | None = None
        self._sent_state: tuple[object, ...] = ()
        self._forwarded_version = 0
        self._has_followers = False
        self._is_hub = False
        self.add_seeds(seeds)
        link.subscribe(messages.Heartbeat, self._handle_heartbeat)
        link.subscribe(messages.Introduction, self._handle_introduction)

    @property
    def is_hub(self) -> bool:
        """Tell whether this instance forwards the heartbeats of others.

        :return: whether it chose itself as a hub at its last heartbeat
        """
        return self._is_hub

    def start(self) -> None:
        """Start discovery and heartbeats."""
        self._contact_silent()
        self._timers.every(
            period_seconds=CONTACT_SECONDS, callback=self._contact_silent
        )
        self._timers.every(
            period_seconds=EXCHANGE_SECONDS, callback=self._compare_members
        )
        self._send_periodically()

    def add_seeds(self, seeds: Iterable[str]) -> None:
        """Add addresses where instances may listen.

        :param seeds: IP numbers and ports
        """
        for seed in seeds:
            self._seeds.add(seed)
            self._members.add(ids.InstanceId("", seed, ""))

    def refresh(self) -> None:
        """Send a heartbeat at once if there is a change to send."""
        self._rates.refresh()
        if member_module.urgent_state(self._compose()) != self._sent_state:
            self.send_heartbeat()
        else:
            self._schedule_changes()

    def send_heartbeat(self) -> None:
        """Send a heartbeat at once."""
        own = self._compose()
        self._sent_state = member_module.urgent_state(own)
        targets = self._target_chooser.choose(own)
        self._is_hub = targets.is_hub
        self._members.deadlines.expect(
            targets.addresses,
            silent_seconds=self._members.silence_timeout_seconds(),
        )
        followers = self._target_chooser.followers(targets.addresses)
        self._has_followers = bool(followers)
        # After listing the followers, which may find a newly silent instance.
        self._forwarded_version = self._members.urgent_version
        lacks = {*self._members.hubs_with_gaps(), *self._rates.lacks()}
        heartbeat = messages.Heartbeat(own, lacks=tuple(sorted(lacks)))
        self._send_to_hubs(heartbeat, targets, followers)
        if followers:
            self._send_to_followers(heartbeat, followers)

    def _send_periodically(self) -> None:
        self.send_heartbeat()
        self._members.notify_silence()
        self._timers.once(
            delay_seconds=self._members.heartbeat_interval_seconds(),
            callback=self._send_periodically,
        )

    def _send_to_hubs(
        self,
        heartbeat: messages.Heartbeat,
        targets: heartbeat_targets.HeartbeatTargets,
        followers: list[member_module.Member],
    ) -> None:
        heartbeat = heartbeat._replace(
            account=self._rates.compose(
                targets, [each.instance.address for each in followers]
            ),
            entry=self._rates.entry(),
            to_hub=True,
        )
        if not followers:
            self._send(targets.addresses, heartbeat)
            return
        receivers = [
            self._members.identity(each) for each in targets.addresses
        ]
        for report, chosen in self._hub_reports.write(
            followers, receivers, now_seconds=self._timers.now_seconds()
        ):
            self._send(
                (receiver.address for receiver in chosen),
                heartbeat._replace(report=report),
            )

    def _send_to_followers(
        self,
        heartbeat: messages.Heartbeat,
        followers: list[member_module.Member],
    ) -> None:
        subjects = self._members.reportable()
        receivers = [member.instance for member in followers]
        for report, chosen in self._follower_reports.write(
            subjects, receivers, now_seconds=self._timers.now_seconds()
        ):
            totals = self._rates.totals(whole=report.since is None)
            if report.since is None:
                for receiver in chosen:
                    self._rates.welcome(receiver)
            body = heartbeat._replace(report=report, totals=totals)
            self._send((receiver.address for receiver in chosen), body)

    def _send(self, addresses: Iterable[str], body: object) -> None:
        self._link.send_all(to=map(_any_incarnation, addresses), body=body)

    def _contact_silent(self) -> None:
        self._members.expire()
        self._rates.forget()
        silent = {
            member.instance.address: member
            for member in self._members.unreachable()
        }
        reachable_count = len(self._members.reachable())
        for address in sorted(self._choose_contacts(silent, reachable_count)):
            self._link.reconnect(silent[address].instance)
            self._send_introduction(address, known=(), reply=reachable_count)

    def _choose_contacts(
        self, silent: Mapping[str, member_module.Member], reachable_count: int
    ) -> set[str]:
        share = min(1.0, CONTACTS_PER_SECOND / (reachable_count + 1))
        wanted = {address for address in silent if self._rng.random() < share}
        if reachable_count < MIN_PEERS:
            wanted |= self._seeds & silent.keys()
        if reachable_count < MIN_PEERS or self._is_hub:
            # The hubs of both sides of a partition rejoin the others.
            best = hubs.choose_hubs(
                map(member_module.hub_candidate, silent.values())
            )
            every = itertools.chain.from_iterable(best.values())
            wanted.update(candidate.address for candidate in every)
        return wanted

    def _compare_members(self) -> None:
        direct = self._members.direct_peers()
        if direct:
            peer = self._rng.choice(direct)
            self._send_introduction(
                peer.instance.address,
                known=(),
                digest=self._members.reachable_hash(),
            )

    def _send_introduction(
        self,
        address: str,
        *,
        known: Iterable[ids.InstanceId],
        reply: int | None = None,
        digest: int = 0,
    ) -> None:
        body = messages.Introduction(
            members=tuple(known), heard=reply, digest=digest
        )
        self._link.send(to=_any_incarnation(address), body=body)

    def _handle_introduction(
        self, sender: ids.InstanceId, body: messages.Introduction
    ) -> None:
        for instance in body.members:
            self._members.add(instance)
        self._members.receive(sender)
        if body.digest and body.digest != self._members.reachable_hash():
            heard = self._members.reachable()
            self._send_introduction(
                sender.address, known=(member.instance for member in heard)
            )
        if body.heard is None:
            return
        # Only a new instance gets the full list, which would repeat what the
        # others know.
        if body.heard < MIN_PEERS:
            self._send_introduction(
                sender.address, known=self._members.instances()
            )
        self._send([sender.address], messages.Heartbeat(self._compose()))

    def _handle_heartbeat(
        self, sender: ids.InstanceId, body: messages.Heartbeat
    ) -> None:
        self._members.receive(sender, body.beat, follows=body.to_hub)
        if body.report is not None:
            self._members.apply_report(sender, body.report)
        if self._link.self_id.address in body.lacks:
            self._hub_reports.missed(sender)
            self._follower_reports.missed(sender)
        if self._link.self_id.address in body.beat.unheard:
            # The sender gets nothing from here: the connection may be dead.
            self._link.reconnect(sender)
        self._rates.take(sender, body)
        self._schedule_changes()

    def _schedule_changes(self) -> None:
        has_changes = self._members.urgent_version != self._forwarded_version
        if has_changes and self._has_followers and self._pending_send is None:
            self._pending_send = self._timers.once(
                delay_seconds=BATCH_SECONDS, callback=self._send_changes
            )

    def _send_changes(self) -> None:
        self._pending_send = None
        if self._members.urgent_version != self._forwarded_version:
            self.send_heartbeat()


def _any_incarnation(address: str) -> ids.InstanceId:
    # Addresses any incarnation: the process may have been restarted.
    return ids.InstanceId("", address, "")


__all__ = [
    "Heartbeats",
]

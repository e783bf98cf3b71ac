"""What the steward of a view does: renew leases and change the view."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

from boragefold.coordination import election as elections
from boragefold.coordination import inquiry as inquiries
from boragefold.coordination import link
from boragefold.coordination import listing as listings
from boragefold.coordination import quorum
from boragefold.coordination import rights
from boragefold.coordination import view_state
from boragefold.protocol import ids
from boragefold.protocol import view_messages as messages
from boragefold.telemetry import counters as telemetry

# A member that is silent for so long is suspected: its connections are
# replaced, and only if that doesn't help it is removed.
SUSPECT_SECONDS = 1.2

# After an election the old leases have ended. Members that don't answer three
# renewals are removed without waiting for a lease to end.
GRACE_SECONDS = 0.6
NUDGE_SECONDS = 0.2

# A change goes out again to those that haven't acknowledged it.
RESEND_SECONDS = 0.2


@dataclasses.dataclass(kw_only=True)
class Pending:
    """A successor that is being decided."""

    successor: rights.View
    recovered: bool
    sent_seconds: float
    accepted: set[ids.InstanceId]
    echoes: dict[ids.InstanceId, float]


class Stewardship:
    """Leads the view while enough promises last."""

    def __init__(
        self,
        *,
        peer_link: link.PeerLink,
        state: view_state.ViewState,
        inquiry: inquiries.Inquiry,
        listing: listings.Listing,
        counters: telemetry.Counters,
        new_epoch: Callable[[], int],
        on_suspect: Callable[[ids.InstanceId], None],
    ) -> None:
        self._link = peer_link
        self._state = state
        self._inquiry = inquiry
        self._listing = listing
        self._counters = counters
        self._new_epoch = new_epoch
        self._on_suspect = on_suspect
        self._ends: dict[ids.InstanceId, float] = {}
        self._granted: dict[ids.InstanceId, float] = {}
        self._heard: dict[ids.InstanceId, float] = {}
        self._suspected: set[ids.InstanceId] = set()
        self._dead: frozenset[ids.InstanceId] = frozenset()
        self._joining: dict[str, ids.InstanceId] = {}
        self._leaving: set[ids.InstanceId] = set()
        self._nudged_seconds = float("-inf")
        self._pending: Pending | None = None
        self.ballot = messages.NO_BALLOT
        self.leading = False

    def led_until_seconds(self) -> float:
        """Tell how long we lead without further promises.

        :return: a reading of the clock
        """
        view = self._state.view
        if view is None or not self.leading:
            return 0.0
        return quorum.led_until_seconds(
            view,
            steward=self._state.self_id,
            ends=self._ends,
            alone_until_seconds=self._state.alone_until_seconds,
            dead=self._dead,
        )

    def begin(self, victory: elections.Victory) -> None:
        """Lead, after an election.

        :param victory: what the election gave
        """
        state = self._state
        view = state.view
        if view is None:
            return
        self.leading = True
        self.ballot = victory.ballot
        self._ends = dict(victory.ends)
        self._dead = victory.dead
        self._pending = None
        self._suspected = set(view.members)
        heard_seconds = state.now_seconds() - (
            quorum.LEASE_SECONDS - GRACE_SECONDS
        )
        self._heard = {member: heard_seconds for member in view.members}
        state.steward = state.self_id
        if victory.dead:
            self._propose(self._without_dead(view), recovered=False)
        elif victory.successor is not None:
            self._propose(victory.successor, recovered=True)
        else:
            self._renew_own()
            self._nudged_seconds = float("-inf")
            self._nudge()

    def found(
        self, view: rights.View, ends: dict[ids.InstanceId, float]
    ) -> None:
        """Lead a view that we have founded and installed.

        :param view: the view
        :param ends: when the promises of its members end
        """
        ballot = messages.Ballot(1, self._state.self_id.incarnation)
        self._state.promise(ballot, quorum.PROMISE_SECONDS)
        self._state.alone_until_seconds = (
            self._state.now_seconds() + listings.FRESH_SECONDS
        )
        self.leading = True
        for member in view.members:
            self.send_install(member)
        self.begin(elections.Victory(ballot, ends, frozenset(), None))

    def still_leads(self) -> bool:
        """Tell whether we lead at this moment, and stop if we don't.

        After a pause, or cut off, the others may have another steward; and
        we may have promised ourselves to one.

        :return: whether we lead
        """
        state = self._state
        if not self.leading:
            return False
        if (
            not state.is_outdated()
            and state.promised == self.ballot
            and state.now_seconds() < self.led_until_seconds()
        ):
            return True
        self._counters.add("view_steward_ended", "promises_ended")
        self.step_down()
        return False

    def step_down(self) -> None:
        """Stop leading; leases that were given go on to their ends."""
        self.leading = False
        self._pending = None

    def tick(self) -> None:
        """Do what is due: renew, suspect, remove, take in."""
        if not self.still_leads():
            return
        self._renew_own()
        if self._pending is not None:
            self._resend()
            self._conclude()
            return
        self._suspect()
        self._nudge()
        self._change_if_due()

    def on_beat(self, sender: ids.InstanceId, beat: messages.Beat) -> None:
        """Answer a member's heartbeat with a lease.

        :param sender: the member
        :param beat: its heartbeat, for our view
        """
        now_seconds = self._state.now_seconds()
        self._heard[sender] = now_seconds
        self._suspected.discard(sender)
        if beat.round == self.ballot.round and beat.echo_seconds > 0:
            self._count(sender, beat.echo_seconds)
        if not self.still_leads():
            return
        self._renew_own()
        self._renew(sender, beat.sent_seconds)

    def on_join(self, sender: ids.InstanceId) -> None:
        """Note that an instance wants to take part.

        It has to stand on our list: whoever reads a later list and misses
        members of this view then finds the new one there and asks it.

        :param sender: the instance
        """
        view = self._state.view
        if view is None or not self.still_leads():
            return
        if sender in view.members:
            self.send_install(sender)
        elif not self._listing.shows(sender.address):
            self._counters.add("view_joins_refused", "not_listed")
        else:
            # The last to ask from an address is the one that runs there.
            self._joining[sender.address] = sender
            if any(one.address == sender.address for one in view.members):
                self._inquiry.ask(sender.address)

    def on_leave(self, sender: ids.InstanceId) -> None:
        """Note that a member, perhaps we, wants to be left out.

        :param sender: the member
        """
        if self._joining.get(sender.address) == sender:
            del self._joining[sender.address]
        self._leaving.add(sender)
        self._change_if_due()

    def on_change_ack(
        self, sender: ids.InstanceId, ack: messages.ChangeAck
    ) -> None:
        """Count a member that has accepted and stopped.

        :param sender: the member
        :param ack: its acknowledgement
        """
        if (
            not self.still_leads()
            or self._pending is None
            or ack.view_id != self._state.view_id()
            or ack.round != self.ballot.round
        ):
            return
        self._heard[sender] = self._state.now_seconds()
        self._pending.accepted.add(sender)
        self._pending.echoes[sender] = ack.sent_seconds
        self._conclude()

    def send_install(self, to: ids.InstanceId) -> None:
        """Send our view to one that may have missed it.

        :param to: the receiver
        """
        if self._state.view is not None:
            self._send_view(to, self._state.view, released=False)

    def _send_view(
        self, to: ids.InstanceId, view: rights.View, *, released: bool
    ) -> None:
        self._link.send(
            to=to,
            body=messages.Install(
                view=messages.ViewRecord(*view),
                ballot=self._state.promised,
                sent_seconds=self._state.now_seconds(),
                leading=self.leading,
                released=released,
            ),
        )

    def _count(self, sender: ids.InstanceId, sent_seconds: float) -> None:
        end_seconds = sent_seconds + quorum.shortened_seconds(
            quorum.PROMISE_SECONDS
        )
        self._ends[sender] = max(self._ends.get(sender, 0.0), end_seconds)

    def _renew_own(self) -> None:
        # Our own promise is as good as the others', while we lead unbroken.
        state = self._state
        state.promise(self.ballot, quorum.PROMISE_SECONDS)
        self._count(state.self_id, state.now_seconds())
        if self._pending is None:
            led_until_seconds = self.led_until_seconds()
            state.take_lease(
                min(
                    led_until_seconds,
                    state.now_seconds() + quorum.LEASE_SECONDS,
                )
            )

    def _nudge(self) -> None:
        # A member that missed our election still beats to the old steward.
        view = self._state.view
        now_seconds = self._state.now_seconds()
        if view is None or now_seconds - self._nudged_seconds < NUDGE_SECONDS:
            return
        self._nudged_seconds = now_seconds
        for member in view.members:
            silent_seconds = now_seconds - self._heard.get(member, 0.0)
            if (
                member != self._state.self_id
                and silent_seconds >= SUSPECT_SECONDS
            ):
                self._renew(member, 0.0)

    def _renew(self, to: ids.InstanceId, echo_seconds: float) -> None:
        state = self._state
        now_seconds = state.now_seconds()
        lease_seconds = 0.0
        if self._pending is None and echo_seconds > 0:
            # No lease outlasts our promises, so whoever leads next need not
            # wait for leases that it knows nothing of.
            lease_seconds = min(
                quorum.LEASE_SECONDS, self.led_until_seconds() - now_seconds
            )
            self._granted[to] = max(
                self._granted.get(to, 0.0), now_seconds + lease_seconds
            )
        self._link.send(
            to=to,
            body=messages.Renewal(
                view_id=state.view_id(),
                round=self.ballot.round,
                echo_seconds=echo_seconds,
                sent_seconds=now_seconds,
                lease_seconds=max(0.0, lease_seconds),
            ),
        )

    def _suspect(self) -> None:
        view = self._state.view
        if view is None:
            return
        now_seconds = self._state.now_seconds()
        for member in view.members:
            silent_seconds = now_seconds - self._heard.get(member, 0.0)
            if (
                member != self._state.self_id
                and silent_seconds >= SUSPECT_SECONDS
                and member not in self._suspected
            ):
                self._suspected.add(member)
                self._counters.add("view_suspects", "silent")
                self._on_suspect(member)

    def _is_removable(self, member: ids.InstanceId) -> bool:
        if member in self._leaving or member in self._dead:
            return True
        if member == self._state.self_id:
            return False
        if self._inquiry.is_replaced(member):
            return True
        now_seconds = self._state.now_seconds()
        silent_seconds = now_seconds - self._heard.get(member, 0.0)
        return (
            silent_seconds >= quorum.LEASE_SECONDS
            and self._granted.get(member, 0.0) <= now_seconds
        )

    def _change_if_due(self) -> None:
        view = self._state.view
        if view is None or self._pending is not None:
            return
        if not self.still_leads():
            return
        removed = [one for one in view.members if self._is_removable(one)]
        added = sorted(
            joiner
            for joiner in self._joining.values()
            if joiner not in view.members and joiner not in self._leaving
        )
        founded = view.number == quorum.FOUNDED_NUMBER
        if not removed and not added and not founded:
            return
        members = [one for one in view.members if one not in removed]
        members += self._admissible(added, members)
        if not members:
            self._end_view(view)
            return
        if members == list(view.members) and not founded:
            return
        self._propose(
            view._replace(number=view.number + 1, members=tuple(members)),
            recovered=False,
        )

    def _without_dead(self, view: rights.View) -> rights.View:
        # Those taken for dead may have decided on a successor that we don't
        # know. Under its number there would be two views; under a new epoch,
        # whoever comes back from there sees that ours is later.
        return rights.View(
            data_centre=view.data_centre,
            epoch=self._new_epoch(),
            number=quorum.FOUNDED_NUMBER + 1,
            members=tuple(
                member for member in view.members if member not in self._dead
            ),
        )

    def _end_view(self, view: rights.View) -> None:
        # The last one leaves and nobody waits: whoever comes founds anew.
        self._state.lease_until_seconds = 0.0
        self._state.hear_of(messages.ViewId(view.epoch, view.number + 1))
        self.step_down()

    def _admissible(
        self, added: list[ids.InstanceId], members: list[ids.InstanceId]
    ) -> list[ids.InstanceId]:
        taken = {member.address for member in members}
        return [one for one in added if one.address not in taken]

    def _propose(self, successor: rights.View, *, recovered: bool) -> None:
        state = self._state
        state.accept(self.ballot, successor)
        self._pending = Pending(
            successor=successor,
            recovered=recovered,
            sent_seconds=float("-inf"),
            accepted={state.self_id},
            echoes={},
        )
        self._counters.add(
            "view_changes", "recovered" if recovered else "proposed"
        )
        self._resend()
        self._conclude()

    def _resend(self) -> None:
        pending = self._pending
        view = self._state.view
        now_seconds = self._state.now_seconds()
        if pending is None or view is None:
            return
        if now_seconds - pending.sent_seconds < RESEND_SECONDS:
            return
        pending.sent_seconds = now_seconds
        change = messages.Change(
            view_id=self._state.view_id(),
            round=self.ballot.round,
            successor=messages.ViewRecord(*pending.successor),
        )
        for member in view.members:
            if member not in pending.accepted:
                self._link.send(to=member, body=change)

    def _conclude(self) -> None:
        pending = self._pending
        view = self._state.view
        if pending is None or view is None:
            return
        if not quorum.agreed(view, pending.accepted, self._dead):
            return
        if not all(self._has_stopped(one, pending) for one in view.members):
            return
        self._install(view, pending)

    def _has_stopped(self, member: ids.InstanceId, pending: Pending) -> bool:
        # A renewal is counted from the heartbeat that it answers, which was
        # sent before we wrote down the end: by then the lease has ended on
        # the member's clock, too, however long the message took.
        return (
            member in pending.accepted
            or self._inquiry.is_replaced(member)
            or self._granted.get(member, 0.0) <= self._state.now_seconds()
        )

    def _install(self, view: rights.View, pending: Pending) -> None:
        state = self._state
        successor = pending.successor
        stays = state.self_id in successor.members
        self._pending = None
        self._granted = {}
        self._dead = frozenset()
        self._forget(successor)
        self._counters.add("view_changes", "installed")
        if stays:
            state.install(successor, self.ballot)
        if stays and not pending.recovered:
            self._renew_own()
            now_seconds = state.now_seconds()
            self._heard = {member: now_seconds for member in successor.members}
        else:
            self.step_down()
        for member in dict.fromkeys((*view.members, *successor.members)):
            if member != state.self_id:
                self._install_at(member, successor, pending)
        if not self.leading:
            state.hear_of(quorum.view_id(successor))
            state.release(self.ballot)

    def _install_at(
        self, member: ids.InstanceId, view: rights.View, pending: Pending
    ) -> None:
        self._send_view(member, view, released=not self.leading)
        echo_seconds = pending.echoes.get(member, 0.0)
        if self.leading and echo_seconds > 0 and member in view.members:
            self._renew(member, echo_seconds)

    def _forget(self, successor: rights.View) -> None:
        self._joining = {
            address: joiner
            for address, joiner in self._joining.items()
            if joiner not in successor.members
        }
        self._leaving.intersection_update(successor.members)


__all__ = [
    "GRACE_SECONDS",
    "NUDGE_SECONDS",
    "RESEND_SECONDS",
    "SUSPECT_SECONDS",
    "Pending",
    "Stewardship",
]

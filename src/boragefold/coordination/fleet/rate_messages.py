"""Exchange of the workspaces' admitted rates through heartbeats."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import math

from boragefold.coordination.fleet import heartbeat_targets
from boragefold.coordination.fleet import members as members_module
from boragefold.coordination.fleet import rate_news
import boragefold.coordination.link as links
from boragefold.policy import admission_counts
from boragefold.policy import rate_share
from boragefold.protocol import ids
from boragefold.protocol import peer_messages
from boragefold.protocol import rate_ledger_messages as messages
from boragefold.timing import timers as timing

# A hub that has just started receives the entries of the others within this.
ERA_SECONDS = 1.0
# Hubs that start together begin an era one after the other: the others join
# the first one's.
ERA_STEP_SECONDS = 0.25
LEDGER_ASK_SECONDS = 1.0


class RateMessages:
    """Adds counts of admitted tokens to heartbeats and reads them."""

    def __init__(
        self,
        *,
        link: links.PeerLink,
        members: members_module.Members,
        counts: admission_counts.AdmissionCounts,
        timers: timing.TimerService,
    ) -> None:
        """Start as an instance that counts no rates for others.

        :param link: to the peers
        :param members: the other instances
        :param counts: the amounts admitted, here and elsewhere
        :param timers: the process clock
        """
        self._link = link
        self._members = members
        self._counts = counts
        self._timers = timers
        self._counting_since_seconds = math.inf
        self._asked_at_seconds = -math.inf
        # The hubs that send totals, by incarnation: the names of their entries
        # and when their totals arrived last and first.
        self._entry_names: dict[str, str] = {}
        self._counts_at_seconds: dict[str, float] = {}
        self._counts_since_seconds: dict[str, float] = {}
        members.subscribe(
            on_beat=lambda peer, beat: None,
            on_replaced=lambda gone: counts.remove_instance(gone.incarnation),
        )
        self._news = rate_news.RateNews(
            link=link, counts=counts, timers=timers, apply=self.apply
        )
        link.subscribe(messages.LedgerAsk, self._handle_ledger_ask)
        link.subscribe(messages.Ledger, self._handle_ledger)

    def refresh(self) -> None:
        """Fill the buckets by the instances that are reachable now."""
        share = rate_share.reachable_share(
            self._members.silences_seconds(),
            self._members.silence_timeout_seconds(),
        )
        self._counts.set_reach(
            share,
            instances=self._members.count_lately(
                rate_share.PEER_EXPIRY_SECONDS
            ),
            now_seconds=self._timers.now_seconds(),
        )

    def compose(
        self,
        targets: heartbeat_targets.HeartbeatTargets,
        followers: Iterable[str] = (),
    ) -> messages.Account | None:
        """Count what was admitted here, or report it to the hub that counts.

        :param targets: the targets of the heartbeat
        :param followers: addresses of the instances that get totals from here
        :return: the account for that hub; None if this instance counts itself,
            no hub counts, or the hub that does has everything
        """
        now_seconds = self._timers.now_seconds()
        if targets.counts:
            self._news.set_receivers(
                rate_news.NewsReceivers(
                    hubs=targets.addresses, followers=tuple(followers)
                )
            )
            self._count(targets, now_seconds)
            return None
        self._counting_since_seconds = math.inf
        self._counts.stop_counting()
        counter = self._choose_counter(targets)
        self._news.set_receivers(
            rate_news.NewsReceivers(hub=self._find_hub(counter, targets))
        )
        if counter is None:
            return None
        account = self._counts.create_report(counter, now_seconds=now_seconds)
        if not account.amounts and not account.former:
            return None
        return account._replace(amounts=_compact(account.amounts))

    def entry(self) -> messages.ToldEntry | None:
        """Report to other hubs what is counted here.

        :return: None if this instance counts nothing
        """
        told = self._counts.entry_to_send(
            now_seconds=self._timers.now_seconds()
        )
        if told is None or told.entry is None:
            return told
        entry = told.entry._replace(sums=_compact(told.entry.sums))
        return told._replace(entry=entry)

    def totals(self, *, whole: bool) -> messages.Totals | None:
        """Report what all hubs count, for the followers of this instance.

        :param whole: whether the receivers need the full totals
        :return: None if this instance doesn't know the totals
        """
        totals = self._counts.totals_to_send(
            whole=whole, now_seconds=self._timers.now_seconds()
        )
        if not whole:
            self._counts.mark_told()
        return totals and totals._replace(amounts=_compact(totals.amounts))

    def welcome(self, follower: ids.InstanceId) -> None:
        """Tell an instance that follows from now on how full buckets are.

        :param follower: the instance
        """
        self._news.send_levels(follower)

    def lacks(self) -> Iterator[str]:
        """List the hubs that must send their full totals.

        :return: their addresses
        """
        if not self._counts.needs_all_totals:
            return
        for member in self._members.direct_peers():
            incarnation = member.instance.incarnation
            if self._entry_names.get(incarnation) == self._counts.counter:
                yield member.instance.address

    def take(
        self, sender: ids.InstanceId, heartbeat: peer_messages.Heartbeat
    ) -> None:
        """Apply the rates in a heartbeat.

        :param sender: its sender
        :param heartbeat: the heartbeat
        """
        self.apply(
            sender,
            messages.RateNews(
                heartbeat.account, heartbeat.entry, heartbeat.totals
            ),
        )

    def apply(self, sender: ids.InstanceId, news: messages.RateNews) -> None:
        """Apply the rates in a message.

        :param sender: its sender
        :param news: the amounts in it
        """
        now_seconds = self._timers.now_seconds()
        if news.account is not None:
            self._counts.count_report(
                sender.incarnation, news.account, now_seconds=now_seconds
            )
        if news.entry is not None:
            self._apply_entry(sender, news.entry, now_seconds)
        if news.totals is not None:
            self._apply_totals(sender.incarnation, news.totals, now_seconds)
        if news.levels is not None:
            self._counts.receive_levels(news.levels, now_seconds=now_seconds)

    def forget(self) -> None:
        """Drop the state of hubs that are gone."""
        now_seconds = self._timers.now_seconds()
        self._counts.expire(now_seconds=now_seconds)
        for hub in list(self._entry_names):
            if not self._is_counting(hub):
                del self._entry_names[hub]
                del self._counts_at_seconds[hub]
                del self._counts_since_seconds[hub]

    def _apply_entry(
        self,
        sender: ids.InstanceId,
        entry: messages.ToldEntry,
        now_seconds: float,
    ) -> None:
        if self._counts.receive_entry(
            sender.incarnation, entry, now_seconds=now_seconds
        ):
            self._ask_for_ledger(sender, now_seconds)

    def _apply_totals(
        self, hub: str, totals: messages.Totals, now_seconds: float
    ) -> None:
        self._entry_names[hub] = messages.entry_name(hub, totals.serial)
        self._counts_at_seconds[hub] = now_seconds
        self._counts_since_seconds.setdefault(hub, now_seconds)
        self._counts.receive_totals(hub, totals, now_seconds=now_seconds)

    def _count(
        self, targets: heartbeat_targets.HeartbeatTargets, now_seconds: float
    ) -> None:
        self._counts.begin_counting(now_seconds=now_seconds)
        self._counting_since_seconds = min(
            self._counting_since_seconds, now_seconds
        )
        if not self._counts.complete:
            self._begin_era(targets, now_seconds)
        self._counts.count_own(now_seconds=now_seconds)

    def _begin_era(
        self, targets: heartbeat_targets.HeartbeatTargets, now_seconds: float
    ) -> None:
        counting_seconds = now_seconds - self._counting_since_seconds
        address = self._link.self_id.address
        place = sorted((*targets.addresses, address)).index(address)
        if counting_seconds < ERA_SECONDS + ERA_STEP_SECONDS * place:
            return
        self._counts.begin_era(
            heard_count=len(self._members.reachable()),
            now_seconds=now_seconds,
        )

    def _ask_for_ledger(self, hub: ids.InstanceId, now_seconds: float) -> None:
        if now_seconds - self._asked_at_seconds < LEDGER_ASK_SECONDS:
            return
        self._asked_at_seconds = now_seconds
        self._link.send(to=hub, body=messages.LedgerAsk())

    def _handle_ledger_ask(
        self, sender: ids.InstanceId, body: messages.LedgerAsk
    ) -> None:
        ledger = self._counts.ledger(now_seconds=self._timers.now_seconds())
        if ledger is not None:
            self._link.send(to=sender, body=ledger)
            self._news.send_levels(sender)

    def _handle_ledger(
        self, sender: ids.InstanceId, body: messages.Ledger
    ) -> None:
        self._counts.merge(body, now_seconds=self._timers.now_seconds())

    def _choose_counter(
        self, targets: heartbeat_targets.HeartbeatTargets
    ) -> str | None:
        hubs = [
            self._members.identity(address).incarnation
            for address in targets.addresses
        ]
        counting = list(filter(self._is_counting, hubs))
        counters = {self._entry_names[hub] for hub in counting}
        if self._counts.counter in counters:
            return self._counts.counter
        # A hub that has just started hasn't heard from all instances yet.
        hub = min(counting, key=self._counting_since, default=None)
        return None if hub is None else self._entry_names[hub]

    def _find_hub(
        self,
        counter: str | None,
        targets: heartbeat_targets.HeartbeatTargets,
    ) -> str:
        return next(
            (
                address
                for address in targets.addresses
                if counter is not None
                and counter
                == self._entry_names.get(
                    self._members.identity(address).incarnation
                )
            ),
            "",
        )

    def _counting_since(self, incarnation: str) -> float:
        return self._counts_since_seconds[incarnation]

    def _is_counting(self, incarnation: str) -> bool:
        oldest = (
            self._timers.now_seconds()
            - self._members.silence_timeout_seconds()
        )
        heard_at_seconds = self._counts_at_seconds.get(incarnation)
        return heard_at_seconds is not None and heard_at_seconds >= oldest


def _compact(amounts: dict[str, float]) -> dict[str, float]:
    # An integer takes a third of the bytes of a float.
    return {
        workspace: int(amount) if float(amount).is_integer() else amount
        for workspace, amount in amounts.items()
    }


__all__ = [
    "RateMessages",
]

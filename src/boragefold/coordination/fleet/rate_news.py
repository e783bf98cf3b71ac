"""Sends what instances must know of admitted amounts before a heartbeat.

Load pattern: a workspace sends its whole burst within a moment, through all
instances. Heartbeats take up to a second from one instance through two hubs
to all others, and until then each would go by a bucket that is full.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import math
from typing import NamedTuple

import boragefold.coordination.link as links
from boragefold.policy import admission_counts
from boragefold.protocol import ids
from boragefold.protocol import rate_ledger_messages as messages
from boragefold.timing import timers as timing

# News within this time share one message.
BATCH_SECONDS = 0.05


class NewsReceivers(NamedTuple):
    """The addresses that news go to.

    ``hub`` counts for this instance, empty if it counts itself or no hub does;
    ``hubs`` are the other hubs, and ``followers`` the instances that this one
    sends totals to.
    """

    hub: str = ""
    hubs: tuple[str, ...] = ()
    followers: tuple[str, ...] = ()


class RateNews:
    """Sends news of amounts at most every ``BATCH_SECONDS``."""

    def __init__(
        self,
        *,
        link: links.PeerLink,
        counts: admission_counts.AdmissionCounts,
        timers: timing.TimerService,
        apply: Callable[[ids.InstanceId, messages.RateNews], None],
    ) -> None:
        """Start without receivers.

        :param link: to the peers
        :param counts: the amounts admitted, here and elsewhere
        :param timers: the process clock
        :param apply: applies news from a peer
        """
        self._link = link
        self._counts = counts
        self._timers = timers
        self._apply = apply
        self._receivers = NewsReceivers()
        self._sent_at_seconds = -math.inf
        self._pending: timing.Subscription | None = None
        self._reporters: set[str] = set()
        self._told_version = 0
        counts.connect(report=self.schedule)
        link.subscribe(messages.RateNews, self._handle)

    def set_receivers(self, receivers: NewsReceivers) -> None:
        """Send news to others from now on.

        :param receivers: their addresses
        """
        self._receivers = receivers

    def schedule(self) -> None:
        """Send news as soon as the last ones are ``BATCH_SECONDS`` ago."""
        if self._pending is not None:
            return
        since_seconds = self._timers.now_seconds() - self._sent_at_seconds
        self._pending = self._timers.once(
            delay_seconds=max(0.0, BATCH_SECONDS - since_seconds),
            callback=self._send,
        )

    def send_levels(self, to: ids.InstanceId) -> None:
        """Tell a process that starts how full the buckets are.

        :param to: the process
        """
        levels = self._counts.levels(now_seconds=self._timers.now_seconds())
        if levels:
            self._link.send(to=to, body=messages.RateNews(levels=levels))

    def _handle(self, sender: ids.InstanceId, news: messages.RateNews) -> None:
        self._apply(sender, news)
        if news.account is not None:
            self._reporters.add(sender.address)
        if news.account is not None or self._counts.has_news:
            self.schedule()

    def _send(self) -> None:
        self._pending = None
        now_seconds = self._timers.now_seconds()
        self._sent_at_seconds = now_seconds
        if self._counts.complete:
            self._send_as_hub(now_seconds)
        elif self._receivers.hub:
            account = self._counts.create_report(
                self._counts.counter, now_seconds=now_seconds
            )
            self._send_to(
                [self._receivers.hub], messages.RateNews(account=account)
            )

    def _send_as_hub(self, now_seconds: float) -> None:
        self._counts.count_own(now_seconds=now_seconds)
        entry = self._counts.entry_to_send(now_seconds=now_seconds)
        if entry is not None and entry.version != self._told_version:
            self._told_version = entry.version
            self._send_to(self._receivers.hubs, messages.RateNews(entry=entry))
        receivers, self._reporters = self._reporters, set()
        if self._counts.has_news:
            receivers |= set(self._receivers.followers)
            self._counts.mark_told()
        totals = self._counts.totals_to_send(
            whole=False, now_seconds=now_seconds
        )
        if totals is not None:
            self._send_to(receivers, messages.RateNews(totals=totals))

    def _send_to(
        self,
        addresses: Iterable[str],
        news: messages.RateNews,
    ) -> None:
        self._link.send_all(
            to=[ids.InstanceId("", each, "") for each in sorted(addresses)],
            body=news,
        )


__all__ = [
    "NewsReceivers",
    "RateNews",
]

"""Exchange of crashes and their suspects between instances.

Changes go to the direct peers at once and on from hub to hub. A heartbeat
from a peer that doesn't know the same crashes is answered with all of them,
which covers lost messages, restarts and the end of a partition. Without
crashes nothing is sent.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import math

from boragefold.coordination.fleet import members as members_module
import boragefold.coordination.link as links
from boragefold.policy import crash_suspects
from boragefold.protocol import crash_messages as messages
from boragefold.protocol import ids
from boragefold.protocol import peer_messages
from boragefold.timing import timers as timing

# Changes within this time share one message.
BATCH_SECONDS = 0.02
# A message after which the two still don't agree is repeated later and later:
# the peer may run a release that doesn't know this kind.
RESEND_SECONDS = 1.0
MAX_RESEND_SECONDS = 64.0
EXPIRE_SECONDS = 10.0


@dataclasses.dataclass(kw_only=True)
class PeerState:
    """What a peer knows, by its last message, and what it was sent."""

    digest: int | None = None
    sent_at_seconds: float = -math.inf
    resends: int = 0


class CrashExchange:
    """Tells the other instances of crashes, and learns of theirs."""

    def __init__(
        self,
        *,
        link: links.PeerLink,
        members: members_module.Members,
        timers: timing.TimerService,
        suspects: crash_suspects.CrashSuspects,
        is_hub: Callable[[], bool],
        on_news: Callable[[], None] = lambda: None,
    ) -> None:
        """Subscribe to messages and heartbeats.

        :param link: to the peers
        :param members: the other instances
        :param timers: the process clock
        :param suspects: the known crashes
        :param is_hub: whether this instance forwards news of others
        :param on_news: called when a peer knew more
        """
        self._link = link
        self._members = members
        self._timers = timers
        self._suspects = suspects
        self._is_hub = is_hub
        self._on_news = on_news
        self._peers: dict[str, PeerState] = {}
        self._pending_send: timing.Subscription | None = None
        link.subscribe(messages.CrashNews, self._handle_news)
        members.subscribe(
            on_beat=self._handle_heartbeat, on_replaced=self._remove_peer
        )
        timers.every(period_seconds=EXPIRE_SECONDS, callback=self._expire)

    def schedule(self) -> None:
        """Send the changes of the known crashes soon."""
        if self._pending_send is None:
            self._pending_send = self._timers.once(
                delay_seconds=BATCH_SECONDS, callback=self._send_changes
            )

    def _send_changes(self) -> None:
        self._pending_send = None
        news = self._suspects.take_changes(
            now_seconds=self._timers.now_seconds()
        )
        if news.crashes or news.trials:
            peers = self._members.direct_peers()
            receivers = [member.instance for member in peers]
            self._link.send_all(to=receivers, body=news)

    def _handle_news(
        self, sender: ids.InstanceId, news: messages.CrashNews
    ) -> None:
        changed = self._suspects.merge(
            news.crashes,
            news.trials,
            now_seconds=self._timers.now_seconds(),
        )
        state = self._state_of(sender)
        state.digest = news.digest
        if changed:
            self._on_news()
            self._forward()
        if news.crashes:
            answer = messages.CrashNews(digest=self._suspects.digest)
            self._link.send(to=sender, body=answer)

    def _forward(self) -> None:
        if self._is_hub() or self._suspects.records.has_own_news:
            self.schedule()
        elif self._pending_send is None:
            # The hubs that sent this tell everybody else.
            self._suspects.take_changes(now_seconds=self._timers.now_seconds())

    def _handle_heartbeat(
        self, sender: ids.InstanceId, beat: peer_messages.Beat
    ) -> None:
        if not self._suspects.known:
            return
        state = self._state_of(sender)
        if state.digest == self._suspects.digest:
            state.resends = 0
            return
        now_seconds = self._timers.now_seconds()
        pause_seconds = RESEND_SECONDS * 2.0**state.resends
        if now_seconds - state.sent_at_seconds < pause_seconds:
            return
        state.sent_at_seconds = now_seconds
        if pause_seconds < MAX_RESEND_SECONDS:
            state.resends += 1
        everything = self._suspects.everything(now_seconds=now_seconds)
        self._link.send(to=sender, body=everything)

    def _state_of(self, peer: ids.InstanceId) -> PeerState:
        return self._peers.setdefault(peer.incarnation, PeerState())

    def _remove_peer(self, gone: ids.InstanceId) -> None:
        self._peers.pop(gone.incarnation, None)

    def _expire(self) -> None:
        self._suspects.expire(now_seconds=self._timers.now_seconds())
        if not self._suspects.known:
            self._peers.clear()


__all__ = [
    "CrashExchange",
]

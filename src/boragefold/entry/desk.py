"""Sees chats through: asks the decisions, and does what they say."""

from __future__ import annotations

import abc
from collections.abc import Callable
import math

import msgspec

from boragefold.coordination.orders import uses as using
from boragefold.entry import chat_face
from boragefold.entry import identity
from boragefold.entry import live_chat
from boragefold.entry import use_gate
from boragefold.policy import actions
from boragefold.policy import dispatcher as dispatchers
from boragefold.policy import refusal as refusals
from boragefold.protocol import outcome as outcomes
from boragefold.telemetry import counters as telemetry
from boragefold.telemetry import stories as telemetry_stories
from boragefold.timing import timers as timing

STATUS_BAD_GATEWAY = 502
NOT_HELD = "adapter_not_resident"


class Orderer(abc.ABC):
    """Carries out the orders that placement decides on."""

    @abc.abstractmethod
    def order(self, order: actions.Order) -> None:
        """Load an adapter, evicting another first where one is named.

        :param order: what and where
        """

    @abc.abstractmethod
    def drain(self, drain: actions.Drain) -> None:
        """Have every instance stop using an adapter at an endpoint.

        :param drain: which
        """


class Desk(chat_face.Desk, live_chat.ChatEvents, actions.Performer):
    """Connects live chats with the dispatcher."""

    def __init__(
        self,
        *,
        dispatcher: dispatchers.Dispatcher,
        timers: timing.TimerService,
        counters: telemetry.Counters,
        stories: telemetry_stories.Stories,
        address_of: Callable[[str], str | None],
        tell_peer: Callable[[actions.Tell], None],
        gate: use_gate.UseGate,
    ) -> None:
        self._dispatcher = dispatcher
        self._timers = timers
        self._counters = counters
        self._stories = stories
        self._address_of = address_of
        self._tell_peer = tell_peer
        self._gate = gate
        self._uses: dict[str, using.Use] = {}
        self._chats: dict[str, live_chat.LiveChat] = {}
        self._wake: timing.Subscription | None = None
        self._wake_at_seconds = math.inf
        self._running = False
        self._run_again = False
        self.orderer: Orderer | None = None

    @property
    def open_chats(self) -> int:
        """Count the chats that are not over.

        :return: how many
        """
        return len(self._chats)

    def offer(self, live: live_chat.LiveChat) -> None:
        """Take a chat in.

        :param live: the chat
        """
        work = live.work
        self._note(work.request_id, "arrived", work.workspace)
        self._chats[work.request_id] = live
        refused = self._dispatcher.offer(
            work, idempotent=True, now_seconds=self._timers.now_seconds()
        )
        if refused is not None:
            self._refuse(live, refused)
        self.run()

    def run(self) -> None:
        """Do what the decisions want done, and come back when it is due."""
        if self._running:
            self._run_again = True
            return
        self._running = True
        self._run_again = True
        while self._run_again:
            self._run_again = False
            self._dispatcher.run(self, now_seconds=self._timers.now_seconds())
        self._running = False
        self._set_wake()

    def withdraw_key(self, digest: str) -> None:
        """End every chat that came with a key that is no longer granted.

        Waiting ones are refused. Streams are cut: what a withdrawn key pays
        for must not go on for as long as its owner keeps a stream open.

        :param digest: of the key
        """
        gone = [
            live for live in self._chats.values() if live.key_digest == digest
        ]
        for live in gone:
            self._counters.add("requests_refused", "key_withdrawn")
            self._end(live, "key_withdrawn")
            self._dispatcher.cancel(
                live.work.request_id,
                used_tokens=_used_tokens(live),
                now_seconds=self._timers.now_seconds(),
            )
            live.refuse(identity.key_refused())
        self.run()

    def answered(self, live: live_chat.LiveChat) -> None:
        """Note the first token.

        :param live: the chat
        """
        now_seconds = self._timers.now_seconds()
        self._dispatcher.first_token(
            live.work.request_id, now_seconds=now_seconds
        )
        self._counters.observe_seconds(
            "first_token_seconds", now_seconds - live.work.arrived_at_seconds
        )

    def completed(self, live: live_chat.LiveChat) -> None:
        """Settle a whole answer.

        :param live: the chat
        """
        self._end(live, "ran")
        self._counters.add("requests_ran", "chat")
        self._counters.add("tokens_generated", "", live.generated_tokens)
        self._dispatcher.finished(
            live.work.request_id,
            used_tokens=_used_tokens(live),
            now_seconds=self._timers.now_seconds(),
        )
        self.run()

    def attempt_broken(
        self, live: live_chat.LiveChat, reason: str, *, may_have_run: bool
    ) -> None:
        """Let the decisions retry, resume or give up.

        :param live: the chat
        :param reason: why
        :param may_have_run: whether the engine may have worked on it
        """
        request_id = live.work.request_id
        now_seconds = self._timers.now_seconds()
        self._end_use(live)
        self._counters.add("attempts_broken", reason)
        self._note(request_id, "attempt_broken", f"{live.endpoint}: {reason}")
        if reason == NOT_HELD:
            self._dispatcher.not_held(request_id, now_seconds=now_seconds)
        else:
            self._dispatcher.failed(
                request_id,
                bytes_sent=may_have_run,
                used_tokens=_used_tokens(live),
                now_seconds=now_seconds,
            )
        self.run()

    def caller_gone(self, live: live_chat.LiveChat) -> None:
        """Settle a chat whose caller left.

        :param live: the chat
        """
        self._end(live, "caller_gone")
        self._counters.add("requests_cancelled", "caller_gone")
        self._dispatcher.cancel(
            live.work.request_id,
            used_tokens=_used_tokens(live),
            now_seconds=self._timers.now_seconds(),
        )
        self.run()

    def send(self, send: actions.Send) -> None:
        """Send a chat to an endpoint.

        :param send: what, where to, and which attempt it is
        """
        live = self._chats.get(send.work.request_id)
        if live is None:
            return
        address = self._address_of(send.endpoint)
        self._note(send.work.request_id, "sent", send.endpoint)
        if send.attempt > 1:
            self._counters.add("requests_retried", "attempt_broken")
        if address is None:
            # Unlisted between the decision and this line.
            self._break_later(live, "unlisted")
        elif not send.work.needs.adapter:
            live.send(
                endpoint=send.endpoint,
                address=address,
                body=_engine_request(live),
            )
        else:
            live.endpoint = send.endpoint
            self._gate.enter(
                endpoint=send.endpoint,
                adapter=send.work.needs,
                granted=lambda use: self._send_under(live, address, use),
                refused=lambda reason: self._not_let_in(live, reason),
            )

    def refuse(self, refuse: actions.Refuse) -> None:
        """Answer a chat with "not run".

        :param refuse: which one, and why
        """
        live = self._chats.get(refuse.work.request_id)
        if live is not None:
            self._refuse(live, refuse.refused)

    def give_up(self, give_up: actions.GiveUp) -> None:
        """Answer a chat whose last attempt failed.

        :param give_up: which one, and whether it may have run
        """
        live = self._chats.get(give_up.work.request_id)
        if live is None:
            return
        kind = outcomes.Unknown if give_up.may_have_run else outcomes.NotRun
        self._counters.add("requests_refused", "endpoint_failed")
        self._end(live, "endpoint_failed")
        live.refuse(
            kind(
                status=STATUS_BAD_GATEWAY,
                reason="endpoint_failed",
                remedy="repeat the request; a chat is safe to repeat",
                retry_after_seconds=1.0,
            )
        )

    def order(self, order: actions.Order) -> None:
        """Pass an order on.

        :param order: what and where
        """
        if self.orderer is not None:
            self.orderer.order(order)

    def drain(self, drain: actions.Drain) -> None:
        """Pass a drain on.

        :param drain: which
        """
        if self.orderer is not None:
            self.orderer.drain(drain)

    def tell(self, tell: actions.Tell) -> None:
        """Pass a digest on to another instance.

        :param tell: to whom, and what
        """
        self._tell_peer(tell)

    def _send_under(
        self, live: live_chat.LiveChat, address: str, use: using.Use
    ) -> None:
        if live.finished:
            self._gate.leave(use)
            return
        self._uses[live.work.request_id] = use
        now_seconds = self._timers.now_seconds()
        self._timers.once(
            delay_seconds=use.ends_by_seconds - now_seconds,
            callback=lambda: self._use_over(live, use),
        )
        live.send(
            endpoint=live.endpoint,
            address=address,
            body=_engine_request(live),
            may_send=lambda: self._timers.now_seconds() < use.send_by_seconds,
        )

    def _not_let_in(self, live: live_chat.LiveChat, reason: str) -> None:
        self._counters.add("uses_not_begun", reason)
        if not live.finished:
            live.broken(NOT_HELD, may_have_run=False)

    def _use_over(self, live: live_chat.LiveChat, use: using.Use) -> None:
        # The holder counts on every use to end by now; what goes on is
        # resumed under a new one, at the next token.
        if not use.finished and not live.finished:
            live.break_attempt("use_over")

    def _end_use(self, live: live_chat.LiveChat) -> None:
        use = self._uses.pop(live.work.request_id, None)
        if use is not None:
            self._gate.leave(use)

    def _break_later(self, live: live_chat.LiveChat, reason: str) -> None:
        self._timers.once(
            delay_seconds=0.0,
            callback=lambda: live.broken(reason, may_have_run=False),
        )

    def _refuse(
        self, live: live_chat.LiveChat, refused: refusals.Refused
    ) -> None:
        self._end(live, f"refused: {refused.reason}")
        live.refuse(
            outcomes.NotRun(
                status=refused.status,
                reason=refused.reason,
                remedy=refused.remedy,
                retry_after_seconds=refused.retry_after_seconds,
            )
        )

    def _end(self, live: live_chat.LiveChat, what: str) -> None:
        self._chats.pop(live.work.request_id, None)
        self._end_use(live)
        self._note(live.work.request_id, what)

    def _note(self, request_id: str, what: str, detail: str = "") -> None:
        self._stories.add(
            request_id,
            what,
            now_seconds=self._timers.now_seconds(),
            detail=detail,
        )

    def _set_wake(self) -> None:
        due_seconds = self._dispatcher.next_due_seconds()
        if self._wake is not None:
            if due_seconds == self._wake_at_seconds:
                return
            self._wake.cancel()
        self._wake_at_seconds = due_seconds
        delay = max(0.0, due_seconds - self._timers.now_seconds())
        self._wake = self._timers.once(
            delay_seconds=delay, callback=self._woken
        )

    def _woken(self) -> None:
        self._wake = None
        self.run()


def _used_tokens(live: live_chat.LiveChat) -> float:
    if live.usage is not None:
        return float(sum(live.usage.values()))
    if live.generated_tokens == 0:
        return 0.0
    return float(live.work.prompt_tokens + live.generated_tokens)


def _engine_request(live: live_chat.LiveChat) -> bytes:
    work = live.work
    return msgspec.json.encode(
        {
            "model": work.needs.model,
            "adapter": work.needs.adapter,
            "version": work.needs.version,
            "messages": live.request["messages"],
            "max_tokens": work.max_tokens,
            "stream": True,
            "priority": 0 if work.late_sensitive else 1,
            "resume_from_token": live.generated_tokens,
        }
    )


__all__ = [
    "Desk",
    "Orderer",
]

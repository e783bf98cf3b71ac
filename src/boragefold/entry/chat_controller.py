"""Runs chat requests according to the decisions of the dispatcher."""

from __future__ import annotations

from collections.abc import Callable
import math

from boragefold.entry import active_chat
from boragefold.entry import chat_handler
from boragefold.entry import chat_sender
from boragefold.entry import identity
from boragefold.entry import order_executor
from boragefold.policy import actions
from boragefold.policy import dispatcher as dispatchers
from boragefold.policy import refusal as refusals
from boragefold.protocol import outcome as outcomes
from boragefold.telemetry import counters as telemetry
from boragefold.telemetry import request_events as recorded_events
from boragefold.timing import timers as timing

STATUS_BAD_GATEWAY = 502


class ChatController(
    chat_handler.ChatScheduler, active_chat.ChatEvents, actions.ActionHandler
):
    """Reports the events of chats to the dispatcher, performs its actions."""

    def __init__(
        self,
        *,
        dispatcher: dispatchers.Dispatcher,
        timers: timing.TimerService,
        counters: telemetry.Counters,
        request_events: recorded_events.RequestEvents,
        send_digest: Callable[[actions.SendDigest], None],
        sender: chat_sender.ChatSender,
    ) -> None:
        self._dispatcher = dispatcher
        self._timers = timers
        self._counters = counters
        self._request_events = request_events
        self._send_digest = send_digest
        self._sender = sender
        self._chats: dict[str, active_chat.ActiveChat] = {}
        self._next_run: timing.Subscription | None = None
        self._next_run_at_seconds = math.inf
        self._running = False
        self._run_again = False
        self.order_executor: order_executor.OrderExecutor | None = None

    @property
    def open_chats(self) -> int:
        """Return the number of unfinished chat requests.

        :return: the number
        """
        return len(self._chats)

    def submit(self, chat: active_chat.ActiveChat) -> None:
        """Submit a chat request to the dispatcher.

        :param chat: the chat request
        """
        work = chat.work
        self._trace(work.request_id, "arrived", work.workspace)
        self._chats[work.request_id] = chat
        refused = self._dispatcher.offer(
            work, idempotent=True, now_seconds=self._timers.now_seconds()
        )
        if refused is not None:
            self._refuse(chat, refused)
        self.run()

    def run(self) -> None:
        """Perform the dispatcher's actions and schedule the next run."""
        if self._running:
            self._run_again = True
            return
        self._running = True
        self._run_again = True
        while self._run_again:
            self._run_again = False
            self._dispatcher.run(self, now_seconds=self._timers.now_seconds())
        self._running = False
        self._schedule_run()

    def revoke_key(self, digest: str) -> None:
        """End every chat request whose API key was revoked.

        Queued requests are refused. Streams are aborted: otherwise the owner
        of a revoked key could use it for as long as a stream stays open.

        :param digest: digest of the key
        """
        revoked = [
            chat for chat in self._chats.values() if chat.key_digest == digest
        ]
        for chat in revoked:
            self._counters.add("requests_refused", "key_withdrawn")
            self._end(chat, "key_withdrawn")
            self._dispatcher.cancel(
                chat.work.request_id,
                used_tokens=_used_tokens(chat),
                now_seconds=self._timers.now_seconds(),
            )
            chat.refuse(identity.key_refused())
        self.run()

    def on_first_token(self, chat: active_chat.ActiveChat) -> None:
        """Record the arrival of the first token.

        :param chat: the chat request
        """
        now_seconds = self._timers.now_seconds()
        self._dispatcher.first_token(
            chat.work.request_id, now_seconds=now_seconds
        )
        self._counters.observe_seconds(
            "first_token_seconds", now_seconds - chat.work.arrived_at_seconds
        )

    def on_completed(self, chat: active_chat.ActiveChat) -> None:
        """Account for a complete response.

        :param chat: the chat request
        """
        self._end(chat, "ran")
        self._counters.add("requests_ran", "chat")
        self._counters.add("tokens_generated", "", chat.generated_tokens)
        self._dispatcher.finished(
            chat.work.request_id,
            used_tokens=_used_tokens(chat),
            now_seconds=self._timers.now_seconds(),
        )
        self.run()

    def on_attempt_failed(
        self, chat: active_chat.ActiveChat, reason: str, *, may_have_run: bool
    ) -> None:
        """Let the dispatcher retry, resume or fail the chat request.

        :param chat: the chat request
        :param reason: the cause of the failure
        :param may_have_run: whether the engine may have processed the request
        """
        request_id = chat.work.request_id
        now_seconds = self._timers.now_seconds()
        self._sender.end_use(chat)
        self._counters.add("attempts_broken", reason)
        self._trace(request_id, "attempt_broken", f"{chat.endpoint}: {reason}")
        if reason == chat_sender.ADAPTER_NOT_LOADED:
            self._dispatcher.adapter_missing(
                request_id, now_seconds=now_seconds
            )
        else:
            self._dispatcher.failed(
                request_id,
                bytes_sent=may_have_run,
                used_tokens=_used_tokens(chat),
                now_seconds=now_seconds,
            )
        self.run()

    def on_caller_disconnected(self, chat: active_chat.ActiveChat) -> None:
        """Cancel a chat request whose caller disconnected.

        :param chat: the chat request
        """
        self._end(chat, "caller_gone")
        self._counters.add("requests_cancelled", "caller_gone")
        self._dispatcher.cancel(
            chat.work.request_id,
            used_tokens=_used_tokens(chat),
            now_seconds=self._timers.now_seconds(),
        )
        self.run()

    def send(self, send: actions.Send) -> None:
        """Send a chat request to an endpoint.

        :param send: the request, the endpoint and the number of the attempt
        """
        chat = self._chats.get(send.work.request_id)
        if chat is None:
            return
        self._trace(send.work.request_id, "sent", send.endpoint)
        if send.attempt > 1:
            self._counters.add("requests_retried", "attempt_broken")
        self._sender.send(chat, send.endpoint)

    def refuse(self, refuse: actions.Refuse) -> None:
        """Refuse a chat request, which certainly did not run.

        :param refuse: the request and the reason
        """
        chat = self._chats.get(refuse.work.request_id)
        if chat is not None:
            self._refuse(chat, refuse.refused)

    def fail(self, fail: actions.Fail) -> None:
        """Fail a chat request whose last attempt failed.

        :param fail: the request, and whether it may have run
        """
        chat = self._chats.get(fail.work.request_id)
        if chat is None:
            return
        kind = outcomes.Unknown if fail.may_have_run else outcomes.NotRun
        self._counters.add("requests_refused", "endpoint_failed")
        self._end(chat, fail.reason)
        chat.refuse(
            kind(
                status=STATUS_BAD_GATEWAY,
                reason="endpoint_failed",
                remedy="repeat the request; a chat is safe to repeat",
                retry_after_seconds=1.0,
            )
        )

    def order_load(self, order: actions.OrderLoad) -> None:
        """Pass on an order to load an adapter.

        :param order: the adapter and the endpoint
        """
        if self.order_executor is not None:
            self.order_executor.order(order)

    def drain(self, drain: actions.Drain) -> None:
        """Pass on a request to stop using an adapter at an endpoint.

        :param drain: the adapter and the endpoint
        """
        if self.order_executor is not None:
            self.order_executor.drain(drain)

    def send_digest(self, send_digest: actions.SendDigest) -> None:
        """Send a digest to another instance.

        :param send_digest: the receiver and the digest
        """
        self._send_digest(send_digest)

    def _refuse(
        self, chat: active_chat.ActiveChat, refused: refusals.Refused
    ) -> None:
        self._end(chat, f"refused: {refused.reason}")
        chat.refuse(
            outcomes.NotRun(
                status=refused.status,
                reason=refused.reason,
                remedy=refused.remedy,
                retry_after_seconds=refused.retry_after_seconds,
            )
        )

    def _end(self, chat: active_chat.ActiveChat, event: str) -> None:
        self._chats.pop(chat.work.request_id, None)
        self._sender.end_use(chat)
        self._trace(chat.work.request_id, event)

    def _trace(self, request_id: str, event: str, detail: str = "") -> None:
        self._request_events.add(
            request_id,
            event,
            now_seconds=self._timers.now_seconds(),
            detail=detail,
        )

    def _schedule_run(self) -> None:
        due_seconds = self._dispatcher.next_due_seconds()
        if self._next_run is not None:
            if due_seconds == self._next_run_at_seconds:
                return
            self._next_run.cancel()
        self._next_run_at_seconds = due_seconds
        delay = max(0.0, due_seconds - self._timers.now_seconds())
        self._next_run = self._timers.once(
            delay_seconds=delay, callback=self._on_run_due
        )

    def _on_run_due(self) -> None:
        self._next_run = None
        self.run()


def _used_tokens(chat: active_chat.ActiveChat) -> float:
    if chat.usage is not None:
        return float(sum(chat.usage.values()))
    if chat.generated_tokens == 0:
        return 0.0
    return float(chat.work.prompt_tokens + chat.generated_tokens)


__all__ = [
    "ChatController",
]

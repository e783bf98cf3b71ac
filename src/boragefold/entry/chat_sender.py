"""Sends a chat request to an endpoint, under a lease on its adapter."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from boragefold.coordination.orders import lease_client
from boragefold.entry import active_chat
from boragefold.entry import use_queue
from boragefold.telemetry import counters as telemetry
from boragefold.timing import timers as timing

ADAPTER_NOT_LOADED = "adapter_not_resident"


class ChatSender:
    """Sends attempts and ends each of them before its lease expires."""

    def __init__(
        self,
        *,
        timers: timing.TimerService,
        counters: telemetry.Counters,
        address_of: Callable[[str], str | None],
        queue: use_queue.UseQueue,
    ) -> None:
        self._timers = timers
        self._counters = counters
        self._address_of = address_of
        self._queue = queue
        self._uses: dict[str, lease_client.Use] = {}

    def send(self, chat: active_chat.ActiveChat, endpoint: str) -> None:
        """Send an attempt, after acquiring a lease if it uses an adapter.

        :param chat: the chat request
        :param endpoint: name of the endpoint
        """
        adapter_version = chat.work.adapter_version
        address = self._address_of(endpoint)
        if address is None:
            # The endpoint was removed after the scheduler had chosen it.
            self._fail_later(chat, "unlisted")
        elif not adapter_version.adapter:
            chat.send(
                endpoint=endpoint,
                address=address,
                body=_engine_request(chat),
            )
        else:
            chat.endpoint = endpoint
            self._queue.start(
                endpoint=endpoint,
                adapter=adapter_version,
                on_granted=lambda use: self._send_with_lease(
                    chat, address, use
                ),
                on_refused=lambda reason: self._on_refused(chat, reason),
            )

    def end_use(self, chat: active_chat.ActiveChat) -> None:
        """End the adapter use of a chat request's attempt, if there is one.

        :param chat: the chat request
        """
        use = self._uses.pop(chat.work.request_id, None)
        if use is not None:
            self._queue.end(use)

    def _send_with_lease(
        self, chat: active_chat.ActiveChat, address: str, use: lease_client.Use
    ) -> None:
        if chat.finished:
            self._queue.end(use)
            return
        self._uses[chat.work.request_id] = use
        now_seconds = self._timers.now_seconds()
        self._timers.once(
            delay_seconds=use.ends_by_seconds - now_seconds,
            callback=lambda: self._on_use_expired(chat, use),
        )
        chat.send(
            endpoint=chat.endpoint,
            address=address,
            body=_engine_request(chat),
            may_send=lambda: self._timers.now_seconds() < use.send_by_seconds,
        )

    def _on_refused(self, chat: active_chat.ActiveChat, reason: str) -> None:
        self._counters.add("uses_not_begun", reason)
        if not chat.finished:
            chat.on_failed(ADAPTER_NOT_LOADED, may_have_run=False)

    def _on_use_expired(
        self, chat: active_chat.ActiveChat, use: lease_client.Use
    ) -> None:
        # The instance that granted the lease may unload the adapter now.
        if not use.finished and not chat.finished:
            chat.abort_attempt("use_over")

    def _fail_later(self, chat: active_chat.ActiveChat, reason: str) -> None:
        self._timers.once(
            delay_seconds=0.0,
            callback=lambda: chat.on_failed(reason, may_have_run=False),
        )


def _engine_request(chat: active_chat.ActiveChat) -> bytes:
    work = chat.work
    return msgspec.json.encode(
        {
            "model": work.adapter_version.model,
            "adapter": work.adapter_version.adapter,
            "version": work.adapter_version.version,
            "messages": chat.request["messages"],
            "max_tokens": work.max_tokens,
            "stream": True,
            "priority": 0 if work.late_sensitive else 1,
            "resume_from_token": chat.generated_tokens,
        }
    )


__all__ = [
    "ChatSender",
    "ADAPTER_NOT_LOADED",
]

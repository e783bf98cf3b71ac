"""Sends a chat request to an endpoint, under a lease on its adapter."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from boragefold.coordination.orders import lease_client
from boragefold.entry import active_chat
from boragefold.entry import use_queue
from boragefold.telemetry import counters as telemetry
from boragefold.timing import timers as timing

NOT_HELD = "adapter_not_resident"


class ChatSender:
    """Sends attempts and ends each of them before its lease expires."""

    def __init__(
        self,
        *,
        timers: timing.TimerService,
        counters: telemetry.Counters,
        address_of: Callable[[str], str | None],
        gate: use_queue.UseQueue,
    ) -> None:
        self._timers = timers
        self._counters = counters
        self._address_of = address_of
        self._gate = gate
        self._uses: dict[str, lease_client.Use] = {}

    def send(self, live: active_chat.ActiveChat, endpoint: str) -> None:
        """Send an attempt, after acquiring a lease if it uses an adapter.

        :param live: the chat request
        :param endpoint: name of the endpoint
        """
        needs = live.work.needs
        address = self._address_of(endpoint)
        if address is None:
            # The endpoint was removed after the scheduler had chosen it.
            self._fail_later(live, "unlisted")
        elif not needs.adapter:
            live.send(
                endpoint=endpoint,
                address=address,
                body=_engine_request(live),
            )
        else:
            live.endpoint = endpoint
            self._gate.enter(
                endpoint=endpoint,
                adapter=needs,
                granted=lambda use: self._send_with_lease(live, address, use),
                refused=lambda reason: self._on_refused(live, reason),
            )

    def end_use(self, live: active_chat.ActiveChat) -> None:
        """End the adapter use of a chat request's attempt, if there is one.

        :param live: the chat request
        """
        use = self._uses.pop(live.work.request_id, None)
        if use is not None:
            self._gate.leave(use)

    def _send_with_lease(
        self, live: active_chat.ActiveChat, address: str, use: lease_client.Use
    ) -> None:
        if live.finished:
            self._gate.leave(use)
            return
        self._uses[live.work.request_id] = use
        now_seconds = self._timers.now_seconds()
        self._timers.once(
            delay_seconds=use.ends_by_seconds - now_seconds,
            callback=lambda: self._on_use_expired(live, use),
        )
        live.send(
            endpoint=live.endpoint,
            address=address,
            body=_engine_request(live),
            may_send=lambda: self._timers.now_seconds() < use.send_by_seconds,
        )

    def _on_refused(self, live: active_chat.ActiveChat, reason: str) -> None:
        self._counters.add("uses_not_begun", reason)
        if not live.finished:
            live.broken(NOT_HELD, may_have_run=False)

    def _on_use_expired(
        self, live: active_chat.ActiveChat, use: lease_client.Use
    ) -> None:
        # The instance that granted the lease may unload the adapter now.
        if not use.finished and not live.finished:
            live.break_attempt("use_over")

    def _fail_later(self, live: active_chat.ActiveChat, reason: str) -> None:
        self._timers.once(
            delay_seconds=0.0,
            callback=lambda: live.broken(reason, may_have_run=False),
        )


def _engine_request(live: active_chat.ActiveChat) -> bytes:
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
    "ChatSender",
    "NOT_HELD",
]

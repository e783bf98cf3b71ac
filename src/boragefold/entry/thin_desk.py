"""The first way of a request: any live endpoint that has the fewest."""

from __future__ import annotations

import collections
from typing import Any

import msgspec

from boragefold.entry import answers
from boragefold.entry import chat_face
from boragefold.entry import live_chat
from boragefold.policy import work as works
from boragefold.protocol import outcome as outcomes
from boragefold.state import catalogue as catalogues
from boragefold.state import endpoints
from boragefold.telemetry import counters as telemetry
from boragefold.transport import http_client

MAX_ATTEMPTS = 3
ORDER_SECONDS = 10.0
STATUS_UNAVAILABLE = 503


class OrderSink(http_client.AnswerSink):
    """Waits for the end of a load."""

    def __init__(self, *, ended: Any) -> None:
        self._ended = ended
        self._status = 0

    def head(self, status: int, headers: dict[str, str]) -> None:
        """Note the status.

        :param status: the HTTP status
        :param headers: unused
        """
        self._status = status

    def data(self, data: bytes) -> None:
        """Skip the body.

        :param data: unused
        """

    def end(self) -> None:
        """Pass the end on."""
        self._ended(self._status == 200)

    def failed(self, failure: http_client.Failure) -> None:
        """Pass the failure on.

        :param failure: why
        """
        self._ended(False)


class ThinDesk(chat_face.Desk, live_chat.ChatEvents):
    """Sends each chat to the endpoint with the fewest of our own."""

    def __init__(
        self,
        *,
        catalogue: catalogues.Catalogue,
        client: http_client.HttpClient,
        counters: telemetry.Counters,
    ) -> None:
        self._catalogue = catalogue
        self._client = client
        self._counters = counters
        self._running: collections.Counter[str] = collections.Counter()
        self._resident: dict[str, list[works.AdapterVersion]] = (
            collections.defaultdict(list)
        )

    def offer(self, live: live_chat.LiveChat) -> None:
        """Send a chat, loading its adapter first if need be.

        :param live: the chat
        """
        candidates = [
            endpoint
            for endpoint in self._catalogue.endpoints
            if endpoint.model == live.work.needs.model
            and endpoint.state == "live"
        ]
        if not candidates:
            self._refuse(live, "no_endpoint")
            return
        chosen = min(
            candidates,
            key=lambda endpoint: (
                live.work.needs not in self._resident[endpoint.name],
                self._running[endpoint.name],
            ),
        )
        held = self._resident[chosen.name]
        if not live.work.needs.adapter or live.work.needs in held:
            self._send(live, chosen)
        else:
            self._load(live, chosen)

    def answered(self, live: live_chat.LiveChat) -> None:
        """Do nothing.

        :param live: the chat
        """

    def completed(self, live: live_chat.LiveChat) -> None:
        """Count the end.

        :param live: the chat
        """
        self._running[live.endpoint] -= 1
        self._counters.add("requests_ran")

    def attempt_broken(
        self, live: live_chat.LiveChat, reason: str, *, may_have_run: bool
    ) -> None:
        """Resume elsewhere, a few times.

        :param live: the chat
        :param reason: why
        :param may_have_run: unused, a chat may run again
        """
        self._running[live.endpoint] -= 1
        self._counters.add("attempts_broken", reason)
        held = self._resident[live.endpoint]
        if live.work.needs in held:
            held.remove(live.work.needs)
        if live.attempts < MAX_ATTEMPTS:
            self.offer(live)
        else:
            self._refuse(live, reason)

    def caller_gone(self, live: live_chat.LiveChat) -> None:
        """Count the end.

        :param live: the chat
        """
        self._running[live.endpoint] -= 1

    def _load(
        self, live: live_chat.LiveChat, chosen: endpoints.EndpointRecord
    ) -> None:
        needs = live.work.needs
        held = self._resident[chosen.name]
        evict = held.pop(0) if len(held) >= chosen.slots else None
        order = {
            "kind": "load",
            "adapter": needs.adapter,
            "version": needs.version,
            "evict": evict and [evict.adapter, evict.version],
            "fencing": 1,
        }
        call = http_client.Call(
            address=chosen.address,
            method="POST",
            target="/v1/orders",
            headers=[answers.JSON],
            body=msgspec.json.encode(order),
            fresh=False,
            progress_seconds=ORDER_SECONDS,
        )

        def ended(done: bool) -> None:
            if done:
                held.append(needs)
                self._send(live, chosen)
            else:
                self._refuse(live, "load_failed")

        self._client.send(call, OrderSink(ended=ended))

    def _send(
        self, live: live_chat.LiveChat, chosen: endpoints.EndpointRecord
    ) -> None:
        if live.finished:
            return
        body = {
            "model": live.work.needs.model,
            "adapter": live.work.needs.adapter,
            "version": live.work.needs.version,
            "messages": live.request["messages"],
            "max_tokens": live.work.max_tokens,
            "stream": True,
            "resume_from_token": live.generated_tokens,
        }
        self._running[chosen.name] += 1
        live.send(
            endpoint=chosen.name,
            address=chosen.address,
            body=msgspec.json.encode(body),
        )

    def _refuse(self, live: live_chat.LiveChat, reason: str) -> None:
        self._counters.add("requests_refused", reason)
        live.refuse(
            outcomes.NotRun(
                status=STATUS_UNAVAILABLE,
                reason=reason,
                remedy="repeat the request later",
                retry_after_seconds=1.0,
            )
        )


__all__ = [
    "ThinDesk",
]

"""A stand-in for the store of the users' machines."""

from __future__ import annotations

import base64
from typing import Any

from boragefold.standins import machines_http
from boragefold.timing import timers as timing
from boragefold.transport import http_server

STATUS_GONE = 410
WATCH_CHECK_SECONDS = 0.02
PAGE_ITEMS = 50


class Store:
    """The store: items with revisions, pages, watches and faults.

    ``PUT /control/item?key=...`` writes, ``DELETE`` removes, and
    ``PUT /control/status?status=503`` makes every call fail until it is 200.
    ``PUT /control/forget`` drops the history.
    """

    def __init__(self, *, timers: timing.TimerService) -> None:
        self._timers = timers
        self._revision = 1
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._forgotten = 0
        self._status = machines_http.STATUS_OK
        self._watches: list[tuple[http_server.Exchange, dict[str, str]]] = []
        self.calls = 0
        timers.every(
            period_seconds=WATCH_CHECK_SECONDS, callback=self._answer_watches
        )

    def handle(
        self, request: http_server.Request, exchange: http_server.Exchange
    ) -> None:
        """Answer a call.

        :param request: the call
        :param exchange: where the answer goes
        """
        query = machines_http.query_of(request)
        if request.path.startswith("/control/"):
            self._control(request, exchange, query)
            return
        self.calls += 1
        if self._status != machines_http.STATUS_OK:
            machines_http.reply_json(exchange, self._status, {})
        elif request.path == "/v1/kv-range":
            self._range(exchange, query)
        elif request.path == "/v1/kv-watch":
            self._watch(exchange, query)
        else:
            machines_http.reply_json(
                exchange, machines_http.STATUS_NOT_FOUND, {}
            )

    def _control(
        self,
        request: http_server.Request,
        exchange: http_server.Exchange,
        query: dict[str, str],
    ) -> None:
        if request.path == "/control/status":
            self._status = int(query["status"])
        elif request.path == "/control/forget":
            self._forgotten = self._revision
            self._history.clear()
        elif request.method == "PUT":
            self._write(query["key"], request.body)
        elif request.method == "DELETE":
            self._remove(query["key"])
        machines_http.reply_json(
            exchange, machines_http.STATUS_OK, {"calls": self.calls}
        )

    def _write(self, key: str, value: bytes) -> None:
        self._revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self._revision,
            "created": self._revision,
            "lease": 0,
        }
        self._items[key] = item
        self._history.append(item)

    def _remove(self, key: str) -> None:
        self._revision += 1
        self._items.pop(key, None)
        self._history.append(
            {"key": key, "revision": self._revision, "removed": True}
        )

    def _range(
        self, exchange: http_server.Exchange, query: dict[str, str]
    ) -> None:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(
            key
            for key in self._items
            if key.startswith(prefix) and key > after
        )
        body = {
            "items": [self._items[key] for key in keys[:PAGE_ITEMS]],
            "has_more": len(keys) > PAGE_ITEMS,
            "store_revision": self._revision,
        }
        machines_http.reply_json(exchange, machines_http.STATUS_OK, body)

    def _watch(
        self, exchange: http_server.Exchange, query: dict[str, str]
    ) -> None:
        if int(query["after"]) < self._forgotten:
            machines_http.reply_json(exchange, STATUS_GONE, {})
            return
        until_seconds = (
            self._timers.now_seconds() + int(query["wait_ms"]) / 1000
        )
        query["until"] = str(until_seconds)
        self._watches.append((exchange, query))
        self._answer_watches()

    def _answer_watches(self) -> None:
        watches, self._watches = self._watches, []
        for exchange, query in watches:
            if exchange.finished:
                continue
            events = [
                event
                for event in self._history
                if event["key"].startswith(query["prefix"])
                and event["revision"] > int(query["after"])
            ]
            expired = float(query["until"]) <= self._timers.now_seconds()
            if events or expired:
                body = {"events": events, "store_revision": self._revision}
                machines_http.reply_json(
                    exchange, machines_http.STATUS_OK, body
                )
            else:
                self._watches.append((exchange, query))


__all__ = [
    "Store",
]

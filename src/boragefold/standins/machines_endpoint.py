"""A stand-in for the endpoints of the users' machines."""

from __future__ import annotations

from collections.abc import Iterator
import os
from typing import Any

import msgspec

from boragefold.standins import endless_answers
from boragefold.standins import endpoint_connection
from boragefold.standins import endpoint_faults
from boragefold.standins import machines_http
from boragefold.standins import run_slots
from boragefold.timing import timers as timing
from boragefold.transport import http_server

STATUS_ACCEPTED = 202
STATUS_BAD_REQUEST = 400
STATUS_CONFLICT = 409
STATUS_MISDIRECTED = 421
STATUS_UNAVAILABLE = 503
# For what the engine held before.
WARM_SHARE = 0.1
SIGNATURE = "Boragefold-Response-Signature"
NOT_EXECUTED = "Boragefold-Not-Executed"
LOAD = "Boragefold-Instance-Load"
BRITTLE = "Server-Brittle"
# Reported as long as it has no limits.
DEFAULT_SLOTS = 6
# A request that crashes the endpoint runs this long before.
CRASH_SECONDS = 0.05


class Endpoint:
    """An endpoint: a plain service, or an engine with adapters."""

    def __init__(
        self,
        *,
        name: str,
        model: str,
        places: int,
        load_seconds: float,
        event_seconds: float,
        software_version: str = "",
        born: int = 1,
        timers: timing.TimerService,
    ) -> None:
        """Begin with the model held and no adapter.

        :param name: how it names itself
        :param model: the model that it holds; empty for a plain service
        :param places: adapters that it can hold
        :param load_seconds: how long an adapter takes to load
        :param event_seconds: time between two events of a stream
        :param software_version: that of its program, which each event tells
        :param born: when it started, in milliseconds
        :param timers: of the process
        """
        self._name = name
        self._model = model
        self._places = places
        self._load_seconds = load_seconds
        self._event_seconds = event_seconds
        self._software_version = software_version
        self._born = born
        self._timers = timers
        self._held: dict[str, float] = {}
        self._had: set[str] = set()
        self._count = 0
        self._faults = endpoint_faults.Faults()
        self._slots = run_slots.RunSlots(timers=timers)
        self._endless = endless_answers.EndlessAnswers(timers=timers)
        self._share = endpoint_faults.FaultShare()
        self._running: list[http_server.Exchange] = []
        self._arrivals: list[dict[str, Any]] = []
        self._runs: list[dict[str, Any]] = []
        self._orders: list[dict[str, Any]] = []

    def handle(
        self, request: http_server.Request, exchange: http_server.Exchange
    ) -> None:
        """Answer a call.

        :param request: the call
        :param exchange: where the answer goes
        """
        if request.path == "/control/faults":
            self._faults = msgspec.json.decode(
                request.body, type=endpoint_faults.Faults
            )
            self._slots.limits = run_slots.SlotLimits(*self._faults.limits)
            machines_http.reply_json(exchange, machines_http.STATUS_OK, {})
        elif request.path == "/control/seen":
            seen = {
                "arrivals": self._arrivals,
                "runs": self._runs,
                "orders": self._orders,
                "falls": self._slots.falls,
                "endless": self._endless.seen,
            }
            machines_http.reply_json(exchange, machines_http.STATUS_OK, seen)
        elif request.path == "/control/break":
            ending = endpoint_connection.Ending(request.body.decode())
            self._break_running(ending)
            machines_http.reply_json(exchange, machines_http.STATUS_OK, {})
        else:
            self._handle_call(request, exchange)

    def _handle_call(
        self, request: http_server.Request, exchange: http_server.Exchange
    ) -> None:
        if not request.path.startswith("/v1/"):
            self._arrivals.append(self._describe(request))
        if self._slots.fallen:
            exchange.abort()
        elif not self._is_meant(request):
            machines_http.reply_json(exchange, STATUS_MISDIRECTED, {})
        elif request.path == "/v1/report":
            self._report(exchange)
        elif request.path == "/v1/order":
            self._order(request, exchange)
        else:
            self._run(request, exchange)

    def _is_meant(self, request: http_server.Request) -> bool:
        expected = request.headers.get("boragefold-expect-instance")
        return expected in (None, self._name)

    def _report(self, exchange: http_server.Exchange) -> None:
        now_seconds = self._timers.now_seconds()
        ready = [key for key, at in self._held.items() if at <= now_seconds]
        coming = [
            f"{self._model}/{key}@1"
            for key, at in self._held.items()
            if at > now_seconds
        ]
        adapters = [f"{key}@1" for key in ready]
        models = [{"name": self._model, "version": 1, "adapters": adapters}]
        body = {
            "models": models,
            "busy": False,
            "sequence": self._count,
            "born": self._born,
            "coming": coming,
        }
        self._reply_json(exchange, machines_http.STATUS_OK, body)

    def _order(
        self, request: http_server.Request, exchange: http_server.Exchange
    ) -> None:
        order = msgspec.json.decode(request.body)
        status = self._carry_out(order)
        now_seconds = self._timers.now_seconds()
        self._orders.append(
            {**order, "status": status, "at_seconds": now_seconds}
        )
        self._reply_json(exchange, status, {})

    def _reply_json(
        self, exchange: http_server.Exchange, status: int, body: Any
    ) -> None:
        if self._faults.endless_calls:
            self._endless.send(exchange, self._faults.endless_calls, [])
            return
        if not self._faults.unframed_calls:
            machines_http.reply_json(exchange, status, body)
            return
        headers = endpoint_connection.framing_headers(
            endpoint_connection.Framing.CLOSE, 0
        )
        exchange.start(status, [*machines_http.JSON, *headers])
        exchange.send(msgspec.json.encode(body))
        exchange.finish()

    def _carry_out(self, order: dict[str, Any]) -> int:
        if "holder" not in order or "fence_token" not in order:
            return STATUS_BAD_REQUEST
        adapter = order["adapter"]
        loads = order["operation"] == "load"
        if loads == (adapter in self._held):
            return machines_http.STATUS_OK
        if order.get("expected", self._count) != self._count:
            return STATUS_CONFLICT
        self._count += 1
        if not loads:
            del self._held[adapter]
            return machines_http.STATUS_OK
        if len(self._held) >= self._places:
            raise RuntimeError("ordered to hold more than there are places")
        warm = adapter in self._had
        load_seconds = self._load_seconds * (WARM_SHARE if warm else 1.0)
        self._had.add(adapter)
        self._held[adapter] = self._timers.now_seconds() + load_seconds
        return STATUS_ACCEPTED

    def _run(
        self, request: http_server.Request, exchange: http_server.Exchange
    ) -> None:
        adapter = request.headers.get("boragefold-model", "").partition("/")[2]
        at_seconds = self._held.get(adapter)
        if adapter and (
            at_seconds is None or at_seconds > self._timers.now_seconds()
        ):
            machines_http.reply_json(exchange, STATUS_MISDIRECTED, {})
            return
        if self._faults.endless is endless_answers.Form.REFUSAL:
            # What says that it didn't run must not run.
            self._endless.send(exchange, self._faults.endless, [])
            return
        rejects = self._faults.not_executed and self._share.draw(
            self._faults.share
        )
        if rejects or not self._slots.submit(
            lambda: self._begin(request, exchange)
        ):
            headers = [*machines_http.JSON, (NOT_EXECUTED, "1")]
            exchange.reply(
                STATUS_UNAVAILABLE, [*headers, *self._load_headers()], b"{}"
            )

    def _load_headers(self) -> list[tuple[str, str]]:
        slots, limits = self._slots, self._slots.limits
        load = (slots.running, slots.waiting, limits.slots or DEFAULT_SLOTS)
        headers = [(LOAD, ",".join(map(str, load)))]
        if limits.brittle:
            headers.append((BRITTLE, str(limits.brittle)))
        return headers

    def _begin(
        self, request: http_server.Request, exchange: http_server.Exchange
    ) -> None:
        faults = self._faults
        self._runs.append(self._describe(request))
        self._running.append(exchange)
        if faults.crashes(request):
            self._timers.once(
                delay_seconds=CRASH_SECONDS, callback=lambda: os._exit(1)
            )
        elif not faults.silent:
            self._timers.once(
                delay_seconds=faults.delay_seconds,
                callback=lambda: self._answer(request, exchange),
            )

    def _describe(self, request: http_server.Request) -> dict[str, Any]:
        return {
            "headers": dict(request.fields),
            "method": request.method,
            "target": request.target,
            "body": request.body.decode("latin-1"),
            "at_seconds": self._timers.now_seconds(),
        }

    def _break_running(self, ending: endpoint_connection.Ending) -> None:
        running, self._running = self._running, []
        for exchange in running:
            if not exchange.finished:
                endpoint_connection.break_off(exchange, ending)

    def _answer(
        self, request: http_server.Request, exchange: http_server.Exchange
    ) -> None:
        if self._slots.fallen:
            exchange.abort()
            return
        self._slots.end()
        if exchange.finished:
            return
        self._running = [each for each in self._running if not each.finished]
        faults = self._faults
        fails = self._share.draw(self._faults.share)
        if fails and faults.lose_answers:
            endpoint_connection.break_off(exchange, faults.ending)
            return
        attempt = request.headers.get("boragefold-attempt-id", "")
        headers = [
            ("Boragefold-Attempt-Id", attempt),
            *self._load_headers(),
        ]
        if not self._faults.unsigned:
            headers.append((SIGNATURE, f"signed-by-{self._name}"))
        if fails and faults.cut_head is not None:
            self._break_head_off(request, exchange, headers)
            return
        if fails and faults.endless:
            self._endless.send(exchange, faults.endless, headers)
            return
        resumed = request.headers.get("last-event-id", "")
        status = faults.resumed_status if resumed else faults.status
        status = status if fails else machines_http.STATUS_OK
        is_cut = faults.cuts(request)
        if not self._model or status != machines_http.STATUS_OK:
            self._send_body(
                exchange, status, headers, f"answer to {attempt}", is_cut
            )
            return
        usage = request.headers.get("boragefold-token-usage", "0,3")
        events = int(usage.partition(",")[2])
        first = int(resumed) + 1 if resumed else 1
        pieces = [self._event(number) for number in range(first, events + 1)]
        headers += endpoint_connection.framing_headers(
            faults.framing or endpoint_connection.Framing.CHUNKS,
            sum(map(len, pieces)),
        )
        exchange.start(
            machines_http.STATUS_OK,
            [*headers, ("Content-Type", "text/event-stream")],
        )
        whole = faults.cut_after if is_cut else None
        self._stream(exchange, iter(pieces), whole)

    def _break_head_off(
        self,
        request: http_server.Request,
        exchange: http_server.Exchange,
        headers: list[tuple[str, str]],
    ) -> None:
        connection = exchange.connection
        if isinstance(connection, endpoint_connection.EndpointConnection):
            connection.head_fault = self._faults.cut_head
        framing = self._faults.framing or endpoint_connection.Framing.LENGTH
        # The length that the head would state must not be that of no body.
        framed = endpoint_connection.framing_headers(
            framing, len(request.target)
        )
        exchange.start(machines_http.STATUS_OK, [*headers, *framed])
        self._break_off(exchange)

    def _event(self, number: int) -> bytes:
        text = f"t{number} {self._software_version}".rstrip()
        lines = (f"id: {number}", f"data: {text}", "", "")
        return self._faults.line_end.join(lines).encode()

    def _send_body(
        self,
        exchange: http_server.Exchange,
        status: int,
        headers: list[tuple[str, str]],
        text: str,
        is_cut: bool,
    ) -> None:
        faults, body = self._faults, text.encode()
        framing = faults.framing or endpoint_connection.Framing.LENGTH
        headers += endpoint_connection.framing_headers(framing, len(body))
        exchange.start(status, headers)
        exchange.send(body[: len(body) // 2])
        if is_cut:
            self._break_off(exchange)
        else:
            exchange.send(body[len(body) // 2 :])
            self._finish(exchange)

    def _finish(self, exchange: http_server.Exchange) -> None:
        exchange.finish()
        if self._faults.exit_when_done:
            self._timers.once(
                delay_seconds=self._event_seconds,
                callback=lambda: os._exit(0),
            )

    def _break_off(self, exchange: http_server.Exchange) -> None:
        # What was sent must arrive before the connection breaks.
        self._timers.once(
            delay_seconds=self._event_seconds,
            callback=lambda: endpoint_connection.break_off(
                exchange, self._faults.ending
            ),
        )

    def _stream(
        self,
        exchange: http_server.Exchange,
        pieces: Iterator[bytes],
        whole: int | None,
    ) -> None:
        piece = next(pieces, None)
        if exchange.finished:
            return
        if piece is None:
            self._finish(exchange)
        elif whole == 0:
            if not self._faults.cut_between:
                exchange.send(piece[: len(piece) // 2])
            self._break_off(exchange)
        else:
            exchange.send(piece)
            self._timers.once(
                delay_seconds=self._event_seconds,
                callback=lambda: self._stream(
                    exchange, pieces, None if whole is None else whole - 1
                ),
            )


__all__ = [
    "Endpoint",
]

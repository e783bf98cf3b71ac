"""The listening sockets of a gateway: callers, readiness and operators."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from boragefold.entry import cold_endpoints
from boragefold.entry import fleet_log
from boragefold.entry import operators
from boragefold.settings import gateway as gateway_settings
from boragefold.settings import serve as serve_settings
from boragefold.state import fleet as fleets
from boragefold.state import published_items
from boragefold.telemetry import counters as telemetry
from boragefold.timing import timers as timing
from boragefold.transport import caller_admission
from boragefold.transport import callers
from boragefold.transport import http_server
from boragefold.transport import requests
from boragefold.transport import sockets

TEXT = ("Content-Type", "text/plain; version=0.0.4")
JSON = ("Content-Type", "application/json")
STATUS_PATH = "/status"
STATUS_READY = 200
STATUS_NOT_READY = 503


class GatewayListeners:
    """Listens for callers, the balancer's probe and metrics scrapes."""

    def __init__(
        self,
        *,
        sockets_: sockets.SocketSet,
        application: http_server.Application,
        counters: telemetry.Counters,
        timers: timing.TimerService,
        fleet: fleets.Fleet,
        cold: cold_endpoints.ColdEndpoints,
        ready: Callable[[], bool],
        items: published_items.PublishedItems,
        admission: caller_admission.CallerAdmission | None = None,
    ) -> None:
        """Create the listeners without binding an address.

        :param sockets_: holds all connections
        :param application: handles callers' requests
        :param counters: metrics of this process
        :param timers: the process clock
        :param fleet: the published deployment
        :param cold: the endpoints that are cold
        :param ready: tells whether the balancer should send callers here
        :param items: the published items
        :param admission: what callers may take together; by default that of a
            whole machine
        """
        self._sockets = sockets_
        self._counters = counters
        self._timers = timers
        self._fleet = fleet
        self._cold = cold
        self._items = items
        self._instance_name = ""
        self._ready = ready
        self._admission = admission or caller_admission.for_one()
        self.callers = callers.CallersFace(
            sockets_=sockets_,
            application=application,
            counters=counters,
            timers=timers,
            limits=lambda: limits_of(fleet),
            admission=self._admission,
        )

    def listen(self, settings: gateway_settings.GatewaySettings) -> None:
        """Bind every address of the settings.

        :param settings: validated settings
        :raises OSError: when an address can't be bound
        """
        self._instance_name = settings.instance_name
        host, port = serve_settings.split_address(settings.callers_listen)
        self.callers.listen(host=host, port=port, tls=None)
        self._serve(settings.ready_listen, self._answer_ready)
        if settings.metrics_listen:
            self._serve(settings.metrics_listen, self._answer_operators)
        self._timers.every(
            period_seconds=callers.SLOW_CHECK_SECONDS,
            callback=self._refuse_slow_callers,
        )

    def _serve(
        self, address: str, application: http_server.Application
    ) -> None:
        operators.listen(
            sockets_=self._sockets,
            counters=self._counters,
            timers=self._timers,
            address=address,
            application=application,
        )

    def _answer_ready(
        self, request: http_server.Request, exchange: http_server.Exchange
    ) -> None:
        status = STATUS_READY if self._ready() else STATUS_NOT_READY
        exchange.reply(status, [], b"")

    def _answer_operators(
        self, request: http_server.Request, exchange: http_server.Exchange
    ) -> None:
        if request.path == STATUS_PATH:
            body = msgspec.json.encode(self._status())
            exchange.reply(STATUS_READY, [JSON], body)
            return
        # Imported on first use: most instances are never scraped.
        from boragefold.telemetry import exposition

        exchange.reply(STATUS_READY, [TEXT], exposition.write(self._counters))

    def _status(self) -> dict[str, object]:
        return {
            "instance": self._instance_name,
            "ready": self._ready(),
            "published_age_seconds": round(self._fleet.age_seconds(), 3),
            "published": [state._asdict() for state in self._items.states()],
            "callers": self._admission.status(),
            **self._cold.status(),
            "evacuations": fleet_log.describe_evacuations(
                self._fleet, now_seconds=self._timers.now_seconds()
            ),
        }

    def _refuse_slow_callers(self) -> None:
        self._counters.set_gauge(
            "callers_held_bytes", self._admission.memory.held_bytes
        )
        if (limits := self._fleet.caller_limits()) is not None:
            self.callers.refuse_slow(
                idle_seconds=limits.idle_timeout_seconds,
                request_seconds=limits.header_timeout_seconds,
            )


def limits_of(fleet: fleets.Fleet) -> requests.RequestLimits:
    """Return the published limits of a request.

    :param fleet: the published deployment
    :return: those in force, the defaults before any is known
    """
    limits = fleet.caller_limits()
    if limits is None:
        return requests.RequestLimits()
    return requests.RequestLimits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
    )


__all__ = [
    "GatewayListeners",
    "limits_of",
]

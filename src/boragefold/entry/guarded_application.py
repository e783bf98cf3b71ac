"""Answers a caller whose request led to an error in this process."""

from __future__ import annotations

from boragefold.entry import refusals
from boragefold.telemetry import error_guard
from boragefold.transport import http_server

REASON = "internal_error"


class GuardedApplication:
    """Handles requests, and answers those whose handling failed."""

    def __init__(
        self,
        *,
        application: http_server.Application,
        guard: error_guard.ErrorGuard,
    ) -> None:
        """Guard an application.

        :param application: handles requests
        :param guard: counts and logs errors
        """
        self._application = application
        self._guard = guard

    def handle(
        self, request: http_server.Request, exchange: http_server.Exchange
    ) -> None:
        """Handle a request.

        :param request: as received
        :param exchange: takes the response
        """
        if self._guard.run("request", self._application, request, exchange):
            return
        on_closed = exchange.on_closed
        if exchange.started:
            exchange.abort()
        else:
            # Part of the handling may have been done, and may go on.
            refusals.send_error(
                exchange,
                refusals.UNKNOWN,
                REASON,
                retry_after_seconds=refusals.RETRY_AFTER_SECONDS,
                headers=[],
            )
        if on_closed is not None:
            self._guard.run("request", on_closed)


__all__ = [
    "GuardedApplication",
]

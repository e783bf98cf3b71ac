"""A plain service stand-in that counts its runs per idempotency key."""

from __future__ import annotations

import collections

import click
import msgspec

from boragefold.standins import process
from boragefold.timing import timers as timing
from boragefold.transport import http_server

STATUS_OK = 200
JSON_HEADERS = [("Content-Type", "application/json")]


class ServiceFace:
    """Runs every call it gets, as often as it gets it, and counts."""

    def __init__(
        self,
        *,
        timers: timing.TimerService,
        answer_seconds: float,
        answer_bytes: int = 0,
    ) -> None:
        self._timers = timers
        self.answer_seconds = answer_seconds
        self._filler = "x" * answer_bytes
        self.silent = False
        self.keys_seen = 0
        self.runs: collections.Counter[str] = collections.Counter()

    def __call__(
        self, request: http_server.Request, exchange: http_server.Exchange
    ) -> None:
        """Run one call.

        :param request: the call
        :param exchange: where the answer goes
        """
        if request.path == "/control/runs":
            body = msgspec.json.encode(
                {"runs": self.runs, "keys_seen": self.keys_seen}
            )
            exchange.reply(STATUS_OK, JSON_HEADERS, body)
            return
        if "authorization" in request.headers:
            self.keys_seen += 1
        key = request.headers.get("idempotency-key", "")
        self.runs[key] += 1
        if self.silent:
            return
        reply = {
            "path": request.path,
            "run": self.runs[key],
            **({"filler": self._filler} if self._filler else {}),
        }
        self._timers.once(
            delay_seconds=self.answer_seconds,
            callback=lambda: exchange.reply(
                STATUS_OK, JSON_HEADERS, msgspec.json.encode(reply)
            ),
        )


@click.command()
@click.option("--listen", required=True, help="IP number and port.")
@click.option("--answer-seconds", default=0.01, show_default=True)
@click.option("--answer-bytes", default=0, help="What answers hold beside.")
def main(listen: str, answer_seconds: float, answer_bytes: int) -> None:
    """Run one plain service stand-in."""
    process.run(
        listen,
        lambda timers: ServiceFace(
            timers=timers,
            answer_seconds=answer_seconds,
            answer_bytes=answer_bytes,
        ),
    )


if __name__ == "__main__":
    main()

__all__ = [
    "ServiceFace",
    "main",
]

"""The HTTP face of the engine stand-in, and its process."""

from __future__ import annotations

from typing import Any

import click
import msgspec

from boragefold.standins import engine_model
from boragefold.standins import process
from boragefold.transport import http_server

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_UNAVAILABLE = 503
JSON_HEADERS = [("Content-Type", "application/json")]


class ExchangeSink(engine_model.TokenSink):
    """Writes the tokens of one stream as server-sent events."""

    def __init__(
        self,
        *,
        exchange: http_server.Exchange,
        held: engine_model.Held,
        prompt_tokens: int,
    ) -> None:
        self._exchange = exchange
        self._held = held
        self._prompt_tokens = prompt_tokens

    def token(self, index: int, text: str) -> None:
        """Send one token.

        :param index: its place
        :param text: the token
        """
        self._event(
            {
                "index": index,
                "adapter": self._held.adapter,
                "version": self._held.version,
                "choices": [{"delta": {"content": text}}],
            }
        )

    def done(self, generated_tokens: int) -> None:
        """Send the usage and the terminator.

        :param generated_tokens: how many there were
        """
        usage = {
            "prompt_tokens": self._prompt_tokens,
            "completion_tokens": generated_tokens,
        }
        self._event({"usage": usage, "choices": []})
        self._exchange.send(b"data: [DONE]\n\n")
        self._exchange.finish()

    def cut(self) -> None:
        """Break the connection off."""
        self._exchange.abort()

    def _event(self, event: dict[str, Any]) -> None:
        self._exchange.send(b"data: " + msgspec.json.encode(event) + b"\n\n")


class EngineFace:
    """Serves one engine over HTTP."""

    def __init__(self, *, engine: engine_model.Engine) -> None:
        self._engine = engine
        self.keys_seen = 0

    def __call__(
        self, request: http_server.Request, exchange: http_server.Exchange
    ) -> None:
        """Answer one request.

        :param request: the request
        :param exchange: where the answer goes
        """
        if "authorization" in request.headers:
            self.keys_seen += 1
        engine = self._engine
        if engine.faults.refuse:
            exchange.reply(STATUS_UNAVAILABLE, JSON_HEADERS, b"{}")
        elif request.path == "/control/faults":
            self._set_faults(msgspec.json.decode(request.body))
            exchange.reply(STATUS_OK, JSON_HEADERS, b"{}")
        elif engine.faults.silent:
            return
        elif request.path == "/v1/chat/completions":
            self._complete(msgspec.json.decode(request.body), exchange)
        elif request.path == "/v1/load":
            self._report(exchange)
        elif request.path == "/v1/orders":
            self._order(msgspec.json.decode(request.body), exchange)
        else:
            exchange.reply(STATUS_NOT_FOUND, JSON_HEADERS, b"{}")

    def _complete(
        self, body: dict[str, Any], exchange: http_server.Exchange
    ) -> None:
        engine = self._engine
        held = engine_model.Held(body["adapter"], body["version"])
        prompt_tokens = sum(
            len(message["content"].split()) for message in body["messages"]
        )
        stream = engine_model.Stream(
            held=held,
            next_token=body.get("resume_from_token", 0),
            max_tokens=body["max_tokens"],
            sink=ExchangeSink(
                exchange=exchange, held=held, prompt_tokens=prompt_tokens
            ),
        )
        exchange.on_closed = lambda: engine.cancel(stream)
        if held.adapter and held not in engine.resident:
            reply = {"reason": "adapter_not_resident"}
            exchange.reply(
                STATUS_CONFLICT, JSON_HEADERS, msgspec.json.encode(reply)
            )
            return
        exchange.start(
            STATUS_OK,
            [
                ("Content-Type", "text/event-stream"),
                ("Engine-Incarnation", engine.incarnation),
                ("Engine-Adapter", held.adapter),
                ("Engine-Version", held.version),
            ],
        )
        engine.submit(stream)

    def _report(self, exchange: http_server.Exchange) -> None:
        engine = self._engine
        report = {
            "incarnation": engine.incarnation,
            "running": len(engine.running),
            "waiting": len(engine.waiting),
            "resident": [
                (*held, engine.in_use(held))
                for held in sorted(engine.resident)
            ],
            "loading": sorted(engine.loading),
            "fencing": engine.fencing,
            "served": sum(engine.served.values()),
            "evicted_in_use": engine.evicted_in_use,
            "keys_seen": self.keys_seen,
        }
        exchange.reply(STATUS_OK, JSON_HEADERS, msgspec.json.encode(report))

    def _order(
        self, body: dict[str, Any], exchange: http_server.Exchange
    ) -> None:
        held = engine_model.Held(body["adapter"], body["version"])
        fencing = body.get("fencing") or 0
        if body["kind"] == "evict":
            self._order_done(self._engine.evict(held, fencing), exchange)
            return
        self._engine.load(
            held,
            None,
            fencing,
            lambda result: self._order_done(result, exchange),
        )

    def _order_done(
        self,
        result: engine_model.OrderResult,
        exchange: http_server.Exchange,
    ) -> None:
        reply = {
            "reason": result.reason,
            "fencing": result.fencing,
            "incarnation": self._engine.incarnation,
        }
        status = STATUS_OK if result.done else STATUS_CONFLICT
        exchange.reply(status, JSON_HEADERS, msgspec.json.encode(reply))

    def _set_faults(self, body: dict[str, Any]) -> None:
        if body.pop("restart", False):
            self._engine.restart()
        self._engine.faults = engine_model.Faults(**body)


@click.command()
@click.option("--listen", required=True, help="IP number and port.")
@click.option("--model", required=True, help="The base model it runs.")
@click.option("--slots", default=8, show_default=True)
@click.option("--batch-size", default=16, show_default=True)
@click.option("--checks-fencing/--ignores-fencing", default=True)
@click.option(
    "--token-seconds", default=engine_model.TOKEN_SECONDS, show_default=True
)
def main(
    listen: str,
    model: str,
    slots: int,
    batch_size: int,
    checks_fencing: bool,
    token_seconds: float,
) -> None:
    """Run one engine stand-in."""
    process.run(
        listen,
        lambda timers: EngineFace(
            engine=engine_model.Engine(
                timers=timers,
                model=model,
                slots=slots,
                batch_size=batch_size,
                checks_fencing=checks_fencing,
                token_seconds=token_seconds,
            )
        ),
    )


if __name__ == "__main__":
    main()

__all__ = [
    "EngineFace",
    "main",
]

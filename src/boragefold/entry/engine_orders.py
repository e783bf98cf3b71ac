"""Sending load and evict orders to engines over HTTP."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

import msgspec

from boragefold.entry import answers
from boragefold.policy import work as works
from boragefold.telemetry import counters as telemetry
from boragefold.transport import http_client
from boragefold.transport import whole_answer

STATUS_OK = 200
# A load takes a quarter of a second while the store isn't overloaded, and
# proportionally longer beyond; ten seconds is an order that is lost.
ORDER_SECONDS = 10.0


class OrderAnswer(msgspec.Struct):
    """What an engine answers on ``POST /v1/orders``."""

    reason: str
    fencing: int
    incarnation: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class OrderDone:
    """The engine carried the order out."""

    fencing: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class OrderRefused:
    """The engine did not carry the order out.

    ``reason`` is the engine's word, or that of a failed connection.
    ``fencing`` is the highest token the engine has seen, zero if unknown.
    """

    reason: str
    fencing: int = 0


Result = OrderDone | OrderRefused


class EngineOrders:
    """Writes orders and reads what became of them."""

    def __init__(
        self, *, client: http_client.HttpClient, counters: telemetry.Counters
    ) -> None:
        self._client = client
        self._counters = counters

    def load(
        self,
        *,
        address: str,
        adapter: works.AdapterVersion,
        evict: works.AdapterVersion | None,
        fencing: int,
        done: Callable[[Result], None],
    ) -> None:
        """Order an engine to load an adapter.

        :param address: where the engine listens
        :param adapter: what to load
        :param evict: what to give up for it
        :param fencing: rises with every order to this engine
        :param done: called once with the result
        """
        order = {
            "kind": "load",
            "adapter": adapter.adapter,
            "version": adapter.version,
            "evict": evict and [evict.adapter, evict.version],
            "fencing": fencing,
        }
        call = http_client.Call(
            address=address,
            method="POST",
            target="/v1/orders",
            headers=[answers.JSON],
            body=msgspec.json.encode(order),
            # An order on a connection that is silently dead would be counted
            # as given; a new one either connects or fails at once.
            fresh=True,
            progress_seconds=ORDER_SECONDS,
        )

        def ended(
            answer: whole_answer.WholeAnswer | http_client.Failure,
        ) -> None:
            result = _read(answer)
            if isinstance(result, OrderRefused):
                self._counters.add("orders_refused", result.reason)
            done(result)

        self._client.send(call, whole_answer.WholeAnswerSink(done=ended))


def _read(
    answer: whole_answer.WholeAnswer | http_client.Failure,
) -> Result:
    if isinstance(answer, http_client.Failure):
        return OrderRefused(reason=answer.reason)
    try:
        said = _DECODER.decode(answer.body)
    except msgspec.MsgspecError:
        return OrderRefused(reason="malformed_answer")
    if answer.status != STATUS_OK:
        return OrderRefused(reason=said.reason, fencing=said.fencing)
    return OrderDone(fencing=said.fencing)


_DECODER = msgspec.json.Decoder(OrderAnswer)

__all__ = [
    "EngineOrders",
    "OrderDone",
    "OrderRefused",
    "Result",
]

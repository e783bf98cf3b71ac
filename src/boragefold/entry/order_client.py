"""Sends orders to engines over HTTP."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from boragefold.coordination.orders import sender as sending
from boragefold.entry import answers
from boragefold.protocol import decoding
from boragefold.transport import http_client
from boragefold.transport import whole_answer

STATUS_OK = 200
OLD_FENCING = "old_fencing"
# The response counts as lost after this time.
RESPONSE_TIMEOUT_SECONDS = 10.0


class OrderAnswer(msgspec.Struct):
    """An engine's response to ``POST /v1/orders``."""

    reason: str
    fencing: int


class HttpOrderSender(sending.OrderSender):
    """Sends each order on a connection of its own, and parses the outcome."""

    def __init__(
        self,
        *,
        client: http_client.HttpClient,
        address_of: Callable[[str], str | None],
    ) -> None:
        self._client = client
        self._address_of = address_of

    def send(
        self,
        order: sending.Order,
        *,
        may_send: Callable[[], bool],
        on_outcome: Callable[[sending.Outcome], None],
    ) -> None:
        """Send an order on a new connection.

        :param order: the order
        :param may_send: checked right before the request is written
        :param on_outcome: called once with the outcome
        """
        address = self._address_of(order.endpoint)
        if address is None or order.adapter is None:
            on_outcome(sending.Failed(reason="unlisted"))
            return
        body = {
            "kind": order.kind,
            "adapter": order.adapter.adapter,
            "version": order.adapter.version,
            "fencing": order.fencing,
        }
        call = http_client.Call(
            address=address,
            method="POST",
            target="/v1/orders",
            headers=[answers.JSON],
            body=msgspec.json.encode(body),
            fresh=True,
            progress_seconds=RESPONSE_TIMEOUT_SECONDS,
            may_send=may_send,
        )
        sink = whole_answer.WholeAnswerSink(
            done=lambda answer: on_outcome(_parse_outcome(answer))
        )
        self._client.send(call, sink)


def _parse_outcome(
    answer: whole_answer.WholeAnswer | http_client.Failure,
) -> sending.Outcome:
    if isinstance(answer, http_client.Failure):
        if answer.may_have_arrived:
            return sending.NoAnswer(reason=answer.reason)
        return sending.Failed(reason=answer.reason)
    try:
        response = _DECODER.decode(answer.body)
    except decoding.ERRORS:
        return sending.NoAnswer(reason="malformed_answer")
    if answer.status == STATUS_OK:
        return sending.Done()
    if response.reason == OLD_FENCING:
        return sending.Outdated(highest=response.fencing)
    return sending.Failed(reason=response.reason)


_DECODER = msgspec.json.Decoder(OrderAnswer)

__all__ = [
    "HttpOrderSender",
]

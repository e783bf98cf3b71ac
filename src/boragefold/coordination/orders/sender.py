"""Orders to endpoints, their outcomes, and the transport interface."""

from __future__ import annotations

import abc
from collections.abc import Callable
import dataclasses
from typing import Literal

from boragefold.policy import work


@dataclasses.dataclass(frozen=True, kw_only=True)
class Order:
    """An order; ``fencing`` increases if the endpoint checks it."""

    endpoint: str
    kind: Literal["load", "evict", "role"]
    adapter: work.AdapterVersion | None = None
    role: str | None = None
    fencing: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Done:
    """The endpoint carried out the order."""

    tag: str = "done"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Failed:
    """The endpoint replied that it could not carry out the order."""

    reason: str
    remedy: str = "see the endpoint's log; the order is not retried"
    tag: str = "failed"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outdated:
    """The endpoint has seen a higher fencing number."""

    highest: int
    tag: str = "outdated"


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoAnswer:
    """It is unknown whether the order was carried out."""

    reason: str
    remedy: str = "wait for the endpoint's next report"
    tag: str = "no_answer"


Outcome = Done | Failed | Outdated | NoAnswer


@dataclasses.dataclass(frozen=True, kw_only=True)
class Accepted:
    """The order will be sent once it is safe."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """The order will not be sent."""

    reason: str
    remedy: str = "ask the current holder, or retry after the next report"


class OrderSender(abc.ABC):
    """Sends orders to endpoints."""

    @abc.abstractmethod
    def send(
        self,
        order: Order,
        *,
        may_send: Callable[[], bool],
        on_outcome: Callable[[Outcome], None],
    ) -> None:
        """Send an order on a new connection.

        Call ``may_send`` immediately before writing, after the connection is
        established, and write nothing if it returns False. Close the
        connection if the order is not written within
        ``timeouts.ORDER_TIMEOUT_SECONDS`` of the call.

        :param order: order to send
        :param may_send: returns whether the order may still be sent
        :param on_outcome: called once with the outcome
        """


__all__ = [
    "Accepted",
    "Done",
    "Failed",
    "NoAnswer",
    "Order",
    "OrderSender",
    "Outcome",
    "Outdated",
    "Refused",
]

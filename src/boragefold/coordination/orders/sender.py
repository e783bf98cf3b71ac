"""Orders, and what the transport has to do with them."""

from __future__ import annotations

import abc
from collections.abc import Callable
import dataclasses
from typing import Literal

from boragefold.policy import work


@dataclasses.dataclass(frozen=True, kw_only=True)
class Order:
    """One order to one endpoint; ``fencing`` rises, where it is checked."""

    endpoint: str
    kind: Literal["load", "evict", "role"]
    adapter: work.AdapterVersion | None = None
    role: str | None = None
    fencing: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Done:
    """The endpoint carried the order out."""

    tag: str = "done"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Failed:
    """The endpoint answered that it could not."""

    reason: str
    remedy: str = "see the endpoint's log; the order is not repeated"
    tag: str = "failed"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outdated:
    """The endpoint has seen a higher fencing number."""

    highest: int
    tag: str = "outdated"


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoAnswer:
    """Nobody can tell whether the order was carried out."""

    reason: str
    remedy: str = "wait for the endpoint's next report"
    tag: str = "no_answer"


Outcome = Done | Failed | Outdated | NoAnswer


@dataclasses.dataclass(frozen=True, kw_only=True)
class Accepted:
    """The order will be sent when it is safe."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """The order will not be sent."""

    reason: str
    remedy: str = "ask the present holder, or again after the next report"


class OrderSender(abc.ABC):
    """Carries orders to endpoints."""

    @abc.abstractmethod
    def send(
        self,
        order: Order,
        *,
        still_ours: Callable[[], bool],
        finished: Callable[[Outcome], None],
    ) -> None:
        """Send an order on a fresh connection.

        Ask ``still_ours`` right before the bytes are written, after any
        connecting, and write nothing when it says no. Close the connection
        when the bytes are not written ``times.ORDER_SECONDS`` after the call.

        :param order: the order
        :param still_ours: whether it may still be sent
        :param finished: called once with the outcome
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

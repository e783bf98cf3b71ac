"""Whether a request fits its workspace's rate now, soon or not.

Load pattern: a workspace sends in bursts, and now and then several times its
rate. Without this, requests over the rate queue in front of everyone else's,
or are refused although the tokens they need are a few milliseconds away.
"""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

from boragefold.policy import refusal
from boragefold.policy import stock as stocks
from boragefold.policy import work as works
from boragefold.telemetry import counters as telemetry


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admitted:
    """The tokens are reserved; settle the reservation when it ends."""

    reservation: stocks.Reservation
    tag: str = "admitted"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Waiting:
    """The request waits for tokens; it is decided by ``until_seconds``."""

    until_seconds: float
    tag: str = "waiting"


class Decided(NamedTuple):
    """A request that waited, and what became of it."""

    work: works.Work
    outcome: Admitted | refusal.Refused


class Admission:
    """Reserves tokens, first come first served within a workspace."""

    def __init__(
        self, *, stock: stocks.Stock, counters: telemetry.Counters
    ) -> None:
        self._stock = stock
        self._counters = counters

    def offer(
        self, work: works.Work, *, now_seconds: float
    ) -> Admitted | Waiting | refusal.Refused:
        """Decide about a request that has just arrived.

        :param work: the request
        :param now_seconds: reading of the process clock
        :return: admitted with its reservation, waiting, or refused
        """
        raise NotImplementedError

    def advance(
        self, *, now_seconds: float, workspace: str | None = None
    ) -> list[Decided]:
        """Decide about those that wait; call it at :meth:`next_due_seconds`.

        Call it also with the workspace that the stock's subscription names.

        :param now_seconds: reading of the process clock
        :param workspace: the only one whose tokens may have changed, or None
        :return: those that wait no longer
        """
        raise NotImplementedError

    def next_due_seconds(self) -> float | None:
        """Tell when :meth:`advance` has something to do, at the latest.

        :return: reading of the process clock, or None when nobody waits
        """
        raise NotImplementedError

    def withdraw(self, request_id: str) -> works.Work | None:
        """Forget a waiting request whose caller has gone.

        :param request_id: the request
        :return: the request, or None if it doesn't wait here
        """
        raise NotImplementedError


__all__ = [
    "Admission",
    "Admitted",
    "Decided",
    "Waiting",
]

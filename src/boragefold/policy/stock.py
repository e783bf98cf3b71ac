"""What admission needs of the fleet-wide rate."""

from __future__ import annotations

import abc
from collections.abc import Callable
import dataclasses


@dataclasses.dataclass(kw_only=True)
class Reservation:
    """Tokens set aside for one request; settled exactly once."""

    workspace: str
    tokens: float
    settled: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Shortfall:
    """There are too few tokens now.

    ``ready_in_seconds`` estimates when there will be enough; None means that
    the request is larger than the workspace's burst and will never fit.
    ``no_holder`` tells that nobody can be asked for tokens now, which says
    nothing about the workspace's rate.
    """

    ready_in_seconds: float | None
    no_holder: bool = False


class Stock(abc.ABC):
    """The tokens of each workspace that this instance may spend now."""

    @abc.abstractmethod
    def reserve(
        self, *, workspace: str, tokens: float
    ) -> Reservation | Shortfall:
        """Set tokens aside, or say why not and when to come back.

        A shortfall also asks the holder of the workspace's rate for more.

        :param workspace: whose rate is charged
        :param tokens: prompt tokens plus the most that may be generated
        :return: a reservation, or the shortfall
        """

    @abc.abstractmethod
    def settle(self, reservation: Reservation, *, used_tokens: float) -> None:
        """Give back what a finished, failed or abandoned request left over.

        A second settlement of the same reservation changes nothing.

        :param reservation: from :meth:`reserve`
        :param used_tokens: prompt and generated tokens really spent
        """

    @abc.abstractmethod
    def subscribe(self, callback: Callable[[str], None]) -> None:
        """Be told when a workspace has got more tokens.

        :param callback: called with the workspace
        """


__all__ = [
    "Reservation",
    "Shortfall",
    "Stock",
]

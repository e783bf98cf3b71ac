"""Interface to the tokens that admission may spend."""

from __future__ import annotations

import abc
from collections.abc import Callable
import dataclasses


@dataclasses.dataclass(kw_only=True)
class Reservation:
    """Tokens reserved for one request; settled exactly once."""

    workspace: str
    tokens: float
    settled: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Shortfall:
    """The result of a reservation for which there are too few tokens.

    ``ready_in_seconds`` estimates when there will be enough; None means that
    the request exceeds the workspace's burst size and can never be admitted.
    ``no_holder`` is set when the instance that holds the workspace's rate is
    unknown or unreachable, which says nothing about the rate itself.
    """

    ready_in_seconds: float | None
    no_holder: bool = False


class TokenBalance(abc.ABC):
    """The tokens of each workspace that this instance may spend now."""

    @abc.abstractmethod
    def reserve(
        self, *, workspace: str, tokens: float
    ) -> Reservation | Shortfall:
        """Reserve tokens for a request if there are enough.

        A shortfall also requests more tokens from the instance that holds
        the workspace's rate.

        :param workspace: the workspace whose rate is charged
        :param tokens: prompt tokens plus the maximum of generated tokens
        :return: a reservation, or the shortfall
        """

    @abc.abstractmethod
    def settle(self, reservation: Reservation, *, used_tokens: float) -> None:
        """Return the unused tokens of a finished, failed or cancelled request.

        A second settlement of the same reservation has no effect.

        :param reservation: from :meth:`reserve`
        :param used_tokens: prompt and generated tokens actually used
        """

    @abc.abstractmethod
    def subscribe(self, callback: Callable[[str], None]) -> None:
        """Register a callback for the arrival of more tokens.

        :param callback: called with the workspace that received tokens
        """


__all__ = [
    "Reservation",
    "Shortfall",
    "TokenBalance",
]

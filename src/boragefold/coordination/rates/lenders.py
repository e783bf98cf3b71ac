"""Tokens of one workspace borrowed from holders in other data centres."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import itertools
import math
from typing import NamedTuple

import xxhash

from boragefold.coordination.rates import grant_pool as grant_pools
from boragefold.coordination.rates import grants
from boragefold.coordination.rates import limits
from boragefold.protocol import rate_messages

# Borrowed tokens must still be valid when a grant of them arrives.
MIN_VALID_SECONDS = 0.3

# The delay grows with the number of lenders to spread the requests to them.
ASK_INTERVAL_SECONDS = 0.1
ASK_INTERVAL_PER_LENDER_SECONDS = 0.02

# After this many unanswered requests a lender is asked at the longer interval.
UNREACHABLE_AFTER = 2
UNREACHABLE_INTERVAL_SECONDS = 4.0


class Loan(NamedTuple):
    """Tokens charged to the grants of one lender."""

    data_centre: str
    charge: grants.Charge
    tokens: float


class Lenders:
    """Tokens borrowed from other data centres, and requests for more."""

    def __init__(
        self,
        *,
        workspace: str,
        now_seconds: Callable[[], float],
        send: Callable[[str, rate_messages.TokensAsked], None],
        numbers: itertools.count[int],
    ) -> None:
        """Start without borrowed tokens.

        :param workspace: workspace of the tokens
        :param now_seconds: clock
        :param send: sends a request to the holder in a data centre
        :param numbers: source of unique request numbers
        """
        self._workspace = workspace
        self._now_seconds = now_seconds
        self._send = send
        self._numbers = numbers
        self._grant_pools: dict[str, grant_pools.GrantPool] = {}
        self._next_ask_at_seconds: dict[str, float] = {}

    def available_tokens(self) -> float:
        """Count the borrowed tokens that can be granted on.

        :return: tokens
        """
        return sum(
            grant_pool.available_tokens(min_valid_seconds=MIN_VALID_SECONDS)
            for grant_pool in self._grant_pools.values()
        )

    def in_flight(self) -> bool:
        """Return whether a request to a responsive lender is pending.

        :return: whether a response can be expected
        """
        return any(
            grant_pool.in_flight and grant_pool.unanswered < UNREACHABLE_AFTER
            for grant_pool in self._grant_pools.values()
        )

    def responsive_rate(self, parts: dict[str, limits.Limit]) -> float:
        """Sum the rates of the lenders that answer requests.

        :param parts: part of the limit by lender
        :return: tokens per second; lenders that were never asked add nothing
        """
        return sum(
            (
                part.rate_tokens_per_second
                for name, part in parts.items()
                if name in self._grant_pools
                and self._grant_pools[name].unanswered < UNREACHABLE_AFTER
            ),
            start=0.0,
        )

    def request_tokens(
        self,
        parts: dict[str, limits.Limit],
        *,
        short_tokens: float,
        ahead_tokens: float,
    ) -> None:
        """Request tokens from as many lenders as needed, largest level first.

        :param parts: part of the limit by lender
        :param short_tokens: missing tokens
        :param ahead_tokens: additional tokens that will be needed soon
        """
        now_seconds = self._now_seconds()
        available = sorted(
            (
                (self._estimate_tokens(name, part), name)
                for name, part in parts.items()
                if now_seconds >= self._next_ask_at_seconds.get(name, 0.0)
                and not self._grant_pool(name).in_flight
            ),
            key=lambda pair: (-pair[0], self._tie_break(pair[1])),
        )
        wait_seconds = (
            ASK_INTERVAL_SECONDS + ASK_INTERVAL_PER_LENDER_SECONDS * len(parts)
        )
        for estimate_tokens, name in available:
            if short_tokens <= limits.EPSILON_TOKENS:
                return
            grant_pool = self._grant_pool(name)
            unreachable = grant_pool.unanswered >= UNREACHABLE_AFTER
            self._next_ask_at_seconds[name] = now_seconds + (
                UNREACHABLE_INTERVAL_SECONDS if unreachable else wait_seconds
            )
            grant_pool.request_tokens(
                needed_tokens=min(short_tokens, parts[name].burst_tokens),
                ahead_tokens=ahead_tokens,
            )
            if not unreachable:
                short_tokens -= estimate_tokens

    def next_ask_seconds(self) -> float:
        """Return when the next lender can be asked again.

        :return: time by the clock; infinite if no lender is delayed
        """
        now_seconds = self._now_seconds()
        times = self._next_ask_at_seconds.values()
        return min((at for at in times if at > now_seconds), default=math.inf)

    def charge(self, tokens: float) -> list[Loan]:
        """Charge borrowed tokens.

        :param tokens: at most :meth:`available_tokens`
        :return: the charged tokens by lender
        """
        loans = []
        for name, grant_pool in self._grant_pools.items():
            available_tokens = grant_pool.available_tokens(
                min_valid_seconds=MIN_VALID_SECONDS
            )
            part = min(tokens, available_tokens)
            if part <= 0:
                continue
            charge = grant_pool.charge(
                part, min_valid_seconds=MIN_VALID_SECONDS, regranted=True
            )
            loans.append(Loan(name, charge, part))
            tokens -= part
        return loans

    def remaining_seconds(self, loans: list[Loan]) -> float:
        """Return how long loans remain valid.

        :param loans: result of :meth:`charge`
        :return: seconds, at most the validity of a grant
        """
        return min(
            (
                self._grant_pools[loan.data_centre].remaining_seconds(
                    loan.charge
                )
                for loan in loans
            ),
            default=limits.GRANT_VALID_SECONDS,
        )

    def settle(self, loan: Loan, *, used_tokens: float) -> None:
        """Return the unused tokens of a loan.

        :param loan: result of :meth:`charge`
        :param used_tokens: tokens that were used
        """
        self._grant_pools[loan.data_centre].settle(
            loan.charge, used_tokens=used_tokens
        )

    def finalize(self, loan: Loan, *, kept_tokens: float) -> None:
        """Record that the receiver of a loan charges no more of it.

        :param loan: result of :meth:`charge`
        :param kept_tokens: tokens that were charged
        """
        self._grant_pools[loan.data_centre].finalize(
            loan.charge, kept_tokens=kept_tokens
        )

    def receive(
        self, data_centre: str, given: rate_messages.TokensGiven
    ) -> None:
        """Process a lender's response.

        :param data_centre: data centre of the lender
        :param given: the response
        """
        self._grant_pool(data_centre).receive(given)

    def tick(self) -> None:
        """Close expired grants."""
        for grant_pool in self._grant_pools.values():
            grant_pool.tick()

    def items(self) -> Iterable[tuple[str, grant_pools.GrantPool]]:
        """List the borrowed tokens.

        :return: grant pools by the lender's data centre
        """
        return self._grant_pools.items()

    def _estimate_tokens(self, name: str, part: limits.Limit) -> float:
        """Estimate a lender's level from its last grant and its refill."""
        grant_pool = self._grant_pool(name)
        if grant_pool.granted_at_seconds is None:
            return part.burst_tokens
        elapsed_seconds = self._now_seconds() - grant_pool.granted_at_seconds
        refill_tokens = elapsed_seconds * part.rate_tokens_per_second
        return min(
            part.burst_tokens, grant_pool.last_granted_tokens + refill_tokens
        )

    def _tie_break(self, name: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{self._workspace}\0{name}".encode())

    def _grant_pool(self, data_centre: str) -> grant_pools.GrantPool:
        if data_centre not in self._grant_pools:
            self._grant_pools[data_centre] = grant_pools.GrantPool(
                workspace=self._workspace,
                now_seconds=self._now_seconds,
                send=lambda asked: self._send(data_centre, asked),
                numbers=self._numbers,
            )
        return self._grant_pools[data_centre]


__all__ = [
    "Lenders",
    "Loan",
    "MIN_VALID_SECONDS",
]

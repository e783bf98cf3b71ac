"""Loans: tokens of one workspace from its holders in other data centres."""

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

# So that a grant survives the way to the instance.
LEAST_LIFE_SECONDS = 0.3

# Multiplied by the number of lenders, so that not all are asked at once.
AGAIN_SECONDS = 0.1
AGAIN_PER_LENDER_SECONDS = 0.02

# From then on a lender is asked only now and then.
UNREACHABLE_AFTER = 2
UNREACHABLE_SECONDS = 4.0


class Loan(NamedTuple):
    """Tokens charged to the grants of one lender."""

    data_centre: str
    draft: grants.Draft
    tokens: float


class Lenders:
    """What the other data centres lent us, and when to ask for more."""

    def __init__(
        self,
        *,
        workspace: str,
        now_seconds: Callable[[], float],
        send: Callable[[str, rate_messages.TokensAsked], None],
        numbers: itertools.count[int],
    ) -> None:
        """Start with nothing borrowed.

        :param workspace: whose tokens
        :param now_seconds: the clock
        :param send: sends a request to a data centre's holder
        :param numbers: the numbers of requests, never used twice
        """
        self._workspace = workspace
        self._now_seconds = now_seconds
        self._send = send
        self._numbers = numbers
        self._grant_pools: dict[str, grant_pools.GrantPool] = {}
        self._again_at_seconds: dict[str, float] = {}

    def left_tokens(self) -> float:
        """Count what is borrowed and may be granted on.

        :return: tokens
        """
        return sum(
            grant_pool.left_tokens(life_seconds=LEAST_LIFE_SECONDS)
            for grant_pool in self._grant_pools.values()
        )

    def in_flight(self) -> bool:
        """Tell whether a lender that answers has been asked.

        :return: whether an answer is to be expected
        """
        return any(
            grant_pool.in_flight and grant_pool.unanswered < UNREACHABLE_AFTER
            for grant_pool in self._grant_pools.values()
        )

    def rate(self, parts: dict[str, limits.Limit]) -> float:
        """Sum the rates of the lenders that answered of late.

        :param parts: the lenders and their parts of the rate
        :return: tokens per second; a lender never asked counts for nothing
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

    def ask(
        self,
        parts: dict[str, limits.Limit],
        *,
        short_tokens: float,
        ahead_tokens: float,
    ) -> None:
        """Ask as many lenders as it takes, those that have most first.

        :param parts: the lenders and their parts of the rate
        :param short_tokens: how much is missing
        :param ahead_tokens: how much more will be needed soon
        """
        now_seconds = self._now_seconds()
        able = sorted(
            (
                (self._estimate_tokens(name, part), name)
                for name, part in parts.items()
                if now_seconds >= self._again_at_seconds.get(name, 0.0)
                and not self._grant_pool(name).in_flight
            ),
            key=lambda pair: (-pair[0], self._preference(pair[1])),
        )
        wait_seconds = AGAIN_SECONDS + AGAIN_PER_LENDER_SECONDS * len(parts)
        for estimate_tokens, name in able:
            if short_tokens <= limits.TINY_TOKENS:
                return
            grant_pool = self._grant_pool(name)
            lost = grant_pool.unanswered >= UNREACHABLE_AFTER
            self._again_at_seconds[name] = now_seconds + (
                UNREACHABLE_SECONDS if lost else wait_seconds
            )
            grant_pool.ask(
                needed_tokens=min(short_tokens, parts[name].burst_tokens),
                ahead_tokens=ahead_tokens,
            )
            if not lost:
                short_tokens -= estimate_tokens

    def next_ask_seconds(self) -> float:
        """Tell when the next lender may be asked again.

        :return: a reading of the clock; infinite when none has to wait
        """
        now_seconds = self._now_seconds()
        times = self._again_at_seconds.values()
        return min((at for at in times if at > now_seconds), default=math.inf)

    def take(self, tokens: float) -> list[Loan]:
        """Charge borrowed tokens.

        :param tokens: at most :meth:`left_tokens`
        :return: what was charged, by lender
        """
        loans = []
        for name, grant_pool in self._grant_pools.items():
            left_tokens = grant_pool.left_tokens(
                life_seconds=LEAST_LIFE_SECONDS
            )
            part = min(tokens, left_tokens)
            if part <= 0:
                continue
            draft = grant_pool.take(
                part, life_seconds=LEAST_LIFE_SECONDS, loose=True
            )
            loans.append(Loan(name, draft, part))
            tokens -= part
        return loans

    def life_seconds(self, loans: list[Loan]) -> float:
        """Tell how long loans may still be charged.

        :param loans: from :meth:`take`
        :return: seconds, no longer than a grant's life
        """
        return min(
            (
                self._grant_pools[loan.data_centre].life_seconds(loan.draft)
                for loan in loans
            ),
            default=limits.GRANT_SECONDS,
        )

    def settle(self, loan: Loan, *, used_tokens: float) -> None:
        """Give back what was not used of a loan.

        :param loan: from :meth:`take`
        :param used_tokens: what was used
        """
        self._grant_pools[loan.data_centre].settle(
            loan.draft, used_tokens=used_tokens
        )

    def pin(self, loan: Loan, *, kept_tokens: float) -> None:
        """Note that nobody can charge a loan any more.

        :param loan: from :meth:`take`
        :param kept_tokens: what was charged of it
        """
        self._grant_pools[loan.data_centre].pin(
            loan.draft, kept_tokens=kept_tokens
        )

    def answer(
        self, data_centre: str, given: rate_messages.TokensGiven
    ) -> None:
        """Take in a lender's answer.

        :param data_centre: the lender's
        :param given: its answer
        """
        self._grant_pool(data_centre).answer(given)

    def tick(self) -> None:
        """Close what has ended."""
        for grant_pool in self._grant_pools.values():
            grant_pool.tick()

    def items(self) -> Iterable[tuple[str, grant_pools.GrantPool]]:
        """Go through what was borrowed.

        :return: pools of grants by the lender's data centre
        """
        return self._grant_pools.items()

    def _estimate_tokens(self, name: str, part: limits.Limit) -> float:
        """Guess a lender's level from its last answer and its refill."""
        grant_pool = self._grant_pool(name)
        if grant_pool.given_at_seconds is None:
            return part.burst_tokens
        elapsed_seconds = self._now_seconds() - grant_pool.given_at_seconds
        refill_tokens = elapsed_seconds * part.rate_tokens_per_second
        return min(part.burst_tokens, grant_pool.given_tokens + refill_tokens)

    def _preference(self, name: str) -> int:
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
    "LEAST_LIFE_SECONDS",
    "Lenders",
    "Loan",
]

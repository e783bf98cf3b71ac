"""Grants that were made of loans, until they are settled."""

from __future__ import annotations

import dataclasses

from boragefold.coordination.rates import lenders as lending
from boragefold.coordination.rates import limits
from boragefold.protocol import ids
from boragefold.protocol import rate_messages


@dataclasses.dataclass(kw_only=True)
class _Part:
    """The loans in one grant."""

    loans: list[lending.Loan]
    given_at_seconds: float


class LentOn:
    """Passes on to the lenders what becomes of their tokens."""

    def __init__(self, *, lenders: lending.Lenders) -> None:
        """Start with nothing lent on.

        :param lenders: where the loans come from
        """
        self._lenders = lenders
        self._parts: dict[tuple[ids.InstanceId, int], _Part] = {}

    def add(
        self,
        asker: ids.InstanceId,
        number: int,
        *,
        loans: list[lending.Loan],
        now_seconds: float,
    ) -> None:
        """Remember the loans in a grant.

        :param asker: who got it
        :param number: the number of its request
        :param loans: may be none
        :param now_seconds: the clock
        """
        if loans:
            self._parts[asker, number] = _Part(
                loans=loans, given_at_seconds=now_seconds
            )

    def report(
        self, asker: ids.InstanceId, usage: rate_messages.Usage
    ) -> float:
        """Share a report between the loans and our own tokens.

        Loans count as charged first, so that what comes back is ours.

        :param asker: who reported
        :param usage: its report
        :return: what is left for our own tokens
        """
        key = (asker, usage.number)
        charged_tokens = usage.charged_tokens
        part = self._parts.get(key)
        for loan in part.loans if part else ():
            tokens = min(loan.tokens, charged_tokens)
            charged_tokens -= tokens
            if usage.final:
                self._lenders.settle(loan, used_tokens=tokens)
            else:
                self._lenders.pin(loan, kept_tokens=tokens)
        if usage.final:
            self._parts.pop(key, None)
        return charged_tokens

    def forget_old(self, now_seconds: float) -> None:
        """Forget grants that are too old to be settled.

        :param now_seconds: the clock
        """
        oldest_seconds = now_seconds - limits.REFUND_SECONDS
        self._parts = {
            key: part
            for key, part in self._parts.items()
            if part.given_at_seconds > oldest_seconds
        }


__all__ = [
    "LentOn",
]

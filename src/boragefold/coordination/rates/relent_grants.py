"""Grants that contain borrowed tokens, kept until they are settled."""

from __future__ import annotations

import dataclasses

from boragefold.coordination.rates import lenders as lending
from boragefold.coordination.rates import limits
from boragefold.protocol import ids
from boragefold.protocol import rate_messages


@dataclasses.dataclass(kw_only=True)
class _RelentGrant:
    """The loans contained in one grant."""

    loans: list[lending.Loan]
    granted_at_seconds: float


class RelentGrants:
    """Forwards the reported use of borrowed tokens to their lenders."""

    def __init__(self, *, lenders: lending.Lenders) -> None:
        """Start without any grants.

        :param lenders: source of the loans
        """
        self._lenders = lenders
        self._relent_grants: dict[
            tuple[ids.InstanceId, int], _RelentGrant
        ] = {}

    def add(
        self,
        asker: ids.InstanceId,
        number: int,
        *,
        loans: list[lending.Loan],
        now_seconds: float,
    ) -> None:
        """Record the loans contained in a grant.

        :param asker: instance that received the grant
        :param number: number of its request
        :param loans: loans in the grant, possibly none
        :param now_seconds: current time
        """
        if loans:
            self._relent_grants[asker, number] = _RelentGrant(
                loans=loans, granted_at_seconds=now_seconds
            )

    def report(
        self, asker: ids.InstanceId, usage: rate_messages.Usage
    ) -> float:
        """Split a report between the loans and the holder's own tokens.

        Loans are counted as charged first, so that unused tokens return to
        the holder's own bucket.

        :param asker: instance that sent the report
        :param usage: its report
        :return: charged tokens of the holder's own bucket
        """
        key = (asker, usage.number)
        charged_tokens = usage.charged_tokens
        relent_grant = self._relent_grants.get(key)
        for loan in relent_grant.loans if relent_grant else ():
            tokens = min(loan.tokens, charged_tokens)
            charged_tokens -= tokens
            if usage.final:
                self._lenders.settle(loan, used_tokens=tokens)
            else:
                self._lenders.finalize(loan, kept_tokens=tokens)
        if usage.final:
            self._relent_grants.pop(key, None)
        return charged_tokens

    def expire(self, now_seconds: float) -> None:
        """Remove grants that are too old to be settled.

        :param now_seconds: current time
        """
        oldest_seconds = now_seconds - limits.SETTLE_TIMEOUT_SECONDS
        self._relent_grants = {
            key: relent_grant
            for key, relent_grant in self._relent_grants.items()
            if relent_grant.granted_at_seconds > oldest_seconds
        }


__all__ = [
    "RelentGrants",
]

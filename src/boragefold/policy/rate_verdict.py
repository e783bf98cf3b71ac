"""The decision on a request by its workspace's rate, and what it went by."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

from boragefold.protocol import rate_ledger_messages as messages


class Basis(NamedTuple):
    """What a decision went by, in tokens or requests of the workspace.

    ``level`` is that of the bucket before the decision, ``rested_seconds``
    the time since it was last brought up to date, None for a bucket that was
    just created. ``share`` is the fraction of the rate that fills it.
    ``believed`` is the sum that this instance knows all to have admitted;
    instances of one ``era`` that believe different sums at the same time
    haven't heard the same. ``totals_age_seconds`` is None before any totals.
    ``unconfirmed`` is what this instance admitted and no hub is known to have
    counted, and ``allowance`` how much that may be.
    """

    level: float
    rested_seconds: float | None
    share: float
    believed: float
    era: messages.Era
    totals_age_seconds: float | None
    unconfirmed: float
    allowance: float

    def log_fields(self, *, charged: float) -> dict[str, Any]:
        """Return the fields of a log line.

        :param charged: what an admitted request took from the bucket
        :return: values by field name
        """
        return {
            "level_before": round(self.level, 1),
            "level_after": round(self.level - charged, 1),
            "rested_seconds": _rounded(self.rested_seconds),
            "share": round(self.share, 4),
            "believed": round(self.believed, 1),
            "era": self.era.label,
            "totals_age_seconds": _rounded(self.totals_age_seconds),
            "unconfirmed": round(self.unconfirmed, 1),
            "allowance": round(self.allowance, 1),
        }


class Verdict(NamedTuple):
    """Whether a request is admitted, and else when to retry.

    ``is_pending`` tells that news from a hub within moments may admit it.
    ``basis`` is None for a workspace without a rate limit.
    """

    admitted: bool
    wait_seconds: float = 0.0
    basis: Basis | None = None
    is_pending: bool = False


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)


__all__ = [
    "Basis",
    "Verdict",
]

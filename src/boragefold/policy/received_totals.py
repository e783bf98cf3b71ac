"""Removes what others admitted from the buckets, by totals from hubs."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
import math

from boragefold.policy import rate_ledger
from boragefold.policy import rate_share
from boragefold.policy import shared_rate
from boragefold.protocol import rate_ledger_messages as messages


class ReceivedTotals:
    """The totals received last, and the part that others admitted."""

    def __init__(
        self,
        *,
        rate: shared_rate.SharedRate,
        confirmed: Callable[[str], float],
    ) -> None:
        """Start with no totals received.

        :param rate: the buckets
        :param confirmed: returns how much of what was admitted here the totals
            include, by workspace
        """
        self._rate = rate
        self._confirmed = confirmed
        self._totals: dict[str, float] = {}
        self._of_others: dict[str, float] = {}
        self._late: dict[str, float] = {}
        self._era = messages.Era()
        self._received_at_seconds = -math.inf
        self._needs_all = False

    @property
    def needs_all(self) -> bool:
        """Return whether all totals must be sent, not only changes.

        :return: whether the last totals lacked unchanged ones and so couldn't
            be used
        """
        return self._needs_all

    def apply(
        self,
        amounts: Mapping[str, float],
        era: messages.Era,
        *,
        late: Mapping[str, float],
        whole: bool,
        now_seconds: float,
    ) -> None:
        """Remove what others admitted since the previous totals.

        After a change of era, or a long time without totals, the totals only
        set a new baseline.

        :param amounts: the totals that changed, by workspace
        :param era: the era of the totals
        :param late: the part of them that the hub received late
        :param whole: whether workspaces that aren't included have a total of 0
        :param now_seconds: reading of the process clock
        """
        silent_seconds = now_seconds - self._received_at_seconds
        follows = (
            era == self._era
            and silent_seconds <= rate_share.PEER_EXPIRY_SECONDS
        )
        self._needs_all = not follows and not whole
        if self._needs_all:
            return
        if not follows:
            self._totals.clear()
        self._totals.update(amounts)
        self._era = era
        self._received_at_seconds = now_seconds
        of_others = {
            workspace: amount - self._confirmed(workspace)
            for workspace, amount in self._totals.items()
        }
        if follows:
            added = {
                workspace: amount - self._of_others.get(workspace, 0.0)
                for workspace, amount in of_others.items()
            }
            is_late = silent_seconds > rate_ledger.LOST_SECONDS
            self._remove_from_buckets(
                added, added if is_late else self._new_late(late), now_seconds
            )
        self._of_others = of_others
        self._rate.record_totals(of_others, era, now_seconds=now_seconds)
        self._late.update(late)

    def _new_late(self, late: Mapping[str, float]) -> dict[str, float]:
        return {
            workspace: amount - self._late.get(workspace, 0.0)
            for workspace, amount in late.items()
        }

    def _remove_from_buckets(
        self,
        added: Mapping[str, float],
        late: Mapping[str, float],
        now_seconds: float,
    ) -> None:
        # After a switch of hubs, the late amounts may include some that were
        # removed before.
        late = {
            workspace: max(0.0, min(amount, added.get(workspace, 0.0)))
            for workspace, amount in late.items()
        }
        in_time = {
            workspace: amount - late.get(workspace, 0.0)
            for workspace, amount in added.items()
        }
        self._rate.remove(in_time, now_seconds=now_seconds)
        self._rate.remove_late(late, now_seconds=now_seconds)


__all__ = [
    "ReceivedTotals",
]

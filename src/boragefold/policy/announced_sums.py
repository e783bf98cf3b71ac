"""Sums per workspace that are sent to peers while they change."""

from __future__ import annotations

from collections.abc import Mapping

# Covers several heartbeats, so that a lost one causes no error.
ANNOUNCE_SECONDS = 4.0


class AnnouncedSums:
    """Amounts per workspace, summed up since the process started."""

    def __init__(self) -> None:
        self.amounts: dict[str, float] = {}
        self._changed_at_seconds: dict[str, float] = {}

    def add(
        self, workspace: str, amount: float, *, now_seconds: float
    ) -> None:
        """Add an amount, which may be negative.

        :param workspace: the workspace that it counts for
        :param amount: tokens or requests
        :param now_seconds: reading of the process clock
        """
        if not amount:
            return
        self.amounts[workspace] = self.amounts.get(workspace, 0.0) + amount
        self._changed_at_seconds[workspace] = now_seconds

    def add_all(
        self, amounts: Mapping[str, float], *, now_seconds: float
    ) -> None:
        """Add amounts of several workspaces.

        :param amounts: tokens or requests, by workspace
        :param now_seconds: reading of the process clock
        """
        for workspace, amount in amounts.items():
            self.add(workspace, amount, now_seconds=now_seconds)

    def changed(self, *, now_seconds: float) -> dict[str, float]:
        """List the sums that changed lately.

        Every peer has received the other sums several times.

        :param now_seconds: reading of the process clock
        :return: sums since the start, by workspace
        """
        oldest_seconds = now_seconds - ANNOUNCE_SECONDS
        return {
            workspace: self.amounts[workspace]
            for workspace, at_seconds in self._changed_at_seconds.items()
            if at_seconds > oldest_seconds
        }


__all__ = [
    "AnnouncedSums",
    "ANNOUNCE_SECONDS",
]

"""Sends the reports that no request carried, batched over workspaces."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import itertools
from typing import NamedTuple

from boragefold.coordination.rates import grant_pool as grant_pools
from boragefold.protocol import ids
from boragefold.protocol import rate_messages

# Bounds the size of a message.
MAX_WORKSPACES = 100

# Bounds the messages that await acknowledgement; the reports of a dropped one
# are repeated.
MAX_UNACKNOWLEDGED = 200


class ReportSource(NamedTuple):
    """A grant pool that may have reports to send, and their receiver."""

    find_holder: Callable[[], ids.InstanceId | None]
    workspace: str
    grant_pool: grant_pools.GrantPool


class Reports:
    """Batches reports by holder and repeats them until acknowledged."""

    def __init__(
        self,
        *,
        send: Callable[[ids.InstanceId, rate_messages.UsagesReported], None],
        numbers: itertools.count[int],
    ) -> None:
        """Start without sent messages.

        :param send: sends a message to a holder
        :param numbers: source of unique message numbers
        """
        self._send = send
        self._numbers = numbers
        self._unacknowledged: dict[
            int,
            list[
                tuple[grant_pools.GrantPool, tuple[rate_messages.Usage, ...]]
            ],
        ] = {}

    def flush(
        self, due: Iterable[ReportSource], *, after_seconds: float
    ) -> None:
        """Send the reports that no request has carried in time.

        :param due: the grant pools to check
        :param after_seconds: how long a report waits for a request
        """
        by_holder: dict[
            ids.InstanceId,
            list[tuple[ReportSource, tuple[rate_messages.Usage, ...]]],
        ] = {}
        for each in due:
            usages = each.grant_pool.due_reports(after_seconds=after_seconds)
            holder = each.find_holder() if usages else None
            if holder is not None:
                by_holder.setdefault(holder, []).append((each, usages))
        for holder, found in by_holder.items():
            for start in range(0, len(found), MAX_WORKSPACES):
                self._send_batch(holder, found[start : start + MAX_WORKSPACES])

    def acknowledge(self, number: int) -> None:
        """Process an acknowledgement.

        :param number: number of the acknowledged message
        """
        for grant_pool, usages in self._unacknowledged.pop(number, ()):
            grant_pool.acknowledge(usages)

    def _send_batch(
        self,
        holder: ids.InstanceId,
        found: list[tuple[ReportSource, tuple[rate_messages.Usage, ...]]],
    ) -> None:
        number = next(self._numbers)
        self._unacknowledged[number] = [
            (each.grant_pool, usages) for each, usages in found
        ]
        if len(self._unacknowledged) > MAX_UNACKNOWLEDGED:
            del self._unacknowledged[next(iter(self._unacknowledged))]
        reports = tuple(
            rate_messages.WorkspaceUsages(each.workspace, usages)
            for each, usages in found
        )
        self._send(holder, rate_messages.UsagesReported(number, reports))


__all__ = [
    "ReportSource",
    "Reports",
]

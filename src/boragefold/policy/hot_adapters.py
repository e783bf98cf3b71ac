"""Detection of adapters that will soon need another copy.

Load pattern: an adapter's arrival rate doubles within seconds. If only queues
were examined, a copy would be loaded after the queue had grown, and the
queued requests would wait for that load.
"""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence

from boragefold.policy import arrival_rates
from boragefold.policy import endpoints as fleet
from boragefold.policy import work as works

# Leaves time to load a new copy before the present holders are full.
HOT_FILL = 0.7
# Used until the first answer was measured.
DEFAULT_DURATION_SECONDS = 2.0
# Bounds the cost of the sums, which grows with the number of holders.
SAMPLED_HOLDERS = 16


class HotAdapters:
    """Adapters whose arrival rate approaches the capacity of their holders."""

    def __init__(
        self,
        *,
        endpoints: fleet.Endpoints,
        rates: arrival_rates.ArrivalRates,
    ) -> None:
        self._endpoints = endpoints
        self._rates = rates
        self._hot: dict[works.AdapterVersion, str] = {}

    def update(
        self,
        adapter: works.AdapterVersion,
        *,
        workspace: str,
        now_seconds: float,
    ) -> None:
        """Check whether an adapter that was just requested is hot.

        :param adapter: the adapter version
        :param workspace: the workspace charged for a copy
        :param now_seconds: reading of the process clock
        """
        if self._is_hot(adapter, now_seconds):
            self._hot[adapter] = workspace
        else:
            self._hot.pop(adapter, None)

    def current(
        self, *, now_seconds: float
    ) -> Iterator[tuple[works.AdapterVersion, str]]:
        """Iterate over the adapters that are hot now.

        :param now_seconds: reading of the process clock
        :return: adapters and the workspaces charged for their copies
        """
        for adapter, workspace in list(self._hot.items()):
            if self._is_hot(adapter, now_seconds):
                yield adapter, workspace
            else:
                del self._hot[adapter]

    def _is_hot(
        self, adapter: works.AdapterVersion, now_seconds: float
    ) -> bool:
        all_holders = self._endpoints.holders(adapter)
        holders = _sample(all_holders)
        if not holders:
            return False
        if all(state.is_slow() for state in holders):
            # Its requests would wait at a slow endpoint, where the queue of
            # this instance doesn't show them.
            return True
        durations = [
            state.duration_seconds
            for state in holders
            if state.duration_seconds is not None
        ]
        duration_seconds = (
            sum(durations) / len(durations)
            if durations
            else DEFAULT_DURATION_SECONDS
        )
        per_second = self._rates.per_second(adapter, now_seconds=now_seconds)
        # By Little's law, the number of requests that will run concurrently;
        # some of them are running already.
        needed = per_second * duration_seconds
        running = sum(state.estimated_running() for state in holders)
        batches = sum(state.spec.batch_size for state in holders)
        scale = len(all_holders) / len(holders)
        available = max(batches - running, 0) * scale
        available += min(needed, running * scale)
        return needed > HOT_FILL * available


def _sample(
    holders: Sequence[fleet.EndpointState],
) -> Sequence[fleet.EndpointState]:
    if len(holders) <= SAMPLED_HOLDERS:
        return holders
    # The holders are sorted by distance; the sample covers it evenly.
    step = len(holders) / SAMPLED_HOLDERS
    return [holders[int(index * step)] for index in range(SAMPLED_HOLDERS)]


__all__ = [
    "DEFAULT_DURATION_SECONDS",
    "HOT_FILL",
    "HotAdapters",
]

"""Which adapters will soon need another copy.

Load pattern: an adapter's arrivals double within seconds. Without a look at
the rate, a copy is ordered only when its queue has grown, and that queue then
waits for the load.
"""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence

from boragefold.policy import arrival_rates
from boragefold.policy import endpoints as fleet
from boragefold.policy import work as works

# A new copy must be loaded before the rest is full.
HOT_FILL = 0.7
# Assumed before the first answer.
DEFAULT_DURATION_SECONDS = 2.0
# A sample: the cost of a sum grows with the holders.
EXAMINED_HOLDERS = 16


class HotAdapters:
    """Adapters whose arrival rate comes near their holders' capacity."""

    def __init__(
        self,
        *,
        endpoints: fleet.Endpoints,
        rates: arrival_rates.ArrivalRates,
    ) -> None:
        self._endpoints = endpoints
        self._rates = rates
        self._hot: dict[works.AdapterVersion, str] = {}

    def look_at(
        self,
        adapter: works.AdapterVersion,
        *,
        workspace: str,
        now_seconds: float,
    ) -> None:
        """Look at an adapter that has just been asked for.

        :param adapter: the adapter version
        :param workspace: who pays for a copy
        :param now_seconds: reading of the process clock
        """
        if self._is_hot(adapter, now_seconds):
            self._hot[adapter] = workspace
        else:
            self._hot.pop(adapter, None)

    def present(
        self, *, now_seconds: float
    ) -> Iterator[tuple[works.AdapterVersion, str]]:
        """Go through those that are hot now.

        :param now_seconds: reading of the process clock
        :return: adapters and the workspaces that pay for their copies
        """
        for adapter, workspace in list(self._hot.items()):
            if self._is_hot(adapter, now_seconds):
                yield adapter, workspace
            else:
                del self._hot[adapter]

    def _is_hot(
        self, adapter: works.AdapterVersion, now_seconds: float
    ) -> bool:
        everyone = self._endpoints.holders(adapter)
        holders = _some(everyone)
        if not holders:
            return False
        if all(state.is_poor() for state in holders):
            # Its requests would wait at a slow endpoint instead of in our
            # queue.
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
        # By Little's law, what will run at once; part of it runs already.
        needed = per_second * duration_seconds
        running = sum(state.estimated_running() for state in holders)
        batches = sum(state.spec.batch_size for state in holders)
        scale = len(everyone) / len(holders)
        available = max(batches - running, 0) * scale
        available += min(needed, running * scale)
        return needed > HOT_FILL * available


def _some(
    holders: Sequence[fleet.EndpointState],
) -> Sequence[fleet.EndpointState]:
    if len(holders) <= EXAMINED_HOLDERS:
        return holders
    # Evenly spread over the distances.
    step = len(holders) / EXAMINED_HOLDERS
    return [holders[int(turn * step)] for turn in range(EXAMINED_HOLDERS)]


__all__ = [
    "DEFAULT_DURATION_SECONDS",
    "HOT_FILL",
    "HotAdapters",
]

"""Estimates how long adapter loads take, and limits how many run at once.

Load pattern: adapters that were not requested for a while are requested at
all engines at once. The weight store delivers a few loads at full speed; with
more, each takes longer and none finishes sooner, so that popular adapters
wait behind many that one request each needs.
"""

from __future__ import annotations

import collections
from collections.abc import Callable

from boragefold.state import deployment

# An engine accepts four concurrent loads of adapters and has five slots; fewer
# loads at once leave more slots to the adapters that it has loaded already.
MAX_CONCURRENT_LOADS = 3
# Loads that the store delivers at full speed to all engines of a service
# together, by the data sheets of the deployments: about one per engine, and at
# least eight. With more, each takes longer in proportion and none finishes
# sooner.
FULL_SPEED_LOADS = 8
# Load time from the store, by the data sheets, and from the host memory of the
# engine: a tenth.
COLD_LOAD_SECONDS = 0.25
WARM_LOAD_SECONDS = 0.025
# An engine notices the end of a load between two steps of its batch.
LOAD_SLACK_SECONDS = 0.012
# Correction factor of the estimate, learned from late loads, since loads of
# other engines are known half a second late and some stores are slower. A late
# load raises it by ten times what one in time lowers it by, so that one load
# in eleven is late; beyond the bound something else is wrong. Without it,
# requests reach engines before their adapters do.
CORRECTION_INCREASE = 0.05
CORRECTION_DECREASE = 0.005
MAX_CORRECTION = 3.0
# How many adapters an engine keeps copies of in host memory after an unload.
MAX_WARM_ADAPTERS = 30


class LoadTimes:
    """Load time estimates for one engine."""

    def __init__(
        self,
        *,
        loads_elsewhere: Callable[[], int],
        count_engines: Callable[[], int],
    ) -> None:
        """Start with no adapter in host memory.

        :param loads_elsewhere: returns how many loads other engines have in
            progress
        :param count_engines: returns how many engines share the store
        """
        self._loads_elsewhere = loads_elsewhere
        self._count_engines = count_engines
        self._warm: collections.OrderedDict[deployment.AdapterKey, None] = (
            collections.OrderedDict()
        )
        self._correction = 1.0

    def is_warm(self, key: deployment.AdapterKey) -> bool:
        """Check whether the engine should have an adapter in host memory.

        :param key: the adapter
        :return: whether it had the adapter loaded lately
        """
        return key in self._warm

    def warm_adapters(self) -> tuple[deployment.AdapterKey, ...]:
        """List the adapters that the engine should have in host memory.

        :return: their keys, least recently loaded first
        """
        return tuple(self._warm)

    def record_late(self) -> None:
        """Record that a load from the store was late."""
        self._correction = min(
            MAX_CORRECTION, self._correction + CORRECTION_INCREASE
        )

    def record_in_time(self) -> None:
        """Record that a load from the store was in time."""
        self._correction = max(1.0, self._correction - CORRECTION_DECREASE)

    def estimate_seconds(
        self, key: deployment.AdapterKey, *, loads_in_progress: int
    ) -> float:
        """Estimate how long a load takes that begins now.

        :param key: the adapter
        :param loads_in_progress: how many loads the engine has in progress
        :return: seconds
        """
        if self.is_warm(key):
            return self.warm_seconds
        return self.cold_seconds(loads_in_progress=loads_in_progress)

    @property
    def warm_seconds(self) -> float:
        """Estimate how long a load from host memory takes.

        :return: seconds
        """
        return WARM_LOAD_SECONDS + LOAD_SLACK_SECONDS

    def cold_seconds(self, *, loads_in_progress: int) -> float:
        """Estimate how long a load from the store takes that begins now.

        :param loads_in_progress: how many loads the engine has in progress
        :return: seconds
        """
        concurrent = 1 + loads_in_progress + self._loads_elsewhere()
        slowdown = max(1.0, concurrent / self._full_speed_loads())
        load_seconds = COLD_LOAD_SECONDS * slowdown
        return self._correction * load_seconds + LOAD_SLACK_SECONDS

    def may_load(
        self, key: deployment.AdapterKey, *, loads_in_progress: int
    ) -> bool:
        """Check whether one more load may begin.

        :param key: the adapter
        :param loads_in_progress: how many loads the engine has in progress
        :return: whether the engine and the store have capacity for it
        """
        if loads_in_progress >= MAX_CONCURRENT_LOADS:
            return False
        return self.is_warm(key) or self.may_load_cold(
            loads_in_progress=loads_in_progress
        )

    def may_load_cold(self, *, loads_in_progress: int) -> bool:
        """Check whether one more load from the store may begin.

        :param loads_in_progress: how many loads the engine has in progress
        :return: whether the engine and the store have capacity for it
        """
        if not loads_in_progress:
            return True
        if loads_in_progress >= MAX_CONCURRENT_LOADS:
            return False
        return (
            loads_in_progress + self._loads_elsewhere()
            < self._full_speed_loads()
        )

    def add_warm(self, key: deployment.AdapterKey) -> None:
        """Record that the engine has, or had, an adapter loaded.

        :param key: the adapter; base models have no copies in host memory
        """
        if key.adapter:
            self._warm[key] = None
            self._warm.move_to_end(key)
        while len(self._warm) > MAX_WARM_ADAPTERS:
            self._warm.popitem(last=False)

    def _full_speed_loads(self) -> int:
        return max(FULL_SPEED_LOADS, self._count_engines())


__all__ = [
    "COLD_LOAD_SECONDS",
    "LoadTimes",
    "WARM_LOAD_SECONDS",
]

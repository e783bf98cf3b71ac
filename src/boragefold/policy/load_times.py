"""How long an adapter takes to load, and how many are loaded at once.

Load pattern: adapters that nobody asked for in a while are asked for at all
engines at once. The store of weights delivers a few at full speed; with more,
each takes longer and none arrives sooner, so popular adapters that are missed
wait behind many that one request needs.
"""

from __future__ import annotations

import collections
from collections.abc import Callable

from boragefold.state import deployment

# Loads of adapters that one engine has on the way at once, of the four that
# it takes: the fifth place stays for what it holds already.
MAX_LOADING = 3
# Loads that the store delivers at full speed to all engines of a service
# together, as the deployments' sheets give it: about one an engine, eight at
# the least. With more, each takes longer in proportion, none arrives sooner.
FULL_SPEED_LOADS = 8
# Time for an adapter that comes from the store, as the sheets give it, and
# for one that the engine still has in its own memory: a tenth.
COLD_LOAD_SECONDS = 0.25
WARM_LOAD_SECONDS = 0.025
# An engine notices the end of a load between two steps of its batch.
LOAD_SLACK_SECONDS = 0.012
# How much longer than worked out loads are taken to be, learned from those
# that weren't there in time: what others load is known half a second late, and
# some stores are slower. A late load raises it by ten times what one in time
# lowers it by, so that one in eleven is late; beyond the bound something else
# is wrong. Without it, requests reach engines before their adapters do.
STRETCH_UP = 0.05
STRETCH_DOWN = 0.005
MAX_STRETCH = 3.0
# Adapters that an engine keeps copies of in its own memory after an unload.
REMEMBERED = 30


class LoadTimes:
    """Expected times of one engine's loads."""

    def __init__(
        self,
        *,
        loads_elsewhere: Callable[[], int],
        engines: Callable[[], int],
    ) -> None:
        """Begin with nothing remembered.

        :param loads_elsewhere: how many loads other engines have on the way
        :param engines: how many engines share the store
        """
        self._loads_elsewhere = loads_elsewhere
        self._engines = engines
        self._remembered: collections.OrderedDict[
            deployment.AdapterKey, None
        ] = collections.OrderedDict()
        self._stretch = 1.0

    def is_warm(self, key: deployment.AdapterKey) -> bool:
        """Tell whether the engine should have a copy of its own.

        :param key: the adapter
        :return: whether it had the adapter lately
        """
        return key in self._remembered

    def remembered(self) -> tuple[deployment.AdapterKey, ...]:
        """List the adapters that the engine should have copies of.

        :return: their keys, the one had longest ago first
        """
        return tuple(self._remembered)

    def late(self) -> None:
        """Note that an adapter from the store wasn't there in time."""
        self._stretch = min(MAX_STRETCH, self._stretch + STRETCH_UP)

    def in_time(self) -> None:
        """Note that an adapter from the store was there in time."""
        self._stretch = max(1.0, self._stretch - STRETCH_DOWN)

    def seconds(self, key: deployment.AdapterKey, *, loading: int) -> float:
        """Estimate how long a load takes that begins now.

        :param key: the adapter
        :param loading: how many loads the engine has on the way already
        :return: seconds
        """
        if self.is_warm(key):
            return WARM_LOAD_SECONDS + LOAD_SLACK_SECONDS
        at_once = 1 + loading + self._loads_elsewhere()
        crowding = max(1.0, at_once / self._full_speed())
        worked_out_seconds = COLD_LOAD_SECONDS * crowding
        return self._stretch * worked_out_seconds + LOAD_SLACK_SECONDS

    def may_load(self, key: deployment.AdapterKey, *, loading: int) -> bool:
        """Tell whether a further load may begin.

        :param key: the adapter
        :param loading: how many loads the engine has on the way already
        :return: whether engine and store have room for it
        """
        if loading >= MAX_LOADING:
            return False
        if not loading or self.is_warm(key):
            return True
        return loading + self._loads_elsewhere() < self._full_speed()

    def remember(self, key: deployment.AdapterKey) -> None:
        """Note that the engine has, or had, an adapter.

        :param key: the adapter; a base model is never loaded so quickly
        """
        if key.adapter:
            self._remembered[key] = None
            self._remembered.move_to_end(key)
        while len(self._remembered) > REMEMBERED:
            self._remembered.popitem(last=False)

    def _full_speed(self) -> int:
        return max(FULL_SPEED_LOADS, self._engines())


__all__ = [
    "COLD_LOAD_SECONDS",
    "LoadTimes",
    "WARM_LOAD_SECONDS",
]

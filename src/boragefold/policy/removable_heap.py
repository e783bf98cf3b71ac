"""A heap whose items can be taken out from the middle.

Load pattern: callers hang up while they wait. Without removal their requests
would be served for nobody; by a search, each would cost the whole queue.
"""

from __future__ import annotations

from collections.abc import Hashable
import heapq
from typing import Generic
from typing import TypeVar

Item = TypeVar("Item", bound=Hashable)

# Below this length a clean-up isn't worth its cost.
MIN_CLEAN_LENGTH = 32


class RemovableHeap(Generic[Item]):
    """Distinct items by ascending key; equal keys in order of arrival.

    Every operation costs O(log n), spread over many.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Item]] = []
        self._numbers: dict[Item, int] = {}
        self._number = 0

    def __len__(self) -> int:
        return len(self._numbers)

    def push(self, item: Item, key: float) -> None:
        """Add an item, or give it another key.

        :param item: the item
        :param key: the smallest comes first
        """
        self._number += 1
        self._numbers[item] = self._number
        heapq.heappush(self._heap, (key, self._number, item))
        self._clean_if_long()

    def remove(self, item: Item) -> None:
        """Take an item out; an unknown one is ignored.

        :param item: the item
        """
        if self._numbers.pop(item, None) is not None:
            self._clean_if_long()

    def first(self) -> tuple[float, Item] | None:
        """Look at the item with the smallest key.

        :return: its key and the item, or None when there are none
        """
        while self._heap:
            key, number, item = self._heap[0]
            if self._numbers.get(item) == number:
                return key, item
            heapq.heappop(self._heap)
        return None

    def _clean_if_long(self) -> None:
        if len(self._heap) > 2 * len(self._numbers) + MIN_CLEAN_LENGTH:
            self._clean()

    def _clean(self) -> None:
        self._heap = [
            entry
            for entry in self._heap
            if self._numbers.get(entry[2]) == entry[1]
        ]
        heapq.heapify(self._heap)


__all__ = [
    "RemovableHeap",
]

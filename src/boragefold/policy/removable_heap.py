"""A heap whose items can be removed from any position.

Load pattern: callers disconnect while their requests are queued. Without
removal the requests would be served for nobody; with a linear search, each
removal would scan the whole queue.
"""

from __future__ import annotations

from collections.abc import Hashable
import heapq
from typing import Generic
from typing import TypeVar

Item = TypeVar("Item", bound=Hashable)

# Below this length, compacting the heap isn't worth its cost.
MIN_CLEAN_LENGTH = 32


class RemovableHeap(Generic[Item]):
    """Distinct items in ascending order of key; equal keys in push order.

    Every operation takes amortised O(log n) time.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Item]] = []
        self._numbers: dict[Item, int] = {}
        self._number = 0

    def __len__(self) -> int:
        return len(self._numbers)

    def push(self, item: Item, key: float) -> None:
        """Add an item, or change its key.

        :param item: the item
        :param key: the item with the smallest key is first
        """
        self._number += 1
        self._numbers[item] = self._number
        heapq.heappush(self._heap, (key, self._number, item))
        self._clean_if_long()

    def remove(self, item: Item) -> None:
        """Remove an item; an unknown one is ignored.

        :param item: the item
        """
        if self._numbers.pop(item, None) is not None:
            self._clean_if_long()

    def first(self) -> tuple[float, Item] | None:
        """Return the item with the smallest key without removing it.

        :return: its key and the item, or None when the heap is empty
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

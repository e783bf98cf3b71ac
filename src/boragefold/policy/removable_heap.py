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
MIN_COMPACT_LENGTH = 32


class RemovableHeap(Generic[Item]):
    """Distinct items in ascending order of key; equal keys in push order.

    Every operation takes amortised O(log n) time.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Item]] = []
        self._sequences: dict[Item, int] = {}
        self._last_sequence = 0

    def __len__(self) -> int:
        return len(self._sequences)

    def push(self, item: Item, key: float) -> None:
        """Add an item, or change its key.

        :param item: the item
        :param key: the item with the smallest key is first
        """
        self._last_sequence += 1
        self._sequences[item] = self._last_sequence
        heapq.heappush(self._heap, (key, self._last_sequence, item))
        self._compact_if_long()

    def remove(self, item: Item) -> None:
        """Remove an item; an unknown one is ignored.

        :param item: the item
        """
        if self._sequences.pop(item, None) is not None:
            self._compact_if_long()

    def first(self) -> tuple[float, Item] | None:
        """Return the item with the smallest key without removing it.

        :return: its key and the item, or None when the heap is empty
        """
        while self._heap:
            key, sequence, item = self._heap[0]
            if self._sequences.get(item) == sequence:
                return key, item
            heapq.heappop(self._heap)
        return None

    def _compact_if_long(self) -> None:
        if len(self._heap) > 2 * len(self._sequences) + MIN_COMPACT_LENGTH:
            self._compact()

    def _compact(self) -> None:
        self._heap = [
            entry
            for entry in self._heap
            if self._sequences.get(entry[2]) == entry[1]
        ]
        heapq.heapify(self._heap)


__all__ = [
    "RemovableHeap",
]

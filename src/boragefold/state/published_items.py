"""The newest state of everything published, with what was removed."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import NamedTuple

import xxhash


class Item(NamedTuple):
    """The newest value of a key, or its removal where ``value`` is None.

    ``changed_at_seconds`` is the reading of the process clock when it was
    published, None where that isn't known.
    """

    key: str
    revision: int
    value: bytes | None
    changed_at_seconds: float | None = None


Matters = Callable[[Item | None, Item], bool]
# Returns an item as it would be published some seconds later.
Age = Callable[[Item, float], Item]
# Returns the part of an item that has to be the same at all instances.
Content = Callable[[Item], bytes]
Subscriber = Callable[[list[Item]], None]


class PrefixState(NamedTuple):
    """What is known of the items below one prefix.

    Every change that matters is known up to ``complete_revision``; the newest
    of them is ``newest_revision``. ``digest`` covers what matters of all items
    below the prefix.
    """

    prefix: str
    newest_revision: int
    complete_revision: int
    digest: int


def _content_of(item: Item) -> bytes:
    return item.value or b""


class PublishedItems:
    """Items by key; none ever goes back to an earlier revision.

    Items come from the store and from peers, late and in any order. The
    revision of each decides alone, so a copy that lags can't undo what was
    in force already. Removals are kept as well: without them an older copy
    of the item would bring it back.

    ``revision`` is up to where all was read. ``told`` has for each prefix the
    revision of the newest change that matters to instances that don't read the
    store. Prefixes are read apart: an instance that knows the newest
    configuration may not know yet that an endpoint leaves which was announced
    before it. With one number for both, whoever learned of the first from it
    never asked for the second.
    """

    def __init__(
        self,
        *,
        matters: Matters = lambda old, new: True,
        prefixes: Iterable[str] = (),
        age: Age = lambda item, seconds: item,
        content: Content = _content_of,
        now_seconds: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Begin empty.

        :param matters: tells whether a change of an item, from what it was,
            has to reach instances that don't read the store
        :param prefixes: the starts of keys that are read apart
        :param age: reduces what counts down in an item by the time since it
            was read, for other instances: it would begin anew there
        :param content: returns what matters of an item that exists
        :param now_seconds: reads the process clock
        """
        self._age = age
        self._content = content
        self._digests: dict[str, int] = {}
        self._prefix_digests: dict[str, int] = {}
        self._now_seconds = now_seconds
        self._read_at_seconds: dict[str, float] = {}
        self._matters = matters
        self._prefixes = tuple(prefixes)
        self._mattered: dict[str, int] = {}
        self._items: dict[str, Item] = {}
        self._subscribers: list[Subscriber] = []
        self.revision = 0
        self.told: dict[str, int] = {}

    def subscribe(self, callback: Subscriber) -> None:
        """Be told of each change.

        :param callback: called with the items that changed
        """
        self._subscribers.append(callback)

    def take(
        self,
        items: Iterable[Item],
        *,
        revision: int,
        told: Mapping[str, int] | None = None,
    ) -> list[Item]:
        """Take over what was read.

        :param items: in any order
        :param revision: up to which these are complete
        :param told: by prefix, the newest change that a peer told us of
        :return: the items that were news
        """
        news = [item for item in items if self._is_news(item)]
        for item in news:
            if self._matters(self._items.get(item.key), item):
                self._mattered[item.key] = item.revision
                self._raise_told(self._prefix_of(item.key), item.revision)
                self._update_digest(item)
            self._items[item.key] = item
            self._read_at_seconds[item.key] = self._now_seconds()
        for prefix, told_revision in (told or {}).items():
            self._raise_told(prefix, told_revision)
        self.revision = max(self.revision, revision)
        if news:
            for callback in self._subscribers:
                callback(news)
        return news

    def replace(
        self, items: Iterable[Item], *, prefix: str, revision: int
    ) -> list[Item]:
        """Take over a whole listing; what it lacks was removed.

        :param items: everything below the prefix
        :param prefix: start of the keys that were listed
        :param revision: the oldest that the listing may stand for
        :return: the items that were news
        """
        listed = list(items)
        names = {item.key for item in listed}
        removed = [
            Item(key, revision, None)
            for key, item in self._items.items()
            if key.startswith(prefix)
            and key not in names
            and item.value is not None
            and item.revision <= revision
        ]
        return self.take([*listed, *removed], revision=revision)

    def lacks(self, told: Mapping[str, int]) -> bool:
        """Tell whether somebody knows more than we do.

        :param told: by prefix, the newest change that it knows
        :return: whether one of them is newer than ours
        """
        return any(
            revision > self.told.get(prefix, 0)
            for prefix, revision in told.items()
        )

    def after(self, told: Mapping[str, int]) -> Iterator[Item]:
        """List what changed since in a way that matters.

        :param told: by prefix, the newest change that the asker has
        :return: items, removals included
        """
        now_seconds = self._now_seconds()
        return (
            self._age(
                self._items[key], now_seconds - self._read_at_seconds[key]
            )
            for key, mattered_revision in self._mattered.items()
            if mattered_revision > told.get(self._prefix_of(key), 0)
        )

    def below(self, prefix: str) -> Iterator[Item]:
        """List what exists.

        :param prefix: start of the keys
        :return: items with a value
        """
        return (
            item
            for key, item in self._items.items()
            if key.startswith(prefix) and item.value is not None
        )

    def states(self) -> Iterator[PrefixState]:
        """Describe what is known, to compare it between instances.

        :return: the state of each prefix
        """
        return (
            PrefixState(
                prefix,
                self.told.get(prefix, 0),
                self.told.get(prefix, 0),
                self._prefix_digests.get(prefix, 0),
            )
            for prefix in self._prefixes
        )

    def _update_digest(self, item: Item) -> None:
        prefix = self._prefix_of(item.key)
        digest = 0
        if item.value is not None:
            named = item.key.encode() + b"\0" + self._content(item)
            digest = xxhash.xxh3_64_intdigest(named)
        change = self._digests.get(item.key, 0) ^ digest
        self._digests[item.key] = digest
        self._prefix_digests[prefix] = (
            self._prefix_digests.get(prefix, 0) ^ change
        )

    def _prefix_of(self, key: str) -> str:
        return next(filter(key.startswith, self._prefixes), "")

    def _raise_told(self, prefix: str, revision: int) -> None:
        self.told[prefix] = max(self.told.get(prefix, 0), revision)

    def _is_news(self, item: Item) -> bool:
        known = self._items.get(item.key)
        return known is None or item.revision > known.revision


__all__ = [
    "Age",
    "Content",
    "Item",
    "Matters",
    "PrefixState",
    "PublishedItems",
    "Subscriber",
]

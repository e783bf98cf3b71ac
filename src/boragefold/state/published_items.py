"""The newest state of everything published, with what was removed."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import itertools
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


class Changes(NamedTuple):
    """Changes that matter, complete up to ``told`` by prefix."""

    items: tuple[Item, ...]
    told: dict[str, int]


class PublishedItems:
    """Items by key; none ever goes back to an earlier revision.

    Items come from the store and from peers, late and in any order. The
    revision of each decides alone, so a copy that lags can't undo what was
    in force already. Removals are kept as well: without them an older copy
    of the item would bring it back.

    For each prefix, all changes that matter are known up to some revision.
    Only a reading without a gap raises it: a listing, up to the revision of
    its first page, and changes that go on from what was complete. What is read
    beyond it is used, and proves nothing about what lies between. ``told`` has
    the newest change that matters within it, for instances that don't read the
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
        self._matters = matters
        self._prefixes = tuple(prefixes) or ("",)
        self._age = age
        self._content = content
        self._now_seconds = now_seconds
        self._items: dict[str, Item] = {}
        self._read_at_seconds: dict[str, float] = {}
        # By key: the newest change that may matter to another instance.
        self._mattered: dict[str, int] = {}
        self._digests: dict[str, int] = {}
        self._prefix_digests = dict.fromkeys(self._prefixes, 0)
        self._complete: dict[str, int] = {}
        # By prefix: changes that matter beyond what is complete.
        self._ahead: dict[str, set[int]] = {
            prefix: set() for prefix in self._prefixes
        }
        self._subscribers: list[Subscriber] = []
        self.told: dict[str, int] = {}

    @property
    def revision(self) -> int:
        """Return the newest revision up to which a prefix is complete.

        :return: a revision of the store, 0 before anything was read
        """
        return max(self._complete.values(), default=0)

    @property
    def complete(self) -> dict[str, int]:
        """Return up to where all changes that matter are known.

        :return: a revision of the store by prefix, without those of which
            nothing was read
        """
        return dict(self._complete)

    def is_complete(self) -> bool:
        """Tell whether all prefixes were read.

        :return: whether all changes up to some revision of each are known
        """
        return self._complete.keys() == set(self._prefixes)

    def subscribe(self, callback: Subscriber) -> None:
        """Be told of each change.

        :param callback: called with the items that changed
        """
        self._subscribers.append(callback)

    def take(
        self,
        items: Iterable[Item],
        *,
        prefix: str = "",
        after_revision: int = 0,
        revision: int,
    ) -> list[Item]:
        """Take over the changes between two revisions, as the store has them.

        :param items: in any order
        :param prefix: start of the keys that were read, empty for all
        :param after_revision: the revision that the changes come after
        :param revision: up to which they are complete
        :return: the items that were news
        """
        news = self._apply(items)
        for each in self._prefixes_below(prefix):
            if after_revision <= self._complete.get(each, 0):
                self._raise_complete(each, revision)
        return self._publish(news)

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
        news = self._apply([*listed, *removed], is_gapless=False)
        for each in self._prefixes_below(prefix):
            self._raise_complete(each, revision)
        return self._publish(news)

    def receive(
        self, items: Iterable[Item], *, told: Mapping[str, int]
    ) -> list[Item]:
        """Take over a peer's answer to a request for what is missing here.

        :param items: in any order
        :param told: by prefix, up to where the answer is complete, from what
            was complete here when it was requested
        :return: the items that were news
        """
        news = self._apply(items)
        for prefix, revision in told.items():
            if prefix in self._ahead:
                self._raise_complete(prefix, revision)
                self._raise_told(prefix, revision)
        return self._publish(news)

    def lacks(self, told: Mapping[str, int]) -> bool:
        """Tell whether somebody knows more than we do.

        :param told: by prefix, the newest change that it knows
        :return: whether one of them is newer than what is complete here
        """
        return any(
            revision > self._complete.get(prefix, 0)
            for prefix, revision in told.items()
            if prefix in self._ahead
        )

    def changes_after(
        self, known: Mapping[str, int], *, max_bytes: int
    ) -> Changes:
        """List what changed since in a way that matters, oldest first.

        :param known: by prefix, up to where the asker knows all changes
        :param max_bytes: the values together aren't larger, but for the first
        :return: items, removals included, and up to where these are complete
        """
        missing = sorted(
            (revision, key)
            for key, revision in self._mattered.items()
            if revision > known.get(self._prefix_of(key), 0)
        )
        sizes = itertools.accumulate(
            len(self._items[key].value or b"") for _, key in missing
        )
        fitting = sum(size <= max_bytes for size in sizes) or 1
        if fitting >= len(missing):
            chosen, told = missing, dict(self.told)
        else:
            # Changes of one revision stay together.
            last_revision = missing[fitting - 1][0]
            chosen = [each for each in missing if each[0] <= last_revision]
            told = {
                prefix: min(revision, last_revision)
                for prefix, revision in self.told.items()
            }
        return Changes(tuple(self._aged(key) for _, key in chosen), told)

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

        :return: the state of each prefix of which nothing is known beyond what
            is complete
        """
        return (
            PrefixState(
                prefix,
                self.told.get(prefix, 0),
                self._complete.get(prefix, 0),
                self._prefix_digests[prefix],
            )
            for prefix in self._prefixes
            if not self._ahead[prefix]
        )

    def _apply(
        self, items: Iterable[Item], *, is_gapless: bool = True
    ) -> list[Item]:
        news = []
        for item in items:
            known = self._items.get(item.key)
            if known is not None and item.revision <= known.revision:
                continue
            if self._matters(known, item):
                self._record_change(item)
            elif not is_gapless:
                # A change and its reversal may lie between the two.
                self._mattered[item.key] = item.revision
            self._items[item.key] = item
            self._read_at_seconds[item.key] = self._now_seconds()
            news.append(item)
        return news

    def _publish(self, news: list[Item]) -> list[Item]:
        if news:
            for callback in self._subscribers:
                callback(news)
        return news

    def _record_change(self, item: Item) -> None:
        prefix = self._prefix_of(item.key)
        self._mattered[item.key] = item.revision
        self._update_digest(prefix, item)
        if item.revision <= self._complete.get(prefix, 0):
            self._raise_told(prefix, item.revision)
        else:
            self._ahead[prefix].add(item.revision)

    def _update_digest(self, prefix: str, item: Item) -> None:
        digest = 0
        if item.value is not None:
            named = item.key.encode() + b"\0" + self._content(item)
            digest = xxhash.xxh3_64_intdigest(named)
        self._prefix_digests[prefix] ^= self._digests.get(item.key, 0) ^ digest
        self._digests[item.key] = digest

    def _raise_complete(self, prefix: str, revision: int) -> None:
        complete = max(self._complete.get(prefix, 0), revision)
        self._complete[prefix] = complete
        reached = {each for each in self._ahead[prefix] if each <= complete}
        self._ahead[prefix] -= reached
        if reached:
            self._raise_told(prefix, max(reached))

    def _raise_told(self, prefix: str, revision: int) -> None:
        self.told[prefix] = max(self.told.get(prefix, 0), revision)

    def _aged(self, key: str) -> Item:
        age_seconds = self._now_seconds() - self._read_at_seconds[key]
        return self._age(self._items[key], age_seconds)

    def _prefixes_below(self, start: str) -> list[str]:
        found = [each for each in self._prefixes if each.startswith(start)]
        return found or [self._prefix_of(start)]

    def _prefix_of(self, key: str) -> str:
        return next(filter(key.startswith, self._prefixes), self._prefixes[0])


__all__ = [
    "Age",
    "Changes",
    "Content",
    "Item",
    "Matters",
    "PrefixState",
    "PublishedItems",
    "Subscriber",
]

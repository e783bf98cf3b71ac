"""Where a prompt's beginning was last sent.

Load pattern: many prompts of a workspace begin alike. Without this, each
endpoint computes the same beginning, and the caches hold it several times.
"""

from __future__ import annotations

import collections
from typing import NamedTuple

from boragefold.policy import work as works

# Engines' caches keep a prefix for less time.
MAX_PREFIXES = 8192


class PrefixKey(NamedTuple):
    """A beginning is cached with the adapter that computed it."""

    adapter: works.AdapterVersion
    prefix: str


class Prefixes:
    """The endpoints of the most recently used prefixes."""

    def __init__(self) -> None:
        self._endpoints: collections.OrderedDict[PrefixKey, str] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._endpoints)

    def get(self, work: works.Work) -> str | None:
        """Look up where a request's prefix is likely to be cached.

        :param work: the request
        :return: an endpoint, or None
        """
        if not work.prefix:
            return None
        return self._endpoints.get(PrefixKey(work.needs, work.prefix))

    def note(self, work: works.Work, endpoint: str) -> None:
        """Remember where a request is sent.

        :param work: the request
        :param endpoint: where it goes
        """
        if not work.prefix:
            return
        key = PrefixKey(work.needs, work.prefix)
        self._endpoints[key] = endpoint
        self._endpoints.move_to_end(key)
        if len(self._endpoints) > MAX_PREFIXES:
            self._endpoints.popitem(last=False)


__all__ = [
    "MAX_PREFIXES",
    "Prefixes",
]

"""Remembers to which endpoint a prompt prefix was last sent.

Load pattern: many prompts of a workspace have the same prefix. Without prefix
affinity, each endpoint computes it again and the caches hold it several times.
"""

from __future__ import annotations

import collections
from typing import NamedTuple

from boragefold.policy import work as works

# More than the prefix caches of engines hold.
MAX_PREFIXES = 8192


class PrefixKey(NamedTuple):
    """A prefix and its adapter; adapters can't share cached prefixes."""

    adapter: works.AdapterVersion
    prefix: str


class PrefixAffinity:
    """Maps the most recently used prefixes to endpoints."""

    def __init__(self) -> None:
        self._endpoints: collections.OrderedDict[PrefixKey, str] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._endpoints)

    def get(self, work: works.Work) -> str | None:
        """Look up the endpoint that is likely to have a request's prefix.

        :param work: the request
        :return: an endpoint, or None
        """
        if not work.prefix:
            return None
        return self._endpoints.get(
            PrefixKey(work.adapter_version, work.prefix)
        )

    def record(self, work: works.Work, endpoint: str) -> None:
        """Remember the endpoint that a request is sent to.

        :param work: the request
        :param endpoint: its endpoint
        """
        if not work.prefix:
            return
        key = PrefixKey(work.adapter_version, work.prefix)
        self._endpoints[key] = endpoint
        self._endpoints.move_to_end(key)
        if len(self._endpoints) > MAX_PREFIXES:
            self._endpoints.popitem(last=False)


__all__ = [
    "MAX_PREFIXES",
    "PrefixAffinity",
]

"""What instances tell each other, so that one decides for all.

Load pattern: requests for one adapter arrive at several instances at once.
Without these digests, each instance has the adapter loaded on other
endpoints, and evicts adapters that other instances use.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Mapping
from typing import NamedTuple

from boragefold.policy import demand as demands
from boragefold.policy import work as works

STALE_SECONDS = 1.0


class Waiting(NamedTuple):
    """Tokens of one workspace that are queued for one adapter."""

    adapter: works.AdapterVersion
    workspace: str
    tokens: float


class Arrived(NamedTuple):
    """Requests for an adapter that arrived since the last digest."""

    adapter: works.AdapterVersion
    workspace: str
    requests: int


class InUse(NamedTuple):
    """The adapters that the sender's requests use at one endpoint."""

    endpoint: str
    adapters: tuple[works.AdapterVersion, ...]


class Digest(NamedTuple):
    """What one instance sends to the one that decides on these adapters.

    ``waiting`` and ``arrived`` are limited to the adapters whose loads the
    receiver decides on, ``in_use`` to the endpoints that it commands.
    """

    waiting: tuple[Waiting, ...]
    arrived: tuple[Arrived, ...]
    in_use: tuple[InUse, ...]


class PeerDigests:
    """Keeps the latest digest of each other instance."""

    def __init__(self) -> None:
        self._latest: dict[str, tuple[float, Digest]] = {}

    def put(self, peer: str, digest: Digest, *, now_seconds: float) -> None:
        """Store a digest.

        :param peer: the incarnation that sent it
        :param digest: replaces the previous one of this peer
        :param now_seconds: reading of the process clock
        """
        self._latest[peer] = (now_seconds, digest)

    def expire(self, *, now_seconds: float) -> None:
        """Drop the digests that are too old.

        :param now_seconds: reading of the process clock
        """
        self._latest = {
            peer: (at_seconds, digest)
            for peer, (at_seconds, digest) in self._latest.items()
            if now_seconds - at_seconds <= STALE_SECONDS
        }

    def demand(
        self,
        own: Mapping[works.AdapterVersion, demands.Demand],
        *,
        decides: Callable[[works.AdapterVersion], bool],
    ) -> dict[works.AdapterVersion, demands.Demand]:
        """Add the peers' queued work to that of this instance.

        Adapters that a peer reports are always included, also where this
        instance believes that another one decides on them: two loads while
        the views of the fleet differ are better than none.

        :param own: what is queued at this instance
        :param decides: whether this instance decides on an adapter's loads
        :return: what is queued for the adapters that it decides on
        """
        total = {
            adapter: demands.Demand(
                requests=each.requests,
                tokens=each.tokens,
                by_workspace=dict(each.by_workspace),
            )
            for adapter, each in own.items()
            if decides(adapter)
        }
        for _, digest in self._latest.values():
            for waiting in digest.waiting:
                _add(total, waiting)
        return total

    def in_use(self, endpoint: str) -> frozenset[works.AdapterVersion]:
        """Return the adapters that the peers use at an endpoint.

        :param endpoint: its name
        :return: adapters that must not be evicted there
        """
        return frozenset(
            adapter
            for _, digest in self._latest.values()
            for used in digest.in_use
            if used.endpoint == endpoint
            for adapter in used.adapters
        )


class Arrivals:
    """Counts the requests that arrive at this instance between two digests."""

    def __init__(self) -> None:
        self._counts: collections.Counter[tuple[works.AdapterVersion, str]] = (
            collections.Counter()
        )

    def add(self, work: works.Work) -> None:
        """Count an admitted request.

        :param work: the request
        """
        if work.adapter_version.adapter:
            self._counts[work.adapter_version, work.workspace] += 1

    def pop_all(self) -> tuple[Arrived, ...]:
        """Return the counts and reset them.

        :return: one entry per adapter and workspace
        """
        counts, self._counts = self._counts, collections.Counter()
        return tuple(
            Arrived(adapter, workspace, requests)
            for (adapter, workspace), requests in counts.items()
        )


def waiting_entries(
    own: Mapping[works.AdapterVersion, demands.Demand],
) -> tuple[Waiting, ...]:
    """Convert the queued work to entries of a digest.

    :param own: what is queued at this instance
    :return: one entry per adapter and workspace
    """
    return tuple(
        Waiting(adapter, workspace, tokens)
        for adapter, each in own.items()
        if adapter.adapter
        for workspace, tokens in each.by_workspace.items()
    )


def _add(
    total: dict[works.AdapterVersion, demands.Demand], waiting: Waiting
) -> None:
    each = total.setdefault(waiting.adapter, demands.Demand())
    each.requests += 1
    each.tokens += waiting.tokens
    before = each.by_workspace.get(waiting.workspace, 0.0)
    each.by_workspace[waiting.workspace] = before + waiting.tokens


__all__ = [
    "Arrivals",
    "Arrived",
    "Digest",
    "InUse",
    "PeerDigests",
    "Waiting",
    "waiting_entries",
]

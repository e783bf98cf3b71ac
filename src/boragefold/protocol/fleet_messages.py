"""What instances tell each other of waiting work and of endpoints' slots."""

from __future__ import annotations

from typing import NamedTuple

from boragefold.policy import digest as digests
from boragefold.policy import work as works


class WorkDigest(NamedTuple):
    """The sender's waiting work, recent arrivals and adapters in use."""

    digest: digests.Digest


class AdapterLoaded(NamedTuple):
    """An endpoint holds an adapter now."""

    endpoint: str
    adapter: works.AdapterVersion


KINDS = (AdapterLoaded, WorkDigest)

__all__ = [
    "AdapterLoaded",
    "KINDS",
    "WorkDigest",
]

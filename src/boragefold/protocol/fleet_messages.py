"""Messages about waiting work and about the adapters of endpoints."""

from __future__ import annotations

from typing import NamedTuple

from boragefold.policy import digest as digests
from boragefold.policy import work as works


class WorkDigest(NamedTuple):
    """The sender's waiting work, recent arrivals and adapters in use."""

    digest: digests.Digest


class AdapterLoaded(NamedTuple):
    """Reports that an endpoint has loaded an adapter."""

    endpoint: str
    adapter: works.AdapterVersion


KINDS = (AdapterLoaded, WorkDigest)

__all__ = [
    "AdapterLoaded",
    "KINDS",
    "WorkDigest",
]

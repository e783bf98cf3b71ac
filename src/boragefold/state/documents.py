"""The documents that the platform publishes, one per path of the tree.

=============================  ==========================================
path                           document
=============================  ==========================================
``common/defaults``            :class:`Defaults`
``common/data_centres``        ``dict`` of :class:`DataCentre` by name
``common/store``               :class:`Store`
``common/models``              ``dict`` of :class:`Model` by name
``endpoints/<data centre>``    ``dict`` of :class:`Endpoint` by name
``services/<name>``            :class:`Service`
``teams/<team>/workspaces``    ``dict`` of :class:`Workspace` by name
``teams/<team>/keys``          ``dict`` of :class:`Key` by digest
``teams/<team>/adapters/<n>``  ``dict`` of :class:`Adapter` by name
=============================  ==========================================

Any number of ``adapters`` paths may stand below a team, so that a catalogue
larger than the megabyte that one value holds can be split.
"""

from __future__ import annotations

from typing import Literal
from typing import NotRequired
from typing import TypedDict


class Defaults(TypedDict):
    """What applies where a team says nothing."""

    rate_tokens_per_second: float
    burst_tokens: float
    max_tokens: int
    deadline_seconds: float


class DataCentre(TypedDict):
    """A data centre and its part of every workspace's rate."""

    region: str
    weight: float


class Store(TypedDict):
    """The limits of the weight store, over the whole fleet."""

    loads_per_second: float
    loads_in_flight: int


class Model(TypedDict):
    """A base model."""

    context_tokens: int


class Endpoint(TypedDict):
    """A model engine that requests are sent to."""

    address: str
    model: str
    role: str
    slots: int
    batch_size: int
    checks_fencing: bool
    state: Literal["live", "leaving"]


class Route(TypedDict):
    """One call of a plain service."""

    method: str
    path: str
    idempotent: bool


class Service(TypedDict):
    """A plain service beside the engines."""

    addresses: dict[str, list[str]]
    routes: list[Route]
    workspaces: list[str]


class Workspace(TypedDict):
    """A workspace; what it leaves out comes from the common defaults."""

    rate_tokens_per_second: NotRequired[float]
    burst_tokens: NotRequired[float]
    max_tokens: NotRequired[int]
    deadline_seconds: NotRequired[float]
    late_sensitive: NotRequired[bool]


class Key(TypedDict):
    """A caller's key, published as the SHA-256 digest of its bytes."""

    workspace: str
    state: Literal["granted", "withdrawn"]


class Adapter(TypedDict):
    """An adapter, its versions and who may use it."""

    model: str
    versions: list[str]
    workspaces: list[str]


__all__ = [
    "Adapter",
    "DataCentre",
    "Defaults",
    "Endpoint",
    "Key",
    "Model",
    "Route",
    "Service",
    "Store",
    "Workspace",
]

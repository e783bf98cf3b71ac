"""What operators publish about routes, services and workspaces."""

from __future__ import annotations

import enum
from typing import NamedTuple


class RouteKind(enum.Enum):
    """What a route's requests allow."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class WeightedService(NamedTuple):
    """A service, and its part of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where the requests below one path of one host go, and on what terms.

    ``priority`` is lower for what is more urgent. ``max_attempts`` bounds how
    many endpoints one request may be sent to. ``event_gap_seconds`` is the
    longest pause between two events of a stream that is still on time.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_seconds: float
    target_seconds: float
    event_gap_seconds: float
    priority: int
    max_attempts: int
    public: bool
    resumable: bool

    @property
    def repeatable(self) -> bool:
        """Tell whether a request may run more than once.

        :return: whether it is idempotent or resumes where it broke off
        """
        return self.kind is RouteKind.IDEMPOTENT or self.resumable

    @property
    def streams(self) -> bool:
        """Tell whether responses are streams of events.

        :return: whether a request may take one up after an event
        """
        return self.kind is RouteKind.STREAM or self.resumable


class Model(NamedTuple):
    """A base model of a service's engines.

    ``load_seconds`` is how long its weights take from the store.
    """

    name: str
    load_seconds: float
    weights_mb: float


class Engine(NamedTuple):
    """What each endpoint of a service can hold and run at once.

    ``loads_per_second`` is what the store of weights allows all endpoints of
    the service together.
    """

    slots: int
    kv_tokens: int
    adapter_places: int
    weights_mb: float
    loads_per_second: float
    models: tuple[Model, ...]


class Service(NamedTuple):
    """Endpoints of one kind; ``engine`` is None for a plain service.

    An endpoint is cold for ``cold_start_seconds`` after it starts. While it is
    cold it sustains ``cold_requests_per_second``; 0 means that it sustains as
    many as a warm one.
    """

    name: str
    health_path: str
    max_connections: int
    engine: Engine | None
    cold_start_seconds: float = 0.0
    cold_requests_per_second: float = 0.0


class Workspace(NamedTuple):
    """A workspace's keys and rate.

    ``rate_per_second`` 0 is no limit. Where ``in_tokens`` is false, requests
    are counted. A request that names no tokens counts ``plain_tokens``.
    """

    name: str
    keys: frozenset[str]
    priority: int | None
    rate_per_second: float
    burst: float
    in_tokens: bool
    plain_tokens: float


class CallerLimits(NamedTuple):
    """What callers may send, and how long they may take."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_seconds: float
    idle_timeout_seconds: float


class Deployment(NamedTuple):
    """One version of everything that operators publish."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    workspaces: dict[str, Workspace]
    limits: CallerLimits

    def workspace_of(self, key: str) -> Workspace | None:
        """Find the workspace that a key belongs to.

        :param key: as the caller sent it
        :return: the workspace; None for a key that isn't granted
        """
        return next(
            (each for each in self.workspaces.values() if key in each.keys),
            None,
        )

    def limited_workspaces(self) -> list[Workspace]:
        """List the workspaces with a rate limit.

        :return: in the order in which they were published
        """
        return [
            each
            for each in self.workspaces.values()
            if each.rate_per_second > 0
        ]

    def route_of(self, host: str, path: str) -> Route | None:
        """Find the route of a request.

        :param host: the host that it names, in lower case
        :param path: its path
        :return: the route with the longest prefix, or None
        """
        matches = (
            route
            for route in self.routes
            if route.host == host and path.startswith(route.prefix)
        )
        return max(matches, key=lambda route: len(route.prefix), default=None)


class EndpointLife(NamedTuple):
    """One life of an endpoint: one run of its process.

    ``software_version`` is empty where none is known for this very life.
    """

    service: str
    endpoint: str
    born_milliseconds: int
    software_version: str


class EndpointRecord(NamedTuple):
    """What an endpoint says of itself where all can read it.

    ``held`` maps each model that it holds to the adapters of it that it
    holds, with their versions. ``born_milliseconds`` tells apart the lives of
    an endpoint that starts again under its name; 0 where it says nothing.
    ``leaves_in_seconds`` is what was left of a short notice when it was given.
    ``software_version`` is that of the endpoint's own program, empty where it
    states none. ``cold_seconds`` is how long it stayed cold when this was
    written, 0 if it was warm or stated nothing usable; ``cold_stated`` tells
    these apart.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    leaves_in_seconds: float | None
    born_milliseconds: int
    held: dict[str, dict[str, int]]
    software_version: str = ""
    cold_seconds: float = 0.0
    cold_stated: bool = False

    @property
    def life(self) -> EndpointLife:
        """Tell which life of the endpoint wrote this.

        :return: its newest life, unless it has started again since
        """
        return EndpointLife(
            service=self.service,
            endpoint=self.name,
            born_milliseconds=self.born_milliseconds,
            software_version=self.software_version,
        )


class AdapterKey(NamedTuple):
    """An adapter of a model; the model itself where ``adapter`` is empty."""

    model: str
    adapter: str


__all__ = [
    "AdapterKey",
    "CallerLimits",
    "Deployment",
    "EndpointLife",
    "EndpointRecord",
    "Engine",
    "Model",
    "Route",
    "RouteKind",
    "Service",
    "WeightedService",
    "Workspace",
]

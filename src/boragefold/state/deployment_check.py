"""Finds faults and contradictions in a version of a deployment.

The findings are for whoever publishes it; instances don't evaluate them.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import enum
import itertools
from typing import NamedTuple

from boragefold.state import deployment as deployments

PATH_START = "/"
# A path that is compared with a prefix holds none of these.
NEVER_IN_PATHS = frozenset("?# \t\r\n")
NEVER_IN_HOSTS = frozenset(":/?# \t\r\n")
ONE_REQUEST = 1.0


class Severity(enum.Enum):
    """Whether a finding is a fault, or may be intended."""

    ERROR = "error"
    WARNING = "warning"


class Finding(NamedTuple):
    """What is wrong in one place, and what to do about it."""

    severity: Severity
    place: str
    what: str
    remedy: str


def find(deployment: deployments.Deployment) -> list[Finding]:
    """Check a version of a deployment.

    :param deployment: as instances read it
    :return: findings, errors first, then by place
    """
    return sort(
        itertools.chain(
            _check_routes(deployment),
            *(_check_route(each, deployment) for each in deployment.routes),
            *map(_check_service, deployment.services.values()),
            _check_keys(deployment),
            *map(_check_workspace, deployment.workspaces.values()),
            _check_limits(deployment.limits),
        )
    )


def find_unserved(
    deployment: deployments.Deployment,
    endpoints: Iterable[deployments.EndpointRecord],
) -> list[Finding]:
    """Check published endpoints against a version of a deployment.

    :param deployment: as instances read it
    :param endpoints: all that are published
    :return: findings
    """
    listed = tuple(endpoints)
    served = {each.service for each in listed}
    unknown = (
        _warning(
            f"endpoints/{each.name}",
            f"names the unknown service {each.service!r}",
            "publish the service, or correct the name",
        )
        for each in listed
        if each.service not in deployment.services
    )
    unserved = (
        _warning(
            f"services/{name}",
            "has no endpoint",
            "start endpoints, or remove the service and its routes",
        )
        for name in deployment.services
        if name not in served
    )
    return sort(itertools.chain(unknown, unserved))


def find_outdated(
    deployment: deployments.Deployment, in_force: deployments.Deployment
) -> list[Finding]:
    """Check that a version can replace the one in force.

    :param deployment: the new one
    :param in_force: the one that instances have
    :return: findings
    """
    if deployment.version > in_force.version or deployment == in_force:
        return []
    return [
        _error(
            "version",
            f"{deployment.version} isn't above {in_force.version}, which is"
            " in force: no instance takes it",
            f"publish it as version {in_force.version + 1}",
        )
    ]


def find_repeated(place: str, names: Iterable[str]) -> list[Finding]:
    """Check that each name is used once.

    :param place: the kind of parts that are named
    :param names: all names, in the order of the configuration
    :return: findings
    """
    return [
        _error(
            f"{place}/{name}",
            f"stands {count} times",
            "give each its own name; the last one replaces the others",
        )
        for name, count in collections.Counter(names).items()
        if count > 1
    ]


def sort(findings: Iterable[Finding]) -> list[Finding]:
    """Order findings.

    :param findings: in any order
    :return: errors first, then by place and text
    """
    return sorted(
        findings,
        key=lambda each: (
            each.severity is not Severity.ERROR,
            each.place,
            each.what,
        ),
    )


def _check_routes(deployment: deployments.Deployment) -> Iterator[Finding]:
    firsts: dict[tuple[str, str], str] = {}
    for route in deployment.routes:
        first = firsts.setdefault((route.host, route.prefix), route.name)
        if first != route.name:
            yield _error(
                f"routes/{route.name}",
                f"never matches: route {first!r} has the same host and prefix",
                "remove one of the two, or change its prefix",
            )
    used = {
        each.service for route in deployment.routes for each in route.services
    }
    for name in deployment.services.keys() - used:
        yield _warning(
            f"services/{name}",
            "no route leads to it",
            "add a route, or remove the service",
        )


def _check_route(
    route: deployments.Route, deployment: deployments.Deployment
) -> Iterator[Finding]:
    place = f"routes/{route.name}"
    if not route.host or NEVER_IN_HOSTS & set(route.host):
        yield _error(
            place,
            f"never matches: {route.host!r} is no host name",
            "write the host without scheme, port and path",
        )
    if not route.prefix.startswith(PATH_START) or (
        NEVER_IN_PATHS & set(route.prefix)
    ):
        yield _error(
            place,
            f"never matches: no path begins with {route.prefix!r}",
            "begin the prefix with / and leave the query out",
        )
    yield from _check_split(place, route, deployment)
    yield from _check_times(place, route)
    if route.max_attempts < 1:
        yield _error(
            place,
            f"allows {route.max_attempts} attempts",
            "allow one attempt or more",
        )


def _check_split(
    place: str,
    route: deployments.Route,
    deployment: deployments.Deployment,
) -> Iterator[Finding]:
    for each in route.services:
        if each.service not in deployment.services:
            yield _error(
                place,
                f"leads to the unknown service {each.service!r}",
                "publish the service, or correct the name",
            )
        if each.weight < 0:
            yield _error(
                place,
                f"gives {each.service!r} the weight {each.weight:g}",
                "use weights of zero or more",
            )
    if sum(each.weight for each in route.services) <= 0:
        yield _error(
            place,
            "leads to no service: the weights add up to nothing",
            "give at least one service a weight above zero",
        )


def _check_times(place: str, route: deployments.Route) -> Iterator[Finding]:
    if route.timeout_seconds <= 0:
        yield _error(
            place,
            f"has a time-out of {route.timeout_seconds:g} s",
            "set a time-out above zero",
        )
    elif route.timeout_seconds < route.target_seconds:
        yield _error(
            place,
            f"has a time-out of {route.timeout_seconds:g} s, below its"
            f" objective of {route.target_seconds:g} s",
            "raise the time-out, or lower the objective",
        )
    elif route.timeout_seconds < route.event_gap_seconds:
        yield _error(
            place,
            f"has a time-out of {route.timeout_seconds:g} s, below the"
            f" {route.event_gap_seconds:g} s between two events",
            "raise the time-out, or lower the objective of the gap",
        )


def _check_service(service: deployments.Service) -> Iterator[Finding]:
    engine = service.engine
    place = f"services/{service.name}"
    if engine is None:
        return
    for what, value in (
        ("slots", engine.slots),
        ("tokens of key-value cache", engine.kv_tokens),
        ("models", len(engine.models)),
    ):
        if value < 1:
            yield _error(
                place,
                f"its engines have {value} {what} and run nothing",
                f"set the {what} that an engine has",
            )


def _check_keys(deployment: deployments.Deployment) -> Iterator[Finding]:
    holders: dict[str, str] = {}
    for workspace in deployment.workspaces.values():
        place = f"workspaces/{workspace.name}"
        shared = {
            holders.setdefault(key, workspace.name) for key in workspace.keys
        } - {workspace.name}
        for holder in shared:
            yield _error(
                place,
                f"shares a key with workspace {holder!r}, which gets its"
                " requests",
                "withdraw the key, and give each workspace its own",
            )


def _check_workspace(workspace: deployments.Workspace) -> Iterator[Finding]:
    place = f"workspaces/{workspace.name}"
    if not any(workspace.keys):
        yield _warning(
            place,
            "has no key, so that no request is its own",
            "grant it a key, or remove it",
        )
    if workspace.rate_per_second < 0 or workspace.burst < 0:
        yield _error(
            place, "has a rate or a burst below zero", "use zero for no limit"
        )
        return
    cost = workspace.plain_tokens if workspace.in_tokens else ONE_REQUEST
    if workspace.rate_per_second > 0 and workspace.burst < cost:
        unit = "tokens" if workspace.in_tokens else "requests"
        yield _error(
            place,
            f"its burst of {workspace.burst:g} {unit} is below one request,"
            f" which takes {cost:g}",
            f"raise the burst to {cost:g} or more",
        )


def _check_limits(limits: deployments.CallerLimits) -> Iterator[Finding]:
    for field, value in limits._asdict().items():
        if value <= 0:
            yield _error(
                f"limits/{field}",
                f"{value:g} lets no request through",
                "set it above zero",
            )
    if limits.idle_timeout_seconds < limits.header_timeout_seconds:
        yield _warning(
            "limits/idle_timeout_seconds",
            f"{limits.idle_timeout_seconds:g} s is below the"
            f" {limits.header_timeout_seconds:g} s that a head may take",
            "raise it, or lower the time for a head",
        )


def _error(place: str, what: str, remedy: str) -> Finding:
    return Finding(Severity.ERROR, place, what, remedy)


def _warning(place: str, what: str, remedy: str) -> Finding:
    return Finding(Severity.WARNING, place, what, remedy)


__all__ = [
    "Finding",
    "Severity",
    "find",
    "find_outdated",
    "find_repeated",
    "find_unserved",
    "sort",
]

"""Steady load on a fleet, and what its endpoints saw beyond first sends."""

from __future__ import annotations

import collections
import concurrent.futures
import http.client
import itertools
import os
import time
from typing import Any
from typing import NamedTuple

from boragefold.policy import repeat_budget
from boragefold.timing import clock as clocks
from tests.fakes import repeat_rule

# The clock on which the stand-ins note arrivals.
clock = clocks.BootClock().now_seconds
DEADLINE_SECONDS = 4.0
# How much longer than the caller's an endpoint's deadline may be, and how long
# after the first sending a repeat counts as late.
DEADLINE_SLACK_SECONDS = 0.5
ATTEMPT_ID = "boragefold-attempt-id"
DEADLINE = "boragefold-deadline-ms"


class Sent(NamedTuple):
    """One request of a caller and its final answer, 0 for none."""

    request_id: str
    at_seconds: float
    status: int


class Load:
    """Requests of one path at a steady rate, at each gateway in turn."""

    def __init__(self, machines, path: str, *, per_second: float) -> None:
        self._machines = machines
        self._path = path
        self._pause_seconds = 1 / per_second
        self.sent: list[Sent] = []

    def play(self, seconds: float) -> list[Sent]:
        """Send for some time, and wait for the answers."""
        begin, running = clock(), []
        gateways = itertools.cycle(range(len(self._machines.gateways)))
        with concurrent.futures.ThreadPoolExecutor(200) as pool:
            for number in itertools.count():
                at = begin + number * self._pause_seconds
                if at > begin + seconds:
                    break
                time.sleep(max(0.0, at - clock()))
                running.append(pool.submit(self._ask, next(gateways)))
        self.sent += [each.result() for each in running]
        return self.sent

    def served_share(self) -> float:
        served = sum(each.status == 200 for each in self.sent)
        return served / len(self.sent)

    def _ask(self, gateway: int) -> Sent:
        request_id, at = os.urandom(8).hex(), clock()
        headers = {
            "Boragefold-Attempt-Id": request_id,
            "Boragefold-Deadline-Ms": str(int(DEADLINE_SECONDS * 1000)),
        }
        if self._path.startswith(("/drafts/", "/notes/")):
            headers["Boragefold-Model"] = "base"
            headers["Boragefold-Token-Usage"] = "100,3"
        try:
            status = self._machines.ask(
                self._path, number=gateway, headers=headers, body=b"x"
            ).status
        except (OSError, http.client.HTTPException):
            status = 0
        return Sent(request_id, at, status)


def all_arrivals(machines) -> dict[str, list[dict[str, Any]]]:
    """List what arrived at the endpoints in order, by the request's id."""
    found = collections.defaultdict(list)
    for name in machines.endpoints:
        for arrival in machines.seen(name)["arrivals"]:
            request_id = arrival["headers"][ATTEMPT_ID]
            found[request_id].append({**arrival, "endpoint": name})
    for each in found.values():
        each.sort(key=lambda arrival: arrival["at_seconds"])
    return found


def arrivals_of(machines, sent: list[Sent]) -> dict[str, list[dict[str, Any]]]:
    """List the arrivals of some requests, also of those without any."""
    found = all_arrivals(machines)
    return {each.request_id: found[each.request_id] for each in sent}


def worst_window(
    sent: list[Sent],
    arrivals: dict[str, list[dict[str, Any]]],
    *,
    limit: repeat_budget.FleetLimit = repeat_rule.LIMIT,
) -> repeat_rule.Window:
    """Find the window with the most arrivals of requests beyond the limit."""
    return repeat_rule.worst_window(
        limit,
        asked=[each.at_seconds for each in sent],
        beyond=[
            each["at_seconds"]
            for request in sent
            for each in arrivals.get(request.request_id, [])[1:]
        ],
    )


def late_repeats(
    sent: list[Sent], arrivals: dict[str, list[dict[str, Any]]]
) -> list[float]:
    """Tell by how much repeats' deadlines end after those before them.

    :return: seconds beyond the first sending's and the caller's deadline, of
        each repeat that was sent late
    """
    asked = {each.request_id: each.at_seconds for each in sent}
    return [
        _ends_at(again)
        - max(_ends_at(first), asked[request_id] + DEADLINE_SECONDS)
        for request_id, found in arrivals.items()
        if request_id in asked
        for first, again in itertools.product(found[:1], found[1:])
        if again["at_seconds"] - first["at_seconds"] > DEADLINE_SLACK_SECONDS
    ]


def _ends_at(arrival: dict[str, Any]) -> float:
    return arrival["at_seconds"] + int(arrival["headers"][DEADLINE]) / 1000


def endpoints_reached(arrivals: dict[str, list[dict[str, Any]]]) -> int:
    """Count the most endpoints that one request arrived at."""
    return max(
        (
            len({each["endpoint"] for each in found})
            for found in arrivals.values()
        ),
        default=0,
    )


def most_arrivals(arrivals: dict[str, list[dict[str, Any]]]) -> int:
    """Count the most arrivals of one request."""
    return max(map(len, arrivals.values()), default=0)


def logged_sends(machines, sent: list[Sent]) -> collections.Counter[str]:
    """Count the sends of each request that the gateways logged."""
    ids = {each.request_id for each in sent}
    return collections.Counter(
        line["request_id"]
        for number in range(len(machines.gateways))
        for line in machines.lines(number)
        if line["event"] == "request_sent" and line["request_id"] in ids
    )


__all__ = [
    "DEADLINE_SLACK_SECONDS",
    "Load",
    "Sent",
    "all_arrivals",
    "arrivals_of",
    "endpoints_reached",
    "late_repeats",
    "logged_sends",
    "most_arrivals",
    "worst_window",
]

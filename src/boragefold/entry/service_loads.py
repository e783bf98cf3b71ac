"""Connects the parts that spread requests over endpoints by their load."""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import NamedTuple

from boragefold.coordination.fleet import members as members_module
from boragefold.coordination.fleet import rejection_news
import boragefold.coordination.link as links
from boragefold.entry import cold_endpoints
from boragefold.entry import room_queue
from boragefold.policy import cold_limit
from boragefold.policy import rejection_limits
from boragefold.policy import service_choice
from boragefold.state import fleet as fleets
from boragefold.telemetry import counters as telemetry
from boragefold.telemetry import decision_log
from boragefold.timing import timers as timing


class ServiceLoads(NamedTuple):
    """Chooses endpoints, queues requests, and tells peers of rejections."""

    choice: service_choice.ServiceChoice
    rooms: room_queue.RoomQueue
    rejections: rejection_news.RejectionNews
    cold: cold_endpoints.ColdEndpoints


def connect(
    *,
    link: links.PeerLink,
    members: members_module.Members,
    fleet: fleets.Fleet,
    timers: timing.TimerService,
    counters: telemetry.Counters,
    log: decision_log.DecisionLog,
    rng: random.Random,
    cold_tolerance: Callable[[], cold_limit.Tolerance],
) -> ServiceLoads:
    """Create the parts of one instance.

    :param link: to the peers
    :param members: the other instances
    :param fleet: the published deployment and endpoints
    :param timers: the process clock
    :param counters: counts the requests that wait
    :param log: gets a line when an endpoint becomes cold
    :param rng: spreads instances over equal endpoints
    :param cold_tolerance: returns the limits of cold endpoints in force
    :return: the parts that requests use
    """
    limits = rejection_limits.RejectionLimits(
        self_address=link.self_id.address, peers=members.reachable_addresses
    )
    return ServiceLoads(
        choice=service_choice.ServiceChoice(rng=rng, limits=limits),
        rooms=room_queue.RoomQueue(timers=timers, counters=counters),
        rejections=rejection_news.RejectionNews(
            link=link, members=members, timers=timers, limits=limits
        ),
        cold=cold_endpoints.ColdEndpoints(
            self_address=link.self_id.address,
            members=members,
            fleet=fleet,
            timers=timers,
            counters=counters,
            log=log,
            tolerance=cold_tolerance,
        ),
    )


__all__ = [
    "ServiceLoads",
    "connect",
]

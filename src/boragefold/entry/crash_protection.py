"""Connects the parts that protect endpoints from requests that crash them."""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import NamedTuple

from boragefold.coordination.fleet import crash_exchange
from boragefold.coordination.fleet import members as members_module
from boragefold.coordination.fleet import suspect_leases
import boragefold.coordination.link as links
from boragefold.entry import crash_detector
from boragefold.entry import quarantine as quarantines
from boragefold.policy import crash_suspects
from boragefold.state import fleet as fleets
from boragefold.telemetry import counters as telemetry
from boragefold.telemetry import decision_log
from boragefold.timing import timers as timing
from boragefold.transport import http_client


class CrashProtection(NamedTuple):
    """Detects crashes, and decides which requests may be sent."""

    detector: crash_detector.CrashDetector
    quarantine: quarantines.Quarantine
    leases: suspect_leases.SuspectLeases


def connect(
    *,
    client: http_client.HttpClient,
    fleet: fleets.Fleet,
    link: links.PeerLink,
    members: members_module.Members,
    timers: timing.TimerService,
    counters: telemetry.Counters,
    log: decision_log.DecisionLog,
    rng: random.Random,
    is_hub: Callable[[], bool],
    check_refusal: crash_detector.CheckRefusal,
) -> CrashProtection:
    """Create the parts of one instance.

    :param client: probes endpoints
    :param fleet: the published endpoints
    :param link: to the peers
    :param members: the other instances
    :param timers: the process clock
    :param counters: counts crashes and quarantined requests
    :param log: gets a line for each decision
    :param rng: staggers trials over the instances
    :param is_hub: whether this instance forwards news of others
    :param check_refusal: tells an endpoint that has ended from a path that
        refuses connections
    :return: the parts that requests use
    """
    suspects = crash_suspects.CrashSuspects(trial_jitter=rng.random())
    exchange = crash_exchange.CrashExchange(
        link=link,
        members=members,
        timers=timers,
        suspects=suspects,
        is_hub=is_hub,
        on_news=lambda: quarantine.update("peer"),
    )
    quarantine = quarantines.Quarantine(
        suspects=suspects,
        timers=timers,
        counters=counters,
        log=log,
        publish=exchange.schedule,
    )
    detector = crash_detector.CrashDetector(
        client=client,
        fleet=fleet,
        timers=timers,
        counters=counters,
        log=log,
        on_crash=quarantine.record_crash,
        on_unproven=quarantine.record_unproven,
        check_refusal=check_refusal,
    )
    leases = suspect_leases.SuspectLeases(
        link=link, members=members, timers=timers
    )
    return CrashProtection(detector, quarantine, leases)


__all__ = [
    "CrashProtection",
    "connect",
]

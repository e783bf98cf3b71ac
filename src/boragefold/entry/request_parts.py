"""Creates the objects that all requests of an instance use."""

from __future__ import annotations

from collections.abc import Callable
import random

from boragefold.coordination.fleet import members as members_module
import boragefold.coordination.link as links
from boragefold.entry import crash_protection
from boragefold.entry import dialect as dialects
from boragefold.entry import engine_dialect
from boragefold.entry import peer_paths
from boragefold.entry import rate_admission
from boragefold.entry import repeats
from boragefold.entry import request_context
from boragefold.entry import service_loads
from boragefold.entry import stream_context
from boragefold.policy import shared_rate
from boragefold.settings import gateway as gateway_settings
from boragefold.state import fleet as fleets
from boragefold.telemetry import counters as telemetry
from boragefold.telemetry import decision_log
from boragefold.timing import timers as timing
from boragefold.transport import http_client


def connect(
    *,
    client: http_client.HttpClient,
    fleet: fleets.Fleet,
    dialect: dialects.Dialect,
    engines: engine_dialect.EngineDialect,
    link: links.PeerLink,
    members: members_module.Members,
    timers: timing.TimerService,
    counters: telemetry.Counters,
    log: decision_log.DecisionLog,
    rng: random.Random,
    loads: service_loads.ServiceLoads,
    paths: peer_paths.PeerPaths,
    rate: shared_rate.SharedRate,
    settings: Callable[[], gateway_settings.GatewaySettings],
    is_hub: Callable[[], bool],
    data_centre: str,
) -> request_context.RequestContext:
    """Create and connect the parts of one instance that requests use.

    :param client: sends the calls to endpoints
    :param fleet: the published deployment and endpoints
    :param dialect: encodes and decodes HTTP of callers and endpoints
    :param engines: encodes and decodes reports of engines
    :param link: to the peers
    :param members: the other instances
    :param timers: the process clock
    :param counters: counts what is decided
    :param log: gets a line for each decision
    :param rng: spreads what instances do at once
    :param loads: chooses endpoints by their load
    :param paths: finds paths to endpoints
    :param rate: the workspaces' rates
    :param settings: returns those in force
    :param is_hub: whether this instance forwards news of others
    :param data_centre: where this instance is
    :return: the parts
    """
    crashes = crash_protection.connect(
        client=client,
        fleet=fleet,
        link=link,
        members=members,
        timers=timers,
        counters=counters,
        log=log,
        rng=rng,
        is_hub=is_hub,
        check_refusal=paths.refusals.begin,
    )
    paths.use_detector(crashes.detector)
    return request_context.RequestContext(
        fleet=fleet,
        dialect=dialect,
        client=client,
        timers=timers,
        counters=counters,
        log=log,
        choice=loads.choice,
        repeats=repeats.connect(
            settings=settings,
            members=members,
            timers=timers,
            counters=counters,
            log=log,
            rng=rng,
        ),
        rate=rate,
        rate_admission=rate_admission.RateAdmission(rate=rate, timers=timers),
        crashes=crashes,
        reach=paths.reach,
        rooms=loads.rooms,
        rejections=loads.rejections,
        cold=loads.cold,
        streams=stream_context.connect(
            client=client,
            fleet=fleet,
            dialect=engines,
            link=link,
            members=members,
            timers=timers,
            counters=counters,
        ),
        data_centre=data_centre,
    )


__all__ = [
    "connect",
]

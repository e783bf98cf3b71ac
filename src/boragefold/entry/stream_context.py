"""Connects the parts that know where streams began and may go on."""

from __future__ import annotations

from typing import NamedTuple

from boragefold.coordination.fleet import members as members_module
from boragefold.coordination.fleet import stream_origins
import boragefold.coordination.link as links
from boragefold.entry import endpoint_lives
from boragefold.entry import engine_dialect
from boragefold.state import fleet as fleets
from boragefold.telemetry import counters as telemetry
from boragefold.timing import timers as timing
from boragefold.transport import http_client


class StreamContext(NamedTuple):
    """Knows the lives of endpoints and the origins of streams."""

    lives: endpoint_lives.EndpointLives
    origins: stream_origins.StreamOrigins


def connect(
    *,
    client: http_client.HttpClient,
    fleet: fleets.Fleet,
    dialect: engine_dialect.EngineDialect,
    link: links.PeerLink,
    members: members_module.Members,
    timers: timing.TimerService,
    counters: telemetry.Counters,
) -> StreamContext:
    """Create the parts of one instance.

    :param client: asks endpoints for reports
    :param fleet: the published endpoints
    :param dialect: writes these calls and reads the reports
    :param link: to the peers
    :param members: the other instances
    :param timers: the process clock
    :param counters: counts the reports
    :return: the parts that requests use
    """
    return StreamContext(
        lives=endpoint_lives.EndpointLives(
            client=client,
            fleet=fleet,
            dialect=dialect,
            timers=timers,
            counters=counters,
        ),
        origins=stream_origins.StreamOrigins(
            link=link, members=members, timers=timers
        ),
    )


__all__ = [
    "StreamContext",
    "connect",
]

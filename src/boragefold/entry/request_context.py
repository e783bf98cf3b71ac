"""Objects that all requests use, and the data of an admitted request."""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

from boragefold.coordination.fleet import rejection_news
from boragefold.entry import cold_endpoints
from boragefold.entry import crash_protection
from boragefold.entry import dialect as dialects
from boragefold.entry import endpoint_reach
from boragefold.entry import rate_admission as rate_admissions
from boragefold.entry import repeats as repeats_module
from boragefold.entry import request_guard
from boragefold.entry import room_queue
from boragefold.entry import stream_context
from boragefold.policy import rate_verdict
from boragefold.policy import service_choice
from boragefold.policy import shared_rate
from boragefold.state import deployment
from boragefold.state import fleet as fleets
from boragefold.telemetry import counters as telemetry
from boragefold.telemetry import decision_log
from boragefold.timing import timers as timing
from boragefold.transport import http_client


class RequestContext(NamedTuple):
    """Objects that all requests of an instance use."""

    fleet: fleets.Fleet
    dialect: dialects.Dialect
    client: http_client.HttpClient
    timers: timing.TimerService
    counters: telemetry.Counters
    log: decision_log.DecisionLog
    choice: service_choice.ServiceChoice
    repeats: repeats_module.Repeats
    rate: shared_rate.SharedRate
    rate_admission: rate_admissions.RateAdmission
    crashes: crash_protection.CrashProtection
    reach: endpoint_reach.EndpointReach
    rooms: room_queue.RoomQueue
    rejections: rejection_news.RejectionNews
    cold: cold_endpoints.ColdEndpoints
    streams: stream_context.StreamContext
    data_centre: str


@dataclasses.dataclass(kw_only=True)
class AdmittedRequest:
    """An admitted request with its route, service, workspace and charge.

    ``origin`` is the life of an endpoint that sent the first event of the
    stream that the request takes up, None if it takes up none. ``rate_basis``
    is what its admission went by, None without a rate limit.
    """

    request: dialects.CallerRequest
    route: deployment.Route
    service: deployment.Service
    workspace: deployment.Workspace | None
    arrived_at_seconds: float
    charged: float
    guard: request_guard.RequestGuard
    origin: deployment.EndpointLife | None = None
    rate_basis: rate_verdict.Basis | None = None


__all__ = [
    "AdmittedRequest",
    "RequestContext",
]

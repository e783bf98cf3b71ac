"""Parses, authorises and rate-limits callers' requests and forwards them."""

from __future__ import annotations

import functools
import random
from typing import NamedTuple

import xxhash

from boragefold.entry import dialect as dialects
from boragefold.entry import engine_forwarding
from boragefold.entry import engine_owner
from boragefold.entry import owner_client
from boragefold.entry import quarantine as quarantines
from boragefold.entry import rate_admission
from boragefold.entry import refusals
from boragefold.entry import request_context
from boragefold.entry import request_fingerprint
from boragefold.entry import request_guard
from boragefold.entry import service_forwarding
from boragefold.entry import stream_take_up
from boragefold.policy import rate_verdict
from boragefold.protocol import ids
from boragefold.state import deployment
from boragefold.telemetry import line_rate
from boragefold.transport import http_server

# An instance receives its configuration within a second of its start.
STARTING_RETRY_SECONDS = 0.5

# Callers can cause refusals at any rate.
REFUSAL_LINES_PER_SECOND = 300.0


class Arrival(NamedTuple):
    """A caller's request with what its route and key say of it."""

    request: dialects.CallerRequest
    exchange: http_server.Exchange
    current: deployment.Deployment
    route: deployment.Route
    workspace: deployment.Workspace | None
    at_seconds: float


class Gateway:
    """Decides which requests are admitted, and forwards those."""

    def __init__(
        self,
        *,
        context: request_context.RequestContext,
        client: owner_client.OwnerClient,
        owner: engine_owner.EngineOwner,
        self_id: ids.InstanceId,
        rng: random.Random,
    ) -> None:
        """Create a gateway that is ready for requests.

        :param context: objects that all requests use
        :param client: asks the engines' owners for an engine
        :param owner: manages the engines that this instance owns
        :param self_id: id of this instance
        :param rng: chooses among a route's services by weight
        """
        self._context = context
        self._owner_client = client
        self._owner = owner
        self._self_id = self_id
        self._rng = rng
        self._refusal_lines = line_rate.LineRate(
            per_second=REFUSAL_LINES_PER_SECOND
        )

    def handle(
        self, request: http_server.Request, exchange: http_server.Exchange
    ) -> None:
        """Handle a request; it gets exactly one final response.

        :param request: as received
        :param exchange: takes the response
        """
        parsed = self._context.dialect.read_request(request)
        if isinstance(parsed, dialects.Malformed):
            self._refuse(exchange, None, refusals.MALFORMED, parsed.reason)
            return
        current = self._context.fleet.deployment
        if current is None:
            self._refuse(
                exchange,
                parsed,
                refusals.NOT_RUN,
                "starting",
                STARTING_RETRY_SECONDS,
            )
            return
        route = current.route_of(parsed.host, parsed.path)
        if route is None:
            self._refuse(exchange, parsed, refusals.NO_ROUTE, "no_route")
            return
        workspace = current.workspace_of(parsed.key)
        if workspace is None and current.workspaces and not route.public:
            self._refuse(exchange, parsed, refusals.NO_KEY, "key_unknown")
            return
        arrival = Arrival(
            request=parsed,
            exchange=exchange,
            current=current,
            route=route,
            workspace=workspace,
            at_seconds=self._context.timers.now_seconds(),
        )
        if not stream_take_up.is_take_up(parsed, route):
            self._admit(arrival)
            return
        stream_take_up.begin(
            parsed,
            route,
            workspace,
            context=self._context,
            on_decided=lambda take_up: self._take_up(arrival, take_up),
        )

    def _take_up(
        self, arrival: Arrival, take_up: stream_take_up.TakeUp
    ) -> None:
        if arrival.exchange.finished:
            # The caller left meanwhile.
            return
        if take_up.refusal is None:
            self._admit(arrival, take_up.origin)
            return
        self._refuse(
            arrival.exchange,
            arrival.request,
            take_up.refusal,
            take_up.reason,
            take_up.retry_after_seconds,
        )

    def _admit(
        self,
        arrival: Arrival,
        origin: deployment.EndpointLife | None = None,
    ) -> None:
        request, exchange, current, route, workspace, at_seconds = arrival
        if exchange.has_caller_left():
            # The loop closes the exchange when it reads the connection's end.
            self._context.counters.add("requests_abandoned", route.kind.value)
            return
        name = origin.service if origin else self._pick_service(route)
        service = current.services.get(name)
        if service is None:
            self._refuse(
                exchange, request, refusals.NOT_RUN, "service_unknown"
            )
            return
        guard = request_guard.RequestGuard(
            quarantine=self._context.crashes.quarantine,
            request_id=request.request_id,
            compute_fingerprint=lambda: request_fingerprint.compute(
                request, workspace
            ),
            shared_parts=request.shared_parts,
        )
        verdict = guard.refusal()
        if verdict is not None:
            self._refuse(
                exchange,
                request,
                refusals.QUARANTINED,
                quarantines.REASON,
                verdict.retry_after_seconds,
            )
            return
        admitted = request_context.AdmittedRequest(
            request=request,
            route=route,
            service=service,
            workspace=workspace,
            arrived_at_seconds=at_seconds,
            charged=_charge(workspace, request),
            guard=guard,
            origin=origin,
        )
        if workspace is None:
            self._forward(admitted, exchange)
            return
        # Until it is forwarded, nothing else answers it when the process ends.
        exchange.on_given_up = functools.partial(
            self._refuse, exchange, request, refusals.NOT_RUN, "stopping"
        )
        self._context.rate_admission.admit(
            rate_admission.Held(
                workspace=workspace,
                amount=admitted.charged,
                is_wanted=lambda: not exchange.finished,
                on_decided=lambda verdict: self._on_rate_decided(
                    admitted, exchange, verdict
                ),
            )
        )

    def _on_rate_decided(
        self,
        admitted: request_context.AdmittedRequest,
        exchange: http_server.Exchange,
        verdict: rate_verdict.Verdict,
    ) -> None:
        admitted.rate_basis = verdict.basis
        if verdict.admitted:
            self._forward(admitted, exchange)
            return
        self._refuse(
            exchange,
            admitted.request,
            refusals.OVER_RATE,
            "rate_exceeded",
            verdict.wait_seconds,
            rate=verdict.basis and verdict.basis.log_fields(charged=0.0),
        )

    def _forward(
        self,
        admitted: request_context.AdmittedRequest,
        exchange: http_server.Exchange,
    ) -> None:
        adapter = admitted.request.adapter
        if admitted.service.engine is None or adapter is None:
            service_forwarding.ServiceForwarding(
                admitted=admitted, exchange=exchange, context=self._context
            ).start()
            return
        engine_forwarding.EngineForwarding(
            admitted=admitted,
            exchange=exchange,
            context=self._context,
            client=self._owner_client,
            owner=self._owner,
            adapter=adapter,
            self_id=self._self_id,
        ).start()

    def _pick_service(self, route: deployment.Route) -> str:
        weights = [each.weight for each in route.services]
        if len(weights) == 1 or sum(weights) <= 0:
            return route.services[0].service
        return self._rng.choices(route.services, weights)[0].service

    def _refuse(
        self,
        exchange: http_server.Exchange,
        request: dialects.CallerRequest | None,
        kind: refusals.ErrorKind,
        reason: str,
        retry_after_seconds: float = refusals.RETRY_AFTER_SECONDS,
        **fields: object,
    ) -> None:
        context = self._context
        context.counters.add("requests_refused", reason)
        if self._refusal_lines.allows(
            now_seconds=context.timers.now_seconds()
        ):
            self._log_refusal(
                request, kind, reason, retry_after_seconds, **fields
            )
        else:
            context.counters.add("log_lines_lost", "thinned")
        refusals.send_error(
            exchange,
            kind,
            reason,
            retry_after_seconds=retry_after_seconds,
            headers=context.dialect.refusal_headers(request),
        )

    def _log_refusal(
        self,
        request: dialects.CallerRequest | None,
        kind: refusals.ErrorKind,
        reason: str,
        retry_after_seconds: float,
        **fields: object,
    ) -> None:
        context = self._context
        context.log.write(
            "request_refused",
            request_id=request.request_id if request else "",
            reason=reason,
            status=kind.status,
            key_digest=_digest(request.key) if request else "",
            deployment_version=(
                context.fleet.deployment and context.fleet.deployment.version
            ),
            retry_after_seconds=round(retry_after_seconds, 3),
            **fields,
        )


def _charge(
    workspace: deployment.Workspace | None, request: dialects.CallerRequest
) -> float:
    if workspace is None:
        return 0.0
    if not workspace.in_tokens:
        return 1.0
    if request.usage_tokens is None:
        return workspace.plain_tokens
    return request.usage_tokens


def _digest(key: str) -> str:
    # Keys are never logged; a short digest is enough to compare two lines.
    return xxhash.xxh3_64_hexdigest(key.encode())[:8] if key else ""


__all__ = [
    "Gateway",
]

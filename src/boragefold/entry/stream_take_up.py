"""Decides whether a caller's request may take up a stream that broke off."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from boragefold.coordination.fleet import stream_origins
from boragefold.entry import dialect as dialects
from boragefold.entry import refusals
from boragefold.entry import request_context
from boragefold.entry import request_sendings
from boragefold.entry import stream_keys
from boragefold.state import deployment

# Keepers that were silent may be heard again by then.
SILENT_RETRY_SECONDS = 0.5
UNNAMED = "unnamed"
MOVED = "moved"


class TakeUp(NamedTuple):
    """The decision on one request; ``refusal`` is None if it may go on."""

    origin: deployment.EndpointLife | None
    outcome: str
    refusal: refusals.ErrorKind | None
    retry_after_seconds: float = refusals.RETRY_AFTER_SECONDS

    @property
    def reason(self) -> str:
        """Return why the stream isn't taken up.

        :return: the reason that the caller is given
        """
        return f"stream_{self.outcome}"


OnDecided = Callable[[TakeUp], None]


def is_take_up(
    request: dialects.CallerRequest, route: deployment.Route
) -> bool:
    """Tell whether a request takes up a stream.

    :param request: the request
    :param route: its route
    :return: whether its caller has events of the stream already
    """
    return route.streams and bool(request.last_event_id or request.resumes)


def decide(
    found: stream_origins.FoundOrigin, route: deployment.Route
) -> TakeUp:
    """Decide by what is known of the stream's beginning.

    :param found: the result of the search
    :param route: the route of the request
    :return: the decision
    """
    source, origin = found.source, found.origin
    if origin is None and source is stream_origins.Source.SILENT:
        return TakeUp(
            None, source.value, refusals.NOT_RUN, SILENT_RETRY_SECONDS
        )
    if origin is None:
        return TakeUp(None, source.value, refusals.STREAM_UNKNOWN)
    if origin.service not in (each.service for each in route.services):
        return TakeUp(None, MOVED, refusals.STREAM_UNKNOWN)
    return TakeUp(origin, source.value, None)


def begin(
    request: dialects.CallerRequest,
    route: deployment.Route,
    workspace: deployment.Workspace | None,
    *,
    context: request_context.RequestContext,
    on_decided: OnDecided,
) -> None:
    """Find out where a stream began that a request takes up.

    :param request: the request
    :param route: its route
    :param workspace: the workspace that sent it, None for a public route
    :param context: what all requests use
    :param on_decided: called once, perhaps inside this call
    """

    def on_found(found: stream_origins.FoundOrigin) -> None:
        on_decided(_log(decide(found, route), found, request, context))

    if request.resumes:
        key = stream_keys.compute(request.resumes, route, workspace)
        context.streams.origins.find(key, on_found)
    else:
        on_decided(
            _log(
                TakeUp(None, UNNAMED, refusals.STREAM_UNNAMED),
                None,
                request,
                context,
            )
        )


def _log(
    take_up: TakeUp,
    found: stream_origins.FoundOrigin | None,
    request: dialects.CallerRequest,
    context: request_context.RequestContext,
) -> TakeUp:
    origin = take_up.origin
    context.counters.add("streams_taken_up", take_up.outcome)
    context.log.write(
        "stream_taken_up",
        request_id=request.request_id,
        resumes=request.resumes[: request_sendings.MAX_LOGGED_ID],
        resume_after=request.last_event_id[: request_sendings.MAX_LOGGED_ID],
        outcome=take_up.outcome,
        allowed=take_up.refusal is None,
        asked=0 if found is None else found.asked,
        took_seconds=0.0 if found is None else round(found.took_seconds, 4),
        began_at="" if origin is None else origin.endpoint,
        born_milliseconds=0 if origin is None else origin.born_milliseconds,
        software_version="" if origin is None else origin.software_version,
    )
    return take_up


__all__ = [
    "TakeUp",
    "begin",
    "decide",
    "is_take_up",
]

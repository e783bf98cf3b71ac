"""Keeps the stream of one request at the software version that began it."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from boragefold.entry import endpoint_lives
from boragefold.entry import request_context
from boragefold.entry import stream_keys
from boragefold.policy import stream_origin
from boragefold.state import deployment
from boragefold.transport import http_client

# A caller comes back within its deadline, counted by its own clock.
KEEP_SLACK_SECONDS = 10.0
# Callers state their deadlines.
MAX_KEEP_SECONDS = 600.0

OnAllowed = Callable[[http_client.ClientConnection | None], None]


class Arrival(NamedTuple):
    """Where the events of a stream came from."""

    record: deployment.EndpointRecord
    connection: http_client.ClientConnection


class StreamContinuity:
    """Decides where the stream of one request may begin or go on.

    From its first event on, a stream goes on only where the life that sent
    that event is known, and the endpoint's present life is confirmed to fit.
    """

    def __init__(
        self,
        *,
        admitted: request_context.AdmittedRequest,
        context: request_context.RequestContext,
    ) -> None:
        """Begin without an event, or at the stream that is taken up.

        :param admitted: the request
        :param context: what all requests use
        """
        self._admitted = admitted
        self._context = context
        self._binding = stream_origin.StreamBinding()
        self._unconfirmed: set[str] = set()
        self._published = False
        self._began: Arrival | None = None
        self._reads_late = False
        if admitted.origin is not None:
            self._binding.identify(admitted.origin)

    @property
    def bound(self) -> bool:
        """Tell whether the caller has an event of the stream.

        :return: whether it may go on only at some endpoints
        """
        return self._binding.bound

    def allows(self, endpoint: str) -> bool:
        """Tell whether the stream may begin or go on at an endpoint.

        :param endpoint: its name
        :return: whether it may, if the endpoint's entry is up to date
        """
        if not self.bound:
            return True
        self._complete_origin()
        record = self._context.fleet.endpoint(endpoint)
        return (
            record is not None
            and endpoint not in self._unconfirmed
            and (self._is_observed or self._binding.allows(record.life))
        )

    def lacks_endpoint(self) -> bool:
        """Tell whether no endpoint of the stream's version serves.

        :return: whether the stream can't go on anywhere
        """
        return self.bound and not any(
            self.allows(record.name)
            for record in self._context.fleet.endpoints_of(
                self._admitted.service.name, self._admitted.request.adapter
            )
        )

    def confirm(
        self, record: deployment.EndpointRecord, on_allowed: OnAllowed
    ) -> None:
        """Confirm that the stream may go on at an endpoint now.

        :param record: the endpoint
        :param on_allowed: called once, never inside this call, with the only
            connection on which the rest may be asked for; None if the stream
            may not go on there
        """
        self._context.streams.lives.confirm(
            record,
            lambda confirmed: self._judge(record, confirmed, on_allowed),
        )

    def record_sent(
        self,
        record: deployment.EndpointRecord,
        connection: http_client.ClientConnection | None,
    ) -> None:
        """Find out which life the first event will be of.

        :param record: the endpoint that the request was written to
        :param connection: the one that it was written on
        """
        if self._awaits_origin and connection is not None:
            self._context.streams.lives.observe(record, connection)

    def record_events(
        self,
        record: deployment.EndpointRecord,
        connection: http_client.ClientConnection | None,
    ) -> None:
        """Bind the stream to the life that sends it, and tell its keepers.

        :param record: the endpoint that sent the events
        :param connection: the one that they came on
        """
        if self._published or not self._admitted.route.resumable:
            return
        self._binding.bind()
        if (
            self._awaits_origin
            and connection is not None
            and not self._reads_late
        ):
            self._began = Arrival(record, connection)
            self._identify(self._began)
            if self._awaits_origin:
                self._context.streams.lives.observe(record, connection)
        if self._binding.origin is not None:
            self._publish(self._binding.origin)

    def record_pause(self) -> None:
        """Record that events may be read long after they came."""
        self._reads_late = True
        self._began = None

    @property
    def _awaits_origin(self) -> bool:
        return self._admitted.route.resumable and self._binding.origin is None

    @property
    def _is_observed(self) -> bool:
        # Where the stream is to go on, its origin is asked for once more.
        return (
            self._awaits_origin
            and self._began is not None
            and self._context.streams.lives.is_observed(
                self._began.record.name
            )
        )

    def _complete_origin(self) -> None:
        # Reports come after the first events, and after short streams.
        if self._awaits_origin and self._began is not None:
            self._identify(self._began)
        # The entry of a new life comes after its first answers.
        origin = self._binding.origin
        if origin is not None:
            stated = self._context.fleet.endpoint(origin.endpoint)
            if stated is not None:
                self._binding.complete(stated.life)

    def _identify(self, began: Arrival) -> None:
        life = self._context.streams.lives.find(
            began.record.name, began.connection
        )
        if life is None:
            return
        self._binding.identify(life)
        self._context.log.write_ordinary(
            "stream_bound",
            request_id=self._admitted.request.request_id,
            endpoint=life.endpoint,
            born_milliseconds=life.born_milliseconds,
            software_version=life.software_version,
        )

    def _publish(self, origin: deployment.EndpointLife) -> None:
        self._published = True
        admitted, context = self._admitted, self._context
        deadline_seconds = admitted.request.deadline_seconds
        if deadline_seconds is None:
            deadline_seconds = admitted.route.timeout_seconds
        context.streams.origins.publish(
            stream_keys.compute(
                admitted.request.request_id, admitted.route, admitted.workspace
            ),
            origin,
            keep_seconds=min(
                deadline_seconds + KEEP_SLACK_SECONDS, MAX_KEEP_SECONDS
            ),
        )
        if admitted.origin is not None:
            context.counters.add("streams_taken_up", "went_on")

    def _judge(
        self,
        record: deployment.EndpointRecord,
        confirmed: endpoint_lives.ConfirmedLife | None,
        on_allowed: OnAllowed,
    ) -> None:
        self._complete_origin()
        origin = self._binding.origin
        allowed = confirmed is not None and self._binding.allows(
            confirmed.life
        )
        if not allowed:
            self._unconfirmed.add(record.name)
        self._context.counters.add(
            "continuations", "allowed" if allowed else "not_allowed"
        )
        self._context.log.write(
            "continuation_decided",
            request_id=self._admitted.request.request_id,
            endpoint=record.name,
            allowed=allowed,
            began=_describe(origin),
            stated=_describe(record.life),
            present=_describe(confirmed and confirmed.life),
        )
        on_allowed(
            confirmed.connection if confirmed is not None and allowed else None
        )


def _describe(life: deployment.EndpointLife | None) -> dict[str, object]:
    if life is None:
        return {}
    return {
        "endpoint": life.endpoint,
        "born_milliseconds": life.born_milliseconds,
        "software_version": life.software_version,
    }


__all__ = [
    "StreamContinuity",
]

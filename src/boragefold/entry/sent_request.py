"""A request that is sent to one endpoint after the other."""

from __future__ import annotations

from boragefold.entry import attempt as attempts
from boragefold.entry import dialect as dialects
from boragefold.entry import endpoint_call
from boragefold.entry import guarded_request
from boragefold.entry import request_context
from boragefold.entry import request_sendings
from boragefold.entry import stream_continuity
from boragefold.state import deployment
from boragefold.transport import http_client


class SentRequest(guarded_request.GuardedRequest):
    """Sends a request wherever it may be sent, and remembers where it was."""

    def __init__(
        self,
        *,
        admitted: request_context.AdmittedRequest,
        context: request_context.RequestContext,
    ) -> None:
        """Send nothing yet.

        :param admitted: the request
        :param context: what all requests use
        """
        super().__init__(admitted=admitted, context=context)
        self._attempt: attempts.Attempt | None = None
        self._sent_to: list[str] = []
        self._unreachable: set[str] = set()
        self.sendings = request_sendings.RequestSendings(
            repeats=context.repeats,
            request_id=admitted.request.request_id,
            service=admitted.service.name,
            counters=context.counters,
            log=context.log,
        )
        self.continuity = stream_continuity.StreamContinuity(
            admitted=admitted, context=context
        )
        self._sent_at_seconds = admitted.arrived_at_seconds

    def waited_seconds(self) -> float:
        """Return the time from the caller's request to the last attempt.

        :return: seconds
        """
        return self._sent_at_seconds - self.admitted.arrived_at_seconds

    def may_send_to(self, endpoint: str) -> bool:
        """Tell whether the request may be sent to an endpoint.

        :param endpoint: name of the endpoint
        :return: whether its software version may send the rest, it is
            reachable, and was tried before or the route's limit on the number
            of endpoints allows one more
        """
        if endpoint in self._unreachable:
            return False
        if not self.continuity.allows(endpoint):
            return False
        if self.context.reach.is_down(endpoint):
            return False
        if endpoint in self._sent_to:
            return True
        return len(set(self._sent_to)) < self.admitted.route.max_attempts

    def is_key_valid(self) -> bool:
        """Tell whether the API key of the request is still valid.

        It may have been revoked while the request was queued.

        :return: whether it is valid, or no key was required
        """
        current = self.context.fleet.deployment
        workspace = self.admitted.workspace
        if workspace is None or current is None:
            return True
        holder = current.workspace_of(self.admitted.request.key)
        return holder is not None and holder.name == workspace.name

    def send(self, record: deployment.EndpointRecord, version: int) -> None:
        """Send the request to an endpoint, unless it is quarantined.

        :param record: the endpoint
        :param version: version of the adapter, 0 for any
        """
        if not self.continuity.bound:
            self._send(record, version, None)
        elif not self.continuity.allows(record.name):
            # The endpoint has changed since it was chosen.
            self.begin()
        else:
            self.continuity.confirm(
                record,
                lambda connection: self._on_confirmed(
                    record, version, connection
                ),
            )

    def _on_confirmed(
        self,
        record: deployment.EndpointRecord,
        version: int,
        connection: http_client.ClientConnection | None,
    ) -> None:
        if self.finished:
            return
        if connection is None:
            self.begin()
        else:
            self._send(record, version, connection)

    def _send(
        self,
        record: deployment.EndpointRecord,
        version: int,
        connection: http_client.ClientConnection | None,
    ) -> None:
        admitted, context = self.admitted, self.context
        if not self._may_send():
            return
        if self._sent_to:
            context.counters.add(
                "requests_repeated", admitted.route.kind.value
            )
        self._sent_to.append(record.name)
        self._sent_at_seconds = context.timers.now_seconds()
        attempt = attempts.Attempt(
            forwarding=self, record=record, version=version
        )
        self._attempt = attempt
        workspace = admitted.workspace
        target = dialects.EndpointTarget(
            record=record,
            workspace="" if workspace is None else workspace.name,
            version=version,
            resume_after=self.resume_after,
        )
        call = endpoint_call.create(
            target,
            admitted=admitted,
            dialect=context.dialect,
            may_send=lambda: self._may_write(record),
            remaining_seconds=self.remaining_seconds,
            is_repeat=self.sendings.count > 0,
            connection=connection,
        )
        attempt.begin(call)

    def _is_running(self) -> bool:
        return self._attempt is not None and self._attempt.running

    def _is_evacuated(self, record: deployment.EndpointRecord) -> bool:
        return self.context.fleet.is_evacuated(
            record, self.admitted.request.adapter
        )

    def _has_left(self, endpoint: str) -> bool:
        record = self.context.fleet.endpoint(endpoint)
        return record is None or record.leaving

    def _may_write(self, record: deployment.EndpointRecord) -> bool:
        # The endpoint may have said that it leaves while the connection to it
        # was opened.
        return (
            not self.finished
            and not self._has_left(record.name)
            and not self._is_evacuated(record)
            and self.sendings.may_write()
            and self.admitted.guard.may_write()
        )

    def _record_unreachable(self, endpoint: str) -> None:
        self._sent_to.remove(endpoint)
        record = self.context.fleet.endpoint(endpoint)
        if record is not None and self._is_evacuated(record):
            # The request wasn't written for this reason, and may be later.
            return
        self._unreachable.add(endpoint)
        if not self._has_left(endpoint):
            self.context.choice.unreachable(
                endpoint, now_seconds=self.context.timers.now_seconds()
            )


__all__ = [
    "SentRequest",
]

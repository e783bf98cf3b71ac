"""Forwards a request to the least loaded endpoint of a plain service."""

from __future__ import annotations

from boragefold.entry import dialect as dialects
from boragefold.entry import forwarding
from boragefold.entry import refusals
from boragefold.state import deployment


class ServiceForwarding(forwarding.Forwarding):
    """Forwards a request to an endpoint of a plain service, never queued."""

    def begin(self) -> None:
        """Choose an endpoint and send the request, or refuse the request."""
        if not self.is_key_valid():
            self.refuse(refusals.NO_KEY, "key_withdrawn")
            return
        record = self._choose()
        if record is None:
            self.refuse(refusals.NOT_RUN, "no_endpoint")
            return
        self.send(record, version=0)

    def can_try_another(self) -> bool:
        """Tell whether the request could be sent to another endpoint.

        :return: whether one is available and the route allows another attempt
        """
        return self._choose() is not None

    def on_answer_started(self) -> None:
        """Do nothing: no schedule tracks the request."""

    def on_attempt_rejected(
        self, endpoint: str, facts: dialects.AnswerFacts
    ) -> None:
        """Retry or refuse a request that an endpoint didn't run.

        :param endpoint: name of the endpoint
        :param facts: information from its response headers
        """
        reason = "endpoint_leaving" if facts.leaving else "endpoint_full"
        if self.can_try_another() and self.try_retry(
            endpoint, may_have_run=False
        ):
            self.begin()
        else:
            self.refuse(refusals.NOT_RUN, reason)

    def _choose(self) -> deployment.EndpointRecord | None:
        context = self.context
        candidates = {
            record.name: record
            for record in context.fleet.endpoints_of(
                self.admitted.service.name
            )
            if record.name not in self._sent_to
            and self.may_send_to(record.name)
        }
        name = context.choice.choose(
            (
                (
                    record.name,
                    record.slots,
                    record.data_centre == context.data_centre,
                )
                for record in candidates.values()
            ),
            now_seconds=context.timers.now_seconds(),
        )
        return None if name is None else candidates[name]

    def _on_finished(self) -> None:
        """Do nothing: no other object holds resources for the request."""


__all__ = [
    "ServiceForwarding",
]

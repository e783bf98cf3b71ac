"""A request that may have crashed the endpoints that ran it."""

from __future__ import annotations

import abc

from boragefold.entry import attempt_owner
from boragefold.entry import quarantine as quarantines
from boragefold.entry import refusals
from boragefold.entry import request_context
from boragefold.entry import request_lease
from boragefold.policy import crash_causes
from boragefold.policy import crash_verdict

# Another copy of the request runs for too long.
COPY_RUNNING = "copy_running"


class GuardedRequest(attempt_owner.AttemptOwner, quarantines.WaitingRequest):
    """Begins a request unless it is quarantined or a copy of it is sent."""

    def __init__(
        self,
        *,
        admitted: request_context.AdmittedRequest,
        context: request_context.RequestContext,
    ) -> None:
        """Watch for crashes under the request.

        :param admitted: the request
        :param context: what all requests use
        """
        self.admitted = admitted
        self.context = context
        self._lease = request_lease.RequestLease(
            guard=admitted.guard,
            leases=context.crashes.leases,
            remaining_seconds=self.remaining_seconds,
            begin=self.begin,
            refuse=lambda: self.refuse(refusals.NOT_RUN, COPY_RUNNING),
        )
        context.crashes.quarantine.watch(self)

    @abc.abstractmethod
    def _is_running(self) -> bool:
        """Tell whether the request runs at an endpoint.

        :return: whether its answer may still come
        """

    @abc.abstractmethod
    def _withdraw(self) -> None:
        """Give the endpoint back that the request isn't sent to for now."""

    def start(self) -> None:
        """Begin the request, or let it wait while a copy of it is sent."""
        if not self._lease.is_missing:
            self.begin()
        elif not self._refuse_if_quarantined():
            guard = self.admitted.guard
            self.context.log.write(
                "suspect_waits",
                request_id=self.admitted.request.request_id,
                fingerprint=crash_causes.describe(guard.fingerprint),
                crashes=guard.count_crashes(),
            )
            self._lease.request()

    def on_quarantine(self) -> None:
        """Refuse the request if it waits and is quarantined now."""
        if not self._is_running():
            self._refuse_if_quarantined()

    def _may_send(self) -> bool:
        """Decide right before the request is sent, perhaps as a trial.

        :return: whether it is sent now; it waits or is refused otherwise
        """
        if self._lease.is_missing:
            self._withdraw()
            self.start()
            return False
        return not self._refuse(self.admitted.guard.begin_sending())

    def _end_guard(self, *, settles: bool) -> None:
        """Stop watching for crashes, and give the lease back.

        :param settles: whether it may turn out only now that the request
            crashed its endpoint
        """
        self.context.crashes.quarantine.unwatch(self)
        self._lease.close(settles=settles)

    def _refuse_if_quarantined(self) -> bool:
        return self._refuse(self.admitted.guard.refusal())

    def _refuse(self, verdict: crash_verdict.Verdict | None) -> bool:
        if verdict is None:
            return False
        self.refuse(
            refusals.QUARANTINED,
            quarantines.REASON,
            verdict.retry_after_seconds,
        )
        return True


__all__ = [
    "GuardedRequest",
]

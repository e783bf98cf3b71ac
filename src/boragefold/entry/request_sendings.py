"""The sendings of one request, and the right to a further one."""

from __future__ import annotations

from typing import NamedTuple

from boragefold.entry import repeats as repeats_module
from boragefold.policy import repeat_budget
from boragefold.policy import repeat_decision
from boragefold.telemetry import counters as telemetry
from boragefold.telemetry import decision_log

# Callers and endpoints choose the IDs of events.
MAX_LOGGED_ID = 40


class Written(NamedTuple):
    """A request as it was written to a connection.

    ``version`` is that of the adapter, 0 for any. ``connecting_seconds`` is
    how long it took to get the connection. ``published_age_seconds`` is how
    old what this instance knows of the endpoints is, ``chosen_revision`` that
    of the endpoint's entry when it was chosen, and ``entry_revision`` when the
    request was written. ``software_version`` and
    ``born_milliseconds`` are those of the endpoint by its entry,
    ``resume_after`` is the event after which a stream is to go on.
    """

    endpoint: str
    software_version: str
    born_milliseconds: int
    resume_after: str
    version: int
    reused_connection: bool
    connecting_seconds: float
    waited_seconds: float
    remaining_seconds: float
    published_age_seconds: float = 0.0
    chosen_revision: int = 0
    entry_revision: int = 0


class RequestSendings:
    """Counts the sendings of one request, and holds the permit for the next.

    ``count`` is how often it was written to a connection, ``may_have_run``
    whether it may have run at an endpoint.
    """

    def __init__(
        self,
        *,
        repeats: repeats_module.Repeats,
        request_id: str,
        service: str,
        counters: telemetry.Counters,
        log: decision_log.DecisionLog,
    ) -> None:
        """Record that a caller sent a request.

        :param repeats: decides for all requests
        :param request_id: of the request
        :param service: name of the service that is to serve it
        :param counters: counts sendings
        :param log: gets a line for each of them
        """
        self._repeats = repeats
        self._request_id = request_id
        self._service = service
        self._counters = counters
        self._log = log
        self._permit: repeat_budget.Permit | None = None
        self.count = 0
        self.may_have_run = False
        repeats.record_request(service)

    def may_repeat(
        self, inputs: repeat_decision.RepeatInputs, endpoint: str
    ) -> bool:
        """Decide whether the request is sent once more.

        :param inputs: what is known of it
        :param endpoint: name of the endpoint that didn't serve it
        :return: whether it is
        """
        self.may_have_run |= inputs.may_have_run
        self.close()
        self._permit = self._repeats.decide(
            inputs,
            request_id=self._request_id,
            service=self._service,
            endpoint=endpoint,
        )
        return self._permit is not None

    def may_write(self) -> bool:
        """Tell whether the request may be written to a connection now.

        :return: whether it never was, or has a permit for once more
        """
        return not self.count or self._permit is not None

    def record_written(self, written: Written) -> None:
        """Log and count that the request was written to a connection.

        :param written: the sending
        """
        self.count += 1
        permit, self._permit = self._permit, None
        if permit is not None:
            self._repeats.use(self._service, permit)
        is_first = self.count == 1
        self._counters.add("requests_sent", "first" if is_first else "again")
        # Repeats are few, since they have a budget.
        write = self._log.write_ordinary if is_first else self._log.write
        write(
            "request_sent",
            request_id=self._request_id,
            endpoint=written.endpoint,
            software_version=written.software_version,
            born_milliseconds=written.born_milliseconds,
            resume_after=written.resume_after[:MAX_LOGGED_ID],
            attempt=self.count,
            adapter_version=written.version,
            waited_seconds=round(written.waited_seconds, 4),
            connecting_seconds=round(written.connecting_seconds, 4),
            reused_connection=written.reused_connection,
            remaining_seconds=round(written.remaining_seconds, 4),
            published_age_seconds=round(written.published_age_seconds, 3),
            chosen_revision=written.chosen_revision,
            entry_revision=written.entry_revision,
        )

    def close(self) -> None:
        """Give back a permit that wasn't used."""
        if self._permit is not None:
            self._repeats.give_back(self._service, self._permit)
            self._permit = None


__all__ = [
    "MAX_LOGGED_ID",
    "RequestSendings",
    "Written",
]

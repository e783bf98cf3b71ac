"""Forwards a request to the least loaded endpoint of a plain service.

A request waits for room only where the endpoints fail when they reject it, or
report how long their work takes and would finish it too late.
"""

from __future__ import annotations

import functools
from typing import Any

from boragefold.entry import dialect as dialects
from boragefold.entry import finish_turn
from boragefold.entry import forwarding
from boragefold.entry import refusals
from boragefold.entry import room_queue
from boragefold.policy import finish_admission
from boragefold.policy import repeat_decision
from boragefold.state import deployment

# Share of the time for an answer that may pass in waiting for room.
MAX_WAIT_SHARE = 0.5


class ServiceForwarding(forwarding.Forwarding, room_queue.RoomWaiter):
    """Forwards a request to an endpoint of a plain service."""

    # Whether its endpoints report factors, so that requests go by urgency.
    _is_ranked = False

    def begin(self) -> None:
        """Send the request, let it wait for room, or refuse it."""
        rooms = self.context.rooms
        service = self.admitted.service.name
        candidates = self._candidates()
        self._is_ranked = self._turn.applies(candidates.values())
        if self._is_ranked:
            if rooms.is_first(service, self.rank) and self.try_room():
                return
            if self._turn.can_wait(
                candidates.values(),
                remaining_seconds=self.remaining_seconds(),
            ):
                rooms.add(service, self)
            else:
                self._refuse_until_room("late_by_estimate")
            return
        if rooms.is_empty(service) and self.try_room():
            return
        wait_seconds = rooms.estimate_seconds(service)
        if wait_seconds > self._allowed_wait_seconds():
            self.refuse(refusals.NOT_RUN, "no_room", wait_seconds)
        else:
            rooms.add(service, self)

    def try_room(self) -> bool:
        """Send the request if an endpoint has room, or refuse it.

        :return: whether either was done
        """
        if not self.is_key_valid():
            self.refuse(refusals.NO_KEY, "key_withdrawn")
            return True
        if self.refuse_if_version_gone():
            return True
        candidates = self._candidates()
        if not candidates:
            self.refuse_without_endpoint("no_endpoint")
            return True
        if self._turn.applies(candidates.values()):
            verdict = self._turn.decide(
                candidates.values(), remaining_seconds=self.remaining_seconds()
            )
            if verdict is finish_admission.Verdict.WAIT:
                return False
            if verdict is finish_admission.Verdict.REFUSE:
                self._refuse_until_room("late_by_estimate")
                return True
        record = self._choose(candidates)
        if record is not None:
            self.context.cold.record_sent(record)
            self.send(record, version=0)
        elif self._allowed_wait_seconds() <= 0:
            self.refuse(refusals.NOT_RUN, "no_room")
        else:
            return False
        return True

    def can_try_another(self, *, may_wait: bool) -> bool:
        """Tell whether the request could be sent to another endpoint.

        :param may_wait: whether it may wait there for room
        :return: whether one is available and the route allows another attempt
        """
        candidates = self._candidates()
        return bool(candidates) and (
            may_wait or self._choose(candidates) is not None
        )

    @property
    def rank(self) -> tuple[float, ...]:
        """Return the rank, which differs where endpoints report factors.

        :return: lower for requests that are sent earlier; equal ones are sent
            in the order of their arrival
        """
        return self._turn.rank if self._is_ranked else ()

    def decision_fields(self) -> dict[str, Any]:
        """Return the expected finish as log fields.

        :return: values by field name
        """
        return self._turn.describe()

    @functools.cached_property
    def _turn(self) -> finish_turn.FinishTurn:
        return finish_turn.FinishTurn(
            admitted=self.admitted, context=self.context
        )

    def _refuse_until_room(self, reason: str) -> None:
        records = self.context.fleet.endpoints_of(self.admitted.service.name)
        self.refuse(
            refusals.NOT_RUN,
            reason,
            self._turn.draw_return_seconds(list(records)),
        )

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
        if self.may_repeat(
            endpoint, repeat_decision.Setback.REJECTED, may_have_run=False
        ):
            self.begin()
        elif facts.no_room and facts.work_factor is not None:
            self._refuse_until_room(reason)
        else:
            self.refuse(refusals.NOT_RUN, reason)

    def _allowed_wait_seconds(self) -> float:
        waited_seconds = (
            self.context.timers.now_seconds()
            - self.admitted.arrived_at_seconds
        )
        total_seconds = waited_seconds + self.remaining_seconds()
        return MAX_WAIT_SHARE * total_seconds - waited_seconds

    def _candidates(self) -> dict[str, deployment.EndpointRecord]:
        return {
            record.name: record
            for record in self.context.fleet.endpoints_of(
                self.admitted.service.name
            )
            if record.name not in self._sent_to
            and self.may_send_to(record.name)
        }

    def _choose(
        self, candidates: dict[str, deployment.EndpointRecord]
    ) -> deployment.EndpointRecord | None:
        context = self.context
        now_seconds = context.timers.now_seconds()
        name = context.choice.choose(
            (
                (
                    record.name,
                    record.slots,
                    record.data_centre == context.data_centre,
                )
                for record in candidates.values()
                if context.choice.has_room(
                    record.service,
                    record.name,
                    slots=record.slots,
                    now_seconds=now_seconds,
                )
                and context.cold.may_send(
                    record, self.admitted.request.request_id
                )
            ),
            now_seconds=now_seconds,
        )
        return None if name is None else candidates[name]

    def _withdraw(self) -> None:
        """Do nothing: the endpoint doesn't know of the request."""

    def _on_finished(self) -> None:
        """Do nothing: no other object holds resources for the request."""


__all__ = [
    "ServiceForwarding",
]

"""Decides on the turn of one request whose endpoints report factors."""

from __future__ import annotations

from collections.abc import Collection
import functools
from typing import Any

from boragefold.entry import request_context
from boragefold.policy import finish_admission
from boragefold.state import deployment


class FinishTurn:
    """Decides whether one request is sent by when it would be finished."""

    def __init__(
        self,
        *,
        admitted: request_context.AdmittedRequest,
        context: request_context.RequestContext,
    ) -> None:
        """Begin without an expected finish.

        :param admitted: the request
        :param context: what all requests use
        """
        self._admitted = admitted
        self._context = context
        self._expected_seconds: float | None = None

    @property
    def rank(self) -> tuple[float, ...]:
        """Return the rank: by urgency, then those that can still be on time.

        :return: lower for requests that are sent earlier
        """
        target_seconds = self._admitted.route.target_seconds
        is_late = self._waited_seconds() > target_seconds
        return (self._own_urgency().priority, float(is_late))

    def applies(self, records: Collection[deployment.EndpointRecord]) -> bool:
        """Return whether endpoints report how long their work takes.

        :param records: the endpoints that the request may go to
        :return: whether any does
        """
        now_seconds = self._now_seconds()
        finish = self._context.choice.finish
        return any(
            finish.reports_factor(each.name, now_seconds=now_seconds)
            for each in records
        )

    def decide(
        self,
        records: Collection[deployment.EndpointRecord],
        *,
        remaining_seconds: float,
    ) -> finish_admission.Verdict:
        """Decide whether the request is sent, waits or is refused.

        :param records: the endpoints that it may go to
        :param remaining_seconds: time until its deadline
        :return: the decision
        """
        expected_seconds = self._finish_seconds(records)
        self._expected_seconds = expected_seconds
        return finish_admission.decide_turn(
            self._terms(remaining_seconds), finish_seconds=expected_seconds
        )

    def can_wait(
        self,
        records: Collection[deployment.EndpointRecord],
        *,
        remaining_seconds: float,
    ) -> bool:
        """Decide whether the request may wait for its turn.

        :param records: the endpoints that it may go to
        :param remaining_seconds: time until its deadline
        :return: False if it couldn't be finished before its deadline
        """
        return finish_admission.can_wait(
            self._terms(remaining_seconds),
            finish_seconds=self._finish_seconds(records),
            turn_seconds=self._context.rooms.turn_seconds(
                self._admitted.service.name, self.rank
            ),
        )

    def draw_return_seconds(
        self,
        records: Collection[deployment.EndpointRecord],
    ) -> float:
        """Choose when the request is to return if it is refused now.

        :param records: the endpoints that it may go to
        :return: seconds
        """
        rooms, service = self._context.rooms, self._admitted.service.name
        late_seconds = finish_admission.LATE_SHARE * self._limit.seconds
        excess_seconds = self._finish_seconds(records) - late_seconds
        turn_seconds = rooms.turn_seconds(service, self.rank)
        return rooms.returns.draw_seconds(
            service,
            until_room_seconds=turn_seconds + max(0.0, excess_seconds),
            gap_seconds=max(
                rooms.pace_seconds(service), self._share_gap_seconds(records)
            ),
            now_seconds=self._now_seconds(),
        )

    def describe(self) -> dict[str, Any]:
        """Return the expected finish, the limit and the result as log fields.

        :return: values by field name, empty before the first decision
        """
        if self._expected_seconds is None:
            return {}
        waited_seconds = self._waited_seconds()
        return {
            "expected_seconds": round(self._expected_seconds, 4),
            "limit_seconds": round(self._limit.seconds, 4),
            "on_time": waited_seconds <= self._admitted.route.target_seconds,
        }

    @functools.cached_property
    def _limit(self) -> finish_admission.JoinLimit:
        return finish_admission.find_limit(
            self._own_urgency(), self._other_urgencies()
        )

    def _finish_seconds(
        self, records: Collection[deployment.EndpointRecord]
    ) -> float:
        finish = self._context.choice.finish
        now_seconds = self._now_seconds()
        # An endpoint without an observed response time is tried.
        return min(
            (
                finish.finish_seconds(
                    each.name, slots=each.slots, now_seconds=now_seconds
                )
                if finish.is_known(each.name)
                else 0.0
                for each in records
            ),
            default=0.0,
        )

    def _share_gap_seconds(
        self, records: Collection[deployment.EndpointRecord]
    ) -> float:
        # Time between two requests if all instances send equally many.
        finish = self._context.choice.finish
        now_seconds = self._now_seconds()
        served_per_second = sum(
            finish.served_per_second(
                each.name, slots=each.slots, now_seconds=now_seconds
            )
            for each in records
        )
        instances = self._context.choice.limits.count_instances()
        return instances / served_per_second if served_per_second else 0.0

    def _terms(self, remaining_seconds: float) -> finish_admission.Terms:
        return finish_admission.Terms(
            target_seconds=self._admitted.route.target_seconds,
            limit_seconds=self._limit.seconds,
            takes_last_chance=self._limit.takes_last_chance,
            waited_seconds=self._waited_seconds(),
            remaining_seconds=remaining_seconds,
        )

    def _waited_seconds(self) -> float:
        return self._now_seconds() - self._admitted.arrived_at_seconds

    def _now_seconds(self) -> float:
        return self._context.timers.now_seconds()

    def _own_urgency(self) -> finish_admission.Urgency:
        route, workspace = self._admitted.route, self._admitted.workspace
        priority = route.priority
        if workspace is not None and workspace.priority is not None:
            priority = workspace.priority
        return finish_admission.Urgency(priority, route.target_seconds)

    def _other_urgencies(self) -> list[finish_admission.Urgency]:
        current = self._context.fleet.deployment
        if current is None:
            return []
        service = self._admitted.service.name
        return [
            finish_admission.Urgency(route.priority, route.target_seconds)
            for route in current.routes
            if any(each.service == service for each in route.services)
        ]


__all__ = [
    "FinishTurn",
]

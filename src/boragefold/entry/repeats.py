"""Decides on each further sending of callers' requests, at one place.

Whatever kept an endpoint from serving a request, and whichever layer learned
of it, the request is written to a connection again only with a permit.
"""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import Any

from boragefold.coordination.fleet import members as members_module
from boragefold.entry import answer_deadline
from boragefold.policy import fleet_part
from boragefold.policy import repeat_budget
from boragefold.policy import repeat_decision
from boragefold.settings import gateway as gateway_settings
from boragefold.telemetry import counters as telemetry
from boragefold.telemetry import decision_log
from boragefold.timing import timers as timing

UPDATE_SECONDS = 1.0
# What broke one connection breaks others at about the same moment.
MEAN_PAUSE_SECONDS = 0.05
MAX_PAUSE_SHARE = 0.1


class Repeats:
    """Decides for all requests of an instance, within its budgets."""

    def __init__(
        self,
        *,
        limit: Callable[[], repeat_budget.FleetLimit],
        read_part: Callable[[], fleet_part.PartInputs],
        timers: timing.TimerService,
        counters: telemetry.Counters,
        log: decision_log.DecisionLog,
        rng: random.Random,
    ) -> None:
        """Begin without any request.

        :param limit: returns the limit of all instances together
        :param read_part: returns what this instance's part of it depends on
        :param timers: the process clock
        :param counters: counts sendings and decisions
        :param log: gets a line for each of them
        :param rng: staggers repeats of requests that broke together
        """
        self._rng = rng
        self._limit = limit
        self._read_part = read_part
        self._timers = timers
        self._started_at_seconds = timers.now_seconds()
        self._counters = counters
        self._log = log
        self._budgets: dict[str, repeat_budget.RepeatBudget] = {}

    def record_request(self, service: str) -> None:
        """Record that a caller sent a request.

        :param service: name of the service that is to serve it
        """
        self._budget(service).record_request(
            self._limit(), now_seconds=self._timers.now_seconds()
        )

    def decide(
        self,
        inputs: repeat_decision.RepeatInputs,
        *,
        request_id: str,
        service: str,
        endpoint: str,
    ) -> repeat_budget.Permit | None:
        """Decide whether a request is sent once more, and log why.

        :param inputs: what is known of the request
        :param request_id: of the request
        :param service: name of its service
        :param endpoint: name of the endpoint that didn't serve it
        :return: the right to send it, None if it isn't to be sent
        """
        obstacle = repeat_decision.find_obstacle(
            inputs, min_seconds=answer_deadline.MARGIN_SECONDS
        )
        limit, part = self._limit(), self._read_part()
        slack_part = fleet_part.compute_part(part)
        now_seconds = self._timers.now_seconds()
        budget = self._budget(service)
        state = budget.state(
            limit, slack_part=slack_part, now_seconds=now_seconds
        )
        permit = None
        if obstacle is None:
            permit = budget.take(state, limit, now_seconds=now_seconds)
            if permit is None:
                obstacle = repeat_decision.Obstacle.BUDGET
        self._count(inputs, obstacle)
        self._log.write(
            "repeat_decided",
            request_id=request_id,
            endpoint=endpoint,
            obstacle="" if obstacle is None else obstacle.value,
            **_describe_inputs(inputs),
            window_seconds=limit.window_seconds,
            window_requests=state.requests,
            left_by_requests=round(state.left_by_requests, 2),
            left_of_slack=round(state.left_of_slack, 2),
            slack_part=round(slack_part, 4),
            **part._asdict(),
        )
        return permit

    def draw_pause_seconds(self, remaining_seconds: float) -> float:
        """Draw how long to wait before a request that broke is sent again.

        :param remaining_seconds: time until the deadline of the request
        :return: seconds
        """
        return min(
            MEAN_PAUSE_SECONDS * self._rng.uniform(0.5, 1.5),
            MAX_PAUSE_SHARE * remaining_seconds,
        )

    def give_back(self, service: str, permit: repeat_budget.Permit) -> None:
        """Give back the right to a sending that didn't come about.

        :param service: name of the service
        :param permit: the right
        """
        self._budget(service).give_back(permit)

    def use(self, service: str, permit: repeat_budget.Permit) -> None:
        """Use the right to a sending.

        :param service: name of the service
        :param permit: the right
        """
        self._budget(service).use(
            permit, self._limit(), now_seconds=self._timers.now_seconds()
        )

    def _budget(self, service: str) -> repeat_budget.RepeatBudget:
        return self._budgets.setdefault(
            service,
            repeat_budget.RepeatBudget(
                started_at_seconds=self._started_at_seconds
            ),
        )

    def _count(
        self,
        inputs: repeat_decision.RepeatInputs,
        obstacle: repeat_decision.Obstacle | None,
    ) -> None:
        if obstacle is not None:
            self._counters.add("retries_denied", obstacle.value)
        else:
            self._counters.add(
                "retries",
                "idempotent" if inputs.may_have_run else "nothing_sent",
            )


def connect(
    *,
    settings: Callable[[], gateway_settings.GatewaySettings],
    members: members_module.Members,
    timers: timing.TimerService,
    counters: telemetry.Counters,
    log: decision_log.DecisionLog,
    rng: random.Random,
) -> Repeats:
    """Create what decides on repeats for one instance of a fleet.

    :param settings: returns the settings, which may be reloaded
    :param members: the other instances
    :param timers: the process clock
    :param counters: counts sendings and decisions
    :param log: gets a line for each of them
    :param rng: staggers repeats of requests that broke together
    :return: what decides
    """
    part = fleet_part.FleetPart(started_at_seconds=timers.now_seconds())

    def update() -> None:
        heard = [
            member
            for member in (*members.reachable(), *members.unreachable())
            if member.beat is not None
        ]
        part.update(
            seeds=[
                seed
                for seed in settings().seeds
                if seed != settings().peer_listen
            ],
            heard=[member.instance.address for member in heard],
            leaving=[
                member.instance.address
                for member in heard
                if not member.staying
            ],
            window_seconds=settings().retry_limit.window_seconds,
            now_seconds=timers.now_seconds(),
        )

    timers.every(period_seconds=UPDATE_SECONDS, callback=update)
    return Repeats(
        limit=lambda: settings().retry_limit,
        read_part=lambda: part.inputs(now_seconds=timers.now_seconds()),
        timers=timers,
        counters=counters,
        log=log,
        rng=rng,
    )


def _describe_inputs(inputs: repeat_decision.RepeatInputs) -> dict[str, Any]:
    return {
        **inputs._asdict(),
        "setback": inputs.setback.value,
        "remaining_seconds": round(inputs.remaining_seconds, 4),
    }


__all__ = [
    "Repeats",
    "connect",
]

"""Composes the decisions about requests: events in, actions out.

Load pattern: all of the patterns at once. A request passes admission, load
shedding and the fair queue, is sent when an endpoint that holds its adapter
has room, and is queued again when its attempt fails. A request that waits for
tokens, for an adapter or for room blocks no other.
"""

from __future__ import annotations

from boragefold.policy import actions
from boragefold.policy import admission as admissions
from boragefold.policy import attempts
from boragefold.policy import endpoints as endpoints_module
from boragefold.policy import fair_queue
from boragefold.policy import fleet_events
from boragefold.policy import matcher as matchers
from boragefold.policy import open_requests
from boragefold.policy import refusal
from boragefold.policy import retry_budget as retry_budgets
from boragefold.policy import token_balance
from boragefold.policy import work as works
from boragefold.telemetry import counters as telemetry


class Dispatcher:
    """Composes the decisions of one entry instance.

    Request events are reported to this class, fleet events to
    :attr:`fleet`. Call :meth:`run` after each event, and when it is due.
    """

    def __init__(
        self,
        *,
        admission: admissions.Admission,
        queue: fair_queue.FairQueue,
        matcher: matchers.Matcher,
        endpoints: endpoints_module.Endpoints,
        fleet: fleet_events.FleetEvents,
        retry_budget: retry_budgets.RetryBudget,
        token_balance: token_balance.TokenBalance,
        counters: telemetry.Counters,
    ) -> None:
        self.fleet = fleet
        self._admission = admission
        self._queue = queue
        self._matcher = matcher
        self._endpoints = endpoints
        self._requests = open_requests.OpenRequests(
            token_balance=token_balance
        )
        self._attempts = attempts.Attempts(
            queue=queue,
            matcher=matcher,
            endpoints=endpoints,
            retry_budget=retry_budget,
            requests=self._requests,
            counters=counters,
        )
        self._refilled_workspaces: set[str] = set()
        self._answers: list[actions.Action] = []
        token_balance.subscribe(self._refilled_workspaces.add)

    def offer(
        self, work: works.Work, *, idempotent: bool, now_seconds: float
    ) -> refusal.Refused | None:
        """Decide about a request that has just arrived.

        :param work: the request
        :param idempotent: whether running it twice does no harm
        :param now_seconds: reading of the process clock
        :return: the refusal; None when it waits, to be sent or refused later
        """
        request = open_requests.OpenRequest(work=work, idempotent=idempotent)
        outcome = self._admission.offer(work, now_seconds=now_seconds)
        if isinstance(outcome, refusal.Refused):
            return outcome
        self._requests.add(request)
        if isinstance(outcome, admissions.Waiting):
            return None
        request.reservation = outcome.reservation
        return self._enqueue(request, now_seconds)

    def first_token(self, request_id: str, *, now_seconds: float) -> None:
        """Record the first byte of an answer.

        :param request_id: the request
        :param now_seconds: reading of the process clock
        """
        request = self._find_sent(request_id)
        if request is not None:
            request.answered = True
            self._endpoints.answered(
                request.endpoint, request_id, now_seconds=now_seconds
            )

    def finished(
        self, request_id: str, *, used_tokens: float, now_seconds: float
    ) -> None:
        """Record that an answer is complete.

        :param request_id: the request
        :param used_tokens: prompt and generated tokens actually used
        :param now_seconds: reading of the process clock
        """
        request = self._requests.get(request_id)
        if request is not None:
            self._end(request, used_tokens, now_seconds)

    def failed(
        self,
        request_id: str,
        *,
        bytes_sent: bool,
        used_tokens: float = 0.0,
        now_seconds: float,
    ) -> None:
        """Record a failed attempt, and retry the request where that is safe.

        :param request_id: the request
        :param bytes_sent: whether a byte of it may have reached the endpoint
        :param used_tokens: tokens of the answer that the caller has received
        :param now_seconds: reading of the process clock
        """
        request = self._find_sent(request_id)
        if request is None:
            return
        answer = self._attempts.fail(
            request,
            bytes_sent=bytes_sent,
            used_tokens=used_tokens,
            now_seconds=now_seconds,
        )
        if answer is not None:
            self._answers.append(answer)

    def adapter_missing(self, request_id: str, *, now_seconds: float) -> None:
        """Record that an endpoint refused because it lacks the adapter.

        :param request_id: the request, which has not run
        :param now_seconds: reading of the process clock
        """
        request = self._find_sent(request_id)
        if request is None:
            return
        answer = self._attempts.adapter_missing(
            request, now_seconds=now_seconds
        )
        if answer is not None:
            self._answers.append(answer)

    def cancel(
        self,
        request_id: str,
        *,
        used_tokens: float = 0.0,
        now_seconds: float,
    ) -> None:
        """Forget a request whose caller has disconnected.

        :param request_id: the request
        :param used_tokens: prompt and generated tokens actually used
        :param now_seconds: reading of the process clock
        """
        request = self._requests.get(request_id)
        if request is None:
            return
        self._admission.withdraw(request_id)
        self._queue.remove(request_id)
        self._end(request, used_tokens, now_seconds)

    def next_due_seconds(self) -> float:
        """Return when :meth:`next_actions` has to be called at the latest.

        :return: reading of the process clock
        """
        due_times = (
            self.fleet.tick_at_seconds,
            self._admission.next_due_seconds(),
            self._queue.next_expiry_seconds(),
        )
        return min(due for due in due_times if due is not None)

    def next_actions(self, *, now_seconds: float) -> list[actions.Action]:
        """Decide what to do now; call it after events and when it is due.

        :param now_seconds: reading of the process clock
        :return: actions, to be performed in this order
        """
        self._advance_admission(now_seconds)
        self._expire(now_seconds)
        due = list(self.fleet.tick(now_seconds=now_seconds))
        due.extend(self._attempts.begin(now_seconds=now_seconds))
        answers, self._answers = self._answers, []
        return [*answers, *due]

    def run(
        self, handler: actions.ActionHandler, *, now_seconds: float
    ) -> None:
        """Perform the actions that are due now.

        :param handler: carries out each action
        :param now_seconds: reading of the process clock
        """
        for action in self.next_actions(now_seconds=now_seconds):
            handler.handle(action)

    def _enqueue(
        self, request: open_requests.OpenRequest, now_seconds: float
    ) -> refusal.Refused | None:
        work = request.work
        refused = self._matcher.offer(work, now_seconds=now_seconds)
        if refused is not None:
            self._requests.end(request, used_tokens=0.0)
            return refused
        self.fleet.request_queued(work, now_seconds=now_seconds)
        return None

    def _advance_admission(self, now_seconds: float) -> None:
        workspaces = sorted(self._refilled_workspaces)
        self._refilled_workspaces.clear()
        for workspace in (*workspaces, None):
            for decided in self._admission.advance(
                now_seconds=now_seconds, workspace=workspace
            ):
                self._handle_decided(decided, now_seconds)

    def _handle_decided(
        self, decided: admissions.Decision, now_seconds: float
    ) -> None:
        work, outcome = decided
        request = self._requests.get_open(work)
        if isinstance(outcome, refusal.Refused):
            self._requests.end(request, used_tokens=0.0)
            self._answers.append(actions.Refuse(work, outcome))
            return
        request.reservation = outcome.reservation
        refused = self._enqueue(request, now_seconds)
        if refused is not None:
            self._answers.append(actions.Refuse(work, refused))

    def _expire(self, now_seconds: float) -> None:
        for work in self._queue.expire(now_seconds=now_seconds):
            request = self._requests.get_open(work)
            self._requests.end(request, used_tokens=0.0)
            refused = refusal.Refused(
                status=refusal.UNAVAILABLE,
                reason="caller_gave_up",
                remedy="wait longer for the answer",
            )
            self._answers.append(attempts.answer_unserved(request, refused))

    def _find_sent(self, request_id: str) -> open_requests.OpenRequest | None:
        request = self._requests.get(request_id)
        return request if request is not None and request.endpoint else None

    def _end(
        self,
        request: open_requests.OpenRequest,
        used_tokens: float,
        now_seconds: float,
    ) -> None:
        self._attempts.end(
            request, used_tokens=used_tokens, now_seconds=now_seconds
        )
        self._requests.end(request, used_tokens=used_tokens)


__all__ = [
    "Dispatcher",
]

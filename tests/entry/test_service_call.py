"""Calls of plain services that break at their endpoints."""

from __future__ import annotations

import pytest

from boragefold.entry import service_call
from boragefold.entry import service_handler
from boragefold.policy import retry_budget
from boragefold.telemetry import counters
from boragefold.transport import http_client


class Breaking:
    """Breaks each call after it may have arrived."""

    def __init__(self, *, reused_connection=False):
        self._reused_connection = reused_connection
        self.addresses = []

    def now_seconds(self):
        return 0.0

    def send(self, call, sink):
        self.addresses.append(call.address)
        failure = http_client.Failure(
            reason="eof",
            may_have_arrived=True,
            reused_connection=self._reused_connection and not call.fresh,
        )
        sink.failed(failure)


def call(client, budget, *, addresses):
    results = []
    service_call.ServiceCall(
        client=client,
        counters=counters.Counters(),
        budget=budget,
        request=service_call.ServiceRequest("GET", "/x", [], b""),
        addresses=[f"10.0.0.{number}:80" for number in range(addresses)],
        idempotent=True,
        progress_seconds=1.0,
        on_result=results.append,
    ).begin()
    return results


def new_budget():
    return retry_budget.RetryBudget(counters=counters.Counters())


def test_a_call_that_breaks_at_each_endpoint_reaches_three() -> None:
    # A call may crash each endpoint that runs it.
    client = Breaking()
    results = call(client, new_budget(), addresses=8)
    assert len(client.addresses) == 3
    assert results == [service_call.AnswerLost(reason="eof")]


def test_calls_that_break_draw_on_one_budget() -> None:
    # Each call of a failing service was sent three times, however many.
    client, budget = Breaking(), new_budget()
    for _ in range(100):
        call(client, budget, addresses=8)
    assert 100 < len(client.addresses) < 120


def test_a_call_on_a_dead_connection_is_sent_to_the_only_address() -> None:
    client = Breaking(reused_connection=True)
    call(client, new_budget(), addresses=1)
    assert len(client.addresses) == 2


@pytest.mark.parametrize(
    ("result", "status", "tag"),
    [
        (service_call.NotSent(reason="refused"), 503, "not_run"),
        (service_call.AnswerLost(reason="reset"), 502, "unknown"),
    ],
)
def test_only_a_call_that_never_ran_is_refused_as_such(result, status, tag):
    # An idempotent call whose answer was lost got 503, which promises that.
    refusal = service_handler.refuse_idempotent(result)
    assert (refusal.status, refusal.tag) == (status, tag)

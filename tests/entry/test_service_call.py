"""Calls of plain services that break at their endpoints."""

from __future__ import annotations

from boragefold.entry import service_call
from boragefold.telemetry import counters
from boragefold.transport import http_client


class Breaking:
    """Breaks each call after it may have arrived."""

    def __init__(self):
        self.addresses = []

    def send(self, call, sink):
        self.addresses.append(call.address)
        sink.failed(http_client.Failure(reason="eof", may_have_arrived=True))


def test_a_call_that_breaks_at_each_endpoint_reaches_three() -> None:
    # A call may crash each endpoint that runs it.
    client = Breaking()
    results = []
    service_call.ServiceCall(
        client=client,
        counters=counters.Counters(),
        request=service_call.ServiceRequest("GET", "/x", [], b""),
        addresses=[f"10.0.0.{number}:80" for number in range(8)],
        idempotent=True,
        progress_seconds=1.0,
        on_result=results.append,
    ).begin()
    assert len(client.addresses) == 3
    assert results == [service_call.AnswerLost(reason="eof")]

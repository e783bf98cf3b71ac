from __future__ import annotations

import types

from boragefold.entry import dialect as dialects
from boragefold.entry import gateway
from boragefold.telemetry import counters as telemetry

REQUESTS = 5_000


class Exchange:
    def __init__(self):
        self.statuses = []

    def reply(self, status, headers, body):
        self.statuses.append(status)


def test_refusals_write_a_bounded_number_of_lines() -> None:
    # Each refused request wrote a line, however many came.
    lines = []
    counters = telemetry.Counters()
    context = types.SimpleNamespace(
        counters=counters,
        timers=types.SimpleNamespace(now_seconds=lambda: 1.0),
        log=types.SimpleNamespace(
            write=lambda event, **fields: lines.append(event)
        ),
        fleet=types.SimpleNamespace(deployment=None),
        dialect=types.SimpleNamespace(
            read_request=lambda request: dialects.Malformed(
                "odd_header", "remove it"
            ),
            refusal_headers=lambda request: [],
        ),
    )
    one = gateway.Gateway(
        context=context, client=None, owner=None, self_id=None, rng=None
    )
    exchange = Exchange()
    for _ in range(REQUESTS):
        one.handle(None, exchange)
    assert exchange.statuses == [400] * REQUESTS
    assert len(lines) == gateway.REFUSAL_LINES_PER_SECOND
    thinned = counters.value("log_lines_lost", "thinned")
    assert len(lines) + thinned == REQUESTS

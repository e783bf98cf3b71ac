"""Tests a response whose parts come from several endpoints."""

from __future__ import annotations

import types

from boragefold.entry import caller_answer


class Exchange:
    def __init__(self) -> None:
        self.started = self.finished = self.aborted = False
        self.sent = b""

    def start(self, status, headers) -> None:
        self.started = True

    def send(self, data) -> bool:
        self.sent += data
        return True

    def finish(self) -> None:
        self.finished = True

    def abort(self) -> None:
        self.aborted = True


def test_a_failure_is_not_joined_to_a_stream_that_is_resumed() -> None:
    # The endpoint that is asked to continue the stream fails with status 500.
    exchange = Exchange()
    answer = caller_answer.CallerAnswer(
        admitted=types.SimpleNamespace(
            route=types.SimpleNamespace(resumable=True, streams=True),
            arrived_at_seconds=0.0,
        ),
        exchange=exchange,
        context=types.SimpleNamespace(
            dialect=types.SimpleNamespace(caller_headers=lambda headers: []),
            timers=types.SimpleNamespace(now_seconds=lambda: 1.0),
        ),
    )
    answer.forward_headers(200, {})
    answer.forward_data(b"id: 1\ndata: t1\n\n")
    answer.forward_headers(500, {})
    answer.forward_data(b"failed")
    answer.forward_end()
    assert exchange.sent == b"id: 1\ndata: t1\n\n"
    assert exchange.aborted

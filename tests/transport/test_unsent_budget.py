"""What many connections hold for callers that don't read."""

from __future__ import annotations

import pytest

from boragefold.transport import caller_memory
from boragefold.transport import streams
from boragefold.transport import unsent_budget

CONNECTIONS = 600
CHUNK_BYTES = 16_384


class DeafSocket:
    """Takes nothing, or everything once its caller reads."""

    def __init__(self):
        self.reads = False

    def send(self, data):
        if not self.reads:
            raise BlockingIOError
        return len(data)

    def close(self):
        self.reads = False


class Owner:
    def __init__(self):
        self.unsent = unsent_budget.UnsentBudget()

    def want_write(self, stream, wanted):
        pass

    def forget(self, stream):
        pass


class Handler:
    def __init__(self):
        self.drains = 0

    def drained(self):
        self.drains += 1

    def closed(self, reason):
        pass


def fill(owner):
    opened = [
        streams.Stream(
            owner=owner,
            sock=DeafSocket(),
            handler=Handler(),
            connecting=False,
        )
        for _ in range(CONNECTIONS)
    ]
    for stream in opened:
        # An endpoint is read from for as long as the caller keeps up.
        while stream.write(bytes(CHUNK_BYTES)):
            pass
    return opened


def test_callers_that_dont_read_share_a_bound() -> None:
    # Each within its own bound, together they took all memory.
    owner = Owner()
    opened = fill(owner)
    beyond_bytes = 2 * CONNECTIONS * unsent_budget.LOW_WATER_BYTES
    assert owner.unsent.held_bytes <= unsent_budget.MAX_BYTES + beyond_bytes
    assert owner.unsent.held_bytes == sum(
        stream.unsent_bytes for stream in opened
    )


def test_what_is_sent_or_dropped_is_held_no_longer() -> None:
    # Slow callers of the past would narrow all later connections.
    owner = Owner()
    opened = fill(owner)
    for stream in opened[::2]:
        stream.abort()
    for stream in opened[1::2]:
        stream.sock.reads = True
        stream.on_writable()
    assert owner.unsent.held_bytes == 0
    assert all(stream.handler.drains == 1 for stream in opened[1::2])


@pytest.mark.parametrize("rest_bytes", [10, 2 * CHUNK_BYTES])
def test_a_body_that_waits_to_be_sent_is_counted_once(rest_bytes) -> None:
    # Counted twice, half of what fits would be refused.
    owner = Owner()
    memory = caller_memory.CallerMemory()
    owner.unsent.share(memory, max_bytes=unsent_budget.MAX_BYTES)
    body = caller_memory.HeldBody(account=memory)
    body += bytes(CHUNK_BYTES + rest_bytes)
    body.settle()
    counted_bytes = memory.held_bytes
    stream = streams.Stream(
        owner=owner, sock=DeafSocket(), handler=Handler(), connecting=False
    )
    stream.write(body)
    stream.write(memoryview(body)[CHUNK_BYTES:])
    assert memory.held_bytes == counted_bytes
    stream.write(bytes(100))
    assert memory.held_bytes == counted_bytes + 100
    stream.sock.reads = True
    stream.on_writable()
    assert memory.held_bytes == counted_bytes


def test_less_memory_narrows_what_waits_to_be_sent() -> None:
    # The sum of unread answers was the same on every machine.
    owner = Owner()
    most_bytes = CONNECTIONS * CHUNK_BYTES
    owner.unsent.share(caller_memory.CallerMemory(), max_bytes=most_bytes)
    fill(owner)
    beyond_bytes = 2 * CONNECTIONS * unsent_budget.LOW_WATER_BYTES
    assert owner.unsent.held_bytes <= most_bytes + beyond_bytes

"""Requests that are submitted to an engine's schedule, and its decisions.

An order is a command to the engine to load or to unload an adapter or a model.
"""

from __future__ import annotations

from typing import NamedTuple

from boragefold.protocol import ids
from boragefold.state import deployment

# Reason of a refusal because the engine's data centre is evacuated.
EVACUATED = "evacuated"
# The instance that was asked doesn't schedule the engine, or not yet.
NOT_OWNER = "not_owner"


class EngineRequest(NamedTuple):
    """A request that is to run on an engine.

    Times are readings of the process clock: the response is on time if it
    starts by ``start_deadline_at_seconds``, the request is dropped from the
    queue at ``queue_deadline_at_seconds``, and it has certainly ended by
    ``end_deadline_at_seconds``.
    ``sender`` is the instance that forwards it to the engine; a lower
    ``priority`` is more urgent. An ``eager`` request is refused at once if it
    would start late, so that the sender can try another engine.
    ``event_gap_seconds`` is the longest pause between two events of the
    response that its caller tolerates; 0 if unspecified.
    """

    request_id: str
    sender: ids.InstanceId
    adapter: deployment.AdapterKey
    prompt_tokens: int
    output_tokens: int
    priority: int
    start_deadline_at_seconds: float
    queue_deadline_at_seconds: float
    end_deadline_at_seconds: float
    eager: bool = False
    event_gap_seconds: float = 0.0

    @property
    def total_tokens(self) -> int:
        """Compute how much KV cache the request may fill.

        :return: tokens of prompt and response
        """
        return self.prompt_tokens + self.output_tokens


class QueueTimes(NamedTuple):
    """Times that a request spent in the queue of an engine, in this order.

    ``slot_seconds`` until the load of its adapter was ordered,
    ``load_seconds`` until the adapter was loaded, ``capacity_seconds`` until
    the engine had capacity for the request.
    """

    slot_seconds: float = 0.0
    load_seconds: float = 0.0
    capacity_seconds: float = 0.0


class Grant(NamedTuple):
    """The request may be sent now, with this version of its adapter."""

    request: EngineRequest
    version: int
    queue_times: QueueTimes = QueueTimes()


class Refusal(NamedTuple):
    """The request is refused by this engine's schedule.

    ``wait_seconds`` is the estimated wait of an eager request here.
    """

    request: EngineRequest
    reason: str
    retry_after_seconds: float
    wait_seconds: float = 0.0


class Load(NamedTuple):
    """Order the engine to load an adapter, or a model if it names none."""

    key: deployment.AdapterKey
    version: int


class Unload(NamedTuple):
    """Order the engine to unload an adapter that no request uses."""

    key: deployment.AdapterKey


Order = Load | Unload
Action = Grant | Refusal | Load | Unload


__all__ = [
    "Action",
    "EVACUATED",
    "NOT_OWNER",
    "EngineRequest",
    "Grant",
    "Load",
    "Order",
    "QueueTimes",
    "Refusal",
    "Unload",
]

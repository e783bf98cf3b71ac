"""Conversion between requests at engines and messages to their owners.

Messages carry durations, requests readings of the local clock.
"""

from __future__ import annotations

import math

from boragefold.policy import adapter_digests
from boragefold.policy import engine_decisions
from boragefold.policy import engine_schedule
from boragefold.protocol import ids
from boragefold.protocol import peer_messages as messages
from boragefold.state import deployment

# Smaller differences change no choice but would be sent with each message.
STATUS_STEP_SECONDS = 0.02


def write_ask(
    request: engine_decisions.EngineRequest,
    engine: str,
    *,
    unanswered: int,
    now_seconds: float,
) -> messages.EngineAsk:
    """Create the message that asks an engine's owner to run a request.

    :param request: the request
    :param engine: where it is to run
    :param unanswered: how often it was sent before without an answer
    :param now_seconds: reading of the sender's clock
    :return: the message
    """
    return messages.EngineAsk(
        request_id=request.request_id,
        engine=engine,
        model=request.adapter.model,
        adapter=request.adapter.adapter,
        prompt_tokens=request.prompt_tokens,
        output_tokens=request.output_tokens,
        priority=request.priority,
        on_time_in_seconds=request.start_deadline_at_seconds - now_seconds,
        give_up_in_seconds=request.queue_deadline_at_seconds - now_seconds,
        ends_in_seconds=request.end_deadline_at_seconds - now_seconds,
        unanswered=unanswered,
        eager=request.eager,
        event_gap_seconds=request.event_gap_seconds,
    )


def read_ask(
    sender: ids.InstanceId, body: messages.EngineAsk, *, now_seconds: float
) -> engine_decisions.EngineRequest:
    """Read the request that an engine's owner is asked to run.

    :param sender: the instance that sends the request to the engine
    :param body: the message
    :param now_seconds: reading of the receiver's clock
    :return: the request
    """
    return engine_decisions.EngineRequest(
        request_id=body.request_id,
        sender=sender,
        adapter=deployment.AdapterKey(body.model, body.adapter),
        prompt_tokens=body.prompt_tokens,
        output_tokens=body.output_tokens,
        priority=body.priority,
        start_deadline_at_seconds=now_seconds + body.on_time_in_seconds,
        queue_deadline_at_seconds=now_seconds + body.give_up_in_seconds,
        end_deadline_at_seconds=now_seconds + body.ends_in_seconds,
        eager=body.eager,
        event_gap_seconds=body.event_gap_seconds,
    )


def write_status(
    name: str, schedule: engine_schedule.EngineSchedule, *, now_seconds: float
) -> messages.EngineStatus:
    """Describe an engine's schedule for the other instances.

    :param name: of the engine
    :param schedule: what runs and waits there
    :param now_seconds: reading of the process clock
    :return: the status that heartbeats carry
    """
    slots = schedule.slots
    return messages.EngineStatus(
        name=name,
        models=slots.models(),
        adapters=tuple((key.model, key.adapter) for key in slots.held()),
        backlog_seconds=_round_up(
            max(
                schedule.backlog_seconds(),
                schedule.cold_wait_seconds(now_seconds=now_seconds),
            )
        ),
        place_wait_seconds=_round_up(schedule.slot_wait_seconds()),
        loading=slots.loading(now_seconds=now_seconds),
        orders_in_seconds=_round_up(slots.orders_in_seconds),
        copies=adapter_digests.digests(slots.host_memory_copies()),
    )


def _round_up(seconds: float) -> float:
    steps = math.ceil(round(seconds / STATUS_STEP_SECONDS, 6))
    return round(steps * STATUS_STEP_SECONDS, 3)


__all__ = [
    "read_ask",
    "write_ask",
    "write_status",
]

"""Log lines on owned engines: changes of owner, and refused requests."""

from __future__ import annotations

from boragefold.coordination.fleet import owner_changes
from boragefold.entry import owned_engine
from boragefold.policy import engine_decisions
from boragefold.state import deployment
from boragefold.telemetry import decision_log


def log_given_up(
    log: decision_log.DecisionLog,
    record: deployment.EndpointRecord,
    change: owner_changes.OwnerChange,
) -> None:
    """Log that this instance stopped owning an engine.

    :param log: of this process
    :param record: the engine
    :param change: why
    """
    log.write(
        "engine_given_up",
        engine=record.name,
        reason=change.reason,
        owner=change.owner,
        **_count_instances(change),
    )


def log_taken_up(
    log: decision_log.DecisionLog,
    record: deployment.EndpointRecord,
    change: owner_changes.OwnerChange,
) -> None:
    """Log that this instance started to own an engine.

    :param log: of this process
    :param record: the engine
    :param change: why
    """
    heard_seconds = change.former_heard_seconds
    log.write(
        "engine_taken_up",
        engine=record.name,
        born_milliseconds=record.born_milliseconds,
        former_owner=change.former_owner,
        former_heard_seconds=heard_seconds and round(heard_seconds, 3),
        **_count_instances(change),
    )


def log_refusal(
    log: decision_log.DecisionLog,
    engine: str,
    refusal: engine_decisions.Refusal,
    owned: owned_engine.OwnedEngine | None,
) -> None:
    """Log that a request to an engine was refused.

    :param log: of this process
    :param engine: its name
    :param refusal: the refusal
    :param owned: the engine, None if this instance doesn't own it
    """
    state = {} if owned is None else owned.schedule.summary()
    log.write(
        "engine_turned_away",
        request_id=refusal.request.request_id,
        engine=engine,
        adapter=refusal.request.adapter.adapter,
        reason=refusal.reason,
        **state,
    )


def _count_instances(change: owner_changes.OwnerChange) -> dict[str, int]:
    return {
        "instances_heard": change.instances_heard,
        "instances_known": change.instances_known,
    }


__all__ = [
    "log_given_up",
    "log_refusal",
    "log_taken_up",
]

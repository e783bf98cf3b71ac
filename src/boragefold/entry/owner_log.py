"""Log lines on the engines that an instance starts or stops owning."""

from __future__ import annotations

from boragefold.coordination.fleet import owner_changes
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
        instances_heard=change.instances_heard,
        instances_known=change.instances_known,
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
        instances_heard=change.instances_heard,
        instances_known=change.instances_known,
    )


__all__ = [
    "log_given_up",
    "log_taken_up",
]

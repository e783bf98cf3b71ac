"""Merging the state of an instance from its own messages and hub reports.

A hub reports only the parts that changed, and two hubs report the same change
at different times: for each part, the newer state wins.
"""

from __future__ import annotations

from boragefold.coordination.fleet import engine_diffs
from boragefold.coordination.fleet import member as member_module
from boragefold.protocol import ids
from boragefold.protocol import peer_messages as messages

EMPTY_BEAT = messages.Beat(0.0, False, {}, (), ())


def is_current(
    member: member_module.Member,
    instance: ids.InstanceId,
    told: messages.Told,
    *,
    now_seconds: float,
) -> bool:
    """Tell whether a hub reports the newest incarnation at an address.

    :param member: the known state of that address
    :param instance: the incarnation that the hub reports
    :param told: the entry of the report
    :param now_seconds: reading of the process clock
    :return: whether it is the known one, or started later
    """
    if instance.incarnation == member.instance.incarnation:
        return True
    if instance.incarnation in member.former_incarnations:
        return False
    if told.standing is None or not member.instance.incarnation:
        return told.standing is not None
    started_at_seconds = now_seconds - told.standing.uptime_seconds
    return (
        member.beat is None or started_at_seconds > member.started_at_seconds
    )


def is_from_replaced(
    member: member_module.Member,
    sender: ids.InstanceId,
    beat: messages.Beat | None,
    *,
    now_seconds: float,
) -> bool:
    """Tell whether a message comes from a process that was replaced.

    :param member: the known state of the sender's address
    :param sender: the incarnation that sent the message
    :param beat: the state that it reports of itself, if any
    :param now_seconds: reading of the process clock
    :return: whether a process that started later is known at that address
    """
    if sender.incarnation not in member.former_incarnations:
        return False
    if beat is None:
        return True
    started_at_seconds = now_seconds - beat.uptime_seconds
    return started_at_seconds <= member.started_at_seconds


def apply_heartbeat(
    member: member_module.Member, beat: messages.Beat, *, now_seconds: float
) -> bool:
    """Apply an instance's own heartbeat.

    :param member: the instance
    :param beat: the state that it reports of itself
    :param now_seconds: reading of the process clock
    :return: whether the change must be sent on at once
    """
    said_milliseconds = round(beat.uptime_seconds * engine_diffs.MILLISECONDS)
    if said_milliseconds < member.state_uptime_milliseconds:
        # A newer state has already arrived by a shorter path.
        return False
    before, member.beat = member.beat, beat
    member.state_uptime_milliseconds = said_milliseconds
    member.engines_uptime_milliseconds = said_milliseconds
    _note_start(member, now_seconds - beat.uptime_seconds)
    return before is None or _has_urgent_change(before, beat)


def apply_report_entry(
    member: member_module.Member, told: messages.Told, *, now_seconds: float
) -> bool:
    """Apply what a hub reports of an instance.

    :param member: the instance
    :param told: the parts that changed, engines in full
    :param now_seconds: reading of the process clock
    :return: whether the change must be sent on at once
    """
    before = member.beat
    beat = EMPTY_BEAT if before is None else before
    said_milliseconds = told.said_milliseconds
    standing = told.standing
    if (
        standing is not None
        and said_milliseconds >= member.state_uptime_milliseconds
    ):
        member.state_uptime_milliseconds = said_milliseconds
        _note_start(member, now_seconds - standing.uptime_seconds)
        beat = beat._replace(**standing._asdict())
    if said_milliseconds >= member.engines_uptime_milliseconds:
        if told.engines is not None:
            member.engines_uptime_milliseconds = said_milliseconds
            beat = beat._replace(engines=told.engines)
    member.beat = beat
    return before is None or (
        beat is not before and _has_urgent_change(before, beat)
    )


def _note_start(
    member: member_module.Member, started_at_seconds: float
) -> None:
    member.started_at_seconds = min(
        member.started_at_seconds, started_at_seconds
    )


def _has_urgent_change(before: messages.Beat, beat: messages.Beat) -> bool:
    return member_module.urgent_state(before) != member_module.urgent_state(
        beat
    )


__all__ = [
    "apply_heartbeat",
    "apply_report_entry",
    "is_current",
    "is_from_replaced",
]

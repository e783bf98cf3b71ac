"""Causes of late streamed answers, counted from the logs of processes."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

from boragefold.telemetry import log_story

ENDED = "request_ended"
ANSWERED = "answered"
# Log fields with the parts of the wait before a request is sent.
PARTS = {
    "place": "place_wait_seconds",
    "load": "load_wait_seconds",
    "turn": "turn_wait_seconds",
}
# The rest of that wait: requests to engine owners, also after a refusal.
ASKING = "asking"
# The time from sending the request to the first event.
READING = "reading"


class Row(NamedTuple):
    """Streamed answers with the same route, outcome and cause of delay."""

    route: str
    outcome: str
    cause: str
    answers: int
    median_seconds: float


def rows(lines: Iterable[log_story.Line]) -> list[Row]:
    """Count late, refused and failed streamed answers by their cause.

    :param lines: log lines of all processes
    :return: the most frequent first, without the answers that were on time
    """
    durations: dict[tuple[str, str, str], list[float]] = (
        collections.defaultdict(list)
    )
    for line in lines:
        if line.event == ENDED and PARTS["place"] in line.fields:
            for outcome, cause in _outcome_and_cause(line.fields):
                key = (str(line.fields["route"]), outcome, cause)
                durations[key].append(float(line.fields["took_seconds"]))
    counted = (
        Row(*key, len(seconds), sorted(seconds)[len(seconds) // 2])
        for key, seconds in durations.items()
    )
    return sorted(counted, key=lambda row: (-row.answers, row))


def _outcome_and_cause(fields: dict[str, Any]) -> Iterator[tuple[str, str]]:
    if fields["outcome"] != ANSWERED:
        yield str(fields["outcome"]), ""
    elif fields.get("late") == "first_event":
        parts = _parts(fields)
        yield "late_first_event", max(parts, key=parts.__getitem__)
    elif fields.get("late"):
        yield f"late_{fields['late']}", ""


def _parts(fields: dict[str, Any]) -> dict[str, float]:
    parts = {part: float(fields[name]) for part, name in PARTS.items()}
    waited_seconds = float(fields["waited_seconds"])
    parts[ASKING] = waited_seconds - sum(parts.values())
    parts[READING] = float(fields["first_event_seconds"]) - waited_seconds
    return parts


__all__ = [
    "Row",
    "rows",
]

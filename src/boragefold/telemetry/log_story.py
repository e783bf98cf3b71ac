"""One request's or engine's way, put together from several logs."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

import msgspec

# Changes of belief this long before a request's end are told with it.
BELIEF_SECONDS = 10.0
# What a process believes, beside what it decides about requests.
BELIEFS = frozenset(
    {
        "engine_given_up",
        "engine_taken_up",
        "fleet_changed",
        "log_lines_lost",
        "peer_heard",
        "peer_silent",
        "settings_refused",
        "settings_reloaded",
        "started",
        "stopping",
        "store_lost",
        "store_regained",
    }
)


REPORT = "engine_report"


class Line(NamedTuple):
    """One line of a log; ``source`` names the process."""

    time_seconds: float
    source: str
    event: str
    fields: dict[str, Any]


def read(source: str, lines: Iterable[str]) -> Iterator[Line]:
    """Read a log; torn and foreign lines are passed over.

    :param source: names the process, such as the file's name; where several
        share a log, the word before a line's object names it
    :param lines: of its log
    :return: the lines that are ours
    """
    for text in lines:
        begin = text.find("{")
        if begin < 0:
            continue
        try:
            fields = msgspec.json.decode(text[begin:])
            yield Line(
                float(fields.pop("time_seconds", 0.0)),
                _source(text[:begin]) or source,
                str(fields.pop("event")),
                fields,
            )
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
            continue


def story(request_id: str, lines: Iterable[Line]) -> list[Line]:
    """Pick what concerns a request, with the beliefs that were in force.

    :param request_id: the request
    :param lines: of all processes
    :return: in the order of their times; empty for an unknown request
    """
    everything = sorted(lines, key=lambda line: line.time_seconds)
    own = [
        line
        for line in everything
        if line.fields.get("request_id") == request_id
    ]
    if not own:
        return []
    sources = {line.source for line in own}
    begin = own[0].time_seconds - BELIEF_SECONDS
    end = own[-1].time_seconds
    return [
        line
        for line in everything
        if line in own
        or (
            line.event in BELIEFS
            and line.source in sources
            and begin <= line.time_seconds <= end
        )
    ]


def engine_story(engine: str, lines: Iterable[Line]) -> list[Line]:
    """Pick what instances believed of an engine and ordered from it.

    Reports are left out that told what was believed already.

    :param engine: its name
    :param lines: of all processes
    :return: in the order of their times; empty for an unknown engine
    """
    return sorted(
        (line for line in lines if _is_of_engine(line, engine)),
        key=lambda line: line.time_seconds,
    )


def _is_of_engine(line: Line, engine: str) -> bool:
    fields = line.fields
    if fields.get("engine") != engine or "request_id" in fields:
        return False
    told_nothing = fields.get("count") == fields.get("believed")
    return line.event != REPORT or not told_nothing


def _source(prefix: str) -> str:
    words = prefix.replace("|", " ").split()
    return words[-1] if words else ""


def write(line: Line) -> str:
    """Write a line for a person.

    :param line: the line
    :return: one line of text
    """
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in ("at_seconds", "request_id")
    )
    return f"{line.time_seconds:.3f} {line.source} {line.event} {fields}"


__all__ = [
    "BELIEFS",
    "Line",
    "engine_story",
    "read",
    "story",
    "write",
]

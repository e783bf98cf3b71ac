"""Events of one request or engine, collected from several logs."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import itertools
from typing import Any
from typing import NamedTuple

import msgspec

from boragefold.protocol import decoding

# State changes up to this long before a request's first line are included.
STATE_EVENT_SECONDS = 10.0
# Events that change the state of a process, apart from those of requests.
STATE_EVENTS = frozenset(
    {
        "endpoint_unreached",
        "engine_given_up",
        "engine_taken_up",
        "fleet_changed",
        "log_lines_lost",
        "path_found",
        "path_lost",
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
# Events on crashes and on the requests that ran on the crashed endpoints.
CRASH_EVENTS = frozenset(
    {
        "endpoint_broke",
        "quarantine_changed",
        "quarantine_trial",
        "suspects_cleared",
    }
)
# What a request was refused for, and what ran on crashed endpoints.
CAUSE_FIELDS = ("fingerprint", "cause")
SUSPECT_FIELDS = ("suspects", "parts", "causes")
REPORT = "engine_report"
TAKEN_UP = "stream_taken_up"


class Line(NamedTuple):
    """A parsed log line; ``source`` names the process that wrote it."""

    time_seconds: float
    source: str
    event: str
    fields: dict[str, Any]


def read(source: str, lines: Iterable[str]) -> Iterator[Line]:
    """Parse a log, skipping truncated lines and those of other programs.

    :param source: name of the process, such as the file's name; where several
        processes share a log, the word before a line's JSON object is used
    :param lines: lines of the log
    :return: the parsed lines
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
        except (
            *decoding.ERRORS,
            KeyError,
            OverflowError,
            TypeError,
            ValueError,
        ):
            continue


def story(request_id: str, lines: Iterable[Line]) -> list[Line]:
    """Select the lines of a request and the state changes around them.

    For a request that may have crashed endpoints, this includes what is known
    of its earlier attempts, from all processes. For one whose stream was taken
    up, it includes the requests before and after that its caller named.

    :param request_id: the request
    :param lines: log lines of all processes
    :return: ordered by time; empty for an unknown request
    """
    everything = sorted(lines, key=lambda line: line.time_seconds)
    named = _list_named(request_id, everything)
    own = [
        line for line in everything if line.fields.get("request_id") in named
    ]
    if not own:
        return []
    causes = {
        line.fields.get(field) for line in own for field in CAUSE_FIELDS
    } - {None, ""}
    sources = {line.source for line in own}
    begin = own[0].time_seconds - STATE_EVENT_SECONDS
    end = own[-1].time_seconds
    return [
        line
        for line in everything
        if line in own
        or (line.time_seconds <= end and _is_of_suspect(line, causes))
        or (
            line.event in STATE_EVENTS
            and line.source in sources
            and begin <= line.time_seconds <= end
        )
    ]


def _list_named(request_id: str, lines: list[Line]) -> set[str]:
    # A take-up may name one that was a take-up itself.
    pairs = [
        {str(line.fields.get("request_id")), str(line.fields["resumes"])}
        for line in lines
        if line.event == TAKEN_UP and line.fields.get("resumes")
    ]
    named = {request_id}
    while found := set().union(*(p for p in pairs if p & named)) - named:
        named |= found
    return named


def _is_of_suspect(line: Line, causes: set[Any]) -> bool:
    if line.event not in CRASH_EVENTS:
        return False
    listed = itertools.chain(
        (line.fields.get("fingerprint"),),
        *(line.fields.get(field, ()) for field in SUSPECT_FIELDS),
    )
    return not causes.isdisjoint(listed)


def engine_story(engine: str, lines: Iterable[Line]) -> list[Line]:
    """Select the state changes and orders of an engine.

    Reports that confirmed the state already known are left out.

    :param engine: name of the engine
    :param lines: log lines of all processes
    :return: ordered by time; empty for an unknown engine
    """
    return sorted(
        (line for line in lines if _is_of_engine(line, engine)),
        key=lambda line: line.time_seconds,
    )


def _is_of_engine(line: Line, engine: str) -> bool:
    fields = line.fields
    if fields.get("engine") != engine or "request_id" in fields:
        return False
    is_unchanged = fields.get("count") == fields.get("believed")
    return line.event != REPORT or not is_unchanged


def _source(prefix: str) -> str:
    words = prefix.replace("|", " ").split()
    return words[-1] if words else ""


def write(line: Line) -> str:
    """Format a line for display.

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
    "STATE_EVENTS",
    "Line",
    "engine_story",
    "read",
    "story",
    "write",
]

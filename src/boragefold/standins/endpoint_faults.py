"""What a stand-in endpoint does wrong."""

from __future__ import annotations

import dataclasses

from boragefold.standins import endless_answers
from boragefold.standins import endpoint_connection
from boragefold.standins import machines_http
from boragefold.transport import http_server

PROMPT_PARTS = "boragefold-prompt-prefix"


@dataclasses.dataclass(kw_only=True)
class Faults:
    """What an endpoint does wrong; set by ``PUT /control/faults``.

    ``status`` replaces the answer's, ``not_executed`` marks it as not run,
    ``framing`` is how answers are framed, ``line_end`` ends the lines of
    events. ``cut_after`` breaks a stream off after so many events, inside the
    next one unless ``cut_between``, and other answers in their midst, all by
    ``ending``; with ``cut_body``, only those to requests whose body begins so.
    ``cut_head`` breaks the heads of answers off by ``ending``.
    ``exit_when_done`` ends the process after its next whole answer,
    ``endless`` sends an answer of this form instead, ``endless_calls`` does
    so for reports and orders, and ``unframed_calls`` sends these without a
    framing.
    ``unsigned`` leaves the signature out, ``silent`` never answers,
    ``delay_seconds`` answers later, ``resumed_status`` is the answer to the
    rest of a stream. ``crash_body`` ends the process under each request whose
    body begins so. ``crash_parts`` and ``cut_parts`` do the same for requests
    whose prompts share one of these parts. ``lose_answers`` closes the
    connection behind the run instead of answering; ``share`` is the part of
    the runs that this, ``status`` and ``not_executed`` apply to.
    ``limits`` are slots, waiting requests, rejections that it bears in a
    second, and seconds until it is back from more.
    """

    status: int = machines_http.STATUS_OK
    not_executed: bool = False
    framing: endpoint_connection.Framing | None = None
    line_end: str = "\n"
    cut_after: int | None = None
    cut_between: bool = False
    cut_body: str = ""
    cut_parts: tuple[str, ...] = ()
    ending: endpoint_connection.Ending = endpoint_connection.Ending.CLOSE
    cut_head: endpoint_connection.HeadFault | None = None
    exit_when_done: bool = False
    unframed_calls: bool = False
    endless: endless_answers.Form | None = None
    endless_calls: endless_answers.Form | None = None
    unsigned: bool = False
    silent: bool = False
    delay_seconds: float = 0.0
    resumed_status: int = machines_http.STATUS_OK
    crash_body: str = ""
    crash_parts: tuple[str, ...] = ()
    lose_answers: bool = False
    share: float = 1.0
    limits: tuple[int, int, int, float] = (0, 0, 0, 0.0)

    def crashes(self, request: http_server.Request) -> bool:
        """Tell whether a request ends the process as soon as it runs.

        :param request: the request
        :return: whether it does
        """
        return _is_meant(request, self.crash_body, self.crash_parts)

    def cuts(self, request: http_server.Request) -> bool:
        """Tell whether the answer to a request breaks off.

        :param request: the request
        :return: whether it does
        """
        if self.cut_after is None:
            return False
        if not self.cut_body and not self.cut_parts:
            return True
        return _is_meant(request, self.cut_body, self.cut_parts)


def _is_meant(
    request: http_server.Request, beginning: str, parts: tuple[str, ...]
) -> bool:
    if beginning and request.body.startswith(beginning.encode()):
        return True
    listed = request.headers.get(PROMPT_PARTS, "").split(",")
    return any(item.partition(":")[0] in parts for item in listed[:-1])


class FaultShare:
    """Chooses the runs that a fault applies to, evenly spread."""

    def __init__(self) -> None:
        self._due = 0.0

    def draw(self, share: float) -> bool:
        """Choose for one run.

        :param share: part of the runs, from 0 to 1
        :return: whether the fault applies to it
        """
        self._due += share
        drawn = self._due >= 1
        self._due -= drawn
        return drawn


__all__ = [
    "FaultShare",
    "Faults",
]

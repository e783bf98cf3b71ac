"""The interface between the gateway and the message formats around it.

Callers, endpoints and the store may use formats of the users' own. A dialect
converts between them and the types below: it parses requests, responses and
reports, and creates outgoing headers. It makes no decisions.
"""

from __future__ import annotations

import abc
from collections.abc import Mapping
from typing import NamedTuple

from boragefold.state import deployment
from boragefold.transport import http_server

Headers = list[tuple[str, str]]


class CallerRequest(NamedTuple):
    """A caller's request after parsing.

    ``deadline_seconds`` is the caller's timeout, None if it states none.
    ``adapter`` is the one that the request must run on, None for a plain
    service. ``usage_tokens`` is the amount charged to a rate limit in tokens,
    None if the request states no tokens. ``last_event_id`` is the event after
    which the caller resumes a stream, ``resumes`` the caller's earlier request
    that brought the first event of that stream. ``shared_parts`` identify the
    parts of its prompt that other requests may hold, too, each once.
    """

    request_id: str
    host: str
    path: str
    key: str
    deadline_seconds: float | None
    adapter: deployment.AdapterKey | None
    prompt_tokens: int
    output_tokens: int
    usage_tokens: float | None
    last_event_id: str
    resumes: str
    http: http_server.Request
    shared_parts: tuple[str, ...] = ()


class Malformed(NamedTuple):
    """The error and the remedy for a request that can't be parsed."""

    reason: str
    remedy: str


class AnswerFacts(NamedTuple):
    """The information in the status and headers of an endpoint's response.

    ``not_run`` is the endpoint's confirmation that it did not run the request
    and never will. ``signed`` tells whether the response carries the
    endpoint's signature. ``busy`` and ``slots`` are the load of the endpoint,
    None if the response doesn't report it. ``bearable_rejections`` are those
    that an endpoint of the service bears in a second, None for any number.
    ``work_factor`` is the time that work takes there now, relative to normal,
    None if the response doesn't report it. ``unread_load_figures`` lists the
    positions of figures of the load that can't be read.
    ``cold_seconds`` is how long the endpoint stays cold, None if unstated.
    """

    status: int
    not_run: bool
    not_held: bool
    signed: bool
    leaving: bool
    busy: int | None
    slots: int | None
    bearable_rejections: int | None = None
    work_factor: float | None = None
    unread_load_figures: tuple[int, ...] = ()
    cold_seconds: float | None = None

    @property
    def no_room(self) -> bool:
        """Tell whether the endpoint rejected the request for want of room.

        :return: whether another request would be rejected now, too
        """
        return self.not_run and not self.not_held and not self.leaving


class EndpointTarget(NamedTuple):
    """The endpoint that a request is sent to, and the request's parameters.

    ``version`` is the adapter version that the request must run on, 0 for any.
    ``resume_after`` is the last event that the caller received.
    """

    record: deployment.EndpointRecord
    workspace: str
    version: int
    resume_after: str


class Dialect(abc.ABC):
    """Converts between the gateway's types and the messages on the wire."""

    @abc.abstractmethod
    def read_request(
        self, request: http_server.Request
    ) -> CallerRequest | Malformed:
        """Parse a caller's request.

        :param request: the HTTP request
        :return: the parsed request, or the error
        """

    @abc.abstractmethod
    def first_event_seconds(self, route: deployment.Route) -> float:
        """Return the caller's limit for the start of a response on a route.

        :param route: the route
        :return: seconds from the first byte of the request
        """

    @abc.abstractmethod
    def endpoint_headers(
        self, request: CallerRequest, target: EndpointTarget
    ) -> Headers:
        """Create the headers of a request to an endpoint.

        :param request: the caller's request
        :param target: the endpoint and parameters of the request
        :return: names and values
        """

    @abc.abstractmethod
    def deadline_headers(self, remaining_seconds: float) -> Headers:
        """Create the headers that tell an endpoint how much time is left.

        :param remaining_seconds: time until the deadline of the request
        :return: names and values
        """

    @abc.abstractmethod
    def answers(
        self, request: CallerRequest, headers: Mapping[str, str]
    ) -> bool:
        """Tell whether a response belongs to a request.

        :param request: the request
        :param headers: headers of the response, by lower-case name
        :return: False for the response to another request
        """

    @abc.abstractmethod
    def read_answer(
        self, status: int, headers: Mapping[str, str]
    ) -> AnswerFacts:
        """Parse the status and headers of an endpoint's response.

        :param status: the HTTP status
        :param headers: values by lower-case name
        :return: the information in them
        """

    @abc.abstractmethod
    def caller_headers(self, headers: Mapping[str, str]) -> Headers:
        """Create the headers of a response that is forwarded to the caller.

        :param headers: headers of the endpoint's response, by lower-case name
        :return: names and values
        """

    @abc.abstractmethod
    def refusal_headers(self, request: CallerRequest | None) -> Headers:
        """Create the headers of a response that the gateway itself generates.

        :param request: the caller's request, None if it could not be parsed
        :return: names and values
        """


__all__ = [
    "AnswerFacts",
    "CallerRequest",
    "Dialect",
    "EndpointTarget",
    "Headers",
    "Malformed",
]

"""What the bench compares: everything between callers and engines."""

from __future__ import annotations

import abc
from typing import NamedTuple

from boragefold.bench import traffic
from boragefold.policy import work as works


class Report(NamedTuple):
    """What an engine says of itself."""

    endpoint: str
    incarnation: str
    taken_at_seconds: float
    running: int
    waiting: int
    ready: tuple[works.AdapterVersion, ...]


class System(abc.ABC):
    """Decides, at every entry instance, what becomes of requests.

    ``LOADS_AT_ENGINE`` leaves loads to the engines, which then load what a
    request lacks and evict what was used least recently.
    """

    LOADS_AT_ENGINE = False

    @abc.abstractmethod
    def arrive(self, instance: int, arrival: traffic.Arrival) -> None:
        """Receive a request at an entry instance.

        :param instance: its number
        :param arrival: the request
        """

    @abc.abstractmethod
    def cancel(self, instance: int, request_id: str) -> None:
        """Learn that a caller has hung up.

        :param instance: where it was connected
        :param request_id: its request
        """

    @abc.abstractmethod
    def report(self, instance: int, report: Report) -> None:
        """Receive a load report.

        :param instance: where it arrived
        :param report: what the engine said, some time ago
        """

    @abc.abstractmethod
    def first_token(self, instance: int, request_id: str) -> None:
        """Learn that an answer has begun.

        :param instance: where the request came in
        :param request_id: which one
        """

    @abc.abstractmethod
    def finished(self, instance: int, request_id: str) -> None:
        """Learn that an answer is whole.

        :param instance: where the request came in
        :param request_id: which one
        """

    @abc.abstractmethod
    def failed(
        self, instance: int, request_id: str, endpoint: str, reached: bool
    ) -> None:
        """Learn that an attempt failed.

        :param instance: where the request came in
        :param request_id: which one
        :param endpoint: the engine that failed it
        :param reached: whether the engine may have begun
        """


__all__ = [
    "Report",
    "System",
]

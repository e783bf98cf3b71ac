"""Token requests queued at a holder, in order of arrival."""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses

from boragefold.protocol import ids


@dataclasses.dataclass(kw_only=True)
class QueuedRequest:
    """A request that waits for the refill or for a loan."""

    asker: ids.InstanceId
    number: int
    needed_tokens: float
    ahead_tokens: float
    received_at_seconds: float
    wait_announced: bool = False


class RequestQueue:
    """Queue with one request per asker; a repeated one keeps its position."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._requests: dict[ids.InstanceId, QueuedRequest] = {}

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(list(self._requests.values()))

    def __bool__(self) -> bool:
        return bool(self._requests)

    @property
    def needed_tokens(self) -> float:
        """Sum the tokens that the requests need.

        :return: tokens
        """
        return sum(each.needed_tokens for each in self._requests.values())

    @property
    def ahead_tokens(self) -> float:
        """Sum the additional tokens that the requests fetch ahead.

        :return: tokens
        """
        return sum(each.ahead_tokens for each in self._requests.values())

    def put(self, request: QueuedRequest) -> None:
        """Add a request or replace an earlier one of the same asker.

        :param request: the request
        """
        self._requests[request.asker] = request

    def first(self) -> QueuedRequest:
        """Return the request that arrived first; the queue must not be empty.

        :return: the request
        """
        return next(iter(self._requests.values()))

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request.

        :param request: the request
        """
        del self._requests[request.asker]


__all__ = [
    "QueuedRequest",
    "RequestQueue",
]

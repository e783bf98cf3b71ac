"""FIFO queue of the requests of one workspace that wait for tokens.

Load pattern: small and large requests of one workspace run out of tokens
together. Without a common order, small requests take every token that becomes
available, and a large one is overtaken until its caller times out.
"""

from __future__ import annotations

import collections
from typing import NamedTuple

from boragefold.policy import drain_rate
from boragefold.policy import work as works

# Polls the token balance, as its callback is lost if a message is lost.
POLL_SECONDS = 0.05


class WaitingRequest(NamedTuple):
    """A waiting request."""

    work: works.Work
    tokens: float
    until_seconds: float


class TokenQueue:
    """A first-in, first-out queue; exists only while a request waits."""

    def __init__(self, *, now_seconds: float, ready_in_seconds: float) -> None:
        self._entries: collections.OrderedDict[str, WaitingRequest] = (
            collections.OrderedDict()
        )
        self._tokens = 0.0
        self._began_at_seconds = now_seconds
        self._drain_rate = drain_rate.DrainRate()
        self._ready_at_seconds = 0.0
        self._poll_at_seconds = 0.0
        self.set_ready(
            now_seconds=now_seconds, ready_in_seconds=ready_in_seconds
        )

    def __len__(self) -> int:
        return len(self._entries)

    def append(self, entry: WaitingRequest) -> None:
        """Add a request at the end.

        :param entry: the request
        """
        self._entries[entry.work.request_id] = entry
        self._tokens += entry.tokens

    def remove(self, request_id: str) -> WaitingRequest:
        """Remove a request.

        :param request_id: a request in this queue
        :return: the request
        """
        entry = self._entries.pop(request_id)
        self._tokens -= entry.tokens
        return entry

    def head(self) -> WaitingRequest:
        """Return the request at the head of the queue.

        :return: the oldest request
        """
        return next(iter(self._entries.values()))

    def overdue(self, *, now_seconds: float) -> list[WaitingRequest]:
        """List the requests whose waiting time is over.

        :param now_seconds: reading of the process clock
        :return: entries, oldest first
        """
        return [
            entry
            for entry in self._entries.values()
            if entry.until_seconds <= now_seconds
        ]

    def set_ready(
        self, *, now_seconds: float, ready_in_seconds: float
    ) -> None:
        """Record the token balance's answer for the head.

        :param now_seconds: reading of the process clock
        :param ready_in_seconds: seconds until the head's tokens are expected
        """
        self._ready_at_seconds = now_seconds + ready_in_seconds
        self._poll_at_seconds = now_seconds + POLL_SECONDS

    def record_admitted(self, tokens: float, *, now_seconds: float) -> None:
        """Record that the head got its tokens.

        :param tokens: the number of tokens
        :param now_seconds: reading of the process clock
        """
        self._drain_rate.add(tokens, now_seconds=now_seconds)

    def next_due_seconds(self) -> float:
        """Return when the queue has to be processed next.

        :return: reading of the process clock
        """
        return min(self._poll_at_seconds, self.head().until_seconds)

    def wait_seconds(self, tokens: float, *, now_seconds: float) -> float:
        """Estimate the wait of a request that is added now.

        :param tokens: the tokens that the request needs
        :param now_seconds: reading of the process clock
        :return: seconds until it would get its tokens
        """
        head_seconds = max(0.0, self._ready_at_seconds - now_seconds)
        behind_tokens = self._tokens - self.head().tokens + tokens
        return head_seconds + behind_tokens / self._rate(now_seconds)

    def _rate(self, now_seconds: float) -> float:
        measured = self._drain_rate.tokens_per_second(now_seconds=now_seconds)
        if measured is not None:
            return measured
        # Too few requests were served to measure the rate.
        head_seconds = self._ready_at_seconds - self._began_at_seconds
        return self.head().tokens / max(head_seconds, POLL_SECONDS)


__all__ = [
    "POLL_SECONDS",
    "TokenQueue",
    "WaitingRequest",
]

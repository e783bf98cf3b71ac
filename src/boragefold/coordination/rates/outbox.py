"""Reports of used tokens, repeated until the holder acknowledges them."""

from __future__ import annotations

from collections.abc import Iterable
import itertools

from boragefold.protocol import rate_messages

# Bounds the reports in one message; the others follow in the next one.
MAX_USAGES = 40

# Bounds the requests whose response acknowledges reports; reports carried by
# older requests are repeated.
MAX_CARRIERS = 20


class Outbox:
    """Unacknowledged reports of one grant pool."""

    def __init__(self) -> None:
        """Create an empty outbox."""
        self._usages: dict[int, rate_messages.Usage] = {}
        self._carried: dict[int, tuple[rate_messages.Usage, ...]] = {}
        self._waiting_since_seconds: float | None = None

    def __bool__(self) -> bool:
        return bool(self._usages)

    def put(self, usage: rate_messages.Usage, *, now_seconds: float) -> None:
        """Add a report; it replaces an earlier one on the same grant.

        :param usage: the report
        :param now_seconds: current time
        """
        self._usages[usage.number] = usage
        if self._waiting_since_seconds is None:
            self._waiting_since_seconds = now_seconds

    def drop(self, number: int) -> None:
        """Remove a report that was not acknowledged.

        :param number: number of its grant
        """
        self._usages.pop(number, None)

    def attach(
        self, request_number: int, *, now_seconds: float
    ) -> tuple[rate_messages.Usage, ...]:
        """Return the reports to attach to a request.

        :param request_number: number of the request
        :param now_seconds: current time
        :return: reports
        """
        usages = tuple(itertools.islice(self._usages.values(), MAX_USAGES))
        if usages:
            self._waiting_since_seconds = now_seconds
            self._carried[request_number] = usages
            if len(self._carried) > MAX_CARRIERS:
                del self._carried[next(iter(self._carried))]
        return usages

    def due(
        self, *, after_seconds: float, now_seconds: float
    ) -> tuple[rate_messages.Usage, ...]:
        """Return the final reports that no request has carried in time.

        Reports that may still change are not sent alone: without one the
        holder counts the tokens as charged when the grant expires.

        :param after_seconds: how long a report waits for a request
        :param now_seconds: current time
        :return: reports; they are repeated until acknowledged
        """
        waiting_since_seconds = self._waiting_since_seconds
        if (
            waiting_since_seconds is None
            or now_seconds < waiting_since_seconds + after_seconds
        ):
            return ()
        self._waiting_since_seconds = now_seconds
        final = (usage for usage in self._usages.values() if usage.final)
        return tuple(itertools.islice(final, MAX_USAGES))

    def acknowledge_request(self, request_number: int) -> list[int]:
        """Process the response to a request that may have carried reports.

        :param request_number: number of the request
        :return: numbers of the grants that need no more reports
        """
        done = self.acknowledge(self._carried.pop(request_number, ()))
        self._carried = {
            number: usages
            for number, usages in self._carried.items()
            if number > request_number
        }
        return done

    def acknowledge(self, usages: Iterable[rate_messages.Usage]) -> list[int]:
        """Stop repeating acknowledged reports.

        :param usages: reports as sent; one that changed since then is kept
        :return: numbers of the grants that need no more reports
        """
        same = [
            usage
            for usage in usages
            if self._usages.get(usage.number) == usage
        ]
        for usage in same:
            del self._usages[usage.number]
        if not self._usages:
            self._waiting_since_seconds = None
        return [usage.number for usage in same if usage.final]


__all__ = [
    "Outbox",
]

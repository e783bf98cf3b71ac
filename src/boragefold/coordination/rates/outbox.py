"""Reports on used tokens, repeated until the holder has them."""

from __future__ import annotations

from collections.abc import Iterable
import itertools

from boragefold.protocol import rate_messages

# Reports in one message; more wait for the next one.
MOST_USAGES = 40

# Requests that may still be answered; the reports of older ones are repeated.
MOST_CARRIERS = 20


class Outbox:
    """The reports of one pool that nobody has acknowledged yet."""

    def __init__(self) -> None:
        """Start empty."""
        self._usages: dict[int, rate_messages.Usage] = {}
        self._carried: dict[int, tuple[rate_messages.Usage, ...]] = {}
        self._since_seconds: float | None = None

    def __bool__(self) -> bool:
        return bool(self._usages)

    def put(self, usage: rate_messages.Usage, *, now_seconds: float) -> None:
        """Report something; it replaces an earlier report of the same.

        :param usage: the report
        :param now_seconds: the clock
        """
        self._usages[usage.number] = usage
        if self._since_seconds is None:
            self._since_seconds = now_seconds

    def drop(self, number: int) -> None:
        """Give up a report.

        :param number: of the grant
        """
        self._usages.pop(number, None)

    def carry(
        self, carrier: int, *, now_seconds: float
    ) -> tuple[rate_messages.Usage, ...]:
        """Take the reports that a request carries along.

        :param carrier: the number of the request
        :param now_seconds: the clock
        :return: reports
        """
        usages = tuple(itertools.islice(self._usages.values(), MOST_USAGES))
        if usages:
            self._since_seconds = now_seconds
            self._carried[carrier] = usages
            if len(self._carried) > MOST_CARRIERS:
                del self._carried[next(iter(self._carried))]
        return usages

    def due(
        self, *, after_seconds: float, now_seconds: float
    ) -> tuple[rate_messages.Usage, ...]:
        """Take the final reports that waited long enough for a request.

        What may still change waits on: the holder takes it for charged when
        the grant ends, without being told.

        :param after_seconds: how long a report waits
        :param now_seconds: the clock
        :return: reports; they come again until acknowledged
        """
        since_seconds = self._since_seconds
        if (
            since_seconds is None
            or now_seconds < since_seconds + after_seconds
        ):
            return ()
        self._since_seconds = now_seconds
        final = (usage for usage in self._usages.values() if usage.final)
        return tuple(itertools.islice(final, MOST_USAGES))

    def arrived(self, carrier: int) -> list[int]:
        """Take in the answer to a request that may have carried reports.

        :param carrier: the number of the request
        :return: the grants that are done with
        """
        done = self.noted(self._carried.pop(carrier, ()))
        self._carried = {
            number: usages
            for number, usages in self._carried.items()
            if number > carrier
        }
        return done

    def noted(self, usages: Iterable[rate_messages.Usage]) -> list[int]:
        """Stop repeating reports that have arrived.

        :param usages: as they were sent; what changed since is kept
        :return: the grants that are done with
        """
        same = [
            usage
            for usage in usages
            if self._usages.get(usage.number) == usage
        ]
        for usage in same:
            del self._usages[usage.number]
        if not self._usages:
            self._since_seconds = None
        return [usage.number for usage in same if usage.final]


__all__ = [
    "Outbox",
]

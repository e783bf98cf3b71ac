"""The origins of streams that an instance keeps for all instances.

Load pattern: instances end while streams run through them, and their callers
take the streams up at others. What is kept is bounded by how long callers may
come back, and by a number; whatever is dropped can't go on, and nothing else
follows from it.
"""

from __future__ import annotations

from typing import NamedTuple

from boragefold.state import deployment

MAX_ORIGINS = 20_000


class KeptOrigin(NamedTuple):
    """An origin; None if one request ID was used for streams of several."""

    origin: deployment.EndpointLife | None
    until_seconds: float


class OriginBook:
    """Origins by what identifies a stream; each is set once."""

    def __init__(self, *, max_origins: int = MAX_ORIGINS) -> None:
        """Begin empty.

        :param max_origins: the oldest are dropped beyond this
        """
        self._max_origins = max_origins
        self._kept: dict[int, KeptOrigin] = {}

    def __len__(self) -> int:
        """Count what is kept.

        :return: origins, outdated ones among them
        """
        return len(self._kept)

    def record(
        self,
        key: int,
        origin: deployment.EndpointLife,
        *,
        keep_seconds: float,
        now_seconds: float,
    ) -> None:
        """Keep an origin; a different one for the same stream voids both.

        :param key: identifies the stream
        :param origin: the life that sent its first event
        :param keep_seconds: how long its caller may come back
        :param now_seconds: reading of the process clock
        """
        until_seconds = now_seconds + keep_seconds
        known = self._kept.get(key)
        if known is None or known.until_seconds <= now_seconds:
            self._kept.pop(key, None)
            self._kept[key] = KeptOrigin(origin, until_seconds)
            self._drop_oldest(now_seconds)
            return
        self._kept[key] = KeptOrigin(
            known.origin if known.origin == origin else None,
            max(known.until_seconds, until_seconds),
        )

    def find(
        self, key: int, *, now_seconds: float
    ) -> deployment.EndpointLife | None:
        """Look an origin up.

        :param key: identifies the stream
        :param now_seconds: reading of the process clock
        :return: the life that sent the first event, None if it isn't known
        """
        known = self._kept.get(key)
        if known is None or known.until_seconds <= now_seconds:
            return None
        return known.origin

    def _drop_oldest(self, now_seconds: float) -> None:
        while self._kept:
            oldest = next(iter(self._kept))
            is_outdated = self._kept[oldest].until_seconds <= now_seconds
            if not is_outdated and len(self._kept) <= self._max_origins:
                return
            del self._kept[oldest]


__all__ = [
    "OriginBook",
]

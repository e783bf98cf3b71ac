"""Request counts by adapter with exponential decay."""

from __future__ import annotations

from typing import NamedTuple

from boragefold.state import deployment

HALF_LIFE_SECONDS = 8.0
# Many times the adapter slots of an engine.
MAX_KEYS = 256
MIN_SCORE = 0.05


class Score(NamedTuple):
    """An exponentially decaying count of requests."""

    requests: float
    at_seconds: float

    def value(self, now_seconds: float) -> float:
        """Return the decayed count.

        :param now_seconds: reading of the process clock
        :return: requests, each weighted by its age
        """
        age_seconds = now_seconds - self.at_seconds
        return float(self.requests * 0.5 ** (age_seconds / HALF_LIFE_SECONDS))


class Popularity:
    """Decaying request counts by adapter."""

    def __init__(self) -> None:
        self._scores: dict[deployment.AdapterKey, Score] = {}

    def add(self, key: deployment.AdapterKey, *, now_seconds: float) -> None:
        """Count a request.

        :param key: the adapter
        :param now_seconds: reading of the process clock
        """
        requests = self.score(key, now_seconds=now_seconds) + 1
        self._scores[key] = Score(requests, now_seconds)
        if len(self._scores) > MAX_KEYS:
            self._prune(now_seconds)

    def score(
        self, key: deployment.AdapterKey, *, now_seconds: float
    ) -> float:
        """Return the recent requests for an adapter.

        :param key: the adapter
        :param now_seconds: reading of the process clock
        :return: requests, each weighted by its age
        """
        score = self._scores.get(key)
        return 0.0 if score is None else score.value(now_seconds)

    def _prune(self, now_seconds: float) -> None:
        kept = sorted(
            self._scores.items(),
            key=lambda item: item[1].value(now_seconds),
            reverse=True,
        )
        self._scores = {
            key: score
            for key, score in kept[: MAX_KEYS // 2]
            if score.value(now_seconds) > MIN_SCORE
        }


__all__ = [
    "Popularity",
]

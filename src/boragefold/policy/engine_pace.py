"""How quickly one engine reads prompts, and how long its answers take.

Load pattern: prompts of very different lengths, on engines of different
speeds. A prompt costs a fixed time, whatever its length, and a time for each
of its tokens. Taken for one speed, the fixed part of short prompts makes an
engine look half as fast as it is: long prompts are refused before a backlog
that the engine would have read in time. Here both parts are fitted to the
starts that the engine has shown.
"""

from __future__ import annotations

import dataclasses

# Assumed until starts were seen.
FIRST_FIXED_SECONDS = 0.03
FIRST_TOKENS_PER_SECOND = 20_000.0
# The assumption weighs as much as starts of these lengths.
FIRST_PROMPTS_TOKENS = (300, 4_000) * 5
# Limits outliers: a prompt read from the cache, or a pause of the engine.
MOST_STRETCH = 2.0
LEAST_SPEED = 2_000.0
MOST_SPEED = 200_000.0
MOST_FIXED_SECONDS = 0.5
# Exponential forgetting with each start.
FADING = 0.93
# Assumed before the first answer.
FIRST_RUN_SECONDS = 0.8
# One long answer must not make the engine look blocked.
RUN_SMOOTHING = 0.1


@dataclasses.dataclass(kw_only=True)
class Sums:
    """Faded sums over starts, for a line through them by least squares."""

    count: float = 0.0
    tokens: float = 0.0
    seconds: float = 0.0
    tokens_squared: float = 0.0
    tokens_seconds: float = 0.0

    def add(self, tokens: float, seconds: float) -> None:
        """Count a start; those before count less.

        :param tokens: of its prompt
        :param seconds: that reading it took
        """
        self.count = FADING * self.count + 1
        self.tokens = FADING * self.tokens + tokens
        self.seconds = FADING * self.seconds + seconds
        self.tokens_squared = FADING * self.tokens_squared + tokens**2
        self.tokens_seconds = FADING * self.tokens_seconds + tokens * seconds


class EnginePace:
    """What the starts and ends of answers have shown.

    ``fixed_seconds`` is what each prompt takes whatever its length,
    ``tokens_per_second`` how quickly the rest is read, and ``run_seconds``
    how long an answer holds its place.
    """

    def __init__(self) -> None:
        self.fixed_seconds = FIRST_FIXED_SECONDS
        self.tokens_per_second = FIRST_TOKENS_PER_SECOND
        self.run_seconds = FIRST_RUN_SECONDS
        self._sums = Sums()
        for tokens in FIRST_PROMPTS_TOKENS:
            self._sums.add(tokens, self.reading_seconds(tokens))

    def reading_seconds(self, tokens: int, prompts: int = 1) -> float:
        """Estimate how long prompts take to read.

        :param tokens: of all of them
        :param prompts: how many they are
        :return: seconds
        """
        return prompts * self.fixed_seconds + tokens / self.tokens_per_second

    def blocking_seconds(self, tokens: int) -> float:
        """Estimate how long a prompt holds up the answers that run.

        :param tokens: of the prompt
        :return: seconds
        """
        return tokens / self.tokens_per_second

    def started(self, tokens: int, took_seconds: float) -> None:
        """Note the first event of an answer.

        :param tokens: of its prompt
        :param took_seconds: since it was granted or, if that was later,
            since the start before it
        """
        expected_seconds = self.reading_seconds(tokens)
        shortest_seconds = expected_seconds / MOST_STRETCH
        longest_seconds = expected_seconds * MOST_STRETCH
        counted_seconds = min(
            max(took_seconds, shortest_seconds), longest_seconds
        )
        self._sums.add(tokens, counted_seconds)
        self._fit()

    def ended(self, took_seconds: float) -> None:
        """Note the end of an answer.

        :param took_seconds: since it was granted
        """
        self.run_seconds += RUN_SMOOTHING * (took_seconds - self.run_seconds)

    def _fit(self) -> None:
        sums = self._sums
        spread = sums.count * sums.tokens_squared - sums.tokens**2
        common = sums.count * sums.tokens_seconds - sums.tokens * sums.seconds
        slope = common / spread if spread > 0 else 1 / self.tokens_per_second
        slope = min(max(slope, 1 / MOST_SPEED), 1 / LEAST_SPEED)
        fixed_seconds = (sums.seconds - slope * sums.tokens) / sums.count
        self.tokens_per_second = 1 / slope
        self.fixed_seconds = min(max(fixed_seconds, 0.0), MOST_FIXED_SECONDS)


__all__ = [
    "EnginePace",
]

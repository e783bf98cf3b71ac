"""Estimates the prefill speed and the response time of one engine.

Load pattern: prompts of very different lengths, on engines of different
speeds. The prefill of a prompt takes a fixed time plus a time per token. With
one speed for both, the fixed part of short prompts makes an engine look half
as fast as it is, and long prompts are refused although the engine would have
worked off its backlog in time. Both parts are therefore fitted to the times to
first token that the engine showed.
"""

from __future__ import annotations

import dataclasses

# Assumed before the first response started.
INITIAL_FIXED_SECONDS = 0.03
INITIAL_TOKENS_PER_SECOND = 20_000.0
# The assumption weighs as much as measured prefills of these lengths.
INITIAL_PROMPTS_TOKENS = (300, 4_000) * 5
# Limits outliers: a prompt in the prefix cache, or a pause of the engine.
MAX_DEVIATION = 2.0
MIN_TOKENS_PER_SECOND = 2_000.0
MAX_TOKENS_PER_SECOND = 200_000.0
MAX_FIXED_SECONDS = 0.5
# Exponential decay per measured prefill.
DECAY = 0.93
# Assumed before the first response ended.
INITIAL_RUN_SECONDS = 0.8
# Low, so that one long response doesn't make the engine look blocked.
RUN_SMOOTHING = 0.1


@dataclasses.dataclass(kw_only=True)
class DecayedSums:
    """Exponentially decayed sums for a least-squares line through prefills."""

    count: float = 0.0
    tokens: float = 0.0
    seconds: float = 0.0
    tokens_squared: float = 0.0
    tokens_seconds: float = 0.0

    def add(self, tokens: float, seconds: float) -> None:
        """Add a prefill and decay the earlier ones.

        :param tokens: of its prompt
        :param seconds: its duration
        """
        self.count = DECAY * self.count + 1
        self.tokens = DECAY * self.tokens + tokens
        self.seconds = DECAY * self.seconds + seconds
        self.tokens_squared = DECAY * self.tokens_squared + tokens**2
        self.tokens_seconds = DECAY * self.tokens_seconds + tokens * seconds


class EngineSpeed:
    """Running estimates of an engine's speed.

    ``fixed_seconds`` is the part of a prefill that doesn't depend on the
    length of the prompt, ``tokens_per_second`` the speed of the rest, and
    ``mean_run_seconds`` how long a request occupies the engine.
    """

    def __init__(self) -> None:
        self.fixed_seconds = INITIAL_FIXED_SECONDS
        self.tokens_per_second = INITIAL_TOKENS_PER_SECOND
        self.mean_run_seconds = INITIAL_RUN_SECONDS
        self._sums = DecayedSums()
        for tokens in INITIAL_PROMPTS_TOKENS:
            self._sums.add(tokens, self.prefill_seconds(tokens))

    def prefill_seconds(self, tokens: int, prompts: int = 1) -> float:
        """Estimate how long the prefill of some prompts takes.

        :param tokens: of all prompts together
        :param prompts: how many there are
        :return: seconds
        """
        return prompts * self.fixed_seconds + tokens / self.tokens_per_second

    def decode_stall_seconds(self, tokens: int) -> float:
        """Estimate how long a prefill holds up the running responses.

        :param tokens: of the prompt
        :return: seconds
        """
        return tokens / self.tokens_per_second

    def record_start(self, tokens: int, took_seconds: float) -> None:
        """Record the first event of a response.

        :param tokens: of its prompt
        :param took_seconds: since the request was granted or, if that was
            later, since the previous response started
        """
        expected_seconds = self.prefill_seconds(tokens)
        shortest_seconds = expected_seconds / MAX_DEVIATION
        longest_seconds = expected_seconds * MAX_DEVIATION
        counted_seconds = min(
            max(took_seconds, shortest_seconds), longest_seconds
        )
        self._sums.add(tokens, counted_seconds)
        self._fit()

    def record_end(self, took_seconds: float) -> None:
        """Record the end of a response.

        :param took_seconds: since the request was granted
        """
        self.mean_run_seconds += RUN_SMOOTHING * (
            took_seconds - self.mean_run_seconds
        )

    def _fit(self) -> None:
        sums = self._sums
        variance = sums.count * sums.tokens_squared - sums.tokens**2
        covariance = (
            sums.count * sums.tokens_seconds - sums.tokens * sums.seconds
        )
        slope = (
            covariance / variance
            if variance > 0
            else 1 / self.tokens_per_second
        )
        slope = min(
            max(slope, 1 / MAX_TOKENS_PER_SECOND), 1 / MIN_TOKENS_PER_SECOND
        )
        fixed_seconds = (sums.seconds - slope * sums.tokens) / sums.count
        self.tokens_per_second = 1 / slope
        self.fixed_seconds = min(max(fixed_seconds, 0.0), MAX_FIXED_SECONDS)


__all__ = [
    "EngineSpeed",
]

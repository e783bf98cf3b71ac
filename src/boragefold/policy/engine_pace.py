"""How quickly one engine reads prompts, and how long its answers take."""

from __future__ import annotations

# Prompt tokens a second until the first starts were seen: a large model on
# one accelerator.
FIRST_TOKENS_PER_SECOND = 16_000.0
# Bounds of one measurement: a prompt whose parts the engine had kept is read
# at once, and one that met a pause of the engine says nothing of the next.
LEAST_SPEED = 2_000.0
MOST_SPEED = 60_000.0
# Weight of the newest start in the measured speed; about ten starts count.
SPEED_SMOOTHING = 0.1
# Time a place is held by an answer, until some were measured.
FIRST_RUN_SECONDS = 0.8
# One answer that takes ten times as long as the others must not make the
# engine look blocked.
RUN_SMOOTHING = 0.1


class EnginePace:
    """What the starts and ends of answers have shown.

    ``tokens_per_second`` is how quickly prompts are read, ``run_seconds`` how
    long an answer holds its place.
    """

    def __init__(self) -> None:
        self.tokens_per_second = FIRST_TOKENS_PER_SECOND
        self.run_seconds = FIRST_RUN_SECONDS

    def reading_seconds(self, tokens: int) -> float:
        """Estimate how long prompts take to read.

        :param tokens: of all of them
        :return: seconds
        """
        return tokens / self.tokens_per_second

    def started(self, tokens: int, took_seconds: float) -> None:
        """Note the first event of an answer.

        :param tokens: of its prompt and of those that were ahead of it
        :param took_seconds: since it was granted
        """
        speed = tokens / max(took_seconds, 0.001)
        speed = min(max(speed, LEAST_SPEED), MOST_SPEED)
        self.tokens_per_second += SPEED_SMOOTHING * (
            speed - self.tokens_per_second
        )

    def ended(self, took_seconds: float) -> None:
        """Note the end of an answer.

        :param took_seconds: since it was granted
        """
        self.run_seconds += RUN_SMOOTHING * (took_seconds - self.run_seconds)


__all__ = [
    "EnginePace",
]

"""Limits how many prompts an engine prefills back to back.

Load pattern: long prompts arrive in a row at an engine that generates
responses. It prefills a prompt in chunks, one in each step of its batch, and
each running response gets one token a step. With a chunk in every step, each
event of each response takes as many long steps as it has tokens, and all of
them come later than callers tolerate. With one prompt at a time, the engine
idles until it gets the next one, a third of the time when prompts are short.
An engine therefore gets as many prompts as it prefills within a part of the
pause that its responses may make, and the next ones when these are done: in
between, responses get steps without prefill.
"""

from __future__ import annotations

from collections.abc import Iterable

from boragefold.policy import engine_speed

# The rest of the pause is for decode steps.
MAX_PREFILL_SHARE = 0.6
# Applies if no response specifies a pause.
DEFAULT_PAUSE_SECONDS = 0.4


class PromptSpacing:
    """The prompts sent to an engine since it last had none to prefill."""

    def __init__(self, *, speed: engine_speed.EngineSpeed) -> None:
        """Start with no prompts.

        :param speed: estimates the prefill speed of the engine
        """
        self._speed = speed
        self._burst_seconds = 0.0

    def allows(self, tokens: int, max_pauses_seconds: Iterable[float]) -> bool:
        """Check whether one more prompt may go to an engine in prefill.

        :param tokens: of the prompt
        :param max_pauses_seconds: the longest pause that each response may
            make; 0 if unspecified
        :return: whether no response would pause too long
        """
        pause_seconds = min(
            filter(None, max_pauses_seconds), default=DEFAULT_PAUSE_SECONDS
        )
        burst_seconds = self._burst_seconds + self._speed.decode_stall_seconds(
            tokens
        )
        return burst_seconds <= MAX_PREFILL_SHARE * pause_seconds

    def record_sent(self, tokens: int, *, is_prefilling: bool) -> None:
        """Record that a prompt was sent to the engine.

        :param tokens: of the prompt
        :param is_prefilling: whether the engine had other prompts left to
            prefill
        """
        if not is_prefilling:
            self._burst_seconds = 0.0
        self._burst_seconds += self._speed.decode_stall_seconds(tokens)


__all__ = [
    "PromptSpacing",
]

"""How many prompts an engine gets back to back.

Load pattern: long prompts arrive in a row at an engine that answers others.
It reads a prompt in pieces, one in each step of its batch, and the running
answers make one token a step. With prompts in every step, each event of each
answer takes as many long steps as it has tokens, and all of them come later
than callers tolerate. With one prompt at a time the engine idles until it
gets the next, a third of the time when prompts are short. Here it gets as
many as it reads within part of the pause that its answers may make, and the
next when it has read them: answers then make a step between the rows.
"""

from __future__ import annotations

from collections.abc import Iterable

from boragefold.policy import engine_pace

# The rest of the pause is for the steps of running answers.
PAUSE_SHARE = 0.6
# Where no answer names one.
DEFAULT_PAUSE_SECONDS = 0.4


class PromptSpacing:
    """The prompts that an engine got since it last had none to read."""

    def __init__(self, *, pace: engine_pace.EnginePace) -> None:
        """Begin with none.

        :param pace: how quickly the engine reads
        """
        self._pace = pace
        self._row_seconds = 0.0

    def allows(self, tokens: int, pauses_seconds: Iterable[float]) -> bool:
        """Tell whether a further prompt may go to an engine that reads.

        :param tokens: of the prompt
        :param pauses_seconds: the pause that each answer there may make, 0
            where it names none
        :return: whether the answers go on soon enough
        """
        pause_seconds = min(
            filter(None, pauses_seconds), default=DEFAULT_PAUSE_SECONDS
        )
        row_seconds = self._row_seconds + self._pace.blocking_seconds(tokens)
        return row_seconds <= PAUSE_SHARE * pause_seconds

    def gave(self, tokens: int, *, reads: bool) -> None:
        """Note that the engine got a prompt.

        :param tokens: of the prompt
        :param reads: whether it had others to read still
        """
        if not reads:
            self._row_seconds = 0.0
        self._row_seconds += self._pace.blocking_seconds(tokens)


__all__ = [
    "PromptSpacing",
]

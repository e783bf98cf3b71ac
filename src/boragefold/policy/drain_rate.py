"""How fast a queue that is never empty is served.

Load pattern: what one queue gets of a common capacity depends on what the
others ask for, and changes with it. An estimate from the whole capacity would
let callers wait who can't be served in time.
"""

from __future__ import annotations

# Longer than the waves in which engines that were filled together empty.
MEMORY_SECONDS = 5.0
# A wrong speed would refuse who could be served.
MIN_SERVICES = 4


class DrainRate:
    """Tokens taken out per second, from the first service on.

    What passes before the first service, such as the load of an adapter, says
    nothing of the speed.
    """

    def __init__(self) -> None:
        self._began_at_seconds: float | None = None
        self._tokens = 0.0
        self._services = 0

    def add(self, tokens: float, *, now_seconds: float) -> None:
        """Count tokens that were taken out.

        :param tokens: how many
        :param now_seconds: reading of the process clock
        """
        self._services += 1
        if self._began_at_seconds is None:
            self._began_at_seconds = now_seconds
            return
        self._tokens += tokens
        elapsed_seconds = now_seconds - self._began_at_seconds
        if elapsed_seconds > MEMORY_SECONDS:
            self._tokens /= 2
            self._began_at_seconds += elapsed_seconds / 2

    def tokens_per_second(self, *, now_seconds: float) -> float | None:
        """Tell the speed.

        :param now_seconds: reading of the process clock
        :return: tokens per second, None before it can be told
        """
        if self._began_at_seconds is None or self._services < MIN_SERVICES:
            return None
        elapsed_seconds = now_seconds - self._began_at_seconds
        return self._tokens / elapsed_seconds if elapsed_seconds > 0 else None


__all__ = [
    "DrainRate",
]

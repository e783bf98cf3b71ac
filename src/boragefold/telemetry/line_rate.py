"""How many lines of a kind are written."""

from __future__ import annotations


class LineRate:
    """Allows so many lines in a second, and as many in a burst."""

    def __init__(self, *, per_second: float) -> None:
        """Begin with a whole burst.

        :param per_second: lines
        """
        self._per_second = per_second
        self._allowance = per_second
        self._allowed_at_seconds: float | None = None

    def allows(self, *, now_seconds: float) -> bool:
        """Tell whether one more line may be written, and count it.

        :param now_seconds: reading of the clock
        :return: whether it may
        """
        before_seconds = self._allowed_at_seconds
        self._allowed_at_seconds = now_seconds
        if before_seconds is not None:
            regained = self._per_second * (now_seconds - before_seconds)
            self._allowance = min(self._per_second, self._allowance + regained)
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True


__all__ = [
    "LineRate",
]

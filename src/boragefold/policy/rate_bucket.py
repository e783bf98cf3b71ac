"""The token bucket of one workspace.

Each change first brings the bucket up to the time at which it happens, by the
limit that was in force until then: an amount that was taken from the level of
an earlier time would be forgotten as soon as the refill since is capped.
"""

from __future__ import annotations

import math

from boragefold.policy import rate_share
from boragefold.state import deployment

# What was counted longer ago says little about where callers send now.
RECENT_SECONDS = 4.0


class Bucket:
    """The token bucket of a workspace.

    ``level`` is as of ``settled_at_seconds``. A part of the rate isn't filled
    in as long as it belongs to unreachable instances; it covers what they
    turn out to have admitted.
    """

    def __init__(
        self,
        *,
        limits: deployment.Workspace,
        level: float,
        reading: rate_share.Reading,
    ) -> None:
        """Start at a level.

        :param limits: the workspace with its rate and burst
        :param level: tokens or requests
        :param reading: of the share clock, now
        """
        self.limits = limits
        self.level = min(level, limits.burst)
        self._withheld = 0.0
        self._settled = reading
        self._recent_own = 0.0
        self._recent_of_others = 0.0

    @property
    def settled_at_seconds(self) -> float:
        """Return until when the level is filled.

        :return: reading of the process clock
        """
        return self._settled.at_seconds

    def settle(self, reading: rate_share.Reading) -> None:
        """Fill the bucket until now by the limits in force.

        :param reading: of the share clock, now
        """
        rate = self.limits.rate_per_second
        settled, self._settled = self._settled, reading
        filled_seconds = reading.filled_seconds - settled.filled_seconds
        self._raise_level(rate * filled_seconds)
        withheld_seconds = reading.withheld_seconds - settled.withheld_seconds
        self._withheld = min(
            self._withheld + rate * withheld_seconds,
            rate * rate_share.PEER_EXPIRY_SECONDS,
        )
        elapsed_seconds = reading.at_seconds - settled.at_seconds
        if elapsed_seconds > 0:
            decay = math.exp(-elapsed_seconds / RECENT_SECONDS)
            self._recent_own *= decay
            self._recent_of_others *= decay

    def recent_share(self, unconfirmed: float) -> float:
        """Return this instance's part of what was counted lately.

        :param unconfirmed: what it admitted that isn't counted yet
        :return: from 0 to 1; little until a burst was counted
        """
        own = max(0.0, self._recent_own - unconfirmed)
        all_counted = own + max(0.0, self._recent_of_others)
        return own / (all_counted + self.limits.burst)

    def set_limits(
        self, limits: deployment.Workspace, reading: rate_share.Reading
    ) -> None:
        """Go by other limits from now on; a higher burst isn't given at once.

        :param limits: the workspace with its new rate and burst
        :param reading: of the share clock, now
        """
        self.settle(reading)
        self.limits = limits
        self.level = min(self.level, limits.burst)

    def take(self, amount: float, reading: rate_share.Reading) -> None:
        """Take what others admitted, or return it if it is negative.

        :param amount: tokens or requests
        :param reading: of the share clock, now
        """
        self.settle(reading)
        self._raise_level(-amount)
        self._recent_of_others += amount

    def take_own(self, amount: float, reading: rate_share.Reading) -> None:
        """Take what was admitted here, or return it if it is negative.

        :param amount: tokens or requests
        :param reading: of the share clock, now
        """
        self.settle(reading)
        self._raise_level(-amount)
        self._recent_own += amount

    def set_level(self, level: float, reading: rate_share.Reading) -> None:
        """Go by another level from now on.

        :param level: tokens or requests
        :param reading: of the share clock, now
        """
        self.settle(reading)
        self.level = min(level, self.limits.burst)

    def take_late(self, amount: float, reading: rate_share.Reading) -> None:
        """Take what unreachable instances admitted beyond their part.

        :param amount: tokens or requests
        :param reading: of the share clock, now
        """
        self.settle(reading)
        covered = min(amount, self._withheld)
        self._withheld -= covered
        self._raise_level(covered - amount)
        self._recent_of_others += amount

    def _raise_level(self, amount: float) -> None:
        self.level = min(self.level + amount, self.limits.burst)


__all__ = [
    "Bucket",
]

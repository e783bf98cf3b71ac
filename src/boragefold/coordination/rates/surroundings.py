"""What the holder of a rate asks its instance for."""

from __future__ import annotations

from collections.abc import Callable

from boragefold.coordination.rates import limits
from boragefold.protocol import ids
from boragefold.protocol import rate_messages

Send = Callable[[ids.InstanceId, rate_messages.TokensGiven], None]


class Surroundings:
    """What a tenure asks its instance for."""

    def __init__(
        self,
        *,
        workspace: str,
        data_centre: str,
        send: Send,
        holds: Callable[[], bool],
        lender_parts: Callable[[], dict[str, limits.Limit]],
    ) -> None:
        """Bind the questions to their answers.

        :param workspace: whose rate is held
        :param data_centre: our own
        :param send: sends an answer
        :param holds: tells whether the right is ours at this moment
        :param lender_parts: the other data centres that have a holder, and
            their parts of the rate
        """
        self.workspace = workspace
        self.data_centre = data_centre
        self.send = send
        self.holds = holds
        self.lender_parts = lender_parts


__all__ = [
    "Surroundings",
]

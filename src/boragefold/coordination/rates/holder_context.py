"""Functions of the instance that the holder of a rate calls."""

from __future__ import annotations

from collections.abc import Callable

from boragefold.coordination.rates import limits
from boragefold.protocol import ids
from boragefold.protocol import rate_messages

Send = Callable[[ids.InstanceId, rate_messages.TokensGiven], None]


class HolderContext:
    """Functions and names that a holder needs from its instance."""

    def __init__(
        self,
        *,
        workspace: str,
        data_centre: str,
        send: Send,
        holds: Callable[[], bool],
        lender_parts: Callable[[], dict[str, limits.Limit]],
    ) -> None:
        """Store the functions.

        :param workspace: workspace whose rate is held
        :param data_centre: data centre of this instance
        :param send: sends a response
        :param holds: returns whether this instance holds the rate now
        :param lender_parts: returns the parts of the limit by data centre, of
            the other data centres that have a holder
        """
        self.workspace = workspace
        self.data_centre = data_centre
        self.send = send
        self.holds = holds
        self.lender_parts = lender_parts


__all__ = [
    "HolderContext",
]

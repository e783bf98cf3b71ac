"""What an endpoint holds, as far as its reports and our orders tell."""

from __future__ import annotations

from boragefold.protocol import order_messages as messages


class Slots:
    """The adapter versions of one run of an engine.

    Reports lag: one that was sampled before an order was carried out says
    nothing about what the order changed.
    """

    def __init__(self, *, not_before_seconds: float) -> None:
        """Know nothing until a report.

        :param not_before_seconds: earlier samples are worthless, because a
            former holder's orders may have been carried out after them
        """
        self._not_before_seconds = not_before_seconds
        self._sampled_seconds = not_before_seconds
        self._changed_seconds: dict[messages.Weights, float] = {}
        self._loaded: set[messages.Weights] = set()
        self.incarnation: str | None = None

    @property
    def known(self) -> bool:
        """Tell whether a report has come that counts.

        :return: whether it has
        """
        return self.incarnation is not None

    @property
    def loaded(self) -> frozenset[messages.Weights]:
        """List what may be used.

        :return: adapter versions
        """
        return frozenset(self._loaded)

    def report(
        self,
        *,
        incarnation: str,
        loaded: frozenset[messages.Weights],
        sampled_seconds: float,
    ) -> bool:
        """Take in a report; older ones than the last are ignored.

        :param incarnation: of the engine's process
        :param loaded: what it holds
        :param sampled_seconds: no later than the moment it was counted
        :return: whether the engine is another one than before
        """
        if sampled_seconds < self._sampled_seconds:
            return False
        self._sampled_seconds = sampled_seconds
        restarted = self.known and incarnation != self.incarnation
        if restarted or not self.known:
            self._changed_seconds.clear()
            self._loaded = set(loaded)
        else:
            settled = {
                weights
                for weights in loaded | self._loaded
                if self._changed_seconds.get(weights, 0.0) <= sampled_seconds
            }
            self._loaded = (self._loaded - settled) | (loaded & settled)
        self.incarnation = incarnation
        return restarted

    def changed(
        self,
        weights: messages.Weights,
        *,
        loaded: bool,
        now_seconds: float,
    ) -> None:
        """Note what an order did, or may have done.

        :param weights: the adapter version
        :param loaded: whether it may be used now
        :param now_seconds: when later samples show the effect
        """
        self._changed_seconds[weights] = now_seconds
        if loaded:
            self._loaded.add(weights)
        else:
            self._loaded.discard(weights)


__all__ = [
    "Slots",
]

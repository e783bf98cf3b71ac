"""What an endpoint has loaded, according to its reports and sent orders."""

from __future__ import annotations

from boragefold.protocol import order_messages as messages


class LoadedAdapters:
    """The adapter versions loaded in one process of an engine.

    Reports arrive late: one sampled before an order was carried out does not
    show the effect of that order.
    """

    def __init__(self, *, not_before_seconds: float) -> None:
        """Create the state before the first report.

        :param not_before_seconds: samples before this time are ignored, since
            orders of the previous holder may have been carried out after them
        """
        self._not_before_seconds = not_before_seconds
        self._sampled_seconds = not_before_seconds
        self._effective_at_seconds: dict[messages.Weights, float] = {}
        self._loaded: set[messages.Weights] = set()
        self.incarnation: str | None = None

    @property
    def has_report(self) -> bool:
        """Tell whether a valid report has arrived.

        :return: whether one has arrived
        """
        return self.incarnation is not None

    @property
    def loaded(self) -> frozenset[messages.Weights]:
        """List the adapter versions that requests may use.

        :return: adapter versions
        """
        return frozenset(self._loaded)

    def apply_report(
        self,
        *,
        incarnation: str,
        loaded: frozenset[messages.Weights],
        sampled_seconds: float,
    ) -> bool:
        """Apply a report unless it is older than the latest one.

        :param incarnation: identifies the engine's process
        :param loaded: adapter versions that it has loaded
        :param sampled_seconds: time of the sample, or an earlier time
        :return: whether the engine has restarted
        """
        if sampled_seconds < self._sampled_seconds:
            return False
        self._sampled_seconds = sampled_seconds
        restarted = self.has_report and incarnation != self.incarnation
        if restarted or not self.has_report:
            self._effective_at_seconds.clear()
            self._loaded = set(loaded)
        else:
            confirmed = {
                weights
                for weights in loaded | self._loaded
                if self._effective_at_seconds.get(weights, 0.0)
                <= sampled_seconds
            }
            self._loaded = (self._loaded - confirmed) | (loaded & confirmed)
        self.incarnation = incarnation
        return restarted

    def record_order(
        self,
        weights: messages.Weights,
        *,
        loaded: bool,
        effective_at_seconds: float,
    ) -> None:
        """Record the effect that an order had or may have.

        :param weights: adapter version that the order concerns
        :param loaded: whether requests may use it now
        :param effective_at_seconds: time from which samples show the effect
        """
        self._effective_at_seconds[weights] = effective_at_seconds
        if loaded:
            self._loaded.add(weights)
        else:
            self._loaded.discard(weights)


__all__ = [
    "LoadedAdapters",
]

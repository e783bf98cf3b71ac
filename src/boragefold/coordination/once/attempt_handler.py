"""Callbacks for the decision whether an attempt may run its ticket."""

from __future__ import annotations

import abc

from boragefold.protocol import once_messages


class AttemptHandler(abc.ABC):
    """Receives exactly one decision for each attempt."""

    @abc.abstractmethod
    def on_granted(self, attempt: once_messages.Attempt) -> None:
        """Send the request now; every register has recorded the attempt.

        :param attempt: to be given to ``finished`` or ``release`` later
        """

    @abc.abstractmethod
    def on_replay(self, answer: once_messages.StoredAnswer) -> None:
        """Return the answer of an earlier attempt without running again.

        :param answer: the endpoint's answer to the earlier attempt
        """

    @abc.abstractmethod
    def on_not_run(self, reason: str) -> None:
        """Tell the caller that the ticket hasn't run.

        :param reason: ``ticket_sealed``, ``ticket_expired``,
            ``ticket_foreign``, ``register_full``, ``register_unreachable``,
            ``request_differs`` or ``deadline``
        """

    @abc.abstractmethod
    def on_unknown(self, reason: str) -> None:
        """Tell the caller that the ticket may have run.

        :param reason: ``already_sent`` or ``registers_unreachable``
        """


__all__ = [
    "AttemptHandler",
]

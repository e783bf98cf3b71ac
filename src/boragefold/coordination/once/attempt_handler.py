"""What an attempt to run a ticket is told of its permission."""

from __future__ import annotations

import abc

from boragefold.protocol import once_messages


class AttemptHandler(abc.ABC):
    """Learns, exactly once, what became of an attempt's permission."""

    @abc.abstractmethod
    def go(self, attempt: once_messages.Attempt) -> None:
        """Send now; both registers have recorded the attempt.

        :param attempt: to be given to ``finished`` or ``release`` later
        """

    @abc.abstractmethod
    def replay(self, answer: once_messages.StoredAnswer) -> None:
        """Pass on the answer of an earlier attempt; nothing runs.

        :param answer: what the endpoint answered then
        """

    @abc.abstractmethod
    def not_run(self, reason: str) -> None:
        """Tell the caller that the ticket hasn't run.

        :param reason: ``ticket_sealed``, ``ticket_expired``,
            ``ticket_foreign``, ``register_full``, ``register_unreachable``,
            ``request_differs`` or ``deadline``
        """

    @abc.abstractmethod
    def unknown(self, reason: str) -> None:
        """Tell the caller that the ticket may have run.

        :param reason: ``already_sent`` or ``registers_unreachable``
        """


__all__ = [
    "AttemptHandler",
]

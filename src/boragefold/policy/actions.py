"""What the dispatcher asks its owner to do, and the interface for doing it."""

from __future__ import annotations

import abc
from typing import NamedTuple

from boragefold.policy import digest as digests
from boragefold.policy import placement
from boragefold.policy import refusal
from boragefold.policy import work as works


class Send(NamedTuple):
    """Send a request to an endpoint; attempts count from one."""

    work: works.Work
    endpoint: str
    attempt: int


class Refuse(NamedTuple):
    """Answer that the request was not run."""

    work: works.Work
    refused: refusal.Refused


class GiveUp(NamedTuple):
    """Answer that the request failed and is not tried again.

    ``reason`` is one of a small fixed set. ``may_have_run`` tells an outcome
    that is unknown from one that is known: a byte of the request may have
    reached an endpoint.
    """

    work: works.Work
    reason: str
    may_have_run: bool


class Order(NamedTuple):
    """Carry out a load; answer with ``load_ended`` or ``load_failed``.

    Where it evicts, every instance has to stop using the evicted adapter at
    that endpoint first, and nothing that uses it may still be in flight.
    """

    load: placement.Load


class Drain(NamedTuple):
    """Tell every instance to stop using an adapter at an endpoint."""

    drain: placement.Drain


class Tell(NamedTuple):
    """Send a digest to the instance that decides on what is in it."""

    peer: str
    digest: digests.Digest


Action = Send | Refuse | GiveUp | Order | Drain | Tell


class Performer(abc.ABC):
    """Does what the dispatcher decides.

    No method may call the dispatcher back before it returns.
    """

    @abc.abstractmethod
    def send(self, send: Send) -> None:
        """Send a request.

        :param send: what, where to, and which attempt it is
        """

    @abc.abstractmethod
    def refuse(self, refuse: Refuse) -> None:
        """Answer a request with "not run".

        :param refuse: which one, and why
        """

    @abc.abstractmethod
    def give_up(self, give_up: GiveUp) -> None:
        """Answer a request whose last attempt failed.

        :param give_up: which one, and whether it may have run
        """

    @abc.abstractmethod
    def order(self, order: Order) -> None:
        """Order an endpoint to load an adapter.

        :param order: what, where, and what it evicts
        """

    @abc.abstractmethod
    def drain(self, drain: Drain) -> None:
        """Tell all instances to stop using an adapter at an endpoint.

        :param drain: which one
        """

    @abc.abstractmethod
    def tell(self, tell: Tell) -> None:
        """Send a digest to another instance; it may be lost.

        :param tell: to whom, and what
        """

    def perform(self, action: Action) -> None:
        """Do one action.

        :param action: from :meth:`Dispatcher.next_actions`
        """
        match action:
            case Send():
                self.send(action)
            case Refuse():
                self.refuse(action)
            case GiveUp():
                self.give_up(action)
            case Order():
                self.order(action)
            case Drain():
                self.drain(action)
            case Tell():
                self.tell(action)


__all__ = [
    "Action",
    "Drain",
    "GiveUp",
    "Order",
    "Performer",
    "Refuse",
    "Send",
    "Tell",
]

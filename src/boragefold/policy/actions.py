"""The dispatcher's actions, and the interface that performs them."""

from __future__ import annotations

import abc
from typing import NamedTuple

from boragefold.policy import digest as digests
from boragefold.policy import placement
from boragefold.policy import refusal
from boragefold.policy import work as works


class Send(NamedTuple):
    """Send a request to an endpoint; ``attempt`` counts from one."""

    work: works.Work
    endpoint: str
    attempt: int


class Refuse(NamedTuple):
    """Answer that the request was not run."""

    work: works.Work
    refused: refusal.Refused


class Fail(NamedTuple):
    """Answer that the request failed and is not retried.

    ``reason`` is one of a small fixed set. ``may_have_run`` is true when a
    byte of the request may have reached an endpoint, so that its outcome is
    unknown.
    """

    work: works.Work
    reason: str
    may_have_run: bool


class OrderLoad(NamedTuple):
    """Load an adapter; ``load_succeeded`` or ``load_failed`` must follow.

    If the load evicts an adapter, every instance must first stop using that
    one at the endpoint, and no request that uses it may still be in flight.
    """

    load: placement.Load


class Drain(NamedTuple):
    """Tell every instance to stop using an adapter at an endpoint."""

    drain: placement.Drain


class SendDigest(NamedTuple):
    """Send a digest to the instance that decides on its adapters."""

    peer: str
    digest: digests.Digest


Action = Send | Refuse | Fail | OrderLoad | Drain | SendDigest


class ActionHandler(abc.ABC):
    """Performs the dispatcher's actions.

    No method may call the dispatcher before it returns.
    """

    @abc.abstractmethod
    def send(self, send: Send) -> None:
        """Send a request.

        :param send: the request, the endpoint and the number of the attempt
        """

    @abc.abstractmethod
    def refuse(self, refuse: Refuse) -> None:
        """Answer that a request was not run.

        :param refuse: the request, and the refusal
        """

    @abc.abstractmethod
    def fail(self, fail: Fail) -> None:
        """Answer a request whose last attempt failed.

        :param fail: the request, and whether it may have run
        """

    @abc.abstractmethod
    def order_load(self, order: OrderLoad) -> None:
        """Order an endpoint to load an adapter.

        :param order: the adapter, the endpoint, and what the load evicts
        """

    @abc.abstractmethod
    def drain(self, drain: Drain) -> None:
        """Tell all instances to stop using an adapter at an endpoint.

        :param drain: the adapter and the endpoint
        """

    @abc.abstractmethod
    def send_digest(self, send_digest: SendDigest) -> None:
        """Send a digest to another instance; it may be lost.

        :param send_digest: the receiver and the digest
        """

    def handle(self, action: Action) -> None:
        """Perform one action.

        :param action: from :meth:`Dispatcher.next_actions`
        """
        match action:
            case Send():
                self.send(action)
            case Refuse():
                self.refuse(action)
            case Fail():
                self.fail(action)
            case OrderLoad():
                self.order_load(action)
            case Drain():
                self.drain(action)
            case SendDigest():
                self.send_digest(action)


__all__ = [
    "Action",
    "ActionHandler",
    "Drain",
    "Fail",
    "OrderLoad",
    "Refuse",
    "Send",
    "SendDigest",
]

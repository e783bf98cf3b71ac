"""Interface of the message transport between entry instances."""

from __future__ import annotations

import abc
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import TypeVar

from boragefold.protocol import ids

Body = TypeVar("Body")


class PeerLink(abc.ABC):
    """An unreliable message service between entry instances.

    A message may be lost, delayed, duplicated or reordered. It is delivered
    only to the incarnation that it was addressed to.
    """

    @property
    @abc.abstractmethod
    def self_id(self) -> ids.InstanceId:
        """Return the identity of this instance.

        :return: the sender of its messages
        """

    @abc.abstractmethod
    def send(self, *, to: ids.InstanceId, body: Any) -> None:
        """Send a message without waiting and without guaranteed delivery.

        An empty incarnation in ``to`` addresses whichever process listens at
        the address now; only queries and gossip digests use it.

        :param to: the receiver
        :param body: an object of a registered message kind
        """

    def send_all(self, *, to: Iterable[ids.InstanceId], body: Any) -> None:
        """Send one message to several peers.

        :param to: the receivers
        :param body: an object of a registered message kind
        """
        for peer in to:
            self.send(to=peer, body=body)

    @abc.abstractmethod
    def subscribe(
        self,
        kind: type[Body],
        handler: Callable[[ids.InstanceId, Body], None],
    ) -> None:
        """Receive one kind of message; each kind has one subscriber.

        :param kind: the message type
        :param handler: called with the sender and the message
        """

    def reconnect(self, peer: ids.InstanceId) -> None:
        """Replace the connection to a silent peer, if the transport has one.

        :param peer: the peer
        """
        return

    def close(self) -> None:
        """Discard unsent messages and send no more."""
        return


__all__ = [
    "PeerLink",
]

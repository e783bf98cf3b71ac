"""What coordination needs of the link between entry instances."""

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

    A message may be lost, delayed, doubled or overtaken. It is given only to
    the incarnation it was addressed to.
    """

    @property
    @abc.abstractmethod
    def self_id(self) -> ids.InstanceId:
        """Tell who we are.

        :return: the identity that messages are sent under
        """

    @abc.abstractmethod
    def send(self, *, to: ids.InstanceId, body: Any) -> None:
        """Send a message, without waiting and without a promise of delivery.

        An empty incarnation in ``to`` addresses whichever process listens at
        the address now; only greetings use it.

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
        """Talk to a silent peer over a new connection, where there are any.

        :param peer: which
        """
        return

    def close(self) -> None:
        """Drop what is unsent and send no more."""
        return


__all__ = [
    "PeerLink",
]

"""Listeners, and what decides whether they accept one more connection."""

from __future__ import annotations

import abc
from collections.abc import Callable
import typing

from boragefold.transport import streams

if typing.TYPE_CHECKING:
    import ssl


class AcceptGate(abc.ABC):
    """Decides whether a listener accepts one more connection."""

    @abc.abstractmethod
    def may_accept(self) -> bool:
        """Tell whether there is place.

        :return: whether there is; if not, the listener isn't watched until a
            connection closes or accepting is resumed
        """


class OpenGate(AcceptGate):
    """Accepts whatever comes."""

    def may_accept(self) -> bool:
        """Tell that there is place.

        :return: True
        """
        return True


class Listener(typing.NamedTuple):
    """What is done with the connections of one listening socket."""

    make_handler: Callable[[], streams.StreamHandler]
    tls: ssl.SSLContext | None
    gate: AcceptGate


__all__ = [
    "AcceptGate",
    "Listener",
    "OpenGate",
]

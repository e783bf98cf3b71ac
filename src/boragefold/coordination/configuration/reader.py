"""The interface to the platform's service that the configuration uses."""

from __future__ import annotations

import abc
from collections.abc import Callable

from boragefold.protocol import platform_api

WatchCallback = Callable[
    [platform_api.WatchResult | platform_api.PlatformFailed], None
]
ListCallback = Callable[
    [platform_api.Listing | platform_api.PlatformFailed], None
]

# A long poll must end before the idle timeout that middleboxes commonly have.
WATCH_SECONDS = 20.0


class PlatformReader(abc.ABC):
    """Reads the platform's service; calls back at most once for each call.

    A call on a stalled connection may never be answered, so the caller needs
    a timeout of its own.
    """

    @abc.abstractmethod
    def watch(self, *, after_revision: int, callback: WatchCallback) -> None:
        """Request changes, and wait up to ``WATCH_SECONDS`` for some.

        :param after_revision: the last revision seen, zero for the whole tree
        :param callback: called with the changes or the failure
        """

    @abc.abstractmethod
    def read_list(self, *, callback: ListCallback) -> None:
        """Request the list of instances.

        :param callback: called with the list or the failure
        """


__all__ = [
    "ListCallback",
    "PlatformReader",
    "WATCH_SECONDS",
    "WatchCallback",
]

"""What the configuration needs of the platform's service."""

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

# Long poll: below the idle timeout that middleboxes commonly have.
WATCH_SECONDS = 20.0


class PlatformReader(abc.ABC):
    """Reads the platform's service; each call is answered at most once.

    A call whose connection goes silent may never be answered. Who calls
    keeps a time limit of his own.
    """

    @abc.abstractmethod
    def watch(self, *, after_revision: int, callback: WatchCallback) -> None:
        """Ask for changes, and wait up to ``WATCH_SECONDS`` for some.

        :param after_revision: zero for the whole tree
        :param callback: called with the changes or the failure
        """

    @abc.abstractmethod
    def read_list(self, *, callback: ListCallback) -> None:
        """Ask for the list of instances.

        :param callback: called with the list or the failure
        """


__all__ = [
    "ListCallback",
    "PlatformReader",
    "WATCH_SECONDS",
    "WatchCallback",
]

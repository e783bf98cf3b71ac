"""Chooses the path over which a connection to an endpoint is opened."""

from __future__ import annotations

import abc
from collections.abc import Callable

from boragefold.protocol import paths

OnPath = Callable[[paths.Path | None], None]


class PathFinder(abc.ABC):
    """Chooses paths to endpoints, and learns from how they work."""

    @abc.abstractmethod
    def find(
        self, endpoint: str, *, tried: tuple[str, ...], on_path: OnPath
    ) -> None:
        """Choose the path of a new connection.

        :param endpoint: name of the endpoint
        :param tried: peers of the paths that failed for this call, in order
        :param on_path: called once, also inside this call; None if no path is
            known to work
        """

    @abc.abstractmethod
    def record_opened(self, endpoint: str, path: paths.Path) -> None:
        """Record that a connection was opened.

        :param endpoint: name of the endpoint
        :param path: how it was opened
        """

    @abc.abstractmethod
    def record_failed(
        self, endpoint: str, path: paths.Path, reason: str
    ) -> None:
        """Record that a connection could not be opened.

        :param endpoint: name of the endpoint
        :param path: how it was tried
        :param reason: why it failed
        """

    @abc.abstractmethod
    def record_silent(self, endpoint: str) -> None:
        """Record that nothing comes over any direct connection.

        :param endpoint: name of an endpoint that a call waits for
        """


class DirectPaths(PathFinder):
    """Knows no other path than the direct one."""

    def find(
        self, endpoint: str, *, tried: tuple[str, ...], on_path: OnPath
    ) -> None:
        """Choose the direct path once.

        :param endpoint: name of the endpoint
        :param tried: peers of the paths that failed for this call
        :param on_path: called inside this call
        """
        on_path(None if tried else paths.DIRECT)

    def record_opened(self, endpoint: str, path: paths.Path) -> None:
        """Do nothing: there is no choice to learn for.

        :param endpoint: name of the endpoint
        :param path: how it was opened
        """

    def record_failed(
        self, endpoint: str, path: paths.Path, reason: str
    ) -> None:
        """Do nothing: there is no choice to learn for.

        :param endpoint: name of the endpoint
        :param path: how it was tried
        :param reason: why it failed
        """

    def record_silent(self, endpoint: str) -> None:
        """Do nothing: there is no choice to learn for.

        :param endpoint: name of the endpoint
        """


__all__ = [
    "DirectPaths",
    "OnPath",
    "PathFinder",
]

"""The values that were not put into force, and why."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from boragefold.state import validation


class Rejection(NamedTuple):
    """The newest value of a path that was not put into force.

    ``digest`` is the SHA-256 of the bytes as they came.
    """

    revision: int
    digest: bytes
    rejected: validation.Rejected


class RejectionLog:
    """The newest rejection of each path, our own and those we were told of.

    The two are kept apart. During a roll an older release may reject what
    this one can read; what it tells must not keep us from taking the value.
    """

    def __init__(self) -> None:
        self._own: dict[str, Rejection] = {}
        self._told: dict[str, Rejection] = {}
        self._subscribers: list[Callable[[str, Rejection], None]] = []

    def subscribe(self, callback: Callable[[str, Rejection], None]) -> None:
        """Be told of each rejection that is news.

        :param callback: called with the path and the rejection
        """
        self._subscribers.append(callback)

    def own(self, path: str) -> Rejection | None:
        """Read our own newest rejection.

        :param path: the path
        :return: the rejection, or None
        """
        return self._own.get(path)

    def newest(self) -> dict[str, Rejection]:
        """Read the newest rejection of each path, whoever made it.

        :return: rejections by path
        """
        merged = dict(self._told)
        for path, rejection in self._own.items():
            merged[path] = max(
                merged.get(path, rejection), rejection, key=_age
            )
        return merged

    def add(self, path: str, rejection: Rejection) -> None:
        """Record that we rejected a value.

        :param path: the path
        :param rejection: why
        """
        if self._add(self._own, path, rejection):
            self._tell(path, rejection)

    def add_told(self, path: str, rejection: Rejection) -> None:
        """Record that another instance rejected a value.

        :param path: the path
        :param rejection: why
        """
        known = self._own.get(path)
        is_known = known is not None and known.revision >= rejection.revision
        if self._add(self._told, path, rejection) and not is_known:
            self._tell(path, rejection)

    def clear(self, path: str, revision: int) -> None:
        """Forget what is outdated by a value that came into force.

        :param path: the path
        :param revision: the value's revision
        """
        for rejections in (self._own, self._told):
            known = rejections.get(path)
            if known is not None and known.revision <= revision:
                del rejections[path]

    def _add(
        self,
        rejections: dict[str, Rejection],
        path: str,
        rejection: Rejection,
    ) -> bool:
        known = rejections.get(path)
        if known is not None and known.revision > rejection.revision:
            return False
        rejections[path] = rejection
        return known is None or known[:2] != rejection[:2]

    def _tell(self, path: str, rejection: Rejection) -> None:
        for callback in self._subscribers:
            callback(path, rejection)


def _age(rejection: Rejection) -> int:
    return rejection.revision


__all__ = [
    "Rejection",
    "RejectionLog",
]

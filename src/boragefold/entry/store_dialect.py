"""The calls on the users' store, and what its answers say."""

from __future__ import annotations

import abc
from typing import NamedTuple

from boragefold.state import published_items
from boragefold.transport import http_client
from boragefold.transport import whole_answer


class Page(NamedTuple):
    """A page of a listing; the next page begins after ``last_key``."""

    items: tuple[published_items.Item, ...]
    revision: int
    last_key: str
    more: bool


class Events(NamedTuple):
    """The changes after one revision up to another."""

    items: tuple[published_items.Item, ...]
    revision: int


class HistoryLost(NamedTuple):
    """The store no longer has the changes: all keys must be listed again."""


class StoreFailed(NamedTuple):
    """The store gave no usable answer."""

    reason: str


class StoreDialect(abc.ABC):
    """Encodes the calls on the store and decodes its answers."""

    @abc.abstractmethod
    def list_call(self, prefix: str, after_key: str) -> http_client.Call:
        """Create the call for a page of a listing.

        :param prefix: key prefix
        :param after_key: last key of the previous page, or empty
        :return: the call
        """

    @abc.abstractmethod
    def read_page(
        self, answer: whole_answer.WholeAnswer
    ) -> Page | StoreFailed:
        """Decode a page of a listing.

        :param answer: as received
        :return: the page, or the failure
        """

    @abc.abstractmethod
    def watch_call(
        self, prefix: str, after_revision: int, wait_seconds: float
    ) -> http_client.Call:
        """Create the long poll that waits for changes.

        :param prefix: key prefix
        :param after_revision: the last known revision
        :param wait_seconds: how long to wait when nothing changes
        :return: the call
        """

    @abc.abstractmethod
    def read_events(
        self, answer: whole_answer.WholeAnswer
    ) -> Events | HistoryLost | StoreFailed:
        """Decode the answer to a watch.

        :param answer: as received
        :return: the changes, or why there are none
        """


__all__ = [
    "Events",
    "HistoryLost",
    "Page",
    "StoreDialect",
    "StoreFailed",
]

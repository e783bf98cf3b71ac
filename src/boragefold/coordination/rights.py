"""Exclusive rights: the view, and the hash that assigns their holders."""

from __future__ import annotations

import abc
from collections.abc import Callable
from typing import NamedTuple

import xxhash

from boragefold.protocol import ids


class View(NamedTuple):
    """A numbered set of instances of one data centre that act together.

    ``epoch`` identifies the bootstrap that the numbering starts with: it is
    larger for every later bootstrap of the data centre.
    """

    data_centre: str
    epoch: int
    number: int
    members: tuple[ids.InstanceId, ...]


class Rights(abc.ABC):
    """Reports which instance holds an exclusive right at this moment.

    The rights of one view have ended everywhere before those of the next
    begin, so two instances never hold the same right at once.
    """

    @abc.abstractmethod
    def valid_view(self) -> View | None:
        """Return the view that this instance has a lease on now.

        :return: the view, or None when the lease has expired
        """

    @abc.abstractmethod
    def valid_for_seconds(self) -> float:
        """Return how long the lease will last without renewal.

        :return: seconds, zero when it has expired
        """

    @abc.abstractmethod
    def directory(self) -> dict[str, View]:
        """Return the latest known view of each data centre.

        The views of other data centres may be out of date.

        :return: views by data centre
        """

    @abc.abstractmethod
    def subscribe(self, callback: Callable[[View | None], None]) -> None:
        """Register a callback for when the valid view changes or ends.

        :param callback: called with the new view, or None
        """

    def holds(self, right: str) -> bool:
        """Return whether this instance holds a right now; call before acting.

        :param right: its name, such as ``rate/quadro/drafts``
        :return: whether it does
        """
        view = self.valid_view()
        return view is not None and holder(view, right) == self.self_id

    @property
    @abc.abstractmethod
    def self_id(self) -> ids.InstanceId:
        """Return the identity of this instance.

        :return: its id
        """


def holder(view: View, right: str) -> ids.InstanceId:
    """Return the member that holds a right, by rendezvous hashing.

    A change of one member moves only the rights of that member.

    :param view: a view with at least one member
    :param right: the name of the right
    :return: the member with the highest hash
    """
    return max(
        view.members,
        key=lambda member: (
            xxhash.xxh3_64_intdigest(
                f"{member.incarnation}\0{right}".encode()
            ),
            member,
        ),
    )


__all__ = [
    "Rights",
    "View",
    "holder",
]

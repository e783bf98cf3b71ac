"""Who holds a single-holder right: the view, and the hash over it."""

from __future__ import annotations

import abc
from collections.abc import Callable
from typing import NamedTuple

import xxhash

from boragefold.protocol import ids


class View(NamedTuple):
    """The instances of one data centre that act together, numbered.

    ``epoch`` names the bootstrap that the numbering began with: it is larger
    for every later bootstrap of the data centre.
    """

    data_centre: str
    epoch: int
    number: int
    members: tuple[ids.InstanceId, ...]


class Rights(abc.ABC):
    """Tells which instance holds a right, and whether we do, now.

    The rights of one view have ended everywhere before those of the next
    begin, so two instances never hold the same right at once.
    """

    @abc.abstractmethod
    def valid_view(self) -> View | None:
        """Read the view that our lease covers at this moment.

        :return: the view, or None when our lease has ended
        """

    @abc.abstractmethod
    def valid_for_seconds(self) -> float:
        """Tell how long our lease will last without renewal.

        :return: seconds, zero when it has ended
        """

    @abc.abstractmethod
    def directory(self) -> dict[str, View]:
        """Read the latest known view of each data centre.

        The views of other data centres may be out of date.

        :return: views by data centre
        """

    @abc.abstractmethod
    def subscribe(self, callback: Callable[[View | None], None]) -> None:
        """Be told when our valid view changes or ends.

        :param callback: called with the new view, or None
        """

    def holds(self, right: str) -> bool:
        """Tell whether we hold a right now; ask right before acting.

        :param right: its name, such as ``rate/quadro/drafts``
        :return: whether we do
        """
        view = self.valid_view()
        return view is not None and holder(view, right) == self.self_id

    @property
    @abc.abstractmethod
    def self_id(self) -> ids.InstanceId:
        """Tell who we are.

        :return: our own identity
        """


def holder(view: View, right: str) -> ids.InstanceId:
    """Pick the member that a right belongs to, by rendezvous hashing.

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

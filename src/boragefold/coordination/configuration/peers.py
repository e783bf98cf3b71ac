"""Selects the platform's readers and the peers to compare trees with."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import enum
import itertools
import random

import boragefold.coordination.rights as membership
from boragefold.protocol import ids
from boragefold.protocol import platform_api

STEWARD_RIGHT = "configuration/0"
DEPUTY_RIGHT = "configuration/1"


class Role(enum.Enum):
    """The part of an instance in the configuration of its data centre.

    The status for operators shows the names of these members. The steward
    reads the platform and need not be the leader of the view.
    """

    STEWARD = "steward"
    DEPUTY = "deputy"
    MEMBER = "member"
    ALONE = "alone"


def select_readers(view: membership.View) -> tuple[ids.InstanceId, ...]:
    """Select a view's steward, and its deputy if there is a second member.

    Reading the platform isn't exclusive: two stewards at a time cost a few
    more calls and do no harm, because the tree never returns to an older
    version.

    :param view: a view with at least one member
    :return: the steward, then the deputy
    """
    steward = membership.holder(view, STEWARD_RIGHT)
    others = tuple(member for member in view.members if member != steward)
    if not others:
        return (steward,)
    rest = view._replace(members=others)
    return (steward, membership.holder(rest, DEPUTY_RIGHT))


class Peers:
    """The other instances that this instance knows of."""

    def __init__(
        self,
        *,
        rights: membership.Rights,
        seeds: Sequence[ids.InstanceId],
        random: random.Random,
    ) -> None:
        self._rights = rights
        self._seeds = tuple(seeds)
        self._random = random
        self._listed: tuple[ids.InstanceId, ...] = ()
        self._self_id = rights.self_id

    @property
    def role(self) -> Role:
        """Return the current role of this instance.

        :return: the role; ``ALONE`` without a valid view
        """
        view = self._rights.valid_view()
        if view is None:
            return Role.ALONE
        chosen = select_readers(view)
        if self._self_id not in chosen:
            return Role.MEMBER
        return Role.STEWARD if chosen[0] == self._self_id else Role.DEPUTY

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call back when the role may have changed.

        :param callback: called without arguments
        """
        self._rights.subscribe(lambda _: callback())

    def receive_listing(self, listing: platform_api.Listing) -> None:
        """Record the addresses of the platform's list.

        :param listing: the platform's list
        """
        self._listed = tuple(
            ids.InstanceId(instance.data_centre, instance.address, "")
            for instance in listing.instances
            if instance.kind == "entry"
        )

    def members(self) -> tuple[ids.InstanceId, ...]:
        """Return the other members of the valid view of this instance.

        :return: the members, none without a valid view
        """
        view = self._rights.valid_view()
        return () if view is None else self._without_self(view.members)

    def choose_local(self) -> ids.InstanceId | None:
        """Choose a random instance of the data centre of this instance.

        :return: a member of the view, otherwise any known instance, or None
        """
        members = self.members()
        if not members:
            members = self._known_in(
                lambda name: name == self._self_id.data_centre
            )
        return self._choose(members)

    def choose_remote(self) -> ids.InstanceId | None:
        """Choose a random instance of another data centre.

        A data centre's steward and deputy receive changes first, so they are
        chosen most often. Any other member is chosen at times, because with
        an outdated view a data centre might otherwise never be reached.

        :return: an instance, or None
        """
        views = {
            name: view
            for name, view in self._rights.directory().items()
            if name != self._self_id.data_centre and view.members
        }
        if not views:
            foreign = self._known_in(
                lambda name: name != self._self_id.data_centre
            )
            return self._choose(foreign)
        view = views[self._random.choice(sorted(views))]
        candidates = (*select_readers(view), self._random.choice(view.members))
        return self._choose(candidates)

    def choose_any(self) -> ids.InstanceId | None:
        """Choose a random instance, more often from the same data centre.

        :return: an instance, or None if none is known
        """
        first, second = (
            (self.choose_remote, self.choose_local)
            if self._random.random() < 1 / 3
            else (self.choose_local, self.choose_remote)
        )
        return first() or second()

    def _known_in(
        self, wanted: Callable[[str], bool]
    ) -> tuple[ids.InstanceId, ...]:
        viewed = itertools.chain.from_iterable(
            view.members for view in self._rights.directory().values()
        )
        known = itertools.chain(viewed, self._listed, self._seeds)
        return self._without_self(
            tuple(peer for peer in known if wanted(peer.data_centre))
        )

    def _without_self(
        self, peers: tuple[ids.InstanceId, ...]
    ) -> tuple[ids.InstanceId, ...]:
        return tuple(
            peer for peer in peers if peer.address != self._self_id.address
        )

    def _choose(
        self, peers: tuple[ids.InstanceId, ...]
    ) -> ids.InstanceId | None:
        return self._random.choice(peers) if peers else None


__all__ = [
    "Peers",
    "Role",
    "select_readers",
]

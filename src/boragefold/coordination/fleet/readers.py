"""The choice of the instances that read the store for their data centre.

Each call to the store is paid for, and the number of calls may grow only more
slowly than the fleet. One instance of each data centre reads the store. The
others receive the changes from it one heartbeat later, or, if it fails, from
the readers of other data centres. A data centre that can't reach any other
has two readers. The readers are the first in hash order among the reachable
instances that can use the store: a reader that is killed, partitioned or
refused by the store is replaced as soon as its silence is detected.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from boragefold.coordination.fleet import member as member_module
from boragefold.coordination.fleet import members as members_module
from boragefold.protocol import ids

# In a data centre that reaches no other: one may fail without a gap.
ISOLATED_READERS = 2
# In a data centre that reaches others.
CONNECTED_READERS = 1


class ReaderRole:
    """Whether this instance reads the store now."""

    def __init__(
        self, *, self_id: ids.InstanceId, members: members_module.Members
    ) -> None:
        """Decide nothing yet.

        :param self_id: the identity of this instance
        :param members: the other instances
        """
        self._self_id = self_id
        self._members = members
        self._decided_for = (-1, -1)
        self._must_read = True

    def must_read(self) -> bool:
        """Tell whether this instance has to read the store.

        :return: decided anew only when a peer has changed
        """
        reachable = self._members.reachable()
        versions = (self._members.version, self._members.urgent_version)
        if versions != self._decided_for:
            self._decided_for = versions
            self._must_read = is_reader(self._self_id, reachable)
        return self._must_read


def is_reader(
    self_id: ids.InstanceId, members: Iterable[member_module.Member]
) -> bool:
    """Tell whether this instance reads the store.

    :param self_id: the identity of this instance
    :param members: the reachable other instances
    :return: whether it ranks among the readers of its data centre
    """
    eligible = [
        member.instance
        for member in members
        if member.beat is not None
        and not member.beat.store_lost
        and not member.beat.leaving
    ]
    own_rank = rank(self_id)
    better_ranked = sum(
        instance.data_centre == self_id.data_centre
        and rank(instance) < own_rank
        for instance in eligible
    )
    hears_others = any(
        instance.data_centre != self_id.data_centre for instance in eligible
    )
    return better_ranked < (
        CONNECTED_READERS if hears_others else ISOLATED_READERS
    )


def rank(instance: ids.InstanceId) -> int:
    return xxhash.xxh3_64_intdigest(instance.address.encode())


__all__ = [
    "CONNECTED_READERS",
    "ISOLATED_READERS",
    "ReaderRole",
    "is_reader",
    "rank",
]

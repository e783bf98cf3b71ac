"""Which instances read the store for their data centre.

Each call on the store is paid for, and its rate grows more slowly than the
fleet. A few instances of each data centre read it; the others learn from
them, a heartbeat later. The first by hashing read, of those that are heard
and that the store answers: a reader that is killed, cut off or turned away is
replaced within the time in which its silence is noticed.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from boragefold.coordination.fleet import member as member_module
from boragefold.protocol import ids

# One reader of a data centre may be lost without a gap.
READERS = 2


def reads(
    self_id: ids.InstanceId, members: Iterable[member_module.Member]
) -> bool:
    """Tell whether this instance reads the store.

    :param self_id: who we are
    :param members: the instances that are heard
    :return: whether too few others of the data centre do
    """
    own_rank = _rank(self_id)
    before = sum(
        member.beat is not None
        and not member.beat.store_lost
        and not member.beat.leaving
        and member.instance.data_centre == self_id.data_centre
        and _rank(member.instance) < own_rank
        for member in members
    )
    return before < READERS


def _rank(instance: ids.InstanceId) -> int:
    return xxhash.xxh3_64_intdigest(instance.address.encode())


__all__ = [
    "READERS",
    "reads",
]

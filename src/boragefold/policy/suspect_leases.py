"""Which instance may send the one copy of a suspected request.

Load pattern: copies of one request wait at several instances while endpoints
are away, and start together when one is back. If they crash endpoints, each
takes one with it before the first crash is known.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from boragefold.protocol import ids

MAX_LEASES = 1024


def choose_issuer(key: int, addresses: Iterable[str]) -> str:
    """Choose who issues a lease.

    Instances that know the same members choose the same one, and a member
    that joins or leaves changes it for few leases.

    :param key: identifies the lease
    :param addresses: those of the members, at least one
    :return: the address of the issuer
    """
    return max(
        addresses,
        key=lambda address: (
            xxhash.xxh3_64_intdigest(address.encode(), seed=key),
            address,
        ),
    )


class Lease(NamedTuple):
    """The right to have a request sent, until a time.

    ``number`` tells the leases of one holder apart.
    """

    holder: ids.InstanceId
    number: int
    ends_at_seconds: float


class LeaseBook:
    """The leases that this instance has issued, by what identifies them."""

    def __init__(self) -> None:
        """Start without any."""
        self._leases: dict[int, Lease] = {}

    def issue(
        self,
        key: int,
        lease: Lease,
        *,
        now_seconds: float,
        is_alive: Callable[[ids.InstanceId], bool],
    ) -> bool:
        """Issue a lease unless another instance holds it.

        :param key: identifies the lease
        :param lease: what is asked for
        :param now_seconds: reading of the process clock
        :param is_alive: whether an instance is a member of the fleet
        :return: whether it is issued, also when it was before
        """
        known = self._leases.get(key)
        if (
            known is not None
            and known.holder != lease.holder
            and known.ends_at_seconds > now_seconds
            and is_alive(known.holder)
        ):
            return False
        if known is None and len(self._leases) >= MAX_LEASES:
            self._expire(now_seconds)
            if len(self._leases) >= MAX_LEASES:
                return False
        self._leases[key] = lease
        return True

    def end(self, key: int, holder: ids.InstanceId, number: int) -> None:
        """End a lease whose holder doesn't need it any more.

        :param key: identifies the lease
        :param holder: the instance
        :param number: of the lease
        """
        known = self._leases.get(key)
        if known is not None and known[:2] == (holder, number):
            del self._leases[key]

    def _expire(self, now_seconds: float) -> None:
        self._leases = {
            key: lease
            for key, lease in self._leases.items()
            if lease.ends_at_seconds > now_seconds
        }


__all__ = [
    "Lease",
    "LeaseBook",
    "choose_issuer",
]

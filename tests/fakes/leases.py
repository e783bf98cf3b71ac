"""Leases of an instance that votes alone."""

from __future__ import annotations

import math
import random
import types

from boragefold.coordination.fleet import order_lease
from boragefold.coordination.fleet import order_leases
from boragefold.coordination.fleet import voter_sets

LOG = types.SimpleNamespace(write=lambda event, **fields: None)


class Held(order_lease.OrderLease):
    """The lease of an owner that has no rival."""

    def request(self) -> None:
        return

    def is_held(self, *, now_seconds: float) -> bool:
        return True

    def majority_lost(self) -> bool:
        return False

    def unavailable_seconds(self, *, now_seconds: float) -> float:
        return 0.0

    def order_delay_seconds(self, *, now_seconds: float) -> float:
        return 0.0

    def foreign_lease_end_seconds(self) -> float:
        return -math.inf

    def release(self) -> None:
        return


def alone(node) -> order_leases.OrderLeases:
    """Make the leases of the only instance of a data centre."""
    return voted(node, lambda: [node.self_id], rng=random.Random(1))


def voted(
    node, voters, *, rng, log=LOG, started_before_seconds=60.0
) -> order_leases.OrderLeases:
    """Make the leases of one of several instances of a data centre."""
    now_seconds = node.timers.now_seconds()
    return order_leases.OrderLeases(
        link=node.link,
        timers=node.timers,
        voters=lambda centre: voter_sets.VoterSet(tuple(voters()), ()),
        majority_lost_seconds=lambda voter_set: 0.0,
        rng=rng,
        log=log,
        started_at_seconds=now_seconds - started_before_seconds,
    )


__all__ = [
    "Held",
    "alone",
    "voted",
]

"""Which instances may have requests at an endpoint, and until when."""

from __future__ import annotations

import dataclasses

from boragefold.coordination.orders import times
from boragefold.protocol import ids
from boragefold.protocol import order_messages as messages


@dataclasses.dataclass(kw_only=True)
class _Lease:
    """The latest lease of one instance."""

    ends_at_seconds: float
    stopped: bool = False


class Leases:
    """The leases that one holder gave for one endpoint.

    A former holder's leases are not known. They all end one lease after its
    right did, which is before ours began.
    """

    def __init__(self, *, since_seconds: float) -> None:
        """Start when the right was gained.

        :param since_seconds: the moment
        """
        self._former_end_seconds = (
            since_seconds + times.USE_LEASE_SECONDS + times.MARGIN_SECONDS
        )
        self._leases: dict[messages.Weights, dict[ids.InstanceId, _Lease]] = {}
        self._idle_at_seconds: dict[messages.Weights, float] = {}

    def give(
        self,
        weights: messages.Weights,
        instance: ids.InstanceId,
        *,
        now_seconds: float,
    ) -> None:
        """Record a lease before it is sent.

        :param weights: what may be used
        :param instance: by whom
        :param now_seconds: the clock
        """
        ends_at_seconds = (
            now_seconds + times.USE_LEASE_SECONDS + times.MARGIN_SECONDS
        )
        self._leases.setdefault(weights, {})[instance] = _Lease(
            ends_at_seconds=ends_at_seconds
        )

    def users(
        self, weights: messages.Weights, *, now_seconds: float
    ) -> set[ids.InstanceId]:
        """List who may still have something in flight.

        :param weights: of which adapter version
        :param now_seconds: the clock
        :return: instances that have not said that they stopped
        """
        idle_at_seconds = self._idle_at_seconds.get(weights)
        return {
            instance
            for instance, lease in self._leases.get(weights, {}).items()
            if not lease.stopped
            and not _over(lease.ends_at_seconds, idle_at_seconds, now_seconds)
        }

    def former_users_possible(
        self, weights: messages.Weights, *, now_seconds: float
    ) -> bool:
        """Tell whether a former holder's leases may still be in use.

        :param weights: of which adapter version
        :param now_seconds: the clock
        :return: whether anybody may have something in flight unknown to us
        """
        return not _over(
            self._former_end_seconds,
            self._idle_at_seconds.get(weights),
            now_seconds,
        )

    def stopped(
        self, weights: messages.Weights, instance: ids.InstanceId
    ) -> None:
        """Note that an instance has nothing in flight and begins nothing.

        :param weights: of which adapter version
        :param instance: which
        """
        lease = self._leases.get(weights, {}).get(instance)
        if lease is not None:
            lease.stopped = True

    def idle(
        self, weights: messages.Weights, *, sampled_seconds: float
    ) -> None:
        """Note that the endpoint ran nothing of an adapter version.

        :param weights: of which
        :param sampled_seconds: the moment the endpoint counted
        """
        self._idle_at_seconds[weights] = sampled_seconds

    def forget_old(self, now_seconds: float) -> None:
        """Forget leases whose uses have surely ended.

        :param now_seconds: the clock
        """
        for weights in list(self._leases):
            self._leases[weights] = {
                instance: lease
                for instance, lease in self._leases[weights].items()
                if not _over(lease.ends_at_seconds, None, now_seconds)
            }
            if not self._leases[weights]:
                del self._leases[weights]


def _over(
    ends_at_seconds: float, idle_at_seconds: float | None, now_seconds: float
) -> bool:
    """Tell whether every use under a lease has ended.

    Nothing begins after a lease. What began before has ended after the
    longest use; or it never arrived or has ended if the endpoint ran nothing
    at a moment by which all that was sent had arrived.
    """
    arrived_seconds = ends_at_seconds + times.TRANSIT_SECONDS
    if idle_at_seconds is not None and idle_at_seconds >= arrived_seconds:
        return True
    return now_seconds >= arrived_seconds + times.LONGEST_USE_SECONDS


__all__ = [
    "Leases",
]

"""Which instances may send requests to an endpoint, and until when."""

from __future__ import annotations

import dataclasses

from boragefold.coordination.orders import timeouts
from boragefold.protocol import ids
from boragefold.protocol import order_messages as messages


@dataclasses.dataclass(kw_only=True)
class _Lease:
    """The latest lease of one instance on one adapter version."""

    ends_at_seconds: float
    stopped: bool = False


class Leases:
    """The leases that this instance granted on one endpoint.

    Leases of the previous holder are unknown. They all end one lease duration
    after its right ended, which was before this instance gained it.
    """

    def __init__(self, *, gained_at_seconds: float) -> None:
        """Create an empty set of leases.

        :param gained_at_seconds: time when this instance gained the right
        """
        self._previous_leases_end_seconds = (
            gained_at_seconds
            + timeouts.USE_LEASE_SECONDS
            + timeouts.CLOCK_DRIFT_SECONDS
        )
        self._leases: dict[messages.Weights, dict[ids.InstanceId, _Lease]] = {}
        self._idle_at_seconds: dict[messages.Weights, float] = {}

    def grant(
        self,
        weights: messages.Weights,
        instance: ids.InstanceId,
        *,
        now_seconds: float,
    ) -> None:
        """Record a lease before it is sent.

        :param weights: adapter version that may be used
        :param instance: instance that may use it
        :param now_seconds: current time
        """
        ends_at_seconds = (
            now_seconds
            + timeouts.USE_LEASE_SECONDS
            + timeouts.CLOCK_DRIFT_SECONDS
        )
        self._leases.setdefault(weights, {})[instance] = _Lease(
            ends_at_seconds=ends_at_seconds
        )

    def users(
        self, weights: messages.Weights, *, now_seconds: float
    ) -> set[ids.InstanceId]:
        """List the instances that may have requests in flight.

        :param weights: adapter version that the requests use
        :param now_seconds: current time
        :return: instances that have not confirmed that they stopped
        """
        idle_at_seconds = self._idle_at_seconds.get(weights)
        return {
            instance
            for instance, lease in self._leases.get(weights, {}).items()
            if not lease.stopped
            and not _all_ended(
                lease.ends_at_seconds, idle_at_seconds, now_seconds
            )
        }

    def previous_leases_possible(
        self, weights: messages.Weights, *, now_seconds: float
    ) -> bool:
        """Tell whether leases of the previous holder may still be in use.

        :param weights: adapter version that the leases cover
        :param now_seconds: current time
        :return: whether requests that this instance does not know of may be
            in flight
        """
        return not _all_ended(
            self._previous_leases_end_seconds,
            self._idle_at_seconds.get(weights),
            now_seconds,
        )

    def record_stopped(
        self, weights: messages.Weights, instance: ids.InstanceId
    ) -> None:
        """Record that an instance has stopped using an adapter version.

        :param weights: adapter version that it used
        :param instance: instance that has no request in flight and starts none
        """
        lease = self._leases.get(weights, {}).get(instance)
        if lease is not None:
            lease.stopped = True

    def record_idle(
        self, weights: messages.Weights, *, sampled_seconds: float
    ) -> None:
        """Record that no request of an adapter version was running.

        :param weights: adapter version without running requests
        :param sampled_seconds: time when the endpoint counted its requests
        """
        self._idle_at_seconds[weights] = sampled_seconds

    def expire(self, now_seconds: float) -> None:
        """Remove leases whose requests must have ended.

        :param now_seconds: current time
        """
        for weights in list(self._leases):
            self._leases[weights] = {
                instance: lease
                for instance, lease in self._leases[weights].items()
                if not _all_ended(lease.ends_at_seconds, None, now_seconds)
            }
            if not self._leases[weights]:
                del self._leases[weights]


def _all_ended(
    ends_at_seconds: float, idle_at_seconds: float | None, now_seconds: float
) -> bool:
    """Tell whether every request under a lease has ended.

    No request is sent after the end of the lease. Those sent before have ended
    once the longest request duration has passed. They have also ended or been
    lost if the endpoint was idle at a time when all of them must have arrived.
    """
    all_arrived_seconds = ends_at_seconds + timeouts.MAX_TRANSIT_SECONDS
    if idle_at_seconds is not None and idle_at_seconds >= all_arrived_seconds:
        return True
    return now_seconds >= all_arrived_seconds + timeouts.MAX_REQUEST_SECONDS


__all__ = [
    "Leases",
]

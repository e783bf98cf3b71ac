"""Bounds what is sent to endpoints that fall over when they reject much.

Load pattern: each endpoint of a service has few slots and lets few requests
wait, and one that rejects more than a few in a second falls over. All
instances see the same free slot and send to it together; when one endpoint
falls, its load goes to the next. The rejections are counted over all
instances, which can't ask each other before each request. Therefore each gets
a part of every endpoint's slots, and uses more only where a fresh report shows
plenty of room. After a rejection all leave the endpoint alone for a while, and
come back one after the other, so that together they stay below the limit.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
import math
from typing import NamedTuple

import xxhash

# Without answers for so long, a service's limit may have ended.
LIMIT_SECONDS = 10.0
# Other instances have sent more since an older report.
FRESH_REPORT_SECONDS = 0.3
# The rest is for what others send at the same moment.
BORROWED_SHARE = 0.5
# A rejection shows that others send more than their parts.
CAREFUL_SECONDS = 1.0
MAX_HASH = 2.0**64


class EndpointLoad(NamedTuple):
    """The load of an endpoint as an instance knows it.

    ``in_flight`` are its own requests there, of which it sent the last
    ``sent_seconds_ago``; ``others`` are those of other instances by a report
    that is ``report_age_seconds`` old.
    """

    slots: int
    in_flight: int
    others: float
    report_age_seconds: float
    sent_seconds_ago: float = 0.0


class Limit(NamedTuple):
    """Rejections in a second that a service's endpoints bear, when told."""

    rejections: int
    at_seconds: float


class RejectionLimits:
    """Knows which services' endpoints are brittle, and what may be sent."""

    def __init__(
        self, *, self_address: str, peers: Callable[[], Collection[str]]
    ) -> None:
        """Begin without limits.

        :param self_address: of this instance
        :param peers: lists the addresses of the other instances
        """
        self._self_address = self_address
        self._peers = peers
        self._limits: dict[str, Limit] = {}
        self._rejected_at_seconds: dict[str, float] = {}
        self._rest_until_seconds: dict[str, float] = {}

    def record_answer(
        self, service: str, rejections: int | None, *, now_seconds: float
    ) -> None:
        """Record what an endpoint's answer says of its limit.

        :param service: name of the service
        :param rejections: that one endpoint bears in a second, None if its
            endpoints bear any number
        :param now_seconds: reading of the process clock
        """
        if rejections is None:
            self._limits.pop(service, None)
        else:
            self._limits[service] = Limit(rejections, now_seconds)

    def record_rejection(
        self, service: str, endpoint: str, *, own: bool, now_seconds: float
    ) -> None:
        """Record that an endpoint rejected a request for want of room.

        :param service: name of its service
        :param endpoint: its name
        :param own: whether the request was this instance's
        :param now_seconds: reading of the process clock
        """
        self._rejected_at_seconds[endpoint] = now_seconds
        limit = self._limits.get(service)
        if limit is None:
            return
        seconds_each = 1.0 / max(1, limit.rejections)
        all_seconds = self._seconds_for_all(limit)
        rest_seconds = all_seconds
        if not own:
            text = f"{endpoint}\0{self._self_address}\0{now_seconds}"
            phase = xxhash.xxh3_64_intdigest(text.encode()) / MAX_HASH
            rest_seconds = seconds_each + phase * all_seconds
        until_seconds = self._rest_until_seconds.get(endpoint, -math.inf)
        self._rest_until_seconds[endpoint] = max(
            until_seconds, now_seconds + rest_seconds
        )

    def is_limited(self, service: str, *, now_seconds: float) -> bool:
        """Tell whether a service's endpoints are brittle.

        :param service: its name
        :param now_seconds: reading of the process clock
        :return: whether their last answers said so
        """
        limit = self._limits.get(service)
        return limit is not None and (
            now_seconds - limit.at_seconds < LIMIT_SECONDS
        )

    def is_resting(
        self, service: str, endpoint: str, *, now_seconds: float
    ) -> bool:
        """Tell whether an endpoint is to be left alone after a rejection.

        :param service: name of its service
        :param endpoint: its name
        :param now_seconds: reading of the process clock
        :return: whether nothing may be sent there now
        """
        until_seconds = self._rest_until_seconds.get(endpoint, -math.inf)
        return now_seconds < until_seconds and self.is_limited(
            service, now_seconds=now_seconds
        )

    def has_room(
        self,
        service: str,
        endpoint: str,
        load: EndpointLoad,
        *,
        now_seconds: float,
    ) -> bool:
        """Tell whether one more request may be sent to an endpoint.

        :param service: name of its service
        :param endpoint: its name
        :param load: its load
        :param now_seconds: reading of the process clock
        :return: whether it will hardly be rejected, or may be
        """
        if not self.is_limited(service, now_seconds=now_seconds):
            return True
        if self.is_resting(service, endpoint, now_seconds=now_seconds):
            return False
        if load.in_flight < self.part_of_slots(endpoint, load.slots):
            return True
        if self._since_rejection(endpoint, now_seconds) < CAREFUL_SECONDS:
            return False
        if self._may_try(service, load):
            return True
        busy = load.in_flight + load.others
        return (
            load.report_age_seconds < FRESH_REPORT_SECONDS
            and busy + 1 <= BORROWED_SHARE * load.slots
        )

    def count_instances(self) -> int:
        """Count the instances that send to the same endpoints.

        :return: those that are reachable, and this one
        """
        return 1 + len(self._peers())

    def part_of_slots(self, endpoint: str, slots: int) -> int:
        """Return how many slots of an endpoint are this instance's part.

        :param endpoint: its name
        :param slots: how many it has
        :return: a number; the parts of all instances add up to the slots
        """
        peers = self._peers()
        each, rest = divmod(slots, 1 + len(peers))
        if not rest:
            return each
        own = _rank(endpoint, self._self_address)
        before = sum(_rank(endpoint, peer) < own for peer in peers)
        return each + (before < rest)

    def _may_try(self, service: str, load: EndpointLoad) -> bool:
        # An instance without a part would learn neither of room nor that the
        # limit has ended.
        pause_seconds = self._seconds_for_all(self._limits[service])
        return not load.in_flight and load.sent_seconds_ago >= pause_seconds

    def _seconds_for_all(self, limit: Limit) -> float:
        # If each instance causes one rejection in this time, all together
        # cause no more in a second than an endpoint bears.
        return (1 + len(self._peers())) / max(1, limit.rejections)

    def _since_rejection(self, endpoint: str, now_seconds: float) -> float:
        return now_seconds - self._rejected_at_seconds.get(endpoint, -math.inf)


def _rank(endpoint: str, address: str) -> int:
    return xxhash.xxh3_64_intdigest("\0".join((endpoint, address)).encode())


__all__ = [
    "EndpointLoad",
    "RejectionLimits",
]

"""Tells the other instances which brittle endpoints have no room."""

from __future__ import annotations

from boragefold.coordination.fleet import members as members_module
import boragefold.coordination.link as links
from boragefold.policy import rejection_limits
from boragefold.protocol import ids
from boragefold.protocol import load_messages as messages
from boragefold.timing import timers as timing


class RejectionNews:
    """Records rejections here and at the other instances.

    Nothing is sent about endpoints that bear any number of rejections. The
    limits bound how often one that doesn't is told of.
    """

    def __init__(
        self,
        *,
        link: links.PeerLink,
        members: members_module.Members,
        timers: timing.TimerService,
        limits: rejection_limits.RejectionLimits,
    ) -> None:
        """Subscribe to the news of other instances.

        :param link: to the peers
        :param members: the other instances
        :param timers: the process clock
        :param limits: decides by the rejections
        """
        self._link = link
        self._members = members
        self._timers = timers
        self._limits = limits
        link.subscribe(messages.EndpointFull, self._handle)

    def record(self, service: str, endpoint: str) -> None:
        """Record a rejection of a request of this instance.

        :param service: name of the endpoint's service
        :param endpoint: its name
        """
        now_seconds = self._timers.now_seconds()
        if not self._limits.is_limited(service, now_seconds=now_seconds):
            return
        self._limits.record_rejection(
            service, endpoint, own=True, now_seconds=now_seconds
        )
        peers = [member.instance for member in self._members.reachable()]
        self._link.send_all(
            to=peers, body=messages.EndpointFull(service, endpoint)
        )

    def _handle(
        self, sender: ids.InstanceId, news: messages.EndpointFull
    ) -> None:
        self._limits.record_rejection(
            news.service,
            news.endpoint,
            own=False,
            now_seconds=self._timers.now_seconds(),
        )


__all__ = [
    "RejectionNews",
]

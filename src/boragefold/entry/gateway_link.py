"""The link of a gateway instance to the other instances."""

from __future__ import annotations

from boragefold.coordination.fleet import self_link
from boragefold.protocol import envelope
from boragefold.protocol import ids
from boragefold.protocol import order_lease_messages
from boragefold.protocol import peer_messages
from boragefold.settings import gateway as gateway_settings
from boragefold.telemetry import counters as telemetry
from boragefold.telemetry import error_guard
from boragefold.transport import loop as loops
from boragefold.transport import peer_link


def open_link(
    *,
    settings: gateway_settings.GatewaySettings,
    loop: loops.Loop,
    counters: telemetry.Counters,
    guard: error_guard.ErrorGuard,
) -> self_link.SelfLink:
    """Create the link and run it on a loop.

    :param settings: address and data centre of this instance
    :param loop: the event loop of the process
    :param counters: counts messages and bytes
    :param guard: keeps an error within the message that led to it
    :return: the link, as a new incarnation of this instance, which reaches
        the instance itself, too
    """
    link = peer_link.ZmqPeerLink(
        poller=loop.poller,
        timers=loop.timers,
        self_id=ids.InstanceId(
            settings.data_centre,
            settings.peer_listen,
            ids.new_incarnation(),
        ),
        codec=envelope.Codec(
            kinds=(*peer_messages.KINDS, *order_lease_messages.KINDS)
        ),
        counters=counters,
        heartbeats=False,
        run=guard.runner("peer"),
    )
    link.register(loop)
    return self_link.SelfLink(link=link, timers=loop.timers)


__all__ = [
    "open_link",
]

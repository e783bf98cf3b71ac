"""The settings of one gateway instance."""

from __future__ import annotations

from typing import NamedTuple

from boragefold.policy import caller_budget
from boragefold.policy import cold_limit
from boragefold.policy import rate_tolerance
from boragefold.policy import repeat_budget
from boragefold.protocol import addresses as protocol_addresses


class BadSettings(Exception):
    """Reports settings that can't be used; the message names the remedy."""


class GatewaySettings(NamedTuple):
    """The settings of a gateway instance; addresses are IP:PORT.

    ``seeds`` are addresses of peers, some of which may be outdated or down.
    ``order_lease_seconds`` is the minimum time between the orders of two
    instances to one engine. ``stop_seconds`` is the time limit of a planned
    stop. If ``metrics_listen`` is empty, no metrics are served.
    ``tunnel_listen`` is where peers ask for connections to endpoints; any
    port of the address in ``peer_listen`` if it is empty or taken.
    ``link_megabits`` is the speed of the network link per second; instances
    with fast links relay the heartbeats of the others. ``evacuate_seconds`` is
    the time limit of the evacuation of a data centre. ``renewal_seconds`` is
    the interval at which endpoints renew their entries; if it is 0, entries
    are taken to lapse in any outage of the store. ``memory_mb`` and
    ``max_fds`` are what the process may take of memory and descriptors, which
    bounds what callers may make it hold; 0 descriptors stands for the limit
    of the process.
    """

    instance_name: str
    data_centre: str
    data_centres: tuple[str, ...]
    callers_listen: str
    ready_listen: str
    peer_listen: str
    store: str
    seeds: tuple[str, ...]
    order_lease_seconds: float
    stop_seconds: float
    retry_limit: repeat_budget.FleetLimit
    metrics_listen: str = ""
    rate_tolerance: rate_tolerance.Tolerance = rate_tolerance.Tolerance()
    link_megabits: float = 0.0
    tunnel_listen: str = ""
    cold_tolerance: cold_limit.Tolerance = cold_limit.Tolerance()
    evacuate_seconds: float = 5.0
    renewal_seconds: float = 0.0
    memory_mb: float = caller_budget.DEFAULT_MEMORY_MB
    max_fds: int = 0


def check(settings: GatewaySettings) -> None:
    """Validate all settings.

    :param settings: the settings as given
    :raises BadSettings: on the first fault
    """
    addresses = {
        "callers_listen": settings.callers_listen,
        "ready_listen": settings.ready_listen,
        "peer_listen": settings.peer_listen,
        "store": settings.store,
        **{
            f"seeds[{index}]": seed
            for index, seed in enumerate(settings.seeds)
        },
    }
    optional = {
        "metrics_listen": settings.metrics_listen,
        "tunnel_listen": settings.tunnel_listen,
    }
    addresses |= {name: given for name, given in optional.items() if given}
    for name, address in addresses.items():
        if not protocol_addresses.is_address(address):
            raise BadSettings(
                f"{name} is {address!r:.60}; give an IP number and a port"
            )
    if settings.data_centre not in settings.data_centres:
        raise BadSettings(
            f"data_centre {settings.data_centre!r} is none of "
            f"{', '.join(settings.data_centres)}; name one that is listed"
        )
    if settings.evacuate_seconds < 0:
        raise BadSettings(
            "evacuate_seconds must not be below zero; give the time in which "
            "an evacuated data centre receives its last request"
        )
    if not settings.renewal_seconds >= 0:
        raise BadSettings(
            "renewal_seconds must not be below zero; give the interval at "
            "which endpoints renew their entries"
        )
    if not settings.memory_mb > 0:
        raise BadSettings(
            "memory_mb must be above zero; give the memory that the process "
            "may take"
        )
    if settings.max_fds < 0:
        raise BadSettings(
            "max_fds must not be below zero; give the descriptors that the "
            "process may open, or 0 for its limit"
        )
    if settings.order_lease_seconds <= 0:
        raise BadSettings(
            "order_lease_seconds must be above zero; give the time that two "
            "givers of orders must be apart"
        )
    tolerance = settings.cold_tolerance
    # Written so that not-a-number is refused as well.
    if not (tolerance.overage >= 0 and tolerance.slack >= 0):
        raise BadSettings(
            f"cold_tolerance is {tuple(tolerance)}; give an overage and a "
            "slack that are zero or more"
        )


__all__ = [
    "BadSettings",
    "GatewaySettings",
    "check",
]

"""The settings of one entry instance."""

from __future__ import annotations

from collections.abc import Iterator
import pathlib
from typing import NamedTuple

from boragefold.policy import caller_budget
from boragefold.protocol import addresses
from boragefold.state import paths
from boragefold.transport import peer_keys


class ServeSettings(NamedTuple):
    """The settings of ``boragefold serve``; see the operators' page."""

    listen: str
    peer_listen: str
    operators_listen: str
    platform: str
    data_centre: str
    peer_secret: str = ""
    tls_certificate: str = ""
    tls_key: str = ""
    stop_notice_seconds: float = 5.0
    seeds: tuple[str, ...] = ()
    json_logs: bool = False
    memory_mb: float = caller_budget.DEFAULT_MEMORY_MB
    max_fds: int = 0
    header_timeout_seconds: float = 10.0
    idle_timeout_seconds: float = 75.0


class Fault(NamedTuple):
    """A setting that can't be used, and how to correct it."""

    setting: str
    remedy: str


def faults(settings: ServeSettings) -> list[Fault]:
    """Validate all settings.

    :param settings: the settings as given
    :return: every fault, not just the first
    """
    return [
        *_address_faults(settings),
        *_data_centre_faults(settings),
        *_peer_secret_faults(settings),
        *_tls_faults(settings),
        *_stop_faults(settings),
        *_seed_faults(settings),
        *_caller_faults(settings),
    ]


def split_address(address: str) -> tuple[str, int]:
    """Split an address into its parts.

    :param address: IP address and port
    :return: IP address and port
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


def _address_faults(settings: ServeSettings) -> Iterator[Fault]:
    names = ("listen", "peer_listen", "operators_listen", "platform")
    for name in names:
        if not addresses.is_address(getattr(settings, name)):
            yield Fault(name, "give an IPv4 number and a port: 10.0.0.1:8080")
    if settings.peer_listen.startswith("0.0.0.0:"):
        yield Fault(
            "peer_listen",
            "give the IP number that peers can reach, not 0.0.0.0",
        )


def _seed_faults(settings: ServeSettings) -> Iterator[Fault]:
    for seed in settings.seeds:
        data_centre, _, address = seed.partition("/")
        if not (paths.is_name(data_centre) and addresses.is_address(address)):
            yield Fault("seeds", f"write {seed!r} as DATA_CENTRE/IP:PORT")


def _data_centre_faults(settings: ServeSettings) -> Iterator[Fault]:
    if not paths.is_name(settings.data_centre):
        yield Fault("data_centre", "give the data centre's published name")


def _peer_secret_faults(settings: ServeSettings) -> Iterator[Fault]:
    if settings.peer_secret:
        keys = peer_keys.read(settings.peer_secret)
        if isinstance(keys, peer_keys.BadPeerKey):
            yield Fault("peer_secret", keys.remedy)


def _tls_faults(settings: ServeSettings) -> Iterator[Fault]:
    named = (settings.tls_certificate, settings.tls_key)
    if any(named) and not all(named):
        yield Fault("tls_key", "give certificate and key, or neither")
    for name in ("tls_certificate", "tls_key"):
        file = getattr(settings, name)
        if file and not pathlib.Path(file).is_file():
            yield Fault(name, "name a readable PEM file")


def _stop_faults(settings: ServeSettings) -> Iterator[Fault]:
    if settings.stop_notice_seconds < 0:
        yield Fault("stop_notice_seconds", "give zero or more seconds")


def _caller_faults(settings: ServeSettings) -> Iterator[Fault]:
    # Written so that not-a-number is a fault as well.
    for name in ("header_timeout_seconds", "idle_timeout_seconds"):
        if not getattr(settings, name) > 0:
            yield Fault(name, "give more than zero seconds")
    if not settings.memory_mb > 0:
        yield Fault("memory_mb", "give the memory that the process may take")
    if settings.max_fds < 0:
        yield Fault("max_fds", "give a count of descriptors, or 0")


__all__ = [
    "Fault",
    "ServeSettings",
    "faults",
    "split_address",
]

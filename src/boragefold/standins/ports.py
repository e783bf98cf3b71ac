"""Free ports on loopback, for stand-ins and the demonstration."""

from __future__ import annotations

import itertools
import random
import socket

HOST = "127.0.0.1"
# Below the ephemeral ports: one from there may be taken by an outgoing
# connection at any moment.
LOWEST_PORT = 20_000
HIGHEST_PORT = 32_000

_ports = itertools.cycle(range(LOWEST_PORT, HIGHEST_PORT))
_first = random.SystemRandom().randrange(HIGHEST_PORT - LOWEST_PORT)
next(itertools.islice(_ports, _first, _first), None)


def free_address() -> str:
    """Find a port that nobody listens on; each call gives another one.

    :return: IP number and port
    """
    return next(f"{HOST}:{port}" for port in _ports if _is_free(port))


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((HOST, port))
        except OSError:
            return False
    return True


__all__ = [
    "free_address",
]

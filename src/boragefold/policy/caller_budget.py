"""How much of an instance's memory and descriptors its callers may take.

Load pattern: crowds of callers whose bodies, heads and connections are each
inside the published limits and together fit into no machine.
"""

from __future__ import annotations

from typing import NamedTuple

MEGABYTE = 1_048_576
DEFAULT_MEMORY_MB = 512.0
DEFAULT_FDS = 4_096
# What a process takes without callers, with the fleet's state.
PROCESS_MB = 48.0
# The other half covers what the allocator can't return.
CALLERS_PART = 0.5
MIN_MEMORY_BYTES = 8 * MEGABYTE
# The rest is left to small requests.
LARGE_PART = 0.75
# A request above this competes for room with the other large ones.
SMALL_REQUEST_BYTES = 65_536
# Answers that aren't read may take this part before each is held back.
UNSENT_PART = 0.25
FILE_DESCRIPTORS = 200
# The rest is left to endpoints, peers and the store.
CALLER_CONNECTIONS_PART = 0.6
MIN_CONNECTIONS = 16
# Peers' tunnels take two descriptors each of what is left.
TUNNELS_PART = 1 / 3
MAX_TUNNELS = 512


class MachineLimits(NamedTuple):
    """What a process may take at most, of memory and of descriptors."""

    memory_mb: float
    max_fds: int


class CallerBudget(NamedTuple):
    """What callers may take of it together.

    ``large_bytes`` is the part of ``memory_bytes`` open to requests larger
    than ``SMALL_REQUEST_BYTES``.
    """

    memory_bytes: int
    large_bytes: int
    connections: int
    tunnels: int

    @property
    def unsent_bytes(self) -> int:
        """Return what answers that aren't read may take of it.

        :return: bytes, above which each connection may hold less
        """
        return int(self.memory_bytes * UNSENT_PART)

    def with_room_for(self, body_bytes: int) -> CallerBudget:
        """Return a budget that one body fits into.

        :param body_bytes: the published limit of a body
        :return: the budget, widened if the body needs that
        """
        if body_bytes <= self.large_bytes:
            return self
        small_bytes = self.memory_bytes - self.large_bytes
        return self._replace(
            memory_bytes=body_bytes + small_bytes, large_bytes=body_bytes
        )


def derive(limits: MachineLimits) -> CallerBudget:
    """Divide what a process may take.

    :param limits: of the process
    :return: the callers' part
    """
    free_mb = max(0.0, limits.memory_mb - PROCESS_MB)
    memory_bytes = max(
        MIN_MEMORY_BYTES, int(free_mb * MEGABYTE * CALLERS_PART)
    )
    sockets = max(0, limits.max_fds - FILE_DESCRIPTORS)
    connections = max(MIN_CONNECTIONS, int(sockets * CALLER_CONNECTIONS_PART))
    tunnels = max(1, int((sockets - connections) * TUNNELS_PART))
    return CallerBudget(
        memory_bytes=memory_bytes,
        large_bytes=int(memory_bytes * LARGE_PART),
        connections=connections,
        tunnels=min(MAX_TUNNELS, tunnels),
    )


__all__ = [
    "CallerBudget",
    "DEFAULT_FDS",
    "DEFAULT_MEMORY_MB",
    "MAX_TUNNELS",
    "MEGABYTE",
    "MachineLimits",
    "SMALL_REQUEST_BYTES",
    "derive",
]

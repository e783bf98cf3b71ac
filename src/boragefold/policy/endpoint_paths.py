"""Decides over which path connections to an endpoint are opened.

Load pattern: some instances are partitioned from endpoints that all others
reach. To an instance that judges alone this looks like the failure of each
endpoint, and it refuses its callers although its peers serve theirs. Here the
word of the peers tells the two apart: an endpoint that none of them reaches
is down; one that a peer reaches is cut off from this instance only, and
connections to it are opened through that peer until the direct path works.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
import dataclasses
import enum
import math

import xxhash

from boragefold.protocol import paths

# A direct path that was tried in vain may work again a moment later.
MAX_DIRECT_TRIES = 2
# Each costs the time that a connection takes to open, or fail.
MAX_TRIES = 5
# Two packets in a row are seldom lost.
CERTAIN_FAILURES = 2
# A peer whose tunnel failed lately is used when no other is there.
PEER_FAILURE_SECONDS = 3.0
# The pause between two inquiries about an endpoint that nobody reaches.
MIN_INQUIRY_SECONDS = 0.5
MAX_INQUIRY_SECONDS = 4.0


class Reach(enum.Enum):
    """What is known of the direct path to an endpoint.

    ``SUSPECTED`` lasts until peers have told whether they reach it.
    """

    REACHED = "reached"
    SUSPECTED = "suspected"
    CUT_OFF = "cut_off"
    DOWN = "down"


@dataclasses.dataclass(kw_only=True)
class EndpointPaths:
    """The paths to one endpoint whose direct path failed.

    ``tunnels`` are by peer, for the peers that reach the endpoint.
    ``failures`` counts the direct connections that failed after a peer had
    reached the endpoint.
    """

    reach: Reach
    since_seconds: float
    failures: int = 0
    tunnels: dict[str, paths.Path] = dataclasses.field(default_factory=dict)
    inquired_at_seconds: float = -math.inf
    inquiry_pause_seconds: float = MIN_INQUIRY_SECONDS


class PathChoice:
    """Knows which endpoints aren't reached directly, and chooses paths."""

    def __init__(
        self,
        *,
        self_address: str,
        is_near: Callable[[str], bool],
        staying_peers: Callable[[], Collection[str]],
    ) -> None:
        """Begin with all endpoints reached.

        :param self_address: of this instance; spreads instances over peers
        :param is_near: whether the peer at an address is in the data centre
            of this instance
        :param staying_peers: lists the addresses of the peers that are alive
            and don't leave
        """
        self._self_address = self_address
        self._is_near = is_near
        self._staying_peers = staying_peers
        self._endpoints: dict[str, EndpointPaths] = {}
        self._peer_failed_at_seconds: dict[str, float] = {}

    def reach(self, endpoint: str) -> Reach:
        """Return what is known of the direct path to an endpoint.

        :param endpoint: name of the endpoint
        :return: ``REACHED`` unless connections failed
        """
        known = self._endpoints.get(endpoint)
        return Reach.REACHED if known is None else known.reach

    def is_cut_off(self, endpoint: str) -> bool:
        """Tell whether only peers reach an endpoint, for certain.

        Lost packets and a pause of the endpoint are no partition.

        :param endpoint: its name
        :return: whether direct connections went on failing after a peer had
            reached it
        """
        known = self._endpoints.get(endpoint)
        return (
            known is not None
            and known.reach is Reach.CUT_OFF
            and known.failures >= CERTAIN_FAILURES
        )

    def not_reached(self) -> list[str]:
        """List the endpoints whose direct path failed.

        :return: their names
        """
        return list(self._endpoints)

    def since_seconds(self, endpoint: str) -> float:
        """Return when an endpoint's direct path was found to fail.

        :param endpoint: one that isn't reached
        :return: reading of the process clock
        """
        return self._endpoints[endpoint].since_seconds

    def is_staying(self, peer: str) -> bool:
        """Tell whether a peer can be used.

        :param peer: its address
        :return: whether it is alive and doesn't leave
        """
        return peer in self._staying_peers()

    def choose(
        self, endpoint: str, *, tried: tuple[str, ...], now_seconds: float
    ) -> paths.Path | None:
        """Choose the path of a new connection.

        :param endpoint: name of the endpoint
        :param tried: peers of the paths that failed for the same request
        :param now_seconds: reading of the process clock
        :return: the path, None if none is known to work
        """
        if len(tried) >= MAX_TRIES:
            return None
        known = self._endpoints.get(endpoint)
        if known is None:
            tries = tried.count(paths.DIRECT.peer)
            return paths.DIRECT if tries < MAX_DIRECT_TRIES else None
        return min(
            (path for path in self._usable(known) if path.peer not in tried),
            key=lambda path: self._rank(endpoint, path.peer, now_seconds),
            default=None,
        )

    def record_failed(
        self, endpoint: str, path: paths.Path, *, now_seconds: float
    ) -> bool:
        """Record that a connection could not be opened.

        :param endpoint: name of the endpoint
        :param path: how it was tried
        :param now_seconds: reading of the process clock
        :return: whether peers are to be asked now
        """
        known = self._endpoints.get(endpoint)
        if path.peer:
            self._peer_failed_at_seconds[path.peer] = now_seconds
            if known is None:
                return False
            known.tunnels.pop(path.peer, None)
            if known.reach is not Reach.CUT_OFF or known.tunnels:
                return False
            known.reach = Reach.SUSPECTED
            return True
        if known is not None:
            known.failures += known.reach is Reach.CUT_OFF
            return False
        self._endpoints[endpoint] = EndpointPaths(
            reach=Reach.SUSPECTED, since_seconds=now_seconds
        )
        return True

    def record_opened(self, endpoint: str) -> bool:
        """Record that a direct connection was opened.

        :param endpoint: name of the endpoint
        :return: whether its direct path counted as failed until now
        """
        return self._endpoints.pop(endpoint, None) is not None

    def record_reaching(self, endpoint: str, path: paths.Path) -> bool:
        """Record that a peer reaches an endpoint.

        :param endpoint: name of the endpoint
        :param path: the peer's tunnel
        :return: whether the endpoint counts as cut off only now
        """
        known = self._endpoints.get(endpoint)
        if known is None:
            return False
        known.tunnels[path.peer] = path
        changed = known.reach is not Reach.CUT_OFF
        known.reach = Reach.CUT_OFF
        known.inquiry_pause_seconds = MIN_INQUIRY_SECONDS
        return changed

    def record_inquiry_end(self, endpoint: str) -> bool:
        """Record that no more peers will be asked about an endpoint.

        :param endpoint: name of the endpoint
        :return: whether the endpoint counts as down only now
        """
        known = self._endpoints.get(endpoint)
        if known is None or self._usable(known):
            return False
        changed = known.reach is not Reach.DOWN
        known.reach = Reach.DOWN
        return changed

    def is_inquiry_due(self, endpoint: str, *, now_seconds: float) -> bool:
        """Tell whether to ask peers again about an endpoint.

        :param endpoint: name of the endpoint
        :param now_seconds: reading of the process clock
        :return: whether no peer is known that reaches it, and the pause since
            the last inquiry is over
        """
        known = self._endpoints.get(endpoint)
        if known is None or self._usable(known):
            return False
        pause_seconds = now_seconds - known.inquired_at_seconds
        return pause_seconds >= known.inquiry_pause_seconds

    def record_inquiry(self, endpoint: str, *, now_seconds: float) -> None:
        """Record that peers are asked about an endpoint.

        :param endpoint: name of the endpoint
        :param now_seconds: reading of the process clock
        """
        known = self._endpoints.get(endpoint)
        if known is not None:
            known.inquired_at_seconds = now_seconds
            known.inquiry_pause_seconds = min(
                MAX_INQUIRY_SECONDS, 2.0 * known.inquiry_pause_seconds
            )

    def drop(self, endpoint: str) -> None:
        """Forget an endpoint that is no longer listed.

        :param endpoint: its name
        """
        self._endpoints.pop(endpoint, None)

    def _usable(self, known: EndpointPaths) -> list[paths.Path]:
        staying = self._staying_peers()
        return [
            path for peer, path in known.tunnels.items() if peer in staying
        ]

    def _rank(
        self, endpoint: str, peer: str, now_seconds: float
    ) -> tuple[bool, bool, int]:
        failed_at_seconds = self._peer_failed_at_seconds.get(peer, -math.inf)
        failed = now_seconds - failed_at_seconds < PEER_FAILURE_SECONDS
        # Each pair of instance and endpoint prefers another peer, so that
        # none carries all, and keeps to it, so that connections are reused.
        text = "\0".join((endpoint, peer, self._self_address))
        preference = xxhash.xxh3_64_intdigest(text.encode())
        return failed, not self._is_near(peer), preference


__all__ = [
    "PathChoice",
    "Reach",
]

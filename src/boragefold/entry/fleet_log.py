"""Logs changes of the endpoints, the deployment and the peers' silence."""

from __future__ import annotations

import collections
from collections.abc import Callable

from boragefold.protocol import ids
from boragefold.state import fleet as fleets
from boragefold.state import published_items
from boragefold.telemetry import counters as telemetry
from boragefold.telemetry import decision_log

# Peers whose state changes together, as in a network partition or a restart,
# share one line.
MAX_PEER_LINES = 8
# The deployment's version, all endpoints, and the endpoints that are draining.
Snapshot = tuple[int | None, frozenset[str], frozenset[str]]


class FleetLog:
    """Logs each change of endpoints or deployment, and silent peers."""

    def __init__(
        self,
        *,
        fleet: fleets.Fleet,
        items: published_items.PublishedItems,
        log: decision_log.DecisionLog,
        counters: telemetry.Counters | None = None,
        now_seconds: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._fleet = fleet
        self._items = items
        self._log = log
        self._counters = counters or telemetry.Counters()
        self._now_seconds = now_seconds
        self._evacuated: dict[str, float] = {}
        self._last_snapshot: Snapshot = (None, frozenset(), frozenset())
        self._silence_changes: list[tuple[ids.InstanceId, bool]] = []

    def log_changes(self) -> None:
        """Log the changes since the last such line, if there are any."""
        self._log_evacuations()
        before, self._last_snapshot = (
            self._last_snapshot,
            self._take_snapshot(),
        )
        if self._last_snapshot == before:
            # The change concerns only adapters that an engine has loaded.
            return
        version, endpoints, leaving = self._last_snapshot
        self._log.write(
            "fleet_changed",
            deployment_version=version,
            joined=sorted(endpoints - before[1]),
            gone=sorted(before[1] - endpoints),
            leaving=sorted(leaving),
            revision=self._items.revision,
        )

    def record_silence(self, peer: ids.InstanceId, silent: bool) -> None:
        """Record that a peer fell silent or was heard again.

        :param peer: the instance whose state changed
        :param silent: whether it is silent now
        """
        self._silence_changes.append((peer, silent))

    def log_silence(self) -> None:
        """Log the recorded peers, many of them in a single line."""
        changes, self._silence_changes = self._silence_changes, []
        for is_silent in (True, False):
            peers = [peer for peer, silent in changes if silent is is_silent]
            event = "peer_silent" if is_silent else "peer_heard"
            if len(peers) > MAX_PEER_LINES:
                self._log.write(
                    event,
                    peers=len(peers),
                    data_centres=collections.Counter(
                        peer.data_centre for peer in peers
                    ),
                    some=[peer.address for peer in peers[:MAX_PEER_LINES]],
                )
                continue
            for peer in peers:
                self._log.write(
                    event, peer=peer.address, data_centre=peer.data_centre
                )

    def _log_evacuations(self) -> None:
        before, self._evacuated = (
            self._evacuated,
            self._fleet.evacuated_data_centres(),
        )
        if self._evacuated.keys() == before.keys():
            return
        self._counters.set_gauge(
            "evacuated_data_centres", len(self._evacuated)
        )
        for data_centre in sorted(self._evacuated.keys() ^ before.keys()):
            began = data_centre in self._evacuated
            since_seconds = (self._evacuated if began else before)[data_centre]
            self._log.write(
                "evacuation_began" if began else "evacuation_ended",
                data_centre=data_centre,
                endpoints=self._fleet.count_endpoints(data_centre),
                seconds_in_force=round(self._now_seconds() - since_seconds, 3),
            )

    def _take_snapshot(self) -> Snapshot:
        current = self._fleet.deployment
        return (
            current and current.version,
            frozenset(self._fleet.names()),
            frozenset(self._fleet.names(leaving=True)),
        )


def describe_evacuations(
    fleet: fleets.Fleet, *, now_seconds: float
) -> list[dict[str, object]]:
    """Describe the evacuations in force for operators.

    :param fleet: the published deployment
    :param now_seconds: reading of the process clock
    :return: data centre, endpoints and seconds in force of each
    """
    return [
        {
            "data_centre": data_centre,
            "endpoints": fleet.count_endpoints(data_centre),
            "seconds_in_force": round(now_seconds - since_seconds, 3),
        }
        for data_centre, since_seconds in sorted(
            fleet.evacuated_data_centres().items()
        )
    ]


__all__ = [
    "FleetLog",
    "describe_evacuations",
]

"""The lines that tell what an instance knows of the fleet."""

from __future__ import annotations

from boragefold.state import fleet as fleets
from boragefold.state import published_items
from boragefold.telemetry import decision_log

# The deployment's version, the endpoints, and those of them that leave.
Known = tuple[int | None, frozenset[str], frozenset[str]]


class FleetLog:
    """Writes a line for each change of endpoints or deployment."""

    def __init__(
        self,
        *,
        fleet: fleets.Fleet,
        items: published_items.PublishedItems,
        log: decision_log.DecisionLog,
    ) -> None:
        self._fleet = fleet
        self._items = items
        self._log = log
        self._logged: Known = (None, frozenset(), frozenset())

    def fleet_changed(self) -> None:
        """Write what has changed since the last line, if anything."""
        before, self._logged = self._logged, self._known()
        if self._logged == before:
            # Only what an engine holds has changed.
            return
        version, endpoints, leaving = self._logged
        self._log.write(
            "fleet_changed",
            deployment_version=version,
            joined=sorted(endpoints - before[1]),
            gone=sorted(before[1] - endpoints),
            leaving=sorted(leaving),
            revision=self._items.revision,
        )

    def _known(self) -> Known:
        current = self._fleet.deployment
        return (
            current and current.version,
            frozenset(self._fleet.names()),
            frozenset(self._fleet.names(leaving=True)),
        )


__all__ = [
    "FleetLog",
]

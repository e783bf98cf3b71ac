"""The published deployment and the endpoints, as now in force here."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import functools

from boragefold.state import deployment as deployments
from boragefold.state import evacuations as evacuations_module

AdapterKey = deployments.AdapterKey
EndpointRecord = deployments.EndpointRecord


class Fleet:
    """What is routed to, and on what terms."""

    def __init__(
        self,
        *,
        evacuations: evacuations_module.Evacuations | None = None,
        age_seconds: Callable[[], float] = lambda: 0.0,
        run: Callable[[Callable[[], None]], object] = lambda callback: (
            callback()
        ),
    ) -> None:
        """Begin without a deployment and endpoints.

        :param evacuations: the data centres that receive nothing; by default
            evacuations come into force at once
        :param age_seconds: returns the time since it was last shown that
            nothing newer is published
        :param run: runs a subscriber, and may keep its errors within it
        """
        self._run = run
        self.age_seconds = age_seconds
        # Without an evacuation in force, the object is false, too.
        self.evacuations = (
            evacuations_module.Evacuations()
            if evacuations is None
            else evacuations
        )
        self.deployment: deployments.Deployment | None = None
        self.versions: dict[AdapterKey, int] = {}
        self._endpoints: dict[str, EndpointRecord] = {}
        self._entry_revisions: dict[str, int] = {}
        # Caches of what follows from the endpoints, reset by each change.
        self._by_service: dict[str, list[EndpointRecord]] | None = None
        self._engines: tuple[EndpointRecord, ...] | None = None
        self._subscribers: list[Callable[[], None]] = []
        self._on_entry: list[Callable[[EndpointRecord], None]] = []

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Be told of each change.

        :param callback: called after a change
        """
        self._subscribers.append(callback)

    def subscribe_entries(
        self, callback: Callable[[EndpointRecord], None]
    ) -> None:
        """Call back for each entry, also for one that changes nothing.

        :param callback: called with the entry after it was applied
        """
        self._on_entry.append(callback)

    def set_deployment(self, deployment: deployments.Deployment) -> bool:
        """Put a version into force.

        :param deployment: all that operators publish
        :return: whether it is newer than the one in force
        """
        if (
            self.deployment is not None
            and deployment.version <= self.deployment.version
        ):
            return False
        self.deployment = deployment
        self._changed()
        return True

    def set_version(self, key: AdapterKey, version: int) -> None:
        """Note a version of an adapter; older ones change nothing.

        :param key: the adapter
        :param version: a version that exists
        """
        if version > self.versions.get(key, 0):
            self.versions[key] = version
            self._changed()

    def set_endpoint(
        self, record: EndpointRecord, *, revision: int = 0
    ) -> None:
        """Take over what an endpoint says of itself.

        :param record: the newest
        :param revision: of the entry that it was read from
        """
        self._entry_revisions[record.name] = revision
        if self._endpoints.get(record.name) != record:
            self._endpoints[record.name] = record
            self._changed()
        for callback in self._on_entry:
            self._run(functools.partial(callback, record))

    def drop_endpoint(self, name: str) -> None:
        """Note that an endpoint is gone.

        :param name: which
        """
        self._entry_revisions.pop(name, None)
        if self._endpoints.pop(name, None) is not None:
            self._changed()

    def set_evacuated(
        self,
        data_centre: str,
        evacuated: bool,
        *,
        changed_at_seconds: float | None = None,
    ) -> None:
        """Begin or end the evacuation of a data centre.

        :param data_centre: which
        :param evacuated: whether its endpoints are to receive nothing more
        :param changed_at_seconds: reading of the process clock when that was
            published; None if unknown
        """
        if self.evacuations.set(data_centre, evacuated, changed_at_seconds):
            self._changed()

    def is_evacuated(
        self, record: EndpointRecord, adapter: AdapterKey | None = None
    ) -> bool:
        """Return whether an endpoint must receive nothing now.

        :param record: the endpoint
        :param adapter: what the request needs; engines hand over their
            adapters one after the other
        :return: whether the evacuation of its data centre is in force
        """
        if not self.evacuations:
            return False
        return self.evacuations.includes(
            record.data_centre,
            adapter if self._has_engines(record.service) else None,
        )

    def is_service_evacuated(self, service: str) -> bool:
        """Return whether endpoints of a service receive nothing for now.

        :param service: its name
        :return: whether one that isn't leaving is in an evacuated data centre
        """
        return any(
            record.service == service
            and not record.leaving
            and self.is_evacuated(record)
            for record in self._endpoints.values()
        )

    def has_data_centre(self, data_centre: str) -> bool:
        """Return whether a data centre exists.

        :param data_centre: its name
        :return: whether the settings or an endpoint name it
        """
        return data_centre in self.evacuations.data_centres or any(
            record.data_centre == data_centre
            for record in self._endpoints.values()
        )

    def evacuated_data_centres(self) -> dict[str, float]:
        """List the evacuated data centres that exist.

        :return: reading of the process clock when this instance learned of
            it, by data centre
        """
        return {
            data_centre: at_seconds
            for data_centre, at_seconds in self.evacuations.in_force().items()
            if self.has_data_centre(data_centre)
        }

    def count_endpoints(self, data_centre: str) -> int:
        """Count the endpoints of a data centre.

        :param data_centre: its name
        :return: a count
        """
        return sum(
            record.data_centre == data_centre
            for record in self._endpoints.values()
        )

    def endpoint(self, name: str) -> EndpointRecord | None:
        """Find an endpoint.

        :param name: which
        :return: its record, or None
        """
        return self._endpoints.get(name)

    def entry_revision(self, name: str) -> int:
        """Return the revision of the entry that is in force for an endpoint.

        :param name: the endpoint
        :return: a revision of the store, 0 if there is no entry
        """
        return self._entry_revisions.get(name, 0)

    def names(self, *, leaving: bool = False) -> Iterator[str]:
        """List the endpoints by name.

        :param leaving: whether to list only those that leave
        :return: names
        """
        return (
            name
            for name, record in self._endpoints.items()
            if record.leaving or not leaving
        )

    def endpoints_of(
        self, service: str, adapter: AdapterKey | None = None
    ) -> Iterator[EndpointRecord]:
        """List the endpoints that a service's requests may go to.

        :param service: the service
        :param adapter: what the request needs, None if it needs none
        :return: those that neither leave nor are evacuated
        """
        records = (
            record
            for record in self._endpoints_by_service().get(service, ())
            if not record.leaving
        )
        if not self.evacuations:
            return records
        closed = self.evacuations.closed(
            adapter if self._has_engines(service) else None
        )
        return (
            record for record in records if record.data_centre not in closed
        )

    def engines(self) -> Iterator[EndpointRecord]:
        """List the endpoints that are engines, leaving ones included.

        :return: records
        """
        if self._engines is None:
            self._engines = tuple(
                record
                for record in self._endpoints.values()
                if self.engine_of(record) is not None
            )
        return iter(self._engines)

    def engine_of(self, record: EndpointRecord) -> deployments.Engine | None:
        """Tell what an endpoint can hold.

        :param record: the endpoint
        :return: None for a plain service, or an unknown one
        """
        if self.deployment is None:
            return None
        service = self.deployment.services.get(record.service)
        return None if service is None else service.engine

    def service_of(self, record: EndpointRecord) -> deployments.Service | None:
        """Find the service of an endpoint.

        :param record: the endpoint
        :return: None for an unknown one
        """
        if self.deployment is None:
            return None
        return self.deployment.services.get(record.service)

    def caller_limits(self) -> deployments.CallerLimits | None:
        """Return the limits for callers.

        :return: those in force, None before the first deployment
        """
        return None if self.deployment is None else self.deployment.limits

    def _endpoints_by_service(self) -> dict[str, list[EndpointRecord]]:
        if self._by_service is None:
            by_service: dict[str, list[EndpointRecord]] = {}
            for record in self._endpoints.values():
                by_service.setdefault(record.service, []).append(record)
            self._by_service = by_service
        return self._by_service

    def _has_engines(self, service: str) -> bool:
        if self.deployment is None:
            return False
        found = self.deployment.services.get(service)
        return found is not None and found.engine is not None

    def _changed(self) -> None:
        self._by_service = None
        self._engines = None
        for callback in self._subscribers:
            self._run(callback)


__all__ = [
    "Fleet",
]

"""The published deployment and the endpoints, as now in force here."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator

from boragefold.state import deployment as deployments

AdapterKey = deployments.AdapterKey
EndpointRecord = deployments.EndpointRecord


class Fleet:
    """What is routed to, and on what terms."""

    def __init__(self) -> None:
        self.deployment: deployments.Deployment | None = None
        self.versions: dict[AdapterKey, int] = {}
        self._endpoints: dict[str, EndpointRecord] = {}
        # Both follow from the endpoints, and are dropped with each change.
        self._by_service: dict[str, list[EndpointRecord]] | None = None
        self._engines: tuple[EndpointRecord, ...] | None = None
        self._subscribers: list[Callable[[], None]] = []

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Be told of each change.

        :param callback: called after a change
        """
        self._subscribers.append(callback)

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

    def set_endpoint(self, record: EndpointRecord) -> None:
        """Take over what an endpoint says of itself.

        :param record: the newest
        """
        if self._endpoints.get(record.name) != record:
            self._endpoints[record.name] = record
            self._changed()

    def drop_endpoint(self, name: str) -> None:
        """Note that an endpoint is gone.

        :param name: which
        """
        if self._endpoints.pop(name, None) is not None:
            self._changed()

    def endpoint(self, name: str) -> EndpointRecord | None:
        """Find an endpoint.

        :param name: which
        :return: its record, or None
        """
        return self._endpoints.get(name)

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

    def endpoints_of(self, service: str) -> Iterator[EndpointRecord]:
        """List the endpoints that a service's requests may go to.

        :param service: the service
        :return: those that are not leaving
        """
        return (
            record
            for record in self._endpoints_by_service().get(service, ())
            if not record.leaving
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

    def _changed(self) -> None:
        self._by_service = None
        self._engines = None
        for callback in self._subscribers:
            callback()


__all__ = [
    "Fleet",
]

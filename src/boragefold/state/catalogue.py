"""What the server asks of the published tree, indexed."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from boragefold.state import adapters
from boragefold.state import documents
from boragefold.state import endpoints
from boragefold.state import keys
from boragefold.state import paths
from boragefold.state import tree as trees
from boragefold.state import workspaces
from boragefold.telemetry import counters as telemetry


class Catalogue:
    """Indexes over a tree, kept up to date change by change."""

    def __init__(
        self, *, tree: trees.Tree, counters: telemetry.Counters
    ) -> None:
        self.keys = keys.KeyIndex(counters=counters)
        self.adapters = adapters.AdapterIndex()
        self.workspaces = workspaces.WorkspaceIndex()
        self.endpoints = endpoints.EndpointIndex()
        self._common: dict[str, Any] = {}
        self._services: dict[str, documents.Service] = {}
        tree.subscribe(self._changed)
        for path, _ in tree:
            self._replace(path, tree.document(path))

    def workspace(self, workspace: str) -> workspaces.WorkspaceSettings | None:
        """Read a workspace's settings, defaults filled in.

        :param workspace: ``team/name``
        :return: the settings, or None
        """
        return self.workspaces.find(workspace)

    def workspace_for_key(self, digest: str) -> str | None:
        """Find the workspace of a granted key.

        :param digest: the SHA-256 of the key, 64 hexadecimal digits
        :return: ``team/name``; None for a key that is unknown or withdrawn,
            or whose workspace does not exist
        """
        workspace = self.keys.workspace(digest)
        known = workspace is not None and self.workspaces.find(workspace)
        return workspace if known else None

    def adapter(
        self, *, workspace: str, name: str
    ) -> adapters.AdapterRecord | None:
        """Find the adapter that a workspace means by a name.

        :param workspace: ``team/name`` of who asks
        :param name: ``name`` in the team's own catalogue, or ``team/name``
        :return: the adapter; None for an unknown one and for one that does
            not allow the workspace, which a caller must not tell apart
        """
        record = self.adapters.find(workspace=workspace, name=name)
        allowed = record is not None and record.allows(workspace)
        return record if allowed else None

    def model(self, name: str) -> documents.Model | None:
        """Read a base model.

        :param name: its name
        :return: the model, or None
        """
        return self.models().get(name)

    def models(self) -> dict[str, documents.Model]:
        """Read the base models.

        :return: models by name
        """
        return self._common.get("models") or {}

    def data_centres(self) -> dict[str, documents.DataCentre]:
        """Read the data centres and their weights.

        :return: data centres by name
        """
        return self._common.get("data_centres") or {}

    def store(self) -> documents.Store | None:
        """Read the limits of the weight store.

        :return: the limits, or None when none are published
        """
        return self._common.get("store")

    def service(self, name: str) -> documents.Service | None:
        """Read a plain service.

        :param name: its name
        :return: the service, or None
        """
        return self._services.get(name)

    def services(self) -> dict[str, documents.Service]:
        """Read the plain services.

        :return: services by name
        """
        return dict(self._services)

    def route(
        self, *, service: str, method: str, path: str
    ) -> documents.Route | None:
        """Find a call of a plain service.

        :param service: the service's name
        :param method: such as ``POST``
        :param path: the path, as published
        :return: the route, or None
        """
        found = self._services.get(service)
        if found is None:
            return None
        return next(
            (
                route
                for route in found["routes"]
                if (route["method"], route["path"]) == (method, path)
            ),
            None,
        )

    def subscribe_withdrawn(self, callback: Callable[[str], None]) -> None:
        """Be told of each key that has stopped working.

        :param callback: called with the digest, 64 hexadecimal digits
        """
        self.keys.subscribe(callback)

    def subscribe_leaving(
        self, callback: Callable[[endpoints.EndpointRecord], None]
    ) -> None:
        """Be told of each endpoint that has begun to leave.

        :param callback: called with the endpoint
        """
        self.endpoints.subscribe(callback)

    def _changed(self, change: trees.Change) -> None:
        self._replace(change.path, change.document)

    def _replace(self, path: str, document: Any | None) -> None:
        match paths.parse(path):
            case paths.TreePath("endpoints", data_centre):
                self.endpoints.replace(
                    data_centre=data_centre, document=document
                )
            case paths.TreePath("services", name):
                self._replace_service(name, document)
            case paths.TreePath("workspaces", team):
                self._replace_workspaces(team, document)
            case paths.TreePath("keys", team):
                self.keys.replace(team=team, document=document)
            case paths.TreePath("adapters", team, part):
                self.adapters.replace(team=team, part=part, document=document)
            case paths.TreePath("defaults"):
                self.workspaces.replace_defaults(document)
            case paths.TreePath(kind):
                self._common[kind] = document

    def _replace_workspaces(self, team: str, document: Any | None) -> None:
        for workspace in self.workspaces.replace(team=team, document=document):
            self.keys.withdraw_workspace(workspace)

    def _replace_service(self, name: str, document: Any | None) -> None:
        if document is None:
            self._services.pop(name, None)
        else:
            self._services[name] = document


__all__ = [
    "Catalogue",
]

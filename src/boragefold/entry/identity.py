"""Finds the workspace of a request by its API key."""

from __future__ import annotations

import hashlib
from typing import NamedTuple

from boragefold.protocol import outcome as outcomes
from boragefold.state import catalogue as catalogues
from boragefold.state import workspaces
from boragefold.transport import http_server

BEARER = "bearer "
STATUS_UNAUTHORISED = 401


class Caller(NamedTuple):
    """The sender of a request, with a digest in place of the key."""

    digest: str
    settings: workspaces.WorkspaceSettings


def identify(
    request: http_server.Request, catalogue: catalogues.Catalogue
) -> Caller | outcomes.NotRun:
    """Find the workspace that the request's key belongs to.

    :param request: as received
    :param catalogue: holds the valid keys
    :return: the caller, or the refusal
    """
    authorization = request.headers.get("authorization", "")
    if not authorization.lower().startswith(BEARER):
        return outcomes.NotRun(
            status=STATUS_UNAUTHORISED,
            reason="key_missing",
            remedy="send your key as 'Authorization: Bearer KEY'",
        )
    key = authorization[len(BEARER) :].strip()
    digest = hashlib.sha256(key.encode("latin-1")).hexdigest()
    workspace = catalogue.workspace_for_key(digest)
    settings = None if workspace is None else catalogue.workspace(workspace)
    if settings is None:
        return key_refused()
    return Caller(digest, settings)


def key_refused() -> outcomes.NotRun:
    """Create the refusal for a key that is unknown or has been withdrawn.

    :return: the refusal
    """
    return outcomes.NotRun(
        status=STATUS_UNAUTHORISED,
        reason="key_not_granted",
        remedy="use a key that is granted; ask your operators for one",
    )


__all__ = [
    "Caller",
    "identify",
    "key_refused",
]

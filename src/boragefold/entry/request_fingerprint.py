"""Fingerprints that recognise a request when its caller sends it again."""

from __future__ import annotations

import xxhash

from boragefold.entry import dialect as dialects
from boragefold.state import deployment

# Separates the parts, so that none runs into the next.
SEPARATOR = b"\0"


def compute(
    request: dialects.CallerRequest, workspace: deployment.Workspace | None
) -> int:
    """Hash what a repeated request has in common with the first one.

    A repeat has another id, may arrive at another instance and may carry
    another of its workspace's keys.

    :param request: the caller's request
    :param workspace: the workspace that sent it, None for a public route
    :return: a 64-bit hash of workspace, method, host, path and query, and body
    """
    digest = xxhash.xxh3_64()
    texts = (
        "" if workspace is None else workspace.name,
        request.http.method,
        request.host,
        request.http.target,
    )
    for text in texts:
        digest.update(text.encode("utf-8", "surrogateescape"))
        digest.update(SEPARATOR)
    digest.update(request.http.body)
    return digest.intdigest()


__all__ = [
    "compute",
]

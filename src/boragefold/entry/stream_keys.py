"""What identifies a stream for the instances that keep its origin."""

from __future__ import annotations

import xxhash

from boragefold.state import deployment

# Separates the parts, so that none runs into the next.
SEPARATOR = b"\0"


def compute(
    request_id: str,
    route: deployment.Route,
    workspace: deployment.Workspace | None,
) -> int:
    """Hash a request's ID together with whose it is.

    A caller that names a request of another workspace or route finds nothing.

    :param request_id: ID of the request that brought the first event
    :param route: the route of the request that names it
    :param workspace: its workspace, None for a public route
    :return: a 64-bit hash
    """
    digest = xxhash.xxh3_64()
    texts = (
        "" if workspace is None else workspace.name,
        route.name,
        request_id,
    )
    for text in texts:
        digest.update(text.encode("utf-8", "surrogateescape"))
        digest.update(SEPARATOR)
    return digest.intdigest()


__all__ = [
    "compute",
]

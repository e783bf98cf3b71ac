"""Paths over which an instance opens connections to an endpoint."""

from __future__ import annotations

from typing import NamedTuple


class Path(NamedTuple):
    """A way to open connections to endpoints.

    Without a ``peer`` they are opened directly. Otherwise the peer with this
    address opens them: it accepts ``CONNECT`` at its address ``tunnel``, from
    whoever presents the ``token`` that it issued.
    """

    peer: str = ""
    tunnel: str = ""
    token: str = ""


DIRECT = Path()


__all__ = [
    "DIRECT",
    "Path",
]

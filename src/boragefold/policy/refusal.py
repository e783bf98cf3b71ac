"""What a caller is told when a decision goes against its request.

Load pattern: refused callers come back. Without the reason and a computed
time they come back at once, and their repeats are the next overload.
"""

from __future__ import annotations

import dataclasses

TOO_LARGE = 413
TOO_MANY = 429
UNAVAILABLE = 503


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """The request is not run; no byte of it has left this instance.

    ``reason`` is one of a small fixed set, and is also the reason of the
    counter ``requests_refused``.
    """

    status: int
    reason: str
    remedy: str
    retry_after_seconds: float | None = None
    tag: str = "refused"


__all__ = [
    "Refused",
    "TOO_LARGE",
    "TOO_MANY",
    "UNAVAILABLE",
]

"""The answer to a caller whose request is refused.

Load pattern: refused callers retry. Without a reason and a computed time to
retry after, they retry at once, and their retries are the next overload.
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

"""Divides the rate of a cold endpoint of a plain service among instances.

Load pattern: all instances send to the few endpoints of a plain service, and
a cold one sustains a few requests per second from all of them together. The
instances can't ask each other before each request, and an equal share for each
of many instances would be less than one request. Therefore a few instances
have a share, which all members compute alike.
"""

from __future__ import annotations

from collections.abc import Collection

import xxhash

# With more, each would have less than one request per second at common rates;
# with a single one, the endpoint would get nothing after that fails.
MAX_SENDERS = 3
# An instance that reaches a smaller share of the members sends nothing, since
# others may send instead.
MIN_REACHED_SHARE = 0.5


def share(
    endpoint: str,
    allowed_per_second: float,
    *,
    self_address: str,
    reached: Collection[str],
    known: int,
) -> float:
    """Compute how many requests this instance may send to an endpoint.

    :param endpoint: its name
    :param allowed_per_second: requests of all instances together
    :param self_address: of this instance
    :param reached: addresses of the others that it reaches
    :param known: number of others that it knows
    :return: requests per second; the shares of all instances that reach each
        other add up to the rate, without its fraction if it is one or more
    """
    if allowed_per_second <= 0 or 1 + len(reached) < MIN_REACHED_SHARE * (
        1 + known
    ):
        return 0.0
    whole = int(allowed_per_second)
    own = _rank(endpoint, self_address)
    position = sum(_rank(endpoint, address) < own for address in reached)
    if not whole:
        return 0.0 if position else allowed_per_second
    senders = min(MAX_SENDERS, whole, 1 + len(reached))
    if position >= senders:
        return 0.0
    each, rest = divmod(whole, senders)
    return float(each + (position < rest))


def _rank(endpoint: str, address: str) -> int:
    return xxhash.xxh3_64_intdigest("\0".join((endpoint, address)).encode())


__all__ = [
    "share",
]

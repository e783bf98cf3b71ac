"""Short digests of the adapters in an engine's host memory.

Load pattern: an adapter is requested again after its slot was given to
another. An engine that had it lately loads it from host memory ten times as
fast as from the weight store, but only the instance that schedules the engine
knows this. Unless that instance announces it, the others send the request to
any engine with idle slots, and the store delivers the adapter a second time.
"""

from __future__ import annotations

from collections.abc import Iterable
import functools

import xxhash

from boragefold.state import deployment

# Short, since digests are part of each heartbeat; a collision costs one load.
DIGEST_BITS = 16
# The same copies are announced many times before they change.
DIGEST_CACHE_SIZE = 4_096


@functools.lru_cache(maxsize=DIGEST_CACHE_SIZE)
def digest(key: deployment.AdapterKey) -> int:
    """Compute a short digest of an adapter.

    :param key: the adapter
    :return: a number; a few other adapters have the same
    """
    text = "\0".join(key).encode()
    return xxhash.xxh3_64_intdigest(text) % (1 << DIGEST_BITS)


def digests(keys: Iterable[deployment.AdapterKey]) -> tuple[int, ...]:
    """Compute the digests of the adapters that an engine has copies of.

    :param keys: the adapters
    :return: a digest for each
    """
    return tuple(map(digest, keys))


__all__ = [
    "digest",
    "digests",
]

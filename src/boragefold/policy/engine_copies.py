"""Which adapters engines keep copies of, told in a few bytes.

Load pattern: an adapter is asked for again after its place went to another.
An engine that held it lately loads it from its own memory ten times as fast
as from the store, and only the engine's owner knows. Without a word of it,
others send the request to wherever places are idle, and the store delivers
the adapter a second time.
"""

from __future__ import annotations

from collections.abc import Iterable
import functools

import xxhash

from boragefold.state import deployment

# Short, as it travels with each heartbeat; a collision costs one load.
DIGEST_BITS = 16
# An engine's copies change more slowly than they are told.
REMEMBERED_DIGESTS = 4_096


@functools.lru_cache(maxsize=REMEMBERED_DIGESTS)
def digest(key: deployment.AdapterKey) -> int:
    """Name an adapter briefly.

    :param key: the adapter
    :return: a number that a few other adapters share
    """
    text = "\0".join(key).encode()
    return xxhash.xxh3_64_intdigest(text) % (1 << DIGEST_BITS)


def digests(keys: Iterable[deployment.AdapterKey]) -> tuple[int, ...]:
    """Name the adapters that an engine keeps copies of.

    :param keys: the adapters
    :return: a number for each
    """
    return tuple(map(digest, keys))


__all__ = [
    "digest",
    "digests",
]

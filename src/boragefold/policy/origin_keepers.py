"""Which instances keep the origin of a stream, and which are asked for it.

Load pattern: an instance, or a data centre, ends or is cut off while streams
run through it. All who know the same members choose the same keepers, in
several data centres and in that of the caller; a member that joins or ends
changes them for few streams.
"""

from __future__ import annotations

from collections.abc import Iterable
import itertools

import xxhash

from boragefold.protocol import ids

KEEPERS = 3
# Two, beside the data centre of the instance itself.
OTHER_DATA_CENTRES = 2
# In each data centre: the first may be whoever began the stream.
ASKED_PER_DATA_CENTRE = 2
MAX_ASKED = 6


def choose_keepers(
    key: int, members: Iterable[ids.InstanceId], *, own: ids.InstanceId
) -> list[ids.InstanceId]:
    """Choose who keeps the origin of a stream, beside the instance itself.

    :param key: identifies the stream
    :param members: the other instances
    :param own: the instance through which the stream runs
    :return: at most ``KEEPERS`` of them
    """
    ranked = _rank(key, members)
    return _choose(key, ranked, own=own, per_data_centre=1, most=KEEPERS)


def choose_asked(
    key: int, members: Iterable[ids.InstanceId], *, own: ids.InstanceId
) -> list[ids.InstanceId]:
    """Choose who is asked for the origin of a stream.

    :param key: identifies the stream
    :param members: the other instances
    :param own: the instance at which the stream is taken up
    :return: at most ``MAX_ASKED`` of them, the keepers first
    """
    ranked = _rank(key, members)
    return _choose(
        key,
        ranked,
        own=own,
        per_data_centre=ASKED_PER_DATA_CENTRE,
        most=MAX_ASKED,
    )


def _choose(
    key: int,
    ranked: list[ids.InstanceId],
    *,
    own: ids.InstanceId,
    per_data_centre: int,
    most: int,
) -> list[ids.InstanceId]:
    data_centres = {member.data_centre for member in ranked}
    others = sorted(
        data_centres | {own.data_centre},
        key=lambda name: (_weigh(key, name), name),
        reverse=True,
    )[:OTHER_DATA_CENTRES]
    first = itertools.chain.from_iterable(
        itertools.islice(
            (each for each in ranked if each.data_centre == name),
            per_data_centre,
        )
        for name in dict.fromkeys([own.data_centre, *others])
    )
    return list(dict.fromkeys([*first, *ranked]))[:most]


def _rank(key: int, members: Iterable[ids.InstanceId]) -> list[ids.InstanceId]:
    return sorted(
        members,
        key=lambda member: (_weigh(key, member.address), member.address),
        reverse=True,
    )


def _weigh(key: int, name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode(), seed=key)


__all__ = [
    "KEEPERS",
    "MAX_ASKED",
    "choose_asked",
    "choose_keepers",
]

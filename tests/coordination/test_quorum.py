from __future__ import annotations

import itertools

import pytest

from boragefold.coordination import quorum
from boragefold.coordination import rights
from boragefold.protocol import ids

MEMBERS = tuple(ids.InstanceId("a", f"a-{n}", str(n)) for n in range(7))


def view(count: int, number: int = 2) -> rights.View:
    return rights.View("a", 1, number, MEMBERS[:count])


@pytest.mark.parametrize("count", [1, 2, 3, 4, 5, 6, 7])
def test_two_quorums_always_share_a_voter(count: int) -> None:
    # Two leaders that both find a quorum would decide on two successors of
    # one view.
    voters = quorum.voters_of(view(count))
    subsets = [
        set(chosen)
        for size in range(len(voters) + 1)
        for chosen in itertools.combinations(voters, size)
        if quorum.is_decided(view(count), chosen)
    ]
    assert subsets
    assert all(
        one & other for one, other in itertools.product(subsets, subsets)
    )


def test_the_longest_standing_of_a_pair_is_enough() -> None:
    assert quorum.is_decided(view(2), {MEMBERS[0]})
    assert not quorum.is_decided(view(2), {MEMBERS[1]})


def test_a_founded_view_needs_everyone() -> None:
    founded = view(3, quorum.BOOTSTRAP_NUMBER)
    assert not quorum.is_decided(founded, MEMBERS[:2])
    assert quorum.is_decided(founded, MEMBERS[:3])


def test_without_the_dead_all_others_have_to_agree() -> None:
    dead = {MEMBERS[0]}
    assert not quorum.is_decided(view(5), MEMBERS[1:4], dead)
    assert quorum.is_decided(view(5), MEMBERS[1:5], dead)


@pytest.mark.parametrize(
    ("count", "ends", "until_seconds"),
    [
        (3, (9.0, 5.0, 4.0), 5.0),
        (4, (9.0, 5.0, 4.0, 3.0), 5.0),
        (2, (9.0, 5.0), 7.0),
        (1, (9.0,), 7.0),
    ],
)
def test_promises_bound_the_lead(
    count: int, ends: tuple[float, ...], until_seconds: float
) -> None:
    # With four voters the first needs one more. With two it needs none, but
    # leads only while the list is known to show it (until 7).
    assert (
        quorum.led_until_seconds(
            view(count),
            leader=MEMBERS[0],
            ends=dict(zip(MEMBERS, ends, strict=False)),
            sole_leader_until_seconds=7.0,
        )
        == until_seconds
    )


def test_the_half_vote_is_only_the_first_ones() -> None:
    ends = {MEMBERS[0]: 5.0, MEMBERS[1]: 9.0}
    assert (
        quorum.led_until_seconds(
            view(2),
            leader=MEMBERS[1],
            ends=ends,
            sole_leader_until_seconds=20.0,
        )
        == 5.0
    )

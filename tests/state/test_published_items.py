"""Up to where what an instance knows of the store is complete."""

from __future__ import annotations

import pytest

from boragefold.state import published_items

PREFIX = "servers/"
MANY = 10**6


def item(name, revision, value=b"ready"):
    return published_items.Item(f"{PREFIX}{name}", revision, value)


@pytest.fixture
def items():
    return published_items.PublishedItems(prefixes=[PREFIX, "op/"])


def names_after(items, revision, *, max_bytes=MANY):
    changes = items.changes_after({PREFIX: revision}, max_bytes=max_bytes)
    return [each.key.removeprefix(PREFIX) for each in changes.items]


def test_a_later_page_of_a_listing_hides_no_change_before_it(items) -> None:
    # Endpoint a was marked at 105, between the pages of 100 and 108.
    items.replace([item("a", 90), item("x", 108)], prefix=PREFIX, revision=100)
    assert items.lacks({PREFIX: 105})
    assert items.lacks({PREFIX: 108})
    assert items.told == {PREFIX: 90}
    assert not list(state for state in items.states() if state[0] == PREFIX)


def test_what_a_later_page_showed_counts_once_the_gap_is_read(items) -> None:
    items.replace([item("a", 90), item("x", 108)], prefix=PREFIX, revision=100)
    items.take(
        [item("a", 105, b"leaving")],
        prefix=PREFIX,
        after_revision=100,
        revision=110,
    )
    assert items.told == {PREFIX: 108}
    assert not items.lacks({PREFIX: 110})


def test_changes_behind_a_gap_are_used_and_prove_nothing(items) -> None:
    items.take([item("a", 5)], prefix=PREFIX, revision=5)
    items.take([item("b", 9)], prefix=PREFIX, after_revision=7, revision=9)
    assert len(list(items.below(PREFIX))) == 2
    assert items.complete == {PREFIX: 5}
    assert items.lacks({PREFIX: 6})


def test_a_change_and_its_reversal_within_a_gap_reach_the_others() -> None:
    # A peer learned of the mark before the history was lost, and of nothing
    # after it.
    items = published_items.PublishedItems(
        matters=lambda old, new: old is None or old.value != new.value,
        prefixes=[PREFIX],
    )
    items.take([item("a", 5)], prefix=PREFIX, revision=5)
    items.replace([item("a", 9), item("b", 10)], prefix=PREFIX, revision=10)
    assert names_after(items, 7) == ["a", "b"]


def test_a_bounded_answer_is_complete_up_to_its_last_change(items) -> None:
    items.take(
        [item(name, number) for number, name in enumerate("abcd", 1)],
        prefix=PREFIX,
        revision=4,
    )
    size = len(b"ready")
    first = items.changes_after({}, max_bytes=2 * size)
    assert [each.revision for each in first.items] == [1, 2]
    other = published_items.PublishedItems(prefixes=[PREFIX, "op/"])
    other.receive(first.items, told=first.told)
    assert other.complete == {PREFIX: 2}
    assert other.lacks(items.told)
    # One that is larger by itself goes alone.
    assert names_after(items, 2, max_bytes=1) == ["c"]


def test_changes_of_one_revision_stay_together(items) -> None:
    # The removals that a listing shows bear the revision of its first page.
    items.take([item("a", 1), item("b", 2)], prefix=PREFIX, revision=2)
    items.replace([item("c", 9), item("z", 8)], prefix=PREFIX, revision=8)
    assert names_after(items, 2, max_bytes=0) == ["a", "b", "z"]


def test_the_order_of_events_within_an_answer_doesnt_matter(items) -> None:
    events = [item("a", 6, b"leaving"), item("a", 5)]
    items.take(events, prefix=PREFIX, revision=6)
    assert [each.value for each in items.below(PREFIX)] == [b"leaving"]


def test_what_is_read_of_one_prefix_completes_no_other(items) -> None:
    items.take([item("a", 5)], prefix=PREFIX, revision=5)
    assert not items.is_complete()
    assert items.lacks({"op/": 1})
    items.replace([], prefix="op/", revision=6)
    assert items.is_complete()

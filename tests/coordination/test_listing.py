from __future__ import annotations

from boragefold.coordination import instance_list as instance_lists
from boragefold.protocol import ids

SELF = ids.InstanceId("a", "a-0", "0")


def entries(*names: str) -> list[instance_lists.ListEntry]:
    return [instance_lists.ListEntry(name, name[0], "live") for name in names]


def test_an_instance_that_a_copy_lacks_is_not_gone() -> None:
    # A newer copy of the list contains an instance, and the next read returns
    # an older copy without it. The instance is alive.
    instance_list = instance_lists.InstanceList(self_id=SELF)
    instance_list.update(entries("a-0", "a-1"), 0.0)
    for second in range(1, 6):
        instance_list.update(entries("a-0"), float(second))
    assert not instance_list.is_removed("a-1", 0.0, 5.0)


def test_an_instance_shown_for_long_is_gone_when_dropped() -> None:
    instance_list = instance_lists.InstanceList(self_id=SELF)
    for second in range(12):
        instance_list.update(entries("a-0", "a-1"), float(second))
    for second in range(12, 16):
        instance_list.update(entries("a-0"), float(second))
        assert instance_list.is_removed("a-1", 0.0, float(second)) == (
            second >= 15
        )


def test_a_list_that_is_not_fresh_proves_nothing() -> None:
    # The platform fails just after the list has dropped an instance.
    instance_list = instance_lists.InstanceList(self_id=SELF)
    for second in range(12):
        instance_list.update(entries("a-0", "a-1"), float(second))
    instance_list.update(entries("a-0"), 12.0)
    assert not instance_list.is_removed("a-1", 0.0, 60.0)


def test_one_dropped_a_moment_ago_is_still_asked() -> None:
    # Its own copy of the list may still show it and so let it lead alone.
    instance_list = instance_lists.InstanceList(self_id=SELF)
    instance_list.update(entries("a-0", "a-1", "b-0"), 0.0)
    instance_list.update(entries("a-0", "b-0"), 1.0)
    assert instance_list.peers(1.5) == ("a-1",)
    assert instance_list.peers(4.0) == ()
    assert instance_list.other_data_centres() == {"b": ("b-0",)}


def test_steady_means_shown_without_a_gap() -> None:
    instance_list = instance_lists.InstanceList(self_id=SELF)
    for second in range(4):
        instance_list.update(entries("a-0"), float(second))
    assert instance_list.is_steady(3.0)
    instance_list.update(entries("a-1"), 4.0)
    assert not instance_list.is_steady(4.0)
    instance_list.update(entries("a-0"), 5.0)
    assert not instance_list.is_steady(5.0)

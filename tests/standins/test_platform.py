from __future__ import annotations

from boragefold.protocol import platform_api
from boragefold.standins import platform as platforms
from boragefold.timing import clock as clocks


def make() -> tuple[platforms.Platform, clocks.VirtualClock]:
    clock = clocks.VirtualClock()
    return platforms.Platform(now_seconds=clock.now_seconds), clock


def test_a_watch_tells_the_newest_value_of_what_changed() -> None:
    platform, _ = make()
    platform.put("a", 1)
    after = platform.put("b", 1)
    platform.put("a", 2)
    platform.delete("b")
    result = platform.peek(after)
    assert result.revision == 4
    assert result.changes == (
        platform_api.PublishedChange("a", 3, b"2"),
        platform_api.PublishedChange("b", 4, None),
    )
    assert platform_api.decode_tree(platform_api.encode_tree(result)) == result


def test_a_lagging_copy_shows_an_older_tree_and_list() -> None:
    platform, clock = make()
    listed = platform_api.ListedInstance("10.0.0.1:1", "e", "entry", "live")
    platform.put("a", 1)
    clock.move_to(10.0)
    platform.put("a", 2)
    platform.put_list([listed])
    platform.faults = platforms.Faults(lag_seconds=5, list_lag_seconds=5)
    assert platform.peek(0).changes[0].data == b"1"
    assert platform.list_instances().instances == ()
    clock.move_to(15.0)
    assert platform.peek(0).changes[0].data == b"2"
    listing = platform.list_instances()
    assert listing.instances == (listed,)
    assert (
        platform_api.decode_list(platform_api.encode_list(listing)) == listing
    )


def test_a_restored_backup_uses_revisions_again() -> None:
    platform, _ = make()
    platform.put("a", 1)
    backup = platform.snapshot()
    platform.put("a", 2)
    platform.restore(backup)
    assert platforms.is_news(platform.peek(2), 2)
    assert platform.put("a", 3) == 2


def test_calls_over_the_limit_are_refused() -> None:
    platform, clock = make()
    failures = [platform.count_call() for _ in range(2001)]
    assert failures.count(None) == 2000
    clock.move_to(1.0)
    assert platform.count_call() is None
    assert platform.peak_calls_per_second() == 2001

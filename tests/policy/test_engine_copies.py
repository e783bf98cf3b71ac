from __future__ import annotations

from boragefold.policy import adapter_digests
from boragefold.policy import engine_ranking
from tests.fakes import engine_loads
from tests.fakes import engine_views

NAMES = engine_views.NAMES
view = engine_views.view


def test_an_engine_with_a_copy_of_the_adapter_ranks_first() -> None:
    # The adapter was loaded away from its first engine during a peak and
    # evicted since. The first engine would load it from the store once more;
    # the one that had it lately loads it from host memory ten times as fast.
    key = engine_loads.key("a1")
    ranked = engine_ranking.rank(key, map(view, NAMES))
    copies = frozenset(adapter_digests.digests([key]))
    views = [
        view(
            name,
            host_memory_digests=copies
            if name == ranked[2].name
            else frozenset(),
        )
        for name in NAMES
    ]
    assert engine_ranking.rank(key, views)[0].name == ranked[2].name


def test_few_of_many_adapters_share_a_digest() -> None:
    # Each engine announces about sixty digests. A shared one costs a load.
    announced = adapter_digests.digests(
        engine_loads.key(f"a{number}") for number in range(60)
    )
    collisions = sum(
        adapter_digests.digest(engine_loads.key(f"b{number}")) in announced
        for number in range(18_000)
    )
    assert collisions <= 18_000 / 200

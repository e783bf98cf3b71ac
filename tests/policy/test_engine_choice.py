from __future__ import annotations

import collections
import itertools
import random

from hypothesis import given
from hypothesis import strategies
import xxhash

from boragefold.policy import adapter_digests
from boragefold.policy import engine_ranking
from boragefold.policy import load_times
from tests.fakes import engine_loads
from tests.fakes import engine_views

NAMES = engine_views.NAMES
view = engine_views.view


def best(key, views):
    return engine_ranking.rank(key, views)[0].name


def test_adapters_spread_evenly_over_engines() -> None:
    preferred_counts = collections.Counter(
        best(engine_loads.key(f"a{number}"), map(view, NAMES))
        for number in range(900)
    )
    assert set(preferred_counts) == set(NAMES)
    assert max(preferred_counts.values()) < 2 * min(preferred_counts.values())


def test_removing_an_engine_moves_only_its_own_adapters() -> None:
    keys = [engine_loads.key(f"a{number}") for number in range(300)]
    before = {key: best(key, map(view, NAMES)) for key in keys}
    after = {key: best(key, map(view, NAMES[1:])) for key in keys}
    moved = [key for key in keys if before[key] != after[key]]
    assert all(before[key] == NAMES[0] for key in moved)


def test_an_engine_with_the_adapter_loaded_ranks_first() -> None:
    key = engine_loads.key("a1")
    preferred = best(key, map(view, NAMES))
    second = engine_ranking.rank(key, map(view, NAMES))[1].name
    views = [
        view(name, held=frozenset({key}) if name == second else frozenset())
        for name in NAMES
    ]
    assert preferred != second
    assert best(key, views) == second


def test_a_long_backlog_ranks_another_engine_first() -> None:
    key = engine_loads.key("a1")
    preferred = best(key, map(view, NAMES))
    views = [
        view(name, backlog_seconds=0.6 if name == preferred else 0.0)
        for name in NAMES
    ]
    assert best(key, views) != preferred


def test_an_engine_that_fails_requests_doesnt_rank_first() -> None:
    key = engine_loads.key("a1")
    preferred = best(key, map(view, NAMES))
    views = [
        view(name, health=0.4 if name == preferred else 1.0) for name in NAMES
    ]
    assert best(key, views) != preferred


def test_an_unscheduled_engine_serves_only_loaded_adapters() -> None:
    key = engine_loads.key("a1")
    lone = view("one", scheduled=False)
    assert not engine_ranking.rank(key, [lone])
    holding = lone._replace(held=frozenset({key}))
    assert engine_ranking.rank(key, [holding])
    base = engine_loads.key("")
    assert engine_ranking.rank(base, [lone])


def test_an_engine_with_another_model_is_excluded() -> None:
    other = view("one", models=frozenset({"other"}))
    assert not engine_ranking.rank(engine_loads.key("a1"), [other])


def reference_rank(key, views):
    """Compute the rank of each engine by itself, without caches."""
    able = [
        view
        for view in views
        if (not view.models or key.model in view.models)
        and (view.scheduled or key in view.held)
    ]
    ordered = sorted(
        able,
        key=lambda view: xxhash.xxh3_64_intdigest(
            "\0".join((*key, view.name)).encode()
        ),
    )
    costs = []
    for position, view in enumerate(ordered):
        seconds = view.backlog_seconds + (
            0.0 if view.is_local else engine_ranking.REMOTE_SECONDS
        )
        seconds += engine_ranking.UNHEALTHY_SECONDS * (1.0 - view.health)
        seconds += (
            0.0 if view.scheduled else engine_ranking.UNSCHEDULED_SECONDS
        )
        if key.model not in view.models:
            seconds += engine_ranking.MODEL_LOAD_SECONDS
        seconds += engine_ranking.ORDER_STEP_SECONDS * min(
            position, engine_ranking.MAX_COSTED_POSITIONS
        )
        if key not in view.held:
            is_warm = adapter_digests.digest(key) in view.host_memory_digests
            load_seconds = (
                load_times.WARM_LOAD_SECONDS
                if is_warm
                else load_times.COLD_LOAD_SECONDS
            )
            seconds += load_seconds + view.slot_wait_seconds
            seconds += view.orders_in_seconds
        costs.append((seconds, position, view))
    return [view for _, _, view in sorted(costs, key=lambda one: one[:2])]


@given(strategies.integers(min_value=0), strategies.integers(1, 70))
def test_caches_dont_change_the_ranking(seed, count) -> None:
    # A cached order of engines must not be used for another set of engines.
    rng = random.Random(seed)
    key = engine_loads.key(f"a{rng.randrange(3)}")
    digest = adapter_digests.digest(key)
    views = [
        view(
            f"engine-{number}",
            is_local=rng.random() < 0.3,
            scheduled=rng.random() < 0.9,
            held=frozenset({key} if rng.random() < 0.1 else ()),
            models=frozenset(
                rng.choice([("base",), ("base",), (), ("other",)])
            ),
            backlog_seconds=rng.choice([0.0, 0.0, 0.1, rng.random()]),
            slot_wait_seconds=rng.choice([0.0, 0.5]),
            health=rng.choice([1.0, 1.0, 0.9]),
            orders_in_seconds=rng.choice([0.0, 0.0, 2.0]),
            host_memory_digests=frozenset(
                {digest} if rng.random() < 0.1 else ()
            ),
        )
        for number in rng.sample(range(100), count)
    ]
    rounded = [
        (one.name, other.name)
        for one, other in itertools.zip_longest(
            engine_ranking.rank(key, views), reference_rank(key, views)
        )
    ]
    assert all(one == other for one, other in rounded)


def test_requests_refused_by_an_adapters_order_dont_all_meet_again() -> None:
    # Guards against refusals while most engines are idle: a burst of one
    # adapter fills the first engines of its order at all instances.
    key = engine_loads.key("a1")
    names = [f"engine-{number}" for number in range(40)]
    idle = [
        view(name, backlog_seconds=1.0 if index % 4 == 0 else 0.0)
        for index, name in enumerate(names)
    ]
    chosen = collections.Counter(
        engine_ranking.choose_outside(key, idle, request_id=f"r{number}").name
        for number in range(400)
    )
    assert max(chosen.values()) < 400 * 4 / len(names)
    overloaded = sum(chosen[name] for name in names[::4])
    assert overloaded < 400 / 100


def test_nothing_is_chosen_where_no_engine_is_left() -> None:
    key = engine_loads.key("a1")
    assert engine_ranking.choose_outside(key, [], request_id="r1") is None

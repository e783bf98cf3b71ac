from __future__ import annotations

import collections
import itertools
import random

from hypothesis import given
from hypothesis import strategies
import xxhash

from boragefold.policy import engine_choice
from boragefold.policy import engine_copies
from boragefold.policy import load_times
from tests.fakes import engine_loads
from tests.fakes import engine_views

NAMES = engine_views.NAMES
view = engine_views.view


def best(key, views):
    return engine_choice.rank(key, views)[0].name


def test_each_adapter_has_a_home_of_its_own() -> None:
    homes = collections.Counter(
        best(engine_loads.key(f"a{number}"), map(view, NAMES))
        for number in range(900)
    )
    assert set(homes) == set(NAMES)
    assert max(homes.values()) < 2 * min(homes.values())


def test_an_engine_that_leaves_moves_only_its_own_adapters() -> None:
    keys = [engine_loads.key(f"a{number}") for number in range(300)]
    before = {key: best(key, map(view, NAMES)) for key in keys}
    after = {key: best(key, map(view, NAMES[1:])) for key in keys}
    moved = [key for key in keys if before[key] != after[key]]
    assert all(before[key] == NAMES[0] for key in moved)


def test_an_engine_that_holds_the_adapter_goes_before_its_home() -> None:
    key = engine_loads.key("a1")
    home = best(key, map(view, NAMES))
    second = engine_choice.rank(key, map(view, NAMES))[1].name
    views = [
        view(name, held=frozenset({key}) if name == second else frozenset())
        for name in NAMES
    ]
    assert home != second
    assert best(key, views) == second


def test_a_backlog_at_home_is_left_for_another_engine() -> None:
    key = engine_loads.key("a1")
    home = best(key, map(view, NAMES))
    views = [
        view(name, backlog_seconds=0.6 if name == home else 0.0)
        for name in NAMES
    ]
    assert best(key, views) != home


def test_an_engine_that_fails_its_requests_is_passed_over() -> None:
    key = engine_loads.key("a1")
    home = best(key, map(view, NAMES))
    views = [view(name, health=0.4 if name == home else 1.0) for name in NAMES]
    assert best(key, views) != home


def test_without_an_owner_only_what_is_held_can_be_used() -> None:
    key = engine_loads.key("a1")
    lone = view("one", scheduled=False)
    assert not engine_choice.rank(key, [lone])
    holding = lone._replace(held=frozenset({key}))
    assert engine_choice.rank(key, [holding])
    base = engine_loads.key("")
    assert engine_choice.rank(base, [lone])


def test_an_engine_with_another_model_is_none() -> None:
    other = view("one", models=frozenset({"other"}))
    assert not engine_choice.rank(engine_loads.key("a1"), [other])


def plain_rank(key, views):
    """Compute the rank of each engine by itself, without caches."""
    able = [
        view
        for view in views
        if (not view.models or key.model in view.models)
        and (view.scheduled or key in view.held)
    ]
    homes = sorted(
        able,
        key=lambda view: xxhash.xxh3_64_intdigest(
            "\0".join((*key, view.name)).encode()
        ),
    )
    costs = []
    for place, view in enumerate(homes):
        seconds = view.backlog_seconds + (
            0.0 if view.near else engine_choice.FAR_SECONDS
        )
        seconds += engine_choice.UNHEALTHY_SECONDS * (1.0 - view.health)
        seconds += 0.0 if view.scheduled else engine_choice.UNSCHEDULED_SECONDS
        if key.model not in view.models:
            seconds += engine_choice.EMPTY_SECONDS
        seconds += engine_choice.STEP_SECONDS * min(
            place, engine_choice.MAX_STEPS
        )
        if key not in view.held:
            is_warm = engine_copies.digest(key) in view.copies
            load_seconds = (
                load_times.WARM_LOAD_SECONDS
                if is_warm
                else load_times.COLD_LOAD_SECONDS
            )
            seconds += load_seconds + view.place_wait_seconds
            seconds += view.orders_in_seconds
        costs.append((seconds, place, view))
    return [view for _, _, view in sorted(costs, key=lambda one: one[:2])]


@given(strategies.integers(min_value=0), strategies.integers(1, 70))
def test_what_is_remembered_changes_no_rank(seed, count) -> None:
    # A cached order of engines must not be used for another set of engines.
    rng = random.Random(seed)
    key = engine_loads.key(f"a{rng.randrange(3)}")
    digest = engine_copies.digest(key)
    views = [
        view(
            f"engine-{number}",
            near=rng.random() < 0.3,
            scheduled=rng.random() < 0.9,
            held=frozenset({key} if rng.random() < 0.1 else ()),
            models=frozenset(
                rng.choice([("base",), ("base",), (), ("other",)])
            ),
            backlog_seconds=rng.choice([0.0, 0.0, 0.1, rng.random()]),
            place_wait_seconds=rng.choice([0.0, 0.5]),
            health=rng.choice([1.0, 1.0, 0.9]),
            orders_in_seconds=rng.choice([0.0, 0.0, 2.0]),
            copies=frozenset({digest} if rng.random() < 0.1 else ()),
        )
        for number in rng.sample(range(100), count)
    ]
    rounded = [
        (one.name, other.name)
        for one, other in itertools.zip_longest(
            engine_choice.rank(key, views), plain_rank(key, views)
        )
    ]
    assert all(one == other for one, other in rounded)

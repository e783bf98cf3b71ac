from __future__ import annotations

import collections

from boragefold.policy import engine_choice
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

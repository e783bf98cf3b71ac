from __future__ import annotations

from boragefold.policy import engine_pace


def test_the_pace_follows_what_starts_show() -> None:
    pace = engine_pace.EnginePace()
    for _ in range(60):
        pace.started(4_000, 0.5)
    assert 7_900 < pace.tokens_per_second < 8_200
    assert 0.45 < pace.reading_seconds(4_000) < 0.55


def test_one_odd_start_says_little() -> None:
    # A prompt whose parts the engine had kept starts at once; one that met a
    # pause of the engine after seconds. Neither is the engine's pace.
    pace = engine_pace.EnginePace()
    before = pace.tokens_per_second
    pace.started(6_000, 0.0)
    assert pace.tokens_per_second < 1.5 * before
    pace.started(6_000, 30.0)
    assert pace.tokens_per_second > 0.8 * before


def test_one_long_answer_doesnt_make_an_engine_look_blocked() -> None:
    pace = engine_pace.EnginePace()
    before = pace.run_seconds
    pace.ended(10 * before)
    assert pace.run_seconds <= 2 * before

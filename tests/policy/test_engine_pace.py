from __future__ import annotations

from boragefold.policy import engine_speed


def test_the_estimate_follows_measured_prefills() -> None:
    speed = engine_speed.EngineSpeed()
    for _ in range(60):
        speed.record_start(4_000, 0.5)
    assert 7_900 < speed.tokens_per_second < 8_200
    assert 0.45 < speed.prefill_seconds(4_000) < 0.55


def test_short_prompts_dont_make_an_engine_look_slow() -> None:
    # Most prompts are short, and each prefill has a fixed part. Without it,
    # the engine looks half as fast as it is, and long prompts are refused
    # that it would have prefilled in time.
    speed = engine_speed.EngineSpeed()
    for prompt in (600, 800, 9_000, 500, 1_200, 700, 4_000) * 5:
        speed.record_start(prompt, 0.04 + prompt / 38_000)
    for prompt in (500, 4_000, 20_000):
        seconds = 0.04 + prompt / 38_000
        assert abs(speed.prefill_seconds(prompt) - seconds) < 0.1 * seconds
    burst_seconds = 5 * 0.04 + 20_000 / 38_000
    assert abs(speed.prefill_seconds(20_000, 5) - burst_seconds) < 0.05


def test_a_slowdown_is_noticed_within_some_prefills() -> None:
    speed = engine_speed.EngineSpeed()
    for slowdown, starts in ((1, 40), (5, 25)):
        for prompt in ((600, 9_000, 1_200, 700, 4_000) * 8)[:starts]:
            speed.record_start(prompt, slowdown * (0.04 + prompt / 38_000))
    assert speed.prefill_seconds(9_000) > 3 * (0.04 + 9_000 / 38_000)


def test_one_outlier_changes_the_estimate_little() -> None:
    # A prompt in the prefix cache starts at once, and one during a pause of
    # the engine after seconds. Neither shows the engine's speed.
    speed = engine_speed.EngineSpeed()
    before = speed.tokens_per_second
    speed.record_start(6_000, 0.0)
    assert speed.tokens_per_second < 1.5 * before
    speed.record_start(6_000, 30.0)
    assert speed.tokens_per_second > 0.8 * before


def test_one_long_answer_doesnt_make_an_engine_look_blocked() -> None:
    speed = engine_speed.EngineSpeed()
    before = speed.mean_run_seconds
    speed.record_end(10 * before)
    assert speed.mean_run_seconds <= 2 * before

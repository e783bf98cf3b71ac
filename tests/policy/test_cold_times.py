"""Until when endpoints are cold, by what they state."""

from __future__ import annotations

import pytest

from boragefold.policy import cold_times

START_SECONDS = 8.0


class Times(cold_times.ColdTimes):
    """Records statements of one endpoint."""

    def entry(self, cold, *, born=1, at=0.0):
        self.record(
            "e1",
            cold_times.ColdStatement(cold, born),
            source=cold_times.Source.ENTRY,
            cold_start_seconds=START_SECONDS,
            now_seconds=at,
        )

    def answer(self, cold, *, born=1, at=0.0):
        self.record(
            "e1",
            cold_times.ColdStatement(cold, born),
            source=cold_times.Source.ANSWER,
            cold_start_seconds=START_SECONDS,
            now_seconds=at,
        )

    @property
    def until(self):
        return self.until_seconds("e1")


@pytest.fixture
def times():
    return Times()


def test_an_endpoint_becomes_cold_again_at_any_moment(times) -> None:
    # A second cold time may state the same duration as the first.
    times.entry(5.0, at=0.0)
    times.entry(5.0, at=20.0)
    assert times.until == 25.0


def test_the_newest_entry_replaces_the_one_before(times) -> None:
    # An entry that was late must not keep the endpoint cold for longer.
    times.entry(5.0, at=1.5)
    times.entry(4.0, at=2.0)
    assert times.until == 6.0
    times.entry(0.0, at=3.0)
    assert times.cold(now_seconds=3.0) == {}


def test_an_entry_from_before_doesnt_end_what_a_report_stated(times) -> None:
    # Entries come through the store and peers, later than answers.
    times.answer(5.0, at=1.0)
    times.entry(0.0, at=1.2)
    assert times.until == 6.0


def test_a_new_life_without_a_statement_counts_as_cold(times) -> None:
    # Its entry can't be read, or only its report has come.
    times.entry(None, born=1)
    assert times.until < 0
    times.answer(None, born=2, at=10.0)
    assert times.until == 10.0 + START_SECONDS
    times.entry(0.0, born=1, at=10.1)
    times.answer(None, born=2, at=12.0)
    assert times.until == 10.0 + START_SECONDS
    times.entry(3.0, born=2, at=10.5)
    assert times.until == 13.5


def test_a_life_that_states_a_time_needs_no_assumption(times) -> None:
    times.entry(0.0, born=1)
    times.entry(0.0, born=2, at=5.0)
    assert times.until == 5.0


def test_an_endpoint_that_is_seen_first_isnt_assumed_cold(times) -> None:
    # An instance that starts would find all endpoints cold.
    times.entry(None, born=7)
    assert times.until < 0


def test_warm_endpoints_are_forgotten_when_there_are_many(
    times, monkeypatch
) -> None:
    # Restarted endpoints have new names for ever.
    monkeypatch.setattr(cold_times, "MAX_ENDPOINTS", 3)
    times.entry(50.0)
    for number in range(9):
        times.record(
            f"gone{number}",
            cold_times.ColdStatement(0.0, 1),
            source=cold_times.Source.ENTRY,
            cold_start_seconds=START_SECONDS,
            now_seconds=1.0,
        )
    assert len(times._times) <= 3
    assert times.until == 50.0

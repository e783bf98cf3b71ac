"""The decisions of an engine's schedule under recorded random loads."""

from __future__ import annotations

import pytest

from tests.fakes import schedule_replay


@pytest.mark.parametrize(
    ("seed", "expected"),
    [
        (0, "cdd5a9302db3731c"),
        (1, "8163518ca6cb7e72"),
        (5, "28d54f57f3ddcf92"),
        (6, "dd3e3436c63e5631"),
        (9, "ac847eb613670736"),
        (10, "7bc9ee9a56933670"),
        (11, "0fa9d57743411995"),
    ],
)
def test_a_cheaper_schedule_decides_the_same(seed: int, expected: str) -> None:
    # The digests were recorded with a schedule that scans its whole queue for
    # each decision. Sums that miss a change would grant, refuse or order
    # something else, or estimate another wait.
    assert schedule_replay.Replay(seed).run() == expected

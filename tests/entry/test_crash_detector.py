"""Why the connections to an endpoint broke."""

from __future__ import annotations

import pytest

from boragefold.entry import crash_detector
from boragefold.transport import connect_probe
from tests.fakes import gateways

ENDPOINT = gateways.engine("e1")
LEAVING = ENDPOINT._replace(leaving=True)
REFUSED = connect_probe.ProbeResult.REFUSED
ACCEPTED = connect_probe.ProbeResult.ACCEPTED
NO_ANSWER = connect_probe.ProbeResult.NO_ANSWER


@pytest.mark.parametrize(
    ("result", "listed", "cause"),
    [
        (REFUSED, ENDPOINT, crash_detector.BreakCause.CRASHED),
        (ACCEPTED, ENDPOINT, crash_detector.BreakCause.ALIVE),
        (NO_ANSWER, ENDPOINT, crash_detector.BreakCause.UNKNOWN),
        (REFUSED, LEAVING, crash_detector.BreakCause.LEFT),
        (REFUSED, None, crash_detector.BreakCause.LEFT),
    ],
)
def test_only_a_listed_endpoint_that_refuses_has_crashed(
    result, listed, cause
) -> None:
    # Whoever ran on an endpoint that was taken away caused nothing.
    assert crash_detector.find_cause(result, listed) is cause

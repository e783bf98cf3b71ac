"""What a refused connection tells of an endpoint."""

from __future__ import annotations

import pytest

from boragefold.entry import refusal_check
from boragefold.protocol import paths
from boragefold.transport import connect_probe

ACCEPTED = connect_probe.ProbeResult.ACCEPTED
REFUSED = connect_probe.ProbeResult.REFUSED
NO_ANSWER = connect_probe.ProbeResult.NO_ANSWER


def check(controls, *, reached_by_peer):
    results = []
    one = refusal_check.RefusalCheck(
        controls=len(controls), on_result=results.append
    )
    for result in controls:
        one.record_control(result)
    if reached_by_peer:
        one.record_reaching(paths.Path("peer"))
    one.record_inquiry_end(reached_by_peer, 2)
    return results


@pytest.mark.parametrize(
    ("controls", "reached_by_peer", "verdict"),
    [
        ([ACCEPTED, ACCEPTED], False, REFUSED),
        ([REFUSED, ACCEPTED], False, REFUSED),
        ([], False, REFUSED),
        ([ACCEPTED], True, ACCEPTED),
        ([REFUSED, REFUSED], True, ACCEPTED),
        ([REFUSED, REFUSED], False, NO_ANSWER),
        ([NO_ANSWER], False, NO_ANSWER),
    ],
)
def test_only_an_endpoint_that_nobody_reaches_has_ended(
    controls, reached_by_peer, verdict
) -> None:
    # An instance that reaches no endpoint at all is itself cut off.
    assert check(controls, reached_by_peer=reached_by_peer) == [verdict]


def test_a_verdict_waits_for_the_peers() -> None:
    # A path that is cut in part accepts at other endpoints.
    results = []
    one = refusal_check.RefusalCheck(controls=1, on_result=results.append)
    one.record_control(ACCEPTED)
    assert not results
    one.record_reaching(paths.Path("peer"))
    assert results == [ACCEPTED]


def test_others_that_ended_with_it_hide_no_crash() -> None:
    # The few endpoints that were tried had ended at the same time.
    results, rounds = [], [2]
    one = refusal_check.RefusalCheck(
        controls=1,
        on_result=results.append,
        probe_further=lambda: rounds.pop() if rounds else 0,
    )
    one.record_inquiry_end(False, 2)
    one.record_control(REFUSED)
    one.record_control(REFUSED)
    assert not results
    one.record_control(ACCEPTED)
    assert results == [REFUSED]

from __future__ import annotations

import pytest

from boragefold.policy import fair_share

DEMANDS = {"big": 80, "middle": 30, "small": 5}


@pytest.mark.parametrize(
    ("service", "shares"),
    [
        (200.0, {"big": 80, "middle": 30, "small": 5}),
        (85.0, {"big": 50, "middle": 30, "small": 5}),
        (35.0, {"big": 15, "middle": 15, "small": 5}),
    ],
)
def test_the_service_is_divided_max_min_fairly(
    service: float, shares: dict[str, int]
) -> None:
    # Three workspaces, each within its rate limit, ask for more than can be
    # served. One that asks for less than an equal part must get all of it.
    share = fair_share.FairShare()
    passed = dict.fromkeys(DEMANDS, 0)
    for step in range(6000):
        now = step / 100
        for workspace, demand in DEMANDS.items():
            if step * demand // 100 == (step - 1) * demand // 100:
                continue
            above = share.exceeds(
                workspace,
                1.0,
                throughput_tokens_per_second=service,
                now_seconds=now,
            )
            passed[workspace] += not above and now >= 20
    for workspace, expected in shares.items():
        assert passed[workspace] / 40 == pytest.approx(expected, rel=0.1)


def test_the_share_of_an_idle_workspace_is_redistributed() -> None:
    share = fair_share.FairShare()

    def ask(workspace: str, at: float) -> bool:
        return share.exceeds(
            workspace, 1.0, throughput_tokens_per_second=10.0, now_seconds=at
        )

    for step in range(400):
        ask("a", step / 20)
        ask("b", step / 20)
    passed = [not ask("a", 40 + step / 20) for step in range(400)]
    assert sum(passed[200:]) / 10 == pytest.approx(10, rel=0.15)
    assert len(share) == 1

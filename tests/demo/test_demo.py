from __future__ import annotations

from boragefold.cli import demo


def test_everything_that_must_hold_does_in_the_demonstration() -> None:
    # A whole fleet under load: a hot caller, 3,000 adapters on 48 slots, an
    # engine that restarts empty, a withdrawn key, and payouts that are all
    # sent twice, at once, through two instances.
    assert demo.Demo().run() == []

from __future__ import annotations

from boragefold.bench import capacity_views

NODE_BOUND_BYTES_PER_SECOND = 1500


def test_a_small_data_centre_stays_within_its_traffic() -> None:
    # Control may cost a node 6 KB a second, the views a quarter of it.
    cost = capacity_views.measure_views(
        members=3, data_centres=2, duration_seconds=5.0
    )
    assert 0 < cost.mean_bytes_per_second < NODE_BOUND_BYTES_PER_SECOND
    assert cost.busiest_bytes_per_second < NODE_BOUND_BYTES_PER_SECOND

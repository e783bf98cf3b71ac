from __future__ import annotations

from boragefold.bench import capacity_configuration as capacity
from boragefold.bench import capacity_configuration_instance as single

# The letter's limits for everything an instance does for control.
CONTROL_BYTES = 64_000_000
CONTROL_BYTES_PER_SECOND = 6_000.0


def test_the_memory_at_the_size_designed_for_leaves_room_for_others() -> None:
    memory = single.measure_memory(changes=2_000)
    assert memory.adapters == 18_000
    assert memory.total_bytes < CONTROL_BYTES / 3


def test_the_busiest_instance_of_a_data_centre_stays_within_its_bytes():
    (traffic,) = capacity.measure_traffic(counts=(7,), adapters=300)
    busiest = traffic.budgeted_bytes_per_second_busiest
    assert busiest < CONTROL_BYTES_PER_SECOND / 3


def test_a_change_is_in_force_everywhere_in_time() -> None:
    spread = capacity.measure_spread(data_centres=3, instances=3, loss=0.05)
    assert spread.longest_seconds < 3.0


def test_a_mass_start_stays_below_the_platforms_limit() -> None:
    start = capacity.measure_mass_start(
        data_centres=3, instances=3, adapters=300
    )
    assert start.ready_seconds < 10.0
    assert start.refused_calls == 0

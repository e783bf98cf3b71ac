"""What callers may take of the machines that the pages name."""

from __future__ import annotations

import pytest

from boragefold.policy import caller_budget

# Memory in MB and descriptors.
MACHINES = ((160, 3_075), (200, 4_100), (300, 4_100), (552, 10_250))
BODY_BYTES = 4_194_304


@pytest.mark.parametrize(("memory_mb", "max_fds"), MACHINES)
def test_callers_leave_memory_and_descriptors(memory_mb, max_fds) -> None:
    # Whatever callers do, endpoints, peers and the store are reached.
    budget = caller_budget.derive(
        caller_budget.MachineLimits(memory_mb=memory_mb, max_fds=max_fds)
    )
    callers_mb = budget.memory_bytes / caller_budget.MEGABYTE
    assert caller_budget.PROCESS_MB + 2 * callers_mb <= memory_mb
    others = max_fds - caller_budget.FILE_DESCRIPTORS - budget.connections
    assert others - 2 * budget.tunnels >= 350
    assert budget.tunnels >= 350
    assert budget.with_room_for(BODY_BYTES) == budget
    assert budget.large_bytes < budget.memory_bytes


def test_a_small_machine_still_serves() -> None:
    budget = caller_budget.derive(
        caller_budget.MachineLimits(memory_mb=1, max_fds=10)
    )
    assert budget.memory_bytes == caller_budget.MIN_MEMORY_BYTES
    assert budget.connections == caller_budget.MIN_CONNECTIONS
    assert budget.tunnels >= 1


def test_a_large_published_body_widens_the_budget() -> None:
    limits = caller_budget.MachineLimits(memory_mb=96, max_fds=400)
    budget = caller_budget.derive(limits)
    body_bytes = 2 * budget.memory_bytes
    wider = budget.with_room_for(body_bytes)
    assert wider.large_bytes == body_bytes
    small_bytes = budget.memory_bytes - budget.large_bytes
    assert wider.memory_bytes - wider.large_bytes == small_bytes

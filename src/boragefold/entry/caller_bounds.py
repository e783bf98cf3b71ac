"""Connects the bounds on what callers may take to one process."""

from __future__ import annotations

from collections.abc import Callable
import resource

from boragefold.entry import process_loop
from boragefold.policy import caller_budget
from boragefold.transport import caller_admission


def connect(
    *,
    process: process_loop.ProcessLoop,
    memory_mb: float,
    max_fds: int,
    max_body_bytes: Callable[[], int],
) -> caller_admission.CallerAdmission:
    """Create the admission of a process, which counts unsent bytes as well.

    :param process: holds the sockets
    :param memory_mb: what the process may take
    :param max_fds: descriptors that it may open, 0 for its limit
    :param max_body_bytes: the published limit of a body
    :return: the admission of its callers
    """
    budget = budget_of(memory_mb=memory_mb, max_fds=max_fds)
    admission = caller_admission.CallerAdmission(
        budget=budget,
        now_seconds=process.timers.now_seconds,
        max_body_bytes=max_body_bytes,
    )
    process.sockets.unsent.share(
        admission.memory, max_bytes=budget.unsent_bytes
    )
    return admission


def budget_of(*, memory_mb: float, max_fds: int) -> caller_budget.CallerBudget:
    """Divide what a process may take.

    :param memory_mb: memory
    :param max_fds: descriptors that it may open, 0 for its limit
    :return: the callers' part
    """
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit != resource.RLIM_INFINITY:
        max_fds = min(max_fds or limit, limit)
    return caller_budget.derive(
        caller_budget.MachineLimits(
            memory_mb=memory_mb, max_fds=max_fds or caller_budget.DEFAULT_FDS
        )
    )


__all__ = [
    "budget_of",
    "connect",
]

"""Fixture with the users' endpoints and gateways, shared by a module."""

from __future__ import annotations

import pytest

from tests.fakes import crashing_engines
from tests.fakes import machines as machines_module

GATEWAYS = 2
ENGINE_AWAY_SECONDS = 3.0


@pytest.fixture(scope="module")
def machines(request, tmp_path_factory):
    machines = machines_module.Machines(
        tmp_path_factory.mktemp("machines"),
        gateways=getattr(request.module, "GATEWAYS", GATEWAYS),
    )
    try:
        yield machines.start()
    finally:
        machines.stop()


@pytest.fixture
def clear_faults(machines):
    yield
    for name in machines.endpoints:
        machines.faults(name)


@pytest.fixture
def start_engines(request, machines):
    """Start as many engines as the module's ``ENGINES``, with faults."""
    started = []

    def start(**faults):
        engines = crashing_engines.Engines(machines, **faults)
        engines.restart_seconds = ENGINE_AWAY_SECONDS
        engines.fill(request.module.ENGINES)
        engines.start()
        started.append(engines)
        return engines

    yield start
    for engines in started:
        engines.over.set()
        engines.join()

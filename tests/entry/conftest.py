"""Fixture with the users' endpoints and gateways, shared by a module."""

from __future__ import annotations

import pytest

from tests.fakes import machines as machines_module

GATEWAYS = 2


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

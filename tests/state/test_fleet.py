"""Listings of endpoints while the deployment changes."""

from __future__ import annotations

from boragefold.state import deployment
from boragefold.state import fleet as fleets
from tests.fakes import engine_loads
from tests.fakes import gateways


def make_deployment(
    version: int, engine: deployment.Engine | None
) -> deployment.Deployment:
    service = deployment.Service("llm", "/health", 100, engine)
    limits = deployment.CallerLimits(1, 1, 1.0, 1.0)
    return deployment.Deployment(version, (), {"llm": service}, {}, limits)


def test_listings_follow_each_change() -> None:
    # An index that outlives a change would send requests to endpoints that
    # are gone or leaving, or leave an engine without an owner.
    record = gateways.ENGINES[0]._replace(service="llm", leaving=False)
    fleet = fleets.Fleet()
    fleet.set_endpoint(record)
    assert not list(fleet.engines())
    fleet.set_deployment(make_deployment(1, engine_loads.ENGINE))
    assert list(fleet.engines()) == list(fleet.endpoints_of("llm")) == [record]
    leaving = record._replace(leaving=True)
    fleet.set_endpoint(leaving)
    assert list(fleet.engines()) == [leaving]
    assert not list(fleet.endpoints_of("llm"))
    fleet.set_endpoint(record._replace(service="other"))
    assert not list(fleet.engines())
    assert [each.name for each in fleet.endpoints_of("other")] == [record.name]
    fleet.set_endpoint(record)
    fleet.set_deployment(make_deployment(2, None))
    assert not list(fleet.engines())
    fleet.drop_endpoint(record.name)
    assert not list(fleet.endpoints_of("llm"))


def test_a_subscriber_that_fails_leaves_the_others_and_the_change():
    errors, told = [], []

    def run(callback):
        try:
            callback()
        except ZeroDivisionError as error:
            errors.append(error)

    fleet = fleets.Fleet(run=run)
    for subscribe in (fleet.subscribe, fleet.subscribe_entries):
        subscribe(lambda *record: 1 / 0)
        subscribe(lambda *record: told.append(record))
    record = deployment.EndpointRecord(
        "e1", "llm", "10.0.0.1:1", "a", 1, False, None, 1, {}
    )
    fleet.set_endpoint(record)
    assert fleet.endpoint("e1") == record
    assert told == [(), (record,)]
    assert len(errors) == 2

from __future__ import annotations

from boragefold.coordination.configuration import readiness
from boragefold.coordination.configuration import service
from boragefold.state import validation
from tests.fakes import configuration as scenes

STORE = scenes.STORE


def test_without_platform_and_peers_an_instance_says_it_is_not_ready() -> None:
    # All instances restart while the platform is down. With an empty
    # catalogue they would refuse every key as unknown.
    scene = scenes.Scene(ready=False)
    scene.platform.faults.down = True
    scene.fleet.start_all(scenes.DATA_CENTRES, 2)
    scene.network.run_for(30.0)
    for instance in scene.fleet.instances.values():
        judged = instance.configuration.readiness()
        assert isinstance(judged, readiness.NotReady)
        assert judged.reason == "no_source"
        assert "platform" in judged.remedy
    scene.platform.faults.down = False
    assert scene.settle(lambda instance: instance.ready) < 15.0


def test_with_the_platform_down_an_instance_starts_from_a_peer() -> None:
    # Instances are replaced during a long outage of the platform.
    scene = scenes.Scene()
    scene.settle_on(scene.put_store(9))
    scene.platform.faults.down = True
    fresh = scene.fleet.start("east", "east-9")
    assert scene.settle(lambda instance: instance.ready) < 3.0
    assert fresh.configuration.readiness().source == "peer"
    assert scene.loads_in_flight() == {9}


def test_a_rolling_restart_with_the_platform_down_loses_nothing() -> None:
    # Every instance is replaced in turn during an outage of the platform, so
    # in the end no process remains that has read the platform.
    scene = scenes.Scene()
    revision = scene.put_store(9)
    scene.settle_on(revision)
    first_seconds = scene.fleet.instances["east-0"].history.since_seconds(
        STORE
    )
    scene.platform.faults.down = True
    scene.network.run_for(5.0)
    for address, instance in list(scene.fleet.instances.items()):
        scene.fleet.kill(address)
        scene.fleet.start(instance.self_id.data_centre, address)
        assert scene.settle(lambda instance: instance.ready) < 10.0
        scene.network.run_for(5.0)
    assert scene.loads_in_flight() == {9}
    for instance in scene.fleet.instances.values():
        record = instance.history.of_path(STORE)[-1]
        assert abs(record.fleet_from_seconds - first_seconds) < 0.1
        assert record.from_seconds > first_seconds + 1.0


def test_a_start_from_a_lagging_copy_waits_for_a_peer(monkeypatch) -> None:
    # A key is revoked. A minute later an instance is replaced, and reads a
    # replica of the platform that lags by two minutes, while its peers answer
    # slowly. If it became ready from that replica alone, it would accept the
    # revoked key.
    monkeypatch.setattr(service, "NO_VIEW_JITTER_SECONDS", 0.0)
    scene = scenes.Scene(delay_seconds=(0.4, 0.5))
    scene.network.run_for(200.0)
    revision = scene.put_store(9)
    scene.settle_on(revision)
    fresh = scene.fleet.start("east", "east-9")
    fresh.reader.lag_seconds = 120.0
    seen: list[int] = []
    fresh.configuration.subscribe_ready(
        lambda _: seen.append(fresh.revision(STORE))
    )
    assert scene.settle(lambda instance: instance.ready) < 8.0
    assert seen == [revision]


def test_an_empty_platform_makes_nobody_ready() -> None:
    scene = scenes.Scene(ready=False)
    scene.platform.faults.lag_seconds = 1e6
    scene.fleet.start_all(("east",), 2)
    scene.network.run_for(30.0)
    judged = scene.fleet.instances["east-0"].configuration.readiness()
    assert isinstance(judged, readiness.NotReady)
    assert judged.reason == "nothing_published"


def test_a_value_that_this_release_rejects_does_not_keep_it_from_ready(
    monkeypatch,
) -> None:
    # During a rollout of a release with a new field, the older release rejects
    # values with that field. A starting instance of the older release must
    # still become ready from a peer, without the subtree that it rejects.
    scene = scenes.Scene()
    scene.platform.faults.down = True
    scene.network.run_for(1.0)
    validate = validation.validate

    def validate_as_older_release(path: str, data: bytes):
        if path != STORE:
            return validate(path, data)
        return validation.Rejected(
            path=path, reason="unknown_field", remedy="roll on"
        )

    monkeypatch.setattr(validation, "validate", validate_as_older_release)
    fresh = scene.fleet.start("east", "east-9")
    assert scene.settle(lambda instance: instance.ready) < 15.0
    assert fresh.tree.rejections.own(STORE) is not None
    assert fresh.tree.document(STORE) is None

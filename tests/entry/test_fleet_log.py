"""Logging of changes of the fleet."""

from __future__ import annotations

import types

from boragefold.entry import fleet_log
from boragefold.protocol import ids
from boragefold.state import fleet as fleets
from boragefold.telemetry import counters
from boragefold.telemetry import exposition
from tests.fakes import gateways


class Log:
    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        self.lines.append((event, fields))


def test_a_cut_of_many_peers_is_one_line() -> None:
    # A network partition must not log a line for each peer: the lines, and a
    # check of all owners for each, delayed the instances.
    log = Log()
    fleet = fleet_log.FleetLog(
        fleet=types.SimpleNamespace(), items=types.SimpleNamespace(), log=log
    )
    for number in range(60):
        peer = ids.InstanceId("dc-b", f"10.2.0.{number}:70", "x")
        fleet.record_silence(peer, True)
    alone = ids.InstanceId("dc-a", "10.1.0.1:70", "y")
    fleet.record_silence(alone, False)
    fleet.log_silence()
    (silent, fields), (heard, other) = log.lines
    assert (silent, fields["peers"]) == ("peer_silent", 60)
    assert fields["data_centres"] == {"dc-b": 60}
    assert (heard, other["peer"]) == ("peer_heard", alone.address)
    fleet.log_silence()
    assert len(log.lines) == 2


def test_an_evacuation_is_logged_and_counted() -> None:
    # Operators have to see on each instance whether it is in force.
    log, totals, published = Log(), counters.Counters(), fleets.Fleet()
    published.set_endpoint(gateways.engine("e1"))
    now = [10.0]
    lines = fleet_log.FleetLog(
        fleet=published,
        items=types.SimpleNamespace(revision=1),
        log=log,
        counters=totals,
        now_seconds=lambda: now[0],
    )
    lines.log_changes()
    published.set_evacuated("dc-a", True)
    lines.log_changes()
    assert dict(totals.gauges()) == {"evacuated_data_centres": 1}
    assert b"boragefold_evacuated_data_centres 1.0" in exposition.write(totals)
    (described,) = fleet_log.describe_evacuations(published, now_seconds=12.0)
    assert described["seconds_in_force"] == 12.0
    published.set_evacuated("dc-a", False)
    now[0] = 15.0
    lines.log_changes()
    (_, (began, first), (ended, last)) = log.lines
    assert (began, ended) == ("evacuation_began", "evacuation_ended")
    assert (first["data_centre"], first["endpoints"]) == ("dc-a", 1)
    assert last["seconds_in_force"] == 15.0
    assert dict(totals.gauges()) == {"evacuated_data_centres": 0}

"""Logging of changes of the fleet."""

from __future__ import annotations

import types

from boragefold.entry import fleet_log
from boragefold.protocol import ids


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

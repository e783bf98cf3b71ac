"""An evacuation at gateways as real processes on loopback.

The machines are its own: endpoints that failed before are used less.
"""

from __future__ import annotations

import time

from tests.fakes import machines as machines_module

# On a busy machine an adapter may load later than estimated several times.
MAX_ATTEMPTS = 8
IN_DC_A = ("engine-0", "desk-0")


def _generate(machines, adapter, *, number):
    for _ in range(MAX_ATTEMPTS):
        reply = machines.generate(adapter, number=number)
        if reply.status != 503:
            break
        time.sleep(float(reply.headers["retry-after"]))
    return reply


def _is_used(machines):
    before = len(machines.seen("desk-0")["runs"])
    for _ in range(4):
        machines.ask("/orders/1", body=b"x")
    return len(machines.seen("desk-0")["runs"]) > before


def test_an_evacuated_data_centre_gets_nothing_until_the_removal(
    machines,
) -> None:
    # Its operators switch off machines that would still be running requests.
    machines.put("op/evacuate/dc-a", {})

    def in_force(number, count):
        host = machines.gateways[number]["front"].rpartition(":")[0]
        status = machines_module.call(f"{host}:9464", "GET", "/status").json()
        return len(status["evacuations"]) == count

    for number in range(len(machines.gateways)):
        machines_module.eventually(lambda n=number: in_force(n, 1))
    # The adapters move within two fifths of the default limit.
    time.sleep(2.0)
    before = {name: len(machines.seen(name)["runs"]) for name in IN_DC_A}
    orders = len(machines.seen("engine-0")["orders"])
    replies = [machines.ask("/orders/1", body=b"x") for _ in range(8)]
    for adapter in ("m1", "m2"):
        replies.append(_generate(machines, adapter, number=0))
        replies.append(_generate(machines, adapter, number=1))
    assert [reply.status for reply in replies] == [200] * 12
    assert before == {
        name: len(machines.seen(name)["runs"]) for name in IN_DC_A
    }
    assert len(machines.seen("engine-0")["orders"]) == orders
    machines.remove("op/evacuate/dc-a")
    machines_module.eventually(lambda: _is_used(machines))

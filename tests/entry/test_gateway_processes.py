"""Gateway processes that are killed, stopped and reloaded, on loopback."""

from __future__ import annotations

import concurrent.futures
import signal
import socket
import time

import pytest

from tests.fakes import machines as machines_module

pytestmark = pytest.mark.usefixtures("clear_faults")


def test_a_killed_instance_is_replaced_and_served_again(machines) -> None:
    # Another instance must take over the engines of a killed one.
    machines.signal(1, signal.SIGKILL)
    machines.wait(1)
    machines_module.eventually(
        lambda: machines.generate("z1", number=0).status == 200
    )
    machines.start_gateway(1)
    machines_module.eventually(lambda: machines.is_ready(1))
    machines_module.eventually(
        lambda: machines.generate("z2", number=1).status == 200
    )


def test_a_planned_stop_cuts_nothing(machines) -> None:
    # A planned stop must not cut off a running stream.
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        running = pool.submit(
            lambda: machines.generate("", number=1, events=200)
        )
        machines_module.eventually(
            lambda: any(
                run["headers"].get("boragefold-token-usage") == "100,200"
                for run in machines.runs("engine")
            )
        )
        machines.signal(1, signal.SIGTERM)
        machines_module.eventually(lambda: not machines.is_ready(1))
        reply = running.result()
    assert reply.status == 200
    assert reply.body.count(b"id: ") == 200
    assert machines.wait(1) == 0
    machines.start_gateway(1)
    machines_module.eventually(lambda: machines.is_ready(1))


def test_a_caller_that_takes_nothing_doesnt_hold_a_planned_stop(
    machines,
) -> None:
    # A caller that doesn't read its response must not delay a planned stop
    # until the process is killed.
    host, _, port = machines.gateways[1]["front"].rpartition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect((host, int(port)))
    sock.sendall(
        b"POST /notes/x HTTP/1.1\r\nHost: press.example\r\n"
        b"Boragefold-Key: granted-key\r\nBoragefold-Model: base\r\n"
        b"Boragefold-Attempt-Id: deaf\r\nContent-Length: 0\r\n"
        b"Boragefold-Token-Usage: 100,3000\r\n\r\n"
    )
    machines_module.eventually(
        lambda: any(
            run["headers"].get("boragefold-attempt-id") == "deaf"
            for run in machines.runs("engine")
        )
    )
    begun = time.monotonic()
    machines.signal(1, signal.SIGTERM)
    assert machines.wait(1) == 0
    assert time.monotonic() - begun < 8.0
    sock.close()
    machines.start_gateway(1)
    machines_module.eventually(lambda: machines.is_ready(1))


def test_a_changed_settings_file_is_taken_over_and_a_bad_one_isnt(
    machines,
) -> None:
    # A partly written settings file must not replace the settings in use.
    path = machines.folder / "gateway-0.json"
    text = path.read_text()
    path.write_text(text.replace('"retry_slack": 50', '"retry_slack": 40'))
    machines.signal(0, signal.SIGHUP)
    machines_module.eventually(
        lambda: any(
            line["event"] == "settings_reloaded"
            and line["changed"] == ["retry_limit"]
            for line in machines.lines(0)
        )
    )
    path.write_text(text[:40])
    machines_module.eventually(
        lambda: any(
            line["event"] == "settings_refused" for line in machines.lines(0)
        )
    )
    assert machines.ask("/orders/1", body=b"x").status == 200
    path.write_text(text)

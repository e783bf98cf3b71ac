"""Tracing a request from its id to its cause, as docs/OPERATIONS.md tells."""

from __future__ import annotations

import http.client
import pathlib

from click import testing
import pytest

from boragefold.cli import main
from tests.fakes import machines as machines_module

PAGE = pathlib.Path("docs/OPERATIONS.md")
GATEWAYS = 1

pytestmark = pytest.mark.usefixtures("clear_faults")


def read_story(machines, request_id):
    logs = [str(path) for path in machines.folder.glob("*.log")]

    def read():
        command = ["story", request_id, *logs]
        result = testing.CliRunner().invoke(main.main, command)
        ended = "request_ended" in result.output
        return (ended or "request_refused" in result.output) and result.output

    return machines_module.eventually(read)


def request_headers(request_id, **others):
    return {"Boragefold-Attempt-Id": request_id, **others}


def publish_deployment(machines, **changes):
    config = machines_module.deployment(**changes)
    machines.put("op/config", config)
    version = config["version"]
    machines_module.eventually(
        lambda: any(
            line["event"] == "fleet_changed"
            and line["deployment_version"] == version
            for line in machines.lines(0)
        )
    )


def test_a_payout_without_an_answer_leads_to_its_endpoint(machines) -> None:
    for name in ("desk-0", "desk-1"):
        machines.faults(name, silent=True)
    headers = request_headers("silent", **{"Boragefold-Deadline-Ms": "700"})
    machines.ask("/orders/1", headers=headers, body=b"pay")
    output = read_story(machines, "silent")
    assert "request_sent endpoint=desk-" in output
    assert "outcome=timeout status=504" in output


def test_a_refusal_of_an_endpoint_leads_to_it(machines) -> None:
    for name in ("desk-0", "desk-1"):
        machines.faults(name, not_executed=True)
    machines.ask("/orders/1", headers=request_headers("full"), body=b"pay")
    output = read_story(machines, "full")
    assert "outcome=endpoint_full status=503 endpoints=['desk-" in output


def test_a_refusal_over_the_rate_leads_to_the_configuration(machines) -> None:
    tenant = machines_module.deployment()["tenants"][0]
    small = {**tenant, "rate_per_s": 10, "burst": 10}
    publish_deployment(machines, version=5, tenants=[small])
    for number in range(3):
        machines.ask(
            "/orders/1", headers=request_headers(f"rate-{number}"), body=b"x"
        )
    publish_deployment(machines, version=6)
    output = read_story(machines, "rate-2")
    assert "fleet_changed deployment_version=5" in output
    assert "request_refused reason=rate_exceeded status=429" in output


def test_a_stream_that_broke_off_leads_to_its_engine(machines) -> None:
    machines_module.eventually(lambda: machines.generate("").status == 200)
    for name in ("engine-0", "engine-1"):
        machines.faults(name, cut_after=2)
    with pytest.raises((ConnectionError, http.client.IncompleteRead)):
        machines.generate("", events=6, headers=request_headers("broken"))
    output = read_story(machines, "broken")
    assert "attempt_failed endpoint=engine-" in output
    assert "answer_begun=True" in output
    assert "outcome=broken_off" in output


def test_a_key_that_stopped_working_leads_to_the_change(machines) -> None:
    tenant = machines_module.deployment()["tenants"][0]
    publish_deployment(
        machines, version=8, tenants=[{**tenant, "api_keys": ["other"]}]
    )
    machines.ask("/orders/1", headers=request_headers("withdrawn"), body=b"x")
    publish_deployment(machines, version=9)
    output = read_story(machines, "withdrawn")
    assert "fleet_changed deployment_version=8" in output
    assert "reason=key_unknown status=401" in output
    assert machines_module.KEY not in output


def test_every_event_of_the_page_is_written_somewhere() -> None:
    table = PAGE.read_text().split("## The lines")[1].split("##")[0]
    events = {
        event.strip(" `")
        for row in table.splitlines()
        if row.startswith("| `")
        for event in row.split("|")[1].split(",")
    }
    code = "".join(
        path.read_text() for path in pathlib.Path("src").rglob("*.py")
    )
    assert len(events) > 15
    assert not {event for event in events if f'"{event}"' not in code}

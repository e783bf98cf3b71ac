"""Failures of real processes, checked by the responses that callers get."""

from __future__ import annotations

from http import client as http_client
import json
import signal
import threading
import time

import pytest

from tests.fakes import processes

# Longer than any lease lasts.
LONG_PAUSE_SECONDS = 6.0


@pytest.fixture
def fleet(tmp_path):
    """Start processes that the test may kill."""
    fleet = processes.Fleet(tmp_path)
    try:
        yield fleet.start()
    finally:
        fleet.stop()


@pytest.fixture(scope="module")
def shared_fleet(tmp_path_factory):
    """Start processes that the tests share and must leave running."""
    fleet = processes.Fleet(tmp_path_factory.mktemp("kept"))
    try:
        yield fleet.start()
    finally:
        fleet.stop()


class Stream(threading.Thread):
    """A caller that streams one long answer in a thread of its own."""

    def __init__(self, fleet, entry, model, tokens=300):
        super().__init__(daemon=True)
        self.arguments = (fleet, entry, model, tokens)
        self.reply = None
        self.error = None
        self.start()

    def run(self):
        fleet, entry, model, tokens = self.arguments
        try:
            self.reply = fleet.chat(
                entry, model, stream=True, max_tokens=tokens
            )
        except (OSError, http_client.HTTPException) as error:
            self.error = error

    def tokens(self):
        self.join(60)
        assert self.reply is not None, self.error
        events = self.reply.body.decode().split("\n\n")
        assert events[-2] == "data: [DONE]", events[-2:]
        texts = [
            json.loads(event[6:])["choices"][0]["delta"]["content"]
            for event in events[:-2]
        ]
        return "".join(texts).split()


def expected(model, tokens=300):
    return [f"quadro/{model}:{number}" for number in range(tokens)]


def load_reports(fleet):
    return [
        processes.call(address, "/v1/load").json() for address in fleet.engines
    ]


def busy_engines(fleet):
    reports = zip(fleet.engines, load_reports(fleet), strict=True)
    return [address for address, report in reports if report["running"]]


def broken_attempts(entry):
    lines = entry.metrics().splitlines()
    name = "boragefold_attempts_broken_total{"
    return sum(float(x.split()[-1]) for x in lines if x.startswith(name))


def set_faults(address, **faults):
    processes.call(address, "/control/faults", body=faults, method="PUT")


def wait_until_served(fleet, entry, model):
    return processes.eventually(lambda: fleet.chat(entry, model).status == 200)


def test_a_killed_instance_leaves_its_data_centre_served(fleet):
    # Callers of a data centre must still be served after an instance was
    # killed there.
    wait_until_served(fleet, fleet.entries[0], fleet.adapter())
    fleet.entries[0].signal(signal.SIGKILL)
    fleet.entries = fleet.entries[1:]
    fleet.publish_list()
    for number in range(4):
        wait_until_served(fleet, fleet.entries[0], fleet.adapter(number))
    assert not any(report["evicted_in_use"] for report in load_reports(fleet))


def test_a_paused_instance_wakes_without_its_rights(shared_fleet):
    # An instance that was paused for longer than its leases last must not use
    # them when it continues.
    fleet = shared_fleet
    entry = fleet.entries[0]
    wait_until_served(fleet, entry, fleet.adapter())
    entry.signal(signal.SIGSTOP)
    time.sleep(LONG_PAUSE_SECONDS)
    entry.signal(signal.SIGCONT)
    processes.eventually(lambda: entry.status()["view"] is not None)
    views = [
        processes.eventually(lambda each=each: each.status()["view"])
        for each in fleet.entries[:2]
    ]
    assert views[0][1:3] >= views[1][1:3]
    wait_until_served(fleet, entry, fleet.adapter(1))


def test_a_planned_stop_cuts_off_no_stream(fleet):
    # A planned stop must not cut off a stream, even after a second signal.
    entry = fleet.entries[0]
    wait_until_served(fleet, entry, fleet.adapter())
    stream = Stream(fleet, entry, fleet.adapter())
    processes.eventually(lambda: entry.status()["open_chats"] == 1)
    entry.signal(signal.SIGTERM)
    entry.signal(signal.SIGTERM)
    ready = processes.call(entry.operators, "/ready")
    assert ready.status == 503
    assert stream.tokens() == expected(fleet.adapter())
    assert entry.process.wait(processes.START_SECONDS) == 0


def test_a_withdrawn_key_stops_working_on_open_streams(shared_fleet):
    # Withdrawing a key must end its open streams and refuse new requests.
    fleet = shared_fleet
    entry, model = fleet.entries[0], fleet.adapter()
    wait_until_served(fleet, entry, model)
    stream = Stream(fleet, entry, model, tokens=1000)
    processes.eventually(lambda: entry.status()["open_chats"] == 1)
    keys = fleet.example.tree["teams/quadro/keys"]
    withdrawn = {
        digest: {**key, "state": "withdrawn"} for digest, key in keys.items()
    }
    fleet.publish("teams/quadro/keys", withdrawn)
    for each in fleet.entries:
        processes.eventually(
            lambda each=each: fleet.chat(each, model).status == 401
        )
    stream.join(20)
    fleet.publish("teams/quadro/keys", keys)
    assert stream.reply is None or b"[DONE]" not in stream.reply.body
    wait_until_served(fleet, entry, model)


@pytest.mark.parametrize(
    "fault",
    [{"restart": True}, {"truncate_after_tokens": 150}],
    ids=["engine restarts empty", "engine cuts the answer"],
)
def test_a_broken_stream_resumes_at_the_right_token(shared_fleet, fault):
    # When an engine breaks off a stream, the caller must still receive every
    # token exactly once.
    fleet = shared_fleet
    entry, model = fleet.entries[0], fleet.adapter()
    wait_until_served(fleet, entry, model)
    before = broken_attempts(entry)
    stream = Stream(fleet, entry, model)
    serving = processes.eventually(lambda: busy_engines(fleet))[0]
    set_faults(serving, **fault)
    processes.eventually(lambda: broken_attempts(entry) > before)
    set_faults(serving)
    assert stream.tokens() == expected(model)


def test_a_leaving_endpoint_gets_no_new_work(shared_fleet):
    # The platform's list is the only place that marks an endpoint as leaving;
    # instances must send it no new requests.
    fleet = shared_fleet
    entry, model = fleet.entries[0], fleet.adapter()
    leaving, staying = fleet.engines
    wait_until_served(fleet, entry, model)
    fleet.publish_list(leaving=(leaving,))

    def moved():
        before = load_reports(fleet)
        assert fleet.chat(entry, model).status == 200
        after = load_reports(fleet)
        return after[0]["served"] == before[0]["served"]

    processes.eventually(moved)
    before = load_reports(fleet)[0]["served"]
    assert all(fleet.chat(entry, model).status == 200 for _ in range(10))
    assert load_reports(fleet)[0]["served"] == before
    fleet.publish_list()


def test_the_fleet_serves_on_without_the_platform(fleet):
    # Instances must go on serving while the configuration service is down.
    wait_until_served(fleet, fleet.entries[0], fleet.adapter())
    fleet.processes[0].kill()
    fleet.processes[0].wait()
    wait_until_served(fleet, fleet.entries[1], fleet.adapter(1))


def test_a_payout_without_an_answer_is_unknown_and_never_repeated(fleet):
    # A non-idempotent request that was sent and not answered must never be
    # sent again, by any instance.
    first = fleet.entries[0]
    ticket = processes.call(
        first.address, "/v1/tickets", key=fleet.key, method="POST"
    ).json()["ticket"]
    service = fleet.processes[1 + len(fleet.engines)]
    service.send_signal(signal.SIGSTOP)
    caller = threading.Thread(target=pay, args=(fleet, first, ticket))
    caller.start()
    time.sleep(0.5)
    service.kill()
    caller.join(20)
    for entry in fleet.entries:
        reply = pay(fleet, entry, ticket)
        assert reply.json()["error"]["outcome"] == "unknown"
        assert reply.json()["error"]["reason"] == "already_sent"


def pay(fleet, entry, ticket):
    return processes.call(
        entry.address,
        "/services/rights/payouts",
        key=fleet.key,
        body={"euro": 10},
        headers={"Idempotency-Key": ticket},
    )

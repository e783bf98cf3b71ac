"""Requests that crash the endpoints that run them."""

from __future__ import annotations

import collections
import http.client
import itertools
import os
import threading
import time

from tests.fakes import crashing_engines
from tests.fakes import machines as machines_module
from tests.soak import callers
from tests.soak import plan

CRASH_BODY = "crashes its endpoint"
# Of prompts that share their first part with sound ones.
BAD_PARTS = ("bad0", "bad1", "bad2")
CRASHING_REQUEST = {"crash_body": CRASH_BODY}
CRASHES = {
    "crashing_request": CRASHING_REQUEST,
    "several_culprits": CRASHING_REQUEST,
    "bad_parts": {"crash_parts": BAD_PARTS},
    # The kernel closes the connections of the process in good order.
    "crashing_answer": {
        "cut_body": CRASH_BODY,
        "cut_after": 1,
        "framing": "close",
        "ending": "exit",
    },
}
CULPRIT_PAUSE_SECONDS = 0.2
ENDPOINT_AWAY_SECONDS = 0.5
MIN_CULPRITS = 2
MAX_CULPRITS = 5
# Until all know of the third crash of each, and longer.
SEVERAL_SECONDS = 6.0
# So many that culprits meet at some and find others.
DESKS = 6


class CulpritFaults:
    """Sends such requests in a run, and replaces what they crash."""

    def __init__(self) -> None:
        self._crash_faults: dict[str, object] = {}
        self.culprit_ids: dict[str, set[str]] = collections.defaultdict(set)
        self.ended: list[crashing_engines.Ended] = []

    @property
    def crashed_at_seconds(self) -> list[float]:
        return [each.at_seconds for each in self.ended]

    def _crashing_answer(self, fault: plan.Fault) -> None:
        self._crashing_request(fault)

    def _crashing_request(self, fault: plan.Fault) -> None:
        self._play_culprits(fault, count=1, seconds=fault.for_seconds)

    def _several_culprits(self, fault: plan.Fault) -> None:
        self._play_culprits(
            fault,
            count=MIN_CULPRITS
            + fault.what % (MAX_CULPRITS - MIN_CULPRITS + 1),
            seconds=SEVERAL_SECONDS + fault.for_seconds,
        )

    def _bad_parts(self, fault: plan.Fault) -> None:
        self._play_culprits(
            fault,
            count=1 + fault.what % len(BAD_PARTS),
            seconds=SEVERAL_SECONDS + fault.for_seconds,
            parts=BAD_PARTS,
        )

    def _play_culprits(
        self,
        fault: plan.Fault,
        *,
        count: int,
        seconds: float,
        parts: tuple[str, ...] = (),
    ) -> None:
        if not self._claim("culprit"):
            return
        self._note(None, seconds + ENDPOINT_AWAY_SECONDS)
        self._crash_faults = CRASHES[fault.kind]
        for name in list(self.machines.endpoints):
            self.machines.faults(name, **self._crash_faults)
        if count > 1 or parts:
            self._add_desks()
        end = callers.clock() + seconds
        culprits = [
            threading.Thread(
                target=self._repeat_culprit,
                args=(
                    f"{CRASH_BODY} {fault.what} {number}",
                    end,
                    parts[number] if parts else "",
                ),
            )
            for number in range(count)
        ]
        for culprit in culprits:
            culprit.start()
        while any(culprit.is_alive() for culprit in culprits):
            self._replace_crashed()
            time.sleep(CULPRIT_PAUSE_SECONDS / 2)
        self._replace_crashed()
        self._busy.discard("culprit")

    def _add_desks(self) -> None:
        desks = [n for n in self.machines.endpoints if n.startswith("desk")]
        for number in range(len(desks), DESKS):
            self._start_endpoint(f"desk-{number}")

    def _repeat_culprit(self, body: str, end: float, part: str) -> None:
        gateways = itertools.cycle(range(len(self.machines.gateways)))
        while callers.clock() < end:
            self._send_culprit(body, next(gateways), part)
            time.sleep(CULPRIT_PAUSE_SECONDS)

    def _send_culprit(self, body: str, gateway: int, part: str) -> None:
        request_id = os.urandom(8).hex()
        self.culprit_ids[part or body].add(request_id)
        headers = {"Boragefold-Attempt-Id": request_id}
        if part:
            body = request_id
            headers["Boragefold-Prompt-Prefix"] = callers.write_parts(
                request_id, part
            )
        try:
            self.machines.ask(
                "/reads/culprit",
                number=gateway,
                headers=headers,
                body=body.encode(),
            )
        except (OSError, http.client.HTTPException):
            # The gateway is down, or was cut off by another fault.
            return

    def _replace_crashed(self) -> None:
        crashed = [
            name
            for name in list(self.machines.endpoints)
            if self.machines.processes[name].poll() is not None
        ]
        for name in crashed:
            self.ended.append(crashing_engines.Ended(name, callers.clock()))
            del self.machines.endpoints[name]
            del self.machines.processes[name]
        if crashed:
            time.sleep(ENDPOINT_AWAY_SECONDS)
        for name in crashed:
            self.machines.remove(f"servers/{name}")
            self._start_endpoint(f"{name}-again")

    def _start_endpoint(self, name: str) -> None:
        is_engine = name.startswith("engine")
        options = ("--model", "base", "--places", "2") if is_engine else ()
        self.machines.start_endpoint(name, *options)
        machines_module.eventually(lambda: self.machines.seen(name))
        self.machines.faults(name, **self._crash_faults)
        self.machines.publish(name)


__all__ = [
    "BAD_PARTS",
    "CRASHES",
    "CulpritFaults",
]

"""A small fleet of real processes on loopback."""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys
import time
from typing import Any
from urllib import error
from urllib import request

from boragefold.standins import example_tree
from boragefold.standins import ports

# Far more than a start takes; a busy machine must not decide the verdict.
START_SECONDS = 60.0
POLL_SECONDS = 0.05
SERVICE_PATHS = {"/payouts": False, "/catalogue": True}


class Reply:
    def __init__(self, status: int, headers: Any, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    def json(self) -> Any:
        return json.loads(self.body)


def call(
    address: str,
    path: str,
    *,
    key: str = "",
    body: Any = None,
    method: str | None = None,
    headers: dict[str, str] | None = None,
    timeout_seconds: float = 60.0,
) -> Reply:
    data = None if body is None else json.dumps(body).encode()
    sent = request.Request(f"http://{address}{path}", data, method=method)
    sent.add_header("Content-Type", "application/json")
    if key:
        sent.add_header("Authorization", f"Bearer {key}")
    for name, value in (headers or {}).items():
        sent.add_header(name, value)
    try:
        with request.urlopen(sent, timeout=timeout_seconds) as answer:
            return Reply(answer.status, answer.headers, answer.read())
    except error.HTTPError as refused:
        return Reply(refused.code, refused.headers, refused.read())


def eventually(check: Any, timeout_seconds: float = START_SECONDS) -> Any:
    end = time.monotonic() + timeout_seconds
    while True:
        try:
            if found := check():
                return found
        except (OSError, ValueError):
            pass
        if time.monotonic() > end:
            raise TimeoutError("it did not come about")
        time.sleep(POLL_SECONDS)


class Entry:
    def __init__(self, data_centre: str) -> None:
        self.data_centre = data_centre
        self.address = ports.free_address()
        self.peer = ports.free_address()
        self.operators = ports.free_address()
        self.process: subprocess.Popen[bytes] | None = None

    def status(self) -> Any:
        return call(self.operators, "/status").json()

    def metrics(self) -> str:
        return call(self.operators, "/metrics").body.decode()

    def signal(self, number: int) -> None:
        assert self.process is not None
        self.process.send_signal(number)


class Fleet:
    """Platform, engines, a service and entry instances, as processes."""

    def __init__(
        self,
        folder: pathlib.Path,
        *,
        data_centres: tuple[str, ...] = ("dc-a", "dc-a", "dc-b"),
        engines: int = 2,
        adapters: int = 20,
        slots: int = 4,
        token_seconds: float = 0.005,
    ) -> None:
        self.folder = folder
        self.processes: list[subprocess.Popen[bytes]] = []
        self.platform = ports.free_address()
        self.engines = [ports.free_address() for _ in range(engines)]
        self.services = [ports.free_address()]
        self.entries = [Entry(name) for name in data_centres]
        self.slots = slots
        self.token_seconds = token_seconds
        names = sorted(set(data_centres))
        self.example = example_tree.make(
            seed=1,
            data_centres=names,
            adapters=adapters,
            endpoints=[
                example_tree.ExampleEndpoint(
                    names[number % len(names)],
                    f"engine-{number}",
                    address,
                    slots=slots,
                )
                for number, address in enumerate(self.engines)
            ],
        )
        self.workspace, self.key = next(iter(self.example.keys.items()))
        self.example.tree["services/rights"] = {
            "addresses": {names[0]: self.services},
            "routes": [
                {"method": "POST", "path": path, "idempotent": idempotent}
                for path, idempotent in SERVICE_PATHS.items()
            ],
            "workspaces": list(self.example.keys),
        }

    def start(self) -> Fleet:
        tree = self.folder / "tree.json"
        tree.write_text(json.dumps(self.example.tree))
        module = "boragefold.standins"
        self.run(
            f"{module}.platform",
            "--listen",
            self.platform,
            "--tree",
            str(tree),
        )
        eventually(lambda: call(self.platform, "/v1/list").status == 200)
        self.publish_list()
        for address in self.engines:
            self.run(
                f"{module}.engine",
                "--listen",
                address,
                "--model",
                "base-0",
                "--slots",
                str(self.slots),
                "--token-seconds",
                str(self.token_seconds),
            )
        for address in self.services:
            self.run(f"{module}.service", "--listen", address)
        for entry in self.entries:
            self.start_entry(entry)
        for entry in self.entries:
            eventually(
                lambda entry=entry: (
                    call(entry.operators, "/ready").status == 200
                )
            )
        return self

    def start_entry(self, entry: Entry) -> None:
        entry.process = self.run(
            "boragefold",
            "serve",
            "--listen",
            entry.address,
            "--peer-listen",
            entry.peer,
            "--operators-listen",
            entry.operators,
            "--platform",
            self.platform,
            "--data-centre",
            entry.data_centre,
            "--stop-notice-seconds",
            "0.3",
        )

    def publish_list(self, leaving: tuple[str, ...] = ()) -> None:
        listed = [
            (entry.peer, entry.data_centre, "entry") for entry in self.entries
        ]
        listed += [(address, "dc-a", "endpoint") for address in self.engines]
        instances = [
            {
                "address": address,
                "data_centre": data_centre,
                "kind": kind,
                "state": "leaving" if address in leaving else "live",
            }
            for address, data_centre, kind in listed
        ]
        call(
            self.platform,
            "/control/list",
            body=instances,
            method="PUT",
        )

    def publish(self, path: str, document: Any) -> None:
        call(
            self.platform, f"/control/tree/{path}", body=document, method="PUT"
        )

    def chat(
        self,
        entry: Entry,
        model: str,
        *,
        timeout_seconds: float = 60.0,
        **members: Any,
    ) -> Reply:
        body = {
            "model": model,
            "messages": [{"role": "user", "content": "translate this"}],
            "max_tokens": 5,
            **members,
        }
        return call(
            entry.address,
            "/v1/chat/completions",
            key=self.key,
            body=body,
            timeout_seconds=timeout_seconds,
        )

    def adapter(self, number: int = 0) -> str:
        names = [
            name
            for path, document in self.example.tree.items()
            if "/adapters/" in path
            for name, adapter in document.items()
            if self.workspace in adapter["workspaces"]
            or self.workspace.partition("/")[2] in adapter["workspaces"]
        ]
        return names[number]

    def run(self, module: str, *arguments: str) -> subprocess.Popen[bytes]:
        log = (self.folder / "log").open("ab")
        process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments], stderr=log, stdout=log
        )
        self.processes.append(process)
        return process

    def stop(self) -> None:
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()


__all__ = [
    "Entry",
    "Fleet",
    "call",
    "eventually",
]

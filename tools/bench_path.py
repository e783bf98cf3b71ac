"""Measures one entry instance against calling the engine directly.

Run it from the root of the repository:

    .venv/bin/python tools/bench_path.py

Every part is a process of its own; the load comes from this one. Times to the
first token are compared with the same load on the engine stand-in itself.
"""

from __future__ import annotations

import itertools
import json
import os
import pathlib
import random
import sys
import tempfile
from typing import Any
from typing import NamedTuple

import click
import msgspec

sys.path[:0] = [
    str(pathlib.Path(__file__).parent.parent / folder)
    for folder in ("", "src")
]

from boragefold.telemetry import counters as telemetry  # noqa: E402
from boragefold.timing import clock as clocks  # noqa: E402
from boragefold.timing import timers as timing  # noqa: E402
from boragefold.transport import http_client  # noqa: E402
from boragefold.transport import loop as loops  # noqa: E402
from boragefold.transport import sockets  # noqa: E402
from tests.fakes import processes  # noqa: E402

PROGRESS_SECONDS = 30.0
SEED = 1
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


class Load(NamedTuple):
    """How many requests a second, for how long, of how many tokens."""

    requests_per_second: float
    duration_seconds: float
    tokens: int


class Usage(NamedTuple):
    """What a process has used."""

    cpu_seconds: float
    resident_megabytes: float


class StreamSink(http_client.AnswerSink):
    """Times one answer and counts its tokens."""

    def __init__(self, *, run: Run, began_seconds: float) -> None:
        self._run = run
        self._began_seconds = began_seconds
        self._first = True

    def head(self, status: int, headers: dict[str, str]) -> None:
        self._run.statuses[status] = self._run.statuses.get(status, 0) + 1

    def data(self, data: bytes) -> None:
        self._run.tokens += data.count(b'"content"')
        if self._first:
            self._first = False
            elapsed = self._run.timers.now_seconds() - self._began_seconds
            self._run.counters.observe_seconds("first", elapsed)

    def end(self) -> None:
        self._run.ended += 1

    def failed(self, failure: http_client.Failure) -> None:
        self._run.failures.append(failure.reason)


class Run:
    """One load on one address."""

    def __init__(self, *, addresses: list[str], load: Load) -> None:
        self._addresses = itertools.cycle(addresses)
        self.load = load
        self.timers = timing.TimerService(clock=clocks.BootClock())
        self.counters = telemetry.Counters()
        self.statuses: dict[int, int] = {}
        self.failures: list[str] = []
        self.tokens = 0
        self.ended = 0
        self.started = 0
        self._loop = loops.Loop(timers=self.timers)
        sockets_ = sockets.SocketSet(poller=self._loop.poller)
        sockets_.register(self._loop)
        self._client = http_client.HttpClient(
            sockets_=sockets_, timers=self.timers
        )

    def go(self, headers: list[tuple[str, str]], body: bytes) -> None:
        wanted = int(
            self.load.requests_per_second * self.load.duration_seconds
        )

        def send() -> None:
            if self.started >= wanted:
                return
            self.started += 1
            call = http_client.Call(
                address=next(self._addresses),
                method="POST",
                target="/v1/chat/completions",
                headers=headers,
                body=body,
                fresh=False,
                progress_seconds=PROGRESS_SECONDS,
            )
            sink = StreamSink(
                run=self, began_seconds=self.timers.now_seconds()
            )
            self._client.send(call, sink)
            # Steady arrivals would beat against the engine's token period.
            self.timers.once(
                delay_seconds=draw.expovariate(self.load.requests_per_second),
                callback=send,
            )

        def stop_when_done() -> None:
            if self.ended + len(self.failures) >= wanted:
                self._loop.stop()

        draw = random.Random(SEED)
        self.timers.once(delay_seconds=0.0, callback=send)
        self.timers.every(period_seconds=0.1, callback=stop_when_done)
        self._loop.run()

    def summary(self) -> dict[str, Any]:
        return {
            "p50_ms": 1e3 * self.counters.percentile_seconds("first", 50),
            "p99_ms": 1e3 * self.counters.percentile_seconds("first", 99),
            "tokens": self.tokens,
            "ended": self.ended,
            "failures": len(self.failures),
            "statuses": self.statuses,
        }


def usage(pid: int) -> Usage:
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    fields = stat.split()
    cpu_seconds = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS
    pages = int(fields[21])
    return Usage(cpu_seconds, pages * os.sysconf("SC_PAGESIZE") / 1e6)


def measure(load: Load, adapters: int, engines: int) -> dict[str, Any]:
    folder = pathlib.Path(tempfile.mkdtemp())
    fleet = processes.Fleet(
        folder,
        data_centres=("dc-a",),
        engines=engines,
        adapters=adapters,
        token_seconds=0.028,
    )
    try:
        fleet.start()
        return _measure(fleet, load)
    finally:
        fleet.stop()


def _measure(fleet: processes.Fleet, load: Load) -> dict[str, Any]:
    message = {"role": "user", "content": "summarise the balloons"}
    asked = {
        "model": "base-0",
        "messages": [message],
        "max_tokens": load.tokens,
        "stream": True,
    }
    direct = Run(addresses=fleet.engines, load=load)
    direct.go([], msgspec.json.encode({**asked, "adapter": "", "version": ""}))
    entry = fleet.entries[0]
    assert entry.process is not None
    rest = usage(entry.process.pid)
    through = Run(addresses=[entry.address], load=load)
    began_seconds = through.timers.now_seconds()
    key = ("Authorization", f"Bearer {fleet.key}")
    through.go([key], msgspec.json.encode(asked))
    elapsed = through.timers.now_seconds() - began_seconds
    after = usage(entry.process.pid)
    spent = after.cpu_seconds - rest.cpu_seconds
    return {
        "load": load._asdict(),
        "direct": direct.summary(),
        "through": through.summary(),
        "elapsed_seconds": elapsed,
        "core_share": spent / elapsed,
        "cpu_microseconds_per_token": 1e6 * spent / max(1, through.tokens),
        "cpu_milliseconds_per_request": 1e3 * spent / max(1, through.ended),
        "tokens_per_second": through.tokens / elapsed,
        "resident_megabytes_at_rest": rest.resident_megabytes,
        "resident_megabytes_after": after.resident_megabytes,
    }


@click.command()
@click.option("--requests-per-second", default=35.0, show_default=True)
@click.option("--duration-seconds", default=15.0, show_default=True)
@click.option("--tokens", default=343, show_default=True)
@click.option("--adapters", default=20, show_default=True)
@click.option("--engines", default=24, show_default=True)
def main(
    requests_per_second: float,
    duration_seconds: float,
    tokens: int,
    adapters: int,
    engines: int,
) -> None:
    """Print the figures as JSON."""
    load = Load(requests_per_second, duration_seconds, tokens)
    click.echo(json.dumps(measure(load, adapters, engines), indent=1))


if __name__ == "__main__":
    main()

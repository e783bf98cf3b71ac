"""Engines of several software versions, and callers who take streams up."""

from __future__ import annotations

import http.client
import itertools
import os
import random
import threading
import time
from typing import NamedTuple

from tests.fakes import machines as machines_module

EVENTS = 40
EVENT_SECONDS = 0.03
# Within which a caller comes back, as often as this.
DEADLINE_SECONDS = 4.0
MAX_TRIES = 4
RETRY_SECONDS = 0.05
DATA = b"data: t"


class Event(NamedTuple):
    """An event that a caller received."""

    number: int
    software_version: str


class Try(NamedTuple):
    """One attempt of a caller; status 0 if there was no answer."""

    request_id: str
    resumed_after: int
    status: int
    events: int
    ended: bool


class Stream(NamedTuple):
    """A stream over all attempts of its caller."""

    events: tuple[Event, ...]
    tries: tuple[Try, ...]

    @property
    def software_versions(self) -> set[str]:
        return {event.software_version for event in self.events}

    @property
    def whole(self) -> bool:
        numbers = [event.number for event in self.events]
        return numbers == list(range(1, EVENTS + 1))

    @property
    def joined_well(self) -> bool:
        numbers = [event.number for event in self.events]
        return numbers == list(range(1, len(numbers) + 1))


class VersionedEngines(machines_module.Machines):
    """Gives engines software versions, in turn; none where there are none."""

    def __init__(
        self, folder, *, versions=("v1", "v2"), engines=4, **options
    ) -> None:
        super().__init__(folder, **options)
        names = [f"engine-{number}" for number in range(engines)]
        self.versions = (
            dict(zip(names, itertools.cycle(versions))) if versions else {}
        )
        self.born = dict.fromkeys(names, 1)

    def start(self) -> VersionedEngines:
        super().start()
        for name in list(self.versions)[2:]:
            self.start_endpoint(name, "--model", "base", "--places", "2")
            machines_module.eventually(lambda name=name: self.seen(name))
            self.publish(name)
        return self

    def start_endpoint(self, name, *options):
        if name in self.versions:
            options += (
                *("--event-seconds", str(EVENT_SECONDS)),
                *("--software-version", self.versions[name]),
                *("--born", str(self.born[name])),
            )
        super().start_endpoint(name, *options)

    def publish(self, name, **changes):
        if name in self.versions:
            stated = {"version": self.versions[name], "born": self.born[name]}
            changes = {**stated, **changes}
        return super().publish(name, **changes)

    def break_streams(self, name: str) -> None:
        machines_module.call(
            self.endpoints[name], "PUT", "/control/break", body="reset"
        )

    def kill_engine(self, name: str) -> None:
        self.processes[name].kill()
        self.processes[name].wait()

    def revive_engine(self, name: str, version: str) -> None:
        """Start an engine again under its name and at its address."""
        self.versions[name] = version
        self.born[name] += 1
        address = self.endpoints[name]
        options = ("--listen", address, "--name", name, "--model", "base")
        self.run(
            name,
            "endpoint",
            *options,
            *("--places", "2"),
            *("--event-seconds", str(EVENT_SECONDS)),
            *("--software-version", version),
            *("--born", str(self.born[name])),
        )
        machines_module.eventually(lambda: self.seen(name))
        self.publish(name)


class VersionedMachines(VersionedEngines):
    """A fleet with engines of several versions, by default three gateways."""

    def __init__(self, folder, *, gateways=3, **options) -> None:
        super().__init__(folder, gateways=gateways, **options)


class Caller(threading.Thread):
    """Asks for one stream after the other, and takes up what broke."""

    def __init__(
        self, *, machines, over, seed, number, names_attempts=True
    ) -> None:
        super().__init__(daemon=True)
        self._machines = machines
        self._over = over
        self._names_attempts = names_attempts
        self._rng = random.Random(f"{seed}/{number}")
        self.streams: list[Stream] = []

    def run(self) -> None:
        while not self._over.is_set():
            self.streams.append(self._ask_for_stream())

    def _ask_for_stream(self) -> Stream:
        events: list[Event] = []
        tries: list[Try] = []
        first = ""
        end = time.monotonic() + DEADLINE_SECONDS
        gateways = list(range(len(self._machines.gateways)))
        self._rng.shuffle(gateways)
        for gateway in itertools.islice(itertools.cycle(gateways), MAX_TRIES):
            left = end - time.monotonic()
            if left <= 0 or (tries and tries[-1].ended):
                break
            one = self._try(gateway, events, first, left)
            tries.append(one)
            first = first or (one.request_id if one.events else "")
            time.sleep(RETRY_SECONDS)
        return Stream(tuple(events), tuple(tries))

    def _try(self, gateway, events, first, left) -> Try:
        request_id = os.urandom(8).hex()
        headers = {
            "Host": machines_module.HOST,
            "Boragefold-Attempt-Id": request_id,
            "Boragefold-Deadline-Ms": str(int(left * 1000)),
            "Boragefold-Key": machines_module.KEY,
            "Boragefold-Model": "base",
            "Boragefold-Token-Usage": f"100,{EVENTS}",
        }
        before = len(events)
        resumed_after = events[-1].number if events else 0
        if events:
            headers["Last-Event-Id"] = str(resumed_after)
            if self._names_attempts:
                headers["Resumes"] = first
        address = self._machines.gateways[gateway]["front"]
        connection = http.client.HTTPConnection(address, timeout=left + 1)
        status, ended = 0, False
        try:
            connection.request("POST", "/drafts/x", body=b"x", headers=headers)
            response = connection.getresponse()
            status = response.status
            if status == 200:
                events.extend(_read_events(response))
                ended = len(events) >= EVENTS
        except _Broken as broken:
            events.extend(broken.events)
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        return Try(
            request_id, resumed_after, status, len(events) - before, ended
        )


class _Broken(Exception):
    def __init__(self, events) -> None:
        super().__init__()
        self.events = events


def _read_events(response) -> list[Event]:
    text = b""
    try:
        while piece := response.read1(65_536):
            text += piece
    except (OSError, http.client.HTTPException) as error:
        raise _Broken(_parse(text)) from error
    return _parse(text)


def _parse(text: bytes) -> list[Event]:
    # What follows the last blank line isn't an event yet.
    whole = text.rpartition(b"\n\n")[0]
    words = [
        line.removeprefix(DATA).decode().split()
        for line in whole.split(b"\n")
        if line.startswith(DATA)
    ]
    return [Event(int(number), "".join(rest)) for number, *rest in words]


def play(machines, *, seed, callers=16, seconds, disturb, **options):
    """Let callers ask for streams while something is done to the fleet.

    :param disturb: called with an event that ends it
    :return: all streams
    """
    over = threading.Event()
    threads = [
        Caller(
            machines=machines, over=over, seed=seed, number=number, **options
        )
        for number in range(callers)
    ]
    disturbance = threading.Thread(target=disturb, args=(over,), daemon=True)
    for thread in (*threads, disturbance):
        thread.start()
    time.sleep(seconds)
    over.set()
    for thread in (*threads, disturbance):
        thread.join()
    return [stream for thread in threads for stream in thread.streams]


def list_mixed(streams: list[Stream]) -> list[Stream]:
    """List the streams that hold events of more than one version."""
    return [each for each in streams if len(each.software_versions) > 1]


def list_taken_up(streams: list[Stream]) -> list[Stream]:
    """List the streams that their callers took up after events had come."""
    return [each for each in streams if _take_ups(each)]


def went_on(stream: Stream) -> bool:
    """Tell whether a stream that was taken up got any further event."""
    return any(each.events for each in _take_ups(stream))


def began_share(streams: list[Stream]) -> float:
    """Return the share of the streams of which any event came."""
    return sum(bool(each.events) for each in streams) / max(1, len(streams))


def went_on_share(streams: list[Stream]) -> float:
    """Return the share of the streams taken up that went on."""
    taken_up = list_taken_up(streams)
    return sum(map(went_on, taken_up)) / max(1, len(taken_up))


def _take_ups(stream: Stream) -> list[Try]:
    return [each for each in stream.tries if each.resumed_after]


__all__ = [
    "Caller",
    "Stream",
    "VersionedEngines",
    "VersionedMachines",
    "began_share",
    "list_mixed",
    "list_taken_up",
    "play",
    "went_on",
    "went_on_share",
]

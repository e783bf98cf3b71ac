"""Replaces endpoints of a test's fleet that have ended."""

from __future__ import annotations

from tests.fakes import machines as machines_module


def has_ended(machines, name) -> bool:
    return machines.processes[name].poll() is not None


def replace_ended(machines) -> int:
    ended = [name for name in machines.endpoints if has_ended(machines, name)]
    for name in ended:
        _replace(machines, name)
    return len(ended)


def _replace(machines, name) -> None:
    del machines.endpoints[name]
    machines.remove(f"servers/{name}")
    kind = name.partition("-")[0]
    fresh = f"{kind}-{len(machines.processes)}"
    options = ("--model", "base", "--places", "2") if kind == "engine" else ()
    machines.start_endpoint(fresh, *options)
    machines_module.eventually(lambda: machines.seen(fresh))
    machines.publish(fresh)
    machines_module.eventually(
        lambda: all(
            fresh in _joined(machines, number)
            for number in range(len(machines.gateways))
        )
    )


def _joined(machines, number) -> set[str]:
    return {
        name
        for line in machines.lines(number)
        if line["event"] == "fleet_changed"
        for name in line["joined"]
    }


__all__ = [
    "has_ended",
    "replace_ended",
]

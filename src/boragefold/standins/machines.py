"""Stand-ins for the users' machines, as processes.

They speak what the adapter for these machines speaks, as far as the tests
need it, and note everything that they saw, so that a test can judge from
there what callers and endpoints got.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import click

from boragefold.standins import machines_endpoint
from boragefold.standins import machines_store
from boragefold.standins import process
from boragefold.timing import timers as timing
from boragefold.transport import http_server


def make_store(timers: timing.TimerService) -> http_server.Application:
    """Make a store for a process.

    :param timers: of the process
    :return: what answers its calls
    """
    return machines_store.Store(timers=timers).handle


def make_endpoint(
    **settings: Any,
) -> Callable[[timing.TimerService], http_server.Application]:
    """Make an endpoint for a process.

    :param settings: as the endpoint takes them
    :return: makes what answers its calls
    """
    return lambda timers: (
        machines_endpoint.Endpoint(timers=timers, **settings).handle
    )


@click.group()
def main() -> None:
    """Stand in for the users' machines."""


@main.command()
@click.option("--listen", required=True)
def store(listen: str) -> None:
    """Run the store."""
    process.run(listen, make_store)


@main.command()
@click.option("--listen", required=True)
@click.option("--name", required=True)
@click.option("--model", default="")
@click.option("--places", default=5)
@click.option("--load-seconds", default=0.25)
@click.option("--event-seconds", default=0.005)
@click.option("--software-version", default="")
@click.option("--born", default=1)
def endpoint(listen: str, **settings: Any) -> None:
    """Run one endpoint."""
    process.run(listen, make_endpoint(**settings))


if __name__ == "__main__":
    main()


__all__ = [
    "main",
    "make_endpoint",
    "make_store",
]

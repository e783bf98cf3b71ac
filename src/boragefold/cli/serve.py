"""The subcommand ``serve``: one entry instance."""

from __future__ import annotations

import sys
from typing import Any

import click
import zmq

from boragefold.entry import instance as instances
from boragefold.policy import caller_budget
from boragefold.settings import serve as serve_settings
from boragefold.telemetry import logs

EXIT_BAD_SETTINGS = 2


@click.command()
@click.option("--listen", required=True, help="Callers' face: IP:PORT.")
@click.option("--peer-listen", required=True, help="Peer link: IP:PORT.")
@click.option(
    "--operators-listen", required=True, help="Operators' face: IP:PORT."
)
@click.option(
    "--platform", required=True, help="The configuration service: IP:PORT."
)
@click.option("--data-centre", required=True, help="As it is published.")
@click.option("--peer-secret", default="", help="CURVE secret of the fleet.")
@click.option("--tls-certificate", default="", help="PEM, callers' face.")
@click.option("--tls-key", default="", help="PEM, callers' face.")
@click.option(
    "--stop-notice-seconds",
    default=5.0,
    show_default=True,
    help="How long to go on accepting after turning not ready.",
)
@click.option(
    "--seeds",
    multiple=True,
    help="Peers to ask while the platform is down: DATA_CENTRE/IP:PORT.",
)
@click.option(
    "--json-logs/--text-logs",
    default=False,
    show_default=True,
    help="How log lines are written.",
)
@click.option(
    "--memory-mb",
    default=caller_budget.DEFAULT_MEMORY_MB,
    show_default=True,
    help="Memory that the process may take; bounds what callers may hold.",
)
@click.option(
    "--max-fds",
    default=0,
    show_default=True,
    help="Descriptors that the process may open; 0 for its limit.",
)
@click.option(
    "--header-timeout-seconds",
    default=10.0,
    show_default=True,
    help="How long the head of a request may take to arrive.",
)
@click.option(
    "--idle-timeout-seconds",
    default=75.0,
    show_default=True,
    help="How long a connection may idle, and a body take to arrive.",
)
def serve(**options: Any) -> None:
    """Run one entry instance."""
    settings = serve_settings.ServeSettings(**options)
    faults = serve_settings.faults(settings)
    for fault in faults:
        flag = fault.setting.replace("_", "-")
        click.echo(f"--{flag}: {fault.remedy}", err=True)
    if faults:
        sys.exit(EXIT_BAD_SETTINGS)
    logs.begin(json_lines=settings.json_logs)
    try:
        instance = instances.Instance(settings=settings)
        instance.start()
    except (OSError, zmq.ZMQError) as error:
        click.echo(
            f"can't bind an address: {error}; give --listen, --peer-listen "
            "and --operators-listen ports of this machine that are free",
            err=True,
        )
        sys.exit(EXIT_BAD_SETTINGS)
    instance.loop.run()


__all__ = [
    "serve",
]

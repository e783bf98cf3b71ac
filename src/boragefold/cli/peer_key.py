"""The subcommand ``peer-key``: makes the secret that peers share."""

from __future__ import annotations

import click
import zmq


@click.command("peer-key")
def peer_key() -> None:
    """Print a new secret for BORAGEFOLD_SERVE_PEER_SECRET."""
    _, secret = zmq.curve_keypair()
    click.echo(secret.decode())


__all__ = [
    "peer_key",
]

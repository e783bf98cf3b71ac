"""The command ``boragefold`` and its subcommands."""

from __future__ import annotations

import click

from boragefold.cli import bench
from boragefold.cli import check
from boragefold.cli import demo
from boragefold.cli import inspect
from boragefold.cli import peer_key
from boragefold.cli import serve
from boragefold.cli import story


@click.group(context_settings={"auto_envvar_prefix": "BORAGEFOLD"})
@click.version_option(package_name="boragefold")
def main() -> None:
    """Serve very many LoRA adapters on a few base models."""


main.add_command(bench.bench)
main.add_command(check.check)
main.add_command(demo.demo)
main.add_command(inspect.audit)
main.add_command(inspect.explain)
main.add_command(inspect.status)
main.add_command(peer_key.peer_key)
main.add_command(serve.serve)
main.add_command(story.story)

__all__ = [
    "main",
]

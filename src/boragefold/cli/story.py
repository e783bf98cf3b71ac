"""The subcommand ``story``: a request's or engine's way, from logs."""

from __future__ import annotations

from collections.abc import Iterator
import itertools
import pathlib
import sys

import click

from boragefold.telemetry import log_story

EXIT_UNKNOWN = 1


@click.command()
@click.argument("name")
@click.argument(
    "files",
    nargs=-1,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
def story(name: str, files: tuple[pathlib.Path, ...]) -> None:
    """Tell from logs what became of the request or engine NAME, and why.

    Of an engine, this is who took it up and gave it up, and all orders. FILES
    are the logs of the processes; without any, standard input is read.
    """
    lines = list(_read(files))
    found = log_story.story(name, lines)
    found = found or log_story.engine_story(name, lines)
    if not found:
        click.echo(
            f"no line names {name}; give the logs of every instance of "
            "the caller's or engine's data centre",
            err=True,
        )
        sys.exit(EXIT_UNKNOWN)
    for line in found:
        click.echo(log_story.write(line))


def _read(files: tuple[pathlib.Path, ...]) -> Iterator[log_story.Line]:
    if not files:
        return log_story.read("input", sys.stdin)
    return itertools.chain.from_iterable(
        log_story.read(
            file.stem, file.read_text(errors="replace").splitlines()
        )
        for file in files
    )


__all__ = [
    "story",
]

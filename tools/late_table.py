"""Prints from logs why streamed answers were late, refused or broken off."""

from __future__ import annotations

import pathlib

import click

from boragefold.telemetry import late_table
from boragefold.telemetry import log_story


@click.command()
@click.argument(
    "files",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
def main(files: tuple[pathlib.Path, ...]) -> None:
    """Count the streamed answers in FILES, logs of one or more processes."""
    lines = (
        line
        for file in files
        for line in log_story.read(
            file.stem, file.read_text(errors="replace").splitlines()
        )
    )
    click.echo(f"{'answers':>7} {'median s':>9}  route, outcome, longest part")
    for row in late_table.rows(lines):
        told = " ".join(filter(None, (row.route, row.outcome, row.cause)))
        click.echo(f"{row.answers:>7} {row.median_seconds:>9.3f}  {told}")


if __name__ == "__main__":
    main()

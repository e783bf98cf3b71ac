"""Switches mechanisms off in copies of the sources, to measure their worth."""

from __future__ import annotations

import pathlib
import shutil
import tomllib

import click

ROOT = pathlib.Path(__file__).resolve().parent.parent
MECHANISMS = ROOT / "tools" / "ablations.toml"
NOT_COPIED = shutil.ignore_patterns(
    ".tox", ".venv", "__pycache__", "_build", "journal"
)


def switch_off(tree: pathlib.Path, mechanism: dict[str, str]) -> None:
    """Replace a mechanism in a copy of the sources.

    :param tree: the copy
    :param mechanism: its file, what stands there and what does without it
    :raises click.ClickException: when the sources have changed meanwhile
    """
    path = tree / mechanism["file"]
    text = path.read_text()
    if text.count(mechanism["stands"]) != 1:
        raise click.ClickException(
            f"{mechanism['file']} doesn't hold {mechanism['stands']!r} once; "
            f"bring {MECHANISMS.name} up to date"
        )
    path.write_text(text.replace(mechanism["stands"], mechanism["without"]))


@click.command()
@click.argument(
    "target", type=click.Path(file_okay=False, path_type=pathlib.Path)
)
@click.argument("names", nargs=-1)
def main(target: pathlib.Path, names: tuple[str, ...]) -> None:
    """Copy the sources below TARGET, once for each of NAMES or for all.

    In each copy one mechanism is switched off. Play the same days and seeds
    in all copies, and in one that is left as it is.
    """
    mechanisms = tomllib.loads(MECHANISMS.read_text())
    unknown = set(names) - mechanisms.keys()
    if unknown:
        raise click.BadParameter(f"no such mechanism: {sorted(unknown)}")
    for name in names or mechanisms:
        tree = target / f"without-{name}"
        shutil.copytree(ROOT, tree, ignore=NOT_COPIED)
        switch_off(tree, mechanisms[name])
        click.echo(tree)


if __name__ == "__main__":
    main()

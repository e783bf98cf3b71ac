"""Writes the operators' page of settings from the command itself.

Run ``python -m boragefold.cli.settings_page > docs/operators/settings.md``.
"""

from __future__ import annotations

from collections.abc import Iterator

import click

from boragefold.cli import serve

PREFIX = "BORAGEFOLD_SERVE_"
HEAD = """# Settings

Made by `python -m boragefold.cli.settings_page`; a test holds it against the
code. All faults are named at start, each with its remedy; the exit code is 2.

| Flag | Environment variable | Default | Meaning |
| --- | --- | --- | --- |
"""


def page() -> str:
    """Write the page.

    :return: Markdown
    """
    return HEAD + "\n".join(_rows()) + "\n"


def _rows() -> Iterator[str]:
    for option in serve.serve.params:
        if isinstance(option, click.Option) and option.name:
            flags = "`, `".join([*option.opts, *option.secondary_opts])
            shown = "required" if option.required else _default(option)
            yield (
                f"| `{flags}` | `{PREFIX}{option.name.upper()}` "
                f"| {shown} | {option.help or ''} |"
            )


def _default(option: click.Option) -> str:
    if option.multiple or option.default in ("", None):
        return ""
    return str(option.default)


if __name__ == "__main__":
    click.echo(page(), nl=False)

__all__ = [
    "page",
]

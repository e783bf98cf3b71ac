"""The subcommands that ask an instance what it holds and why."""

from __future__ import annotations

import json
import sys
from typing import Any
from urllib import error
from urllib import parse
from urllib import request

import click

TIMEOUT_SECONDS = 5.0
EXIT_NO_ANSWER = 1

instance_option = click.option(
    "--instance",
    required=True,
    help="Operators' face of an instance: IP:PORT.",
)


def ask(instance: str, page: str, **query: str) -> Any:
    """Ask an instance.

    :param instance: IP number and port of its operators' face
    :param page: which one
    :param query: its arguments
    :return: what it answered; the program ends when it doesn't
    """
    url = f"http://{instance}/{page}?{parse.urlencode(query)}"
    try:
        with request.urlopen(url, timeout=TIMEOUT_SECONDS) as answer:
            return json.load(answer)
    except (error.URLError, OSError, ValueError) as failure:
        click.echo(
            f"{instance} gave no answer ({failure}); "
            "check the address of the operators' face",
            err=True,
        )
        sys.exit(EXIT_NO_ANSWER)


def show(answer: Any) -> None:
    """Print an answer.

    :param answer: plain data
    """
    click.echo(json.dumps(answer, indent=2))


@click.command()
@instance_option
def status(instance: str) -> None:
    """Show what an instance holds: view, configuration, readiness."""
    show(ask(instance, "status"))


@click.command()
@instance_option
@click.argument("request_id")
def explain(instance: str, request_id: str) -> None:
    """Show why a request was served, queued, refused or retried."""
    answer = ask(instance, "explain", request_id=request_id)
    if answer is None:
        click.echo(
            "this instance doesn't know the request; ask the one that "
            "answered it, soon after",
            err=True,
        )
        sys.exit(EXIT_NO_ANSWER)
    show(answer)


@click.command()
@instance_option
@click.option("--path", default="", help="One path of the published tree.")
@click.option("--at", default="", help="A moment: 2026-12-01T10:00:00Z.")
def audit(instance: str, path: str, at: str) -> None:
    """Show what was in force, on this instance, and from when."""
    answer = ask(instance, "audit", path=path, at=at)
    if answer is None:
        click.echo(
            "the moment is older than what this instance has kept; "
            "ask one that runs longer",
            err=True,
        )
        sys.exit(EXIT_NO_ANSWER)
    show(answer)


__all__ = [
    "ask",
    "audit",
    "explain",
    "show",
    "status",
]

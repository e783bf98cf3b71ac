"""``boragefold check``: judges a tree as an instance would."""

from __future__ import annotations

import pathlib
import sys
from urllib import error
from urllib import request

import click

from boragefold.protocol import decoding
from boragefold.protocol import platform_api
from boragefold.state import catalogue as catalogues
from boragefold.state import crosscheck
from boragefold.state import tree as trees
from boragefold.state import tree_file
from boragefold.telemetry import counters as telemetry

URL_TIMEOUT_SECONDS = 30.0
EXIT_REJECTED = 1
# A value is validated at once and blocks the streams of tokens.
LARGE_BYTES = 64 * 1024


def fetch(url: str) -> dict[str, bytes]:
    """Read the tree from the platform's configuration service.

    :param url: the service's, such as ``http://10.0.0.1:8500``
    :return: JSON by path
    """
    address = f"{url.rstrip('/')}{platform_api.TREE_PATH}?after=0"
    try:
        with request.urlopen(address, timeout=URL_TIMEOUT_SECONDS) as answer:
            result = platform_api.decode_tree(answer.read())
    except (error.URLError, TimeoutError, ValueError) as failure:
        raise click.ClickException(
            f"{url} can't be read ({failure}); check the address and that"
            " the service is up"
        ) from failure
    if isinstance(result, platform_api.PlatformFailed):
        raise click.ClickException(
            f"{url} answers with something else than a tree; check the address"
        )
    return {
        change.path: change.data
        for change in result.changes
        if change.data is not None
    }


def read(source: str) -> dict[str, bytes]:
    """Read a tree from wherever it is.

    :param source: a URL, a file or a directory
    :return: JSON by path
    """
    if source.startswith(("http://", "https://")):
        return fetch(source)
    path = pathlib.Path(source)
    if not path.exists():
        raise click.ClickException(f"there is no {source}; check the path")
    try:
        return tree_file.load(path)
    except decoding.ERRORS as failure:
        raise click.ClickException(
            f"{source} is no JSON object of documents by path ({failure})"
        ) from failure


@click.command()
@click.argument("source", metavar="FILE|URL")
@click.option("--strict", is_flag=True, help="fail on warnings too")
def check(source: str, strict: bool) -> None:
    """Judge a published tree as an instance would.

    Prints each path with the digest that an auditor compares, or with the
    reason why it would not come into force and what to do; then warnings
    about what does not fit together between paths.
    """
    counters = telemetry.Counters()
    tree = trees.Tree(counters=counters)
    catalogue = catalogues.Catalogue(tree=tree, counters=counters)
    published = read(source)
    for path, data in sorted(published.items()):
        click.echo(_judge(tree, path, data))
    accepted = {path: tree.document(path) for path, _ in tree}
    misfits = crosscheck.find(accepted, catalogue) + _large(published)
    for misfit in misfits:
        click.echo(f"warning  {misfit.path}: {misfit.reason}; {misfit.remedy}")
    rejected = len(tree.rejections.newest())
    click.echo(
        f"{len(accepted)} accepted, {rejected} rejected,"
        f" {len(misfits)} warnings"
    )
    if rejected or (strict and misfits):
        sys.exit(EXIT_REJECTED)


def _large(published: dict[str, bytes]) -> list[crosscheck.Misfit]:
    return [
        crosscheck.Misfit(
            path,
            f"a large value, {len(data)} bytes",
            f"split it; up to {LARGE_BYTES} bytes hold up no stream",
        )
        for path, data in published.items()
        if len(data) > LARGE_BYTES
    ]


def _judge(tree: trees.Tree, path: str, data: bytes) -> str:
    outcome = tree.apply(path=path, revision=1, data=data)
    match outcome:
        case trees.Applied(change=change):
            return f"accepted {path} {change.digest.hex()}"
        case trees.Refused(rejection=rejection):
            rejected = rejection.rejected
            return f"rejected {path}: {rejected.reason}; {rejected.remedy}"
        case trees.Ignored(reason=reason):
            return f"ignored  {path}: {reason}"


__all__ = [
    "check",
]

"""Measures what a workspace beyond its limit costs the heartbeats.

In virtual time, one workspace sends many times its limit through all
instances. Prints messages and bytes a second of the mean and of the busiest
instance, and the part of them that news of rates take; a message is counted
at its sender and at its receiver, as it is packed.
"""

from __future__ import annotations

import collections
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import click

from boragefold.protocol import envelope
from boragefold.protocol import peer_messages
from boragefold.protocol import rate_ledger_messages
from tests.fakes import rate_walk

MEASURED_SECONDS = 6.0
REQUESTS_PER_SECOND = 60.0


def measure(count: int) -> list[float]:
    """Let a workspace exceed its limit, and count what is sent.

    :param count: how many instances
    :return: messages a second of the mean and the busiest instance, bytes a
        second of both, bytes of news of both, and seconds of processor time
    """
    walk = rate_walk.RateWalk(count, request_tokens=500)
    codec = envelope.Codec(kinds=peer_messages.KINDS)
    counts: collections.Counter[str] = collections.Counter()
    sizes: collections.Counter[str] = collections.Counter()
    news: collections.Counter[str] = collections.Counter()
    post = walk.fleet.network.post

    def counted(sender, to, body):
        size = len(codec.encode(sender=sender, body=body))
        is_news = isinstance(body, rate_ledger_messages.RateNews)
        for address in (sender.address, to.address):
            counts[address] += 1
            sizes[address] += size
            news[address] += size if is_news else 0
        post(sender, to, body)

    walk.fleet.network.post = counted
    began_seconds = time.process_time()
    walk.send(
        MEASURED_SECONDS,
        per_second=REQUESTS_PER_SECOND,
        choose=walk.anywhere,
    )
    return [
        counts.total() / count / MEASURED_SECONDS,
        max(counts.values()) / MEASURED_SECONDS,
        sizes.total() / count / MEASURED_SECONDS,
        max(sizes.values()) / MEASURED_SECONDS,
        news.total() / count / MEASURED_SECONDS,
        max(news.values(), default=0) / MEASURED_SECONDS,
        time.process_time() - began_seconds,
    ]


@click.command()
@click.argument("counts", nargs=-1, type=int)
def main(counts: tuple[int, ...]) -> None:
    """Print a line for each size."""
    click.echo(
        "| Instances | Messages/s | busiest | B/s | busiest | news | busiest "
        "| processor seconds |"
    )
    click.echo("| ---: " * 8 + "|")
    for count in counts or (24, 63):
        figures = " | ".join(f"{each:,.1f}" for each in measure(count))
        click.echo(f"| {count} | {figures} |")


if __name__ == "__main__":
    main()

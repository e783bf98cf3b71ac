"""The subcommand ``demo``: a whole fleet and its callers, in one process."""

from __future__ import annotations

import sys

import click

from boragefold.demo import callers as demo_callers
from boragefold.demo import fleet as demo_fleet

PROGRESS_SECONDS = 1.0
READY_SECONDS = 0.1


class Demo:
    """Runs the demonstration and judges it."""

    def __init__(self) -> None:
        self._fleet = demo_fleet.DemoFleet()
        self._callers = demo_callers.Callers(
            fleet=self._fleet, done=self._fleet.loop.stop
        )

    def run(self) -> list[str]:
        """Run it.

        :return: everything that must hold and did not
        """
        click.echo("starting 6 entry instances, 6 engines and a service ...")
        self._fleet.start()
        self._await_ready()
        self._fleet.timers.every(
            period_seconds=PROGRESS_SECONDS, callback=self._show_progress
        )
        self._fleet.loop.run()
        self._show_table()
        return [*self._callers.faults, *self._broken_promises()]

    def _await_ready(self) -> None:
        if self._fleet.ready():
            click.echo("ready; sending")
            self._callers.start()
        else:
            self._fleet.timers.once(
                delay_seconds=READY_SECONDS, callback=self._await_ready
            )

    def _show_progress(self) -> None:
        callers = self._callers
        if callers.sent_chats:
            click.echo(
                f"  {callers.sent_chats}/{demo_callers.CHATS} chats sent, "
                f"{callers.served.total()} answered, "
                f"{callers.refused.total()} refused"
            )

    def _broken_promises(self) -> list[str]:
        runs = self._fleet.service.runs
        engines = self._fleet.engines.values()
        promises = {
            "a payout ran twice": any(count > 1 for count in runs.values()),
            "payouts were lost": len(runs) != demo_callers.PAYOUTS,
            "an adapter in use was evicted": any(
                engine.evicted_in_use for engine in engines
            ),
            "an endpoint saw a key": self._fleet.service.keys_seen > 0
            or any(face.keys_seen for face in self._fleet.engine_faces),
            "nobody was answered": not self._callers.served,
        }
        return [name for name, broken in promises.items() if broken]

    def _show_table(self) -> None:
        callers = self._callers
        counters = callers.counters
        click.echo("\nright answers     " + str(callers.served.total()))
        for reason, count in sorted(callers.refused.items()):
            click.echo(f"refused           {count}  {reason}")
        for workspace, asked in sorted(callers.asked.items()):
            served = callers.served[workspace]
            click.echo(f"{workspace:20}{served} of {asked} answered")
        p50 = counters.percentile_seconds("chat_seconds", 50)
        p99 = counters.percentile_seconds("chat_seconds", 99)
        click.echo(f"whole answer      p50 {p50:.2f} s, p99 {p99:.2f} s")
        loads = sum(
            engine.loads_done for engine in self._fleet.engines.values()
        )
        click.echo(f"adapter loads     {loads}")
        click.echo(
            f"payouts           {len(self._fleet.service.runs)}, "
            "each sent twice"
        )


@click.command()
def demo() -> None:
    """Run a whole fleet and its callers in this process."""
    broken = Demo().run()
    for promise in broken:
        click.echo(f"BROKEN: {promise}", err=True)
    if broken:
        sys.exit(1)
    click.echo("everything that must hold did")


__all__ = [
    "Demo",
    "demo",
]

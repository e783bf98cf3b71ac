"""Adding up what instances admitted, so that few numbers travel.

Load pattern: dozens of workspaces that send through hundreds of instances.
Told of each instance's sums, everyone holds and hears all workspaces times all
instances. Here an instance gives what it admitted to one hub to count, the
hubs tell each other what they count, and instances the total.

What was admitted stands in one account at a time. It moves to another hub
only if the one that should have counted it is lost: what that one counted and
told in its last moments is then counted twice, and nothing is forgotten.
"""

from __future__ import annotations

from collections.abc import Mapping
import math
from typing import NamedTuple

from boragefold.policy import recent_sums
from boragefold.policy import shared_rate


class HeardTotals(NamedTuple):
    """What a hub said that others admitted, and when it said so last.

    ``basis`` is where that stood when a total was taken out last, or what it
    said first since, and what was taken out as a hub besides.
    """

    at_seconds: float
    others: dict[str, float]
    basis: dict[str, float]


class Statement(NamedTuple):
    """One account: a hub counts its amounts from 0 on.

    Whoever gives its amounts to another hub begins a new account; ``serial``
    tells the accounts of one process apart.
    """

    counter: str
    serial: int
    amounts: dict[str, float]


class RateAccounts:
    """What this instance gives others to count, and counts for them."""

    def __init__(self, *, rate: shared_rate.SharedRate) -> None:
        """Begin as an instance that counts for nobody.

        :param rate: what is admitted here
        """
        self._rate = rate
        self._counter = ""
        self._serial = 0
        # What former accounts hold, what this one was given, what its counter
        # has by its last total, and what it has surely got.
        self._settled: dict[str, float] = {}
        self._given = recent_sums.RecentSums()
        self._counted: dict[str, float] = {}
        self._confirmed: dict[str, float] = {}
        self._sums = recent_sums.RecentSums()
        self._totals = recent_sums.RecentSums()
        self._heard_totals: dict[str, HeardTotals] = {}
        # Where the counter's total stood when it was taken out last.
        self._applied: dict[str, float] = {}
        self._hub_since_seconds = math.inf

    @property
    def counter(self) -> str:
        """Tell who counts what we admit.

        :return: an incarnation; empty if we do, or nobody was chosen
        """
        return self._counter

    def give(self, counter: str, *, now_seconds: float) -> Statement:
        """Give what was admitted here to a hub to count.

        :param counter: the hub's incarnation; empty counts here
        :param now_seconds: reading of the process clock
        :return: what to tell the hub
        """
        if counter != self._counter:
            self._settle()
            self._counter = counter
            self._serial += 1
            self._applied = self._basis(counter)
        if counter:
            self._hub_since_seconds = math.inf
        else:
            self._hub_since_seconds = min(self._hub_since_seconds, now_seconds)
        pending = {
            workspace: amount
            - self._settled.get(workspace, 0.0)
            - self._given.amounts.get(workspace, 0.0)
            for workspace, amount in self._rate.admitted.items()
        }
        self._given.add_all(pending, now_seconds=now_seconds)
        if not counter:
            # Nobody has to confirm it.
            self._counted = dict(self._given.amounts)
            self._confirmed = self._counted
            self._sums.add_all(pending, now_seconds=now_seconds)
            self._totals.add_all(pending, now_seconds=now_seconds)
        return Statement(
            counter, self._serial, self._given.recent(now_seconds=now_seconds)
        )

    def count(
        self, sender: str, statement: Statement, *, now_seconds: float
    ) -> None:
        """Count what another instance gives us.

        :param sender: its incarnation
        :param statement: its account
        :param now_seconds: reading of the process clock
        """
        added = self._rate.hear(
            f"{sender}/{statement.serial}",
            statement.amounts,
            fresh=True,
            now_seconds=now_seconds,
        )
        self._sums.add_all(added, now_seconds=now_seconds)
        self._totals.add_all(added, now_seconds=now_seconds)
        self._raise_bases(added)

    def hear_sums(
        self,
        hub: str,
        sums: Mapping[str, float],
        *,
        uptime_seconds: float,
        now_seconds: float,
    ) -> None:
        """Take out what another hub counts.

        Only hubs do: others hear the same by totals. Whoever becomes a hub
        has heard what was counted until then, and begins with what it is told
        first.

        :param hub: its incarnation
        :param sums: what it counted since it started, by workspace
        :param uptime_seconds: how long ago it started
        :param now_seconds: reading of the process clock
        """
        hub_seconds = now_seconds - self._hub_since_seconds
        if hub_seconds < 0:
            return
        added = self._rate.hear(
            f"{hub}/{self._serial}",
            sums,
            fresh=uptime_seconds < min(hub_seconds, recent_sums.TELL_SECONDS),
            now_seconds=now_seconds,
        )
        self._totals.add_all(added, now_seconds=now_seconds)
        self._raise_bases(added)

    def hear_totals(
        self,
        hub: str,
        totals: Mapping[str, float],
        *,
        now_seconds: float,
    ) -> None:
        """Take out what all hubs count, as one of them tells it.

        The hubs' totals began at different times, so only how the counter's
        own rises is taken out. Of the others it is kept in mind: whoever
        counts next goes on from where its total stood when the former counter
        was heard last.

        :param hub: its incarnation
        :param totals: what it heard of since it started, by workspace
        :param now_seconds: reading of the process clock
        """
        is_counter = hub == self._counter
        if is_counter:
            # The total may have crossed what was given last.
            self._confirmed = self._counted
            self._counted = dict(self._given.amounts)
        others = {
            workspace: amount - self._counted_in_all(workspace)
            for workspace, amount in totals.items()
        }
        before = self._heard_totals.get(hub)
        if before is not None:
            others = {**before.others, **others}
        basis = dict(others) if before is None else before.basis
        self._heard_totals[hub] = HeardTotals(now_seconds, others, basis)
        if not is_counter:
            return
        self._renew_bases()
        self._rate.take_out(
            {
                workspace: amount - self._applied.get(workspace, amount)
                for workspace, amount in others.items()
            }
        )
        self._applied.update(others)

    def forget(self, *, now_seconds: float) -> None:
        """Drop the totals of hubs that were not heard for long.

        :param now_seconds: reading of the process clock
        """
        oldest_seconds = now_seconds - shared_rate.FORGET_SECONDS
        self._heard_totals = {
            hub: heard
            for hub, heard in self._heard_totals.items()
            if heard.at_seconds >= oldest_seconds
        }

    def sums(self, *, now_seconds: float) -> dict[str, float]:
        """Tell other hubs what is counted here.

        :param now_seconds: reading of the process clock
        :return: sums since the start, by workspace that sent lately
        """
        return self._sums.recent(now_seconds=now_seconds)

    def totals(self, *, now_seconds: float) -> dict[str, float]:
        """Tell instances what all hubs count.

        :param now_seconds: reading of the process clock
        :return: sums since the start, by workspace that sent lately
        """
        return self._totals.recent(now_seconds=now_seconds)

    def _counted_in_all(self, workspace: str) -> float:
        settled = self._settled.get(workspace, 0.0)
        return settled + self._counted.get(workspace, 0.0)

    def _basis(self, counter: str) -> dict[str, float]:
        heard = self._heard_totals.get(counter)
        return {} if heard is None else dict(heard.basis)

    def _renew_bases(self) -> None:
        self._heard_totals = {
            hub: heard._replace(basis=dict(heard.others))
            for hub, heard in self._heard_totals.items()
        }

    def _raise_bases(self, added: Mapping[str, float]) -> None:
        # Totals hold this as well.
        for heard in self._heard_totals.values():
            heard.basis.update(
                (workspace, heard.basis[workspace] + amount)
                for workspace, amount in added.items()
                if workspace in heard.basis
            )

    def _settle(self) -> None:
        # What the former counter hasn't confirmed is given to the next.
        for workspace, amount in self._confirmed.items():
            before = self._settled.get(workspace, 0.0)
            self._settled[workspace] = before + amount
        self._given = recent_sums.RecentSums()
        self._counted = {}
        self._confirmed = {}


__all__ = [
    "RateAccounts",
    "Statement",
]

"""Fleet-wide rates of one instance: its own tokens and the rates it holds."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import functools
import itertools
from typing import Any

from boragefold.coordination import link
from boragefold.coordination.rates import grant_pool as grant_pools
from boragefold.coordination.rates import holders
from boragefold.coordination.rates import holding
from boragefold.coordination.rates import ledger as ledgers
from boragefold.coordination.rates import lenders as lending
from boragefold.coordination.rates import limits
from boragefold.coordination.rates import reports as reporting
from boragefold.coordination.rates import shares as sharing
from boragefold.coordination.rates import stock as stocks
from boragefold.coordination.rates import surroundings
from boragefold.coordination.rates import tenure as tenures
import boragefold.coordination.rights as membership
from boragefold.protocol import ids
from boragefold.protocol import rate_messages
from boragefold.telemetry import counters as counting
from boragefold.timing import timers as timing

TICK_SECONDS = 0.25

# Reports wait this long for a request to carry them.
REPORT_SECONDS = 0.5


class Rates:
    """Grants tokens of the held rates and spends tokens granted by others."""

    def __init__(
        self,
        *,
        peers: link.PeerLink,
        rights: membership.Rights,
        timers: timing.TimerService,
        counters: counting.Counters,
    ) -> None:
        """Start without workspaces and weights.

        :param peers: connection to other instances
        :param rights: views that determine the holder of a rate
        :param timers: timer service
        :param counters: receives the counts of shortfalls and transfers
        """
        self._link = peers
        self._rights = rights
        self._timers = timers
        self._workspaces: dict[str, limits.Limit] = {}
        self._budgets: dict[str, limits.Limit] = {}
        self._limits: dict[str, limits.Limit] = {}
        self._numbers = itertools.count()
        self._wake_timers: dict[str, timing.Subscription] = {}
        self._shares = sharing.Shares(
            peers=peers,
            rights=rights,
            timers=timers,
            counters=counters,
            changed=self._apply_limits,
        )
        self._holding = holding.Holding(rights=rights)
        self._holders = holders.Holders(
            rights=rights,
            holding=self._holding,
            now_seconds=timers.now_seconds,
            counters=counters,
            begin=self._create_tenure,
            send=self._send,
        )
        self.stock = stocks.LeasedStock(
            timers=timers,
            counters=counters,
            limit_of=lambda workspace: self._limits.get(workspace),
            open_grant_pool=self._open_grant_pool,
            has_holder=lambda workspace: (
                self._holding.here(workspace) is not None
            ),
        )
        self._reports = reporting.Reports(
            send=self._send, numbers=self._numbers
        )
        self._handlers: dict[type, Callable[[ids.InstanceId, Any], None]] = {
            rate_messages.TokensAsked: self._receive_request,
            rate_messages.TokensGiven: self._receive_grant,
            rate_messages.UsagesReported: self._receive_reports,
            rate_messages.UsagesNoted: self._receive_acknowledgement,
            rate_messages.BucketHandedOver: self._holders.handed_over,
        }
        for kind, handler in self._handlers.items():
            peers.subscribe(kind, handler)
        rights.subscribe(self._view_changed)
        timers.every(period_seconds=TICK_SECONDS, callback=self._tick)

    def update_workspaces(self, rates: Mapping[str, limits.Limit]) -> None:
        """Apply the published rates immediately.

        :param rates: fleet-wide rate and burst by workspace
        """
        self._workspaces = dict(rates)
        self._apply_limits()

    def update_budgets(self, budgets: Mapping[str, limits.Limit]) -> None:
        """Apply other fleet-wide limits, which are handled like rates.

        :param budgets: limits by a name that differs from all workspaces
        """
        self._budgets = dict(budgets)
        self._apply_limits()

    def update_data_centres(
        self, *, revision: int, weights: Mapping[str, float]
    ) -> None:
        """Apply published weights; an increase waits until it is safe.

        :param revision: revision of the document; rises with every change
        :param weights: weight by data centre
        """
        self._shares.update(revision=revision, weights=weights)

    def leave(self) -> None:
        """Hand over all buckets at the start of a planned stop."""
        self._holders.give_up()

    def buckets(self, now_seconds: float) -> list[ledgers.Ledger]:
        """List the buckets that this instance holds now, for inspection.

        :param now_seconds: current time
        :return: buckets, refilled up to that time
        """
        held = [
            tenure.ledger
            for workspace in self._limits
            if (tenure := self._holders.tenure(workspace)) is not None
        ]
        for ledger in held:
            ledger.advance(now_seconds)
            ledger.recount()
        return held

    def _apply_limits(self) -> None:
        self._limits = {**self._workspaces, **self._budgets}
        self._holders.update(
            {
                workspace: self._shares.own_limit(limit)
                for workspace, limit in self._limits.items()
            }
        )

    def _view_changed(self, view: membership.View | None) -> None:
        self._holders.review()
        self.stock.holder_changed()

    def _tick(self) -> None:
        for tenure in self._holders:
            tenure.tick()
        self.stock.tick()
        self._reports.flush(
            itertools.chain(self._granted_pools(), self._borrowed_pools()),
            after_seconds=REPORT_SECONDS,
        )

    def _granted_pools(self) -> Iterator[reporting.Due]:
        for workspace, grant_pool in self.stock.items():
            find = functools.partial(self._holding.here, workspace)
            yield reporting.Due(find, workspace, grant_pool)

    def _borrowed_pools(self) -> Iterator[reporting.Due]:
        for tenure in self._holders:
            for data_centre, grant_pool in tenure.lenders.items():
                find = functools.partial(
                    self._holding.elsewhere, data_centre, tenure.workspace
                )
                yield reporting.Due(find, tenure.workspace, grant_pool)

    def _create_tenure(
        self, workspace: str, ledger: ledgers.Ledger
    ) -> tenures.Tenure:
        return tenures.Tenure(
            ledger=ledger,
            lenders=lending.Lenders(
                workspace=workspace,
                now_seconds=self._timers.now_seconds,
                send=self._ask_lender,
                numbers=self._numbers,
            ),
            around=surroundings.Surroundings(
                workspace=workspace,
                data_centre=self._link.self_id.data_centre,
                send=self._send,
                holds=lambda: self._holding.ours(workspace),
                lender_parts=lambda: self._lender_parts(workspace),
            ),
            now_seconds=self._timers.now_seconds,
        )

    def _lender_parts(self, workspace: str) -> dict[str, limits.Limit]:
        parts = self._shares.parts(self._limits[workspace])
        views = self._rights.directory()
        own_name = self._link.self_id.data_centre
        return {
            name: part
            for name, part in parts.items()
            if name != own_name
            and part.burst_tokens > 0
            and name in views
            and views[name].members
        }

    def _open_grant_pool(self, workspace: str) -> grant_pools.GrantPool:
        return grant_pools.GrantPool(
            workspace=workspace,
            now_seconds=self._timers.now_seconds,
            send=self._ask_holder,
            numbers=self._numbers,
        )

    def _ask_holder(self, asked: rate_messages.TokensAsked) -> None:
        holder = self._holding.here(asked.workspace)
        if holder is not None:
            self._send(holder, asked)

    def _ask_lender(
        self, data_centre: str, asked: rate_messages.TokensAsked
    ) -> None:
        lender = self._holding.elsewhere(data_centre, asked.workspace)
        if lender is not None:
            self._send(lender, asked)

    def _send(self, to: ids.InstanceId, body: Any) -> None:
        if to != self._link.self_id:
            self._link.send(to=to, body=body)
        else:
            self._handlers[type(body)](to, body)

    def _receive_reports(
        self, sender: ids.InstanceId, reported: rate_messages.UsagesReported
    ) -> None:
        for report in reported.reports:
            tenure = self._holders.tenure(report.workspace)
            if tenure is not None:
                tenure.reported(sender, report.usages)
        self._send(sender, rate_messages.UsagesNoted(reported.number))

    def _receive_acknowledgement(
        self, sender: ids.InstanceId, noted: rate_messages.UsagesNoted
    ) -> None:
        self._reports.noted(noted.number)

    def _receive_request(
        self, sender: ids.InstanceId, asked: rate_messages.TokensAsked
    ) -> None:
        tenure = self._holders.tenure(asked.workspace)
        if tenure is not None:
            tenure.asked(sender, asked)
            self._serve(asked.workspace, tenure)

    def _receive_grant(
        self, sender: ids.InstanceId, given: rate_messages.TokensGiven
    ) -> None:
        if sender.data_centre == self._link.self_id.data_centre:
            self.stock.answer(given)
            return
        tenure = self._holders.tenure(given.workspace)
        if tenure is not None:
            tenure.answered(sender, given)
            self._serve(given.workspace, tenure)

    def _serve(self, workspace: str, tenure: tenures.Tenure) -> None:
        delay_seconds = tenure.serve()
        wake = self._wake_timers.pop(workspace, None)
        if wake is not None:
            wake.cancel()
        if delay_seconds is not None:
            self._wake_timers[workspace] = self._timers.once(
                delay_seconds=delay_seconds,
                callback=lambda: self._wake(workspace),
            )

    def _wake(self, workspace: str) -> None:
        tenure = self._holders.tenure(workspace)
        if tenure is not None:
            self._serve(workspace, tenure)


__all__ = [
    "Rates",
]

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
from boragefold.coordination.rates import granted_tokens
from boragefold.coordination.rates import held_rates
from boragefold.coordination.rates import holder_context
from boragefold.coordination.rates import holder_lookup
from boragefold.coordination.rates import ledger as ledgers
from boragefold.coordination.rates import lenders as lending
from boragefold.coordination.rates import limits
from boragefold.coordination.rates import rate_holder as rate_holders
from boragefold.coordination.rates import reports as reporting
from boragefold.coordination.rates import shares as sharing
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
        self._other_limits: dict[str, limits.Limit] = {}
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
        self._holder_lookup = holder_lookup.HolderLookup(rights=rights)
        self._held_rates = held_rates.HeldRates(
            rights=rights,
            holder_lookup=self._holder_lookup,
            now_seconds=timers.now_seconds,
            counters=counters,
            begin=self._create_rate_holder,
            send=self._send,
        )
        self.token_balance = granted_tokens.GrantedTokens(
            timers=timers,
            counters=counters,
            limit_of=lambda workspace: self._limits.get(workspace),
            open_grant_pool=self._open_grant_pool,
            has_holder=lambda workspace: (
                self._holder_lookup.find_local(workspace) is not None
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
            rate_messages.BucketHandedOver: self._held_rates.receive_bucket,
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

    def update_other_limits(
        self, other_limits: Mapping[str, limits.Limit]
    ) -> None:
        """Apply other fleet-wide limits, which are handled like rates.

        :param other_limits: limits by a name that differs from all workspaces
        """
        self._other_limits = dict(other_limits)
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
        self._held_rates.hand_over_all()

    def buckets(self, now_seconds: float) -> list[ledgers.Ledger]:
        """List the buckets that this instance holds now, for inspection.

        :param now_seconds: current time
        :return: buckets, refilled up to that time
        """
        held = [
            rate_holder.ledger
            for workspace in self._limits
            if (rate_holder := self._held_rates.find(workspace)) is not None
        ]
        for ledger in held:
            ledger.advance(now_seconds)
            ledger.replay()
        return held

    def _apply_limits(self) -> None:
        self._limits = {**self._workspaces, **self._other_limits}
        self._held_rates.update(
            {
                workspace: self._shares.own_limit(limit)
                for workspace, limit in self._limits.items()
            }
        )

    def _view_changed(self, view: membership.View | None) -> None:
        self._held_rates.apply_view()
        self.token_balance.reset_requests()

    def _tick(self) -> None:
        for rate_holder in self._held_rates:
            rate_holder.tick()
        self.token_balance.tick()
        self._reports.flush(
            itertools.chain(self._granted_pools(), self._borrowed_pools()),
            after_seconds=REPORT_SECONDS,
        )

    def _granted_pools(self) -> Iterator[reporting.ReportSource]:
        for workspace, grant_pool in self.token_balance.items():
            find = functools.partial(self._holder_lookup.find_local, workspace)
            yield reporting.ReportSource(find, workspace, grant_pool)

    def _borrowed_pools(self) -> Iterator[reporting.ReportSource]:
        for rate_holder in self._held_rates:
            for data_centre, grant_pool in rate_holder.lenders.items():
                find = functools.partial(
                    self._holder_lookup.find_remote,
                    data_centre,
                    rate_holder.workspace,
                )
                yield reporting.ReportSource(
                    find, rate_holder.workspace, grant_pool
                )

    def _create_rate_holder(
        self, workspace: str, ledger: ledgers.Ledger
    ) -> rate_holders.RateHolder:
        return rate_holders.RateHolder(
            ledger=ledger,
            lenders=lending.Lenders(
                workspace=workspace,
                now_seconds=self._timers.now_seconds,
                send=self._ask_lender,
                numbers=self._numbers,
            ),
            context=holder_context.HolderContext(
                workspace=workspace,
                data_centre=self._link.self_id.data_centre,
                send=self._send,
                holds=lambda: self._holder_lookup.is_own(workspace),
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
        holder = self._holder_lookup.find_local(asked.workspace)
        if holder is not None:
            self._send(holder, asked)

    def _ask_lender(
        self, data_centre: str, asked: rate_messages.TokensAsked
    ) -> None:
        lender = self._holder_lookup.find_remote(data_centre, asked.workspace)
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
            rate_holder = self._held_rates.find(report.workspace)
            if rate_holder is not None:
                rate_holder.receive_reports(sender, report.usages)
        self._send(sender, rate_messages.UsagesNoted(reported.number))

    def _receive_acknowledgement(
        self, sender: ids.InstanceId, noted: rate_messages.UsagesNoted
    ) -> None:
        self._reports.acknowledge(noted.number)

    def _receive_request(
        self, sender: ids.InstanceId, asked: rate_messages.TokensAsked
    ) -> None:
        rate_holder = self._held_rates.find(asked.workspace)
        if rate_holder is not None:
            rate_holder.receive_request(sender, asked)
            self._serve(asked.workspace, rate_holder)

    def _receive_grant(
        self, sender: ids.InstanceId, given: rate_messages.TokensGiven
    ) -> None:
        if sender.data_centre == self._link.self_id.data_centre:
            self.token_balance.receive(given)
            return
        rate_holder = self._held_rates.find(given.workspace)
        if rate_holder is not None:
            rate_holder.receive_loan(sender, given)
            self._serve(given.workspace, rate_holder)

    def _serve(
        self, workspace: str, rate_holder: rate_holders.RateHolder
    ) -> None:
        delay_seconds = rate_holder.serve()
        wake = self._wake_timers.pop(workspace, None)
        if wake is not None:
            wake.cancel()
        if delay_seconds is not None:
            self._wake_timers[workspace] = self._timers.once(
                delay_seconds=delay_seconds,
                callback=lambda: self._wake(workspace),
            )

    def _wake(self, workspace: str) -> None:
        rate_holder = self._held_rates.find(workspace)
        if rate_holder is not None:
            self._serve(workspace, rate_holder)


__all__ = [
    "Rates",
]

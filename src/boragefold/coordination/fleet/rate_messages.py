"""What heartbeats carry of workspaces' rates."""

from __future__ import annotations

from collections.abc import Callable

from boragefold.coordination.fleet import members as members_module
from boragefold.coordination.fleet import routes as routes_module
from boragefold.policy import rate_accounts
from boragefold.protocol import ids
from boragefold.protocol import peer_messages as messages
from boragefold.timing import timers as timing

Amounts = dict[str, float]


class RateMessages:
    """Brings the accounts of rates into heartbeats and out of them."""

    def __init__(
        self,
        *,
        self_id: ids.InstanceId,
        members: members_module.Members,
        accounts: rate_accounts.RateAccounts,
        timers: timing.TimerService,
    ) -> None:
        """Begin as an instance that nobody gives accounts.

        :param self_id: who we are
        :param members: the other instances
        :param accounts: what was admitted, here and elsewhere
        :param timers: the process clock
        """
        self._self_id = self_id
        self._members = members
        self._accounts = accounts
        self._timers = timers
        self._counts_rates = False
        self._counts_at_seconds: dict[str, float] = {}
        self._counting_since_seconds: dict[str, float] = {}

    def account(self, routes: routes_module.Chosen) -> messages.Account | None:
        """State what we admitted, for the hub that counts it.

        :param routes: whom we speak to
        :return: the account; None where we count ourselves, or no hub counts
        """
        self._counts_rates = routes.counts
        now_seconds = self._timers.now_seconds()
        counter = self._choose_counter(routes)
        if counter is None:
            return None
        statement = self._accounts.give(counter, now_seconds=now_seconds)
        if not counter:
            return None
        return messages.Account(
            statement.counter, statement.serial, _plain(statement.amounts)
        )

    def sums(self, routes: routes_module.Chosen) -> Amounts | None:
        """State what we count.

        :param routes: whom we speak to
        :return: sums by workspace; None from whoever counts none
        """
        return self._told(routes, self._accounts.sums)

    def totals(self, routes: routes_module.Chosen) -> Amounts | None:
        """State what all hubs count.

        :param routes: whom we speak to
        :return: sums by workspace; None from whoever counts none
        """
        return self._told(routes, self._accounts.totals)

    def take(
        self, sender: ids.InstanceId, heartbeat: messages.Heartbeat
    ) -> None:
        """Take over what a heartbeat says of rates.

        :param sender: whose it is
        :param heartbeat: the heartbeat
        """
        now_seconds = self._timers.now_seconds()
        account = heartbeat.account
        is_ours = (
            account is not None
            and account.counter == self._self_id.incarnation
        )
        if account is not None and is_ours and self._counts_rates:
            self._accounts.count(
                sender.incarnation,
                rate_accounts.Statement(*account),
                now_seconds=now_seconds,
            )
        if heartbeat.sums is not None:
            self._accounts.hear_sums(
                sender.incarnation,
                heartbeat.sums,
                uptime_seconds=heartbeat.beat.uptime_seconds,
                now_seconds=now_seconds,
            )
        if heartbeat.totals is not None:
            hub = sender.incarnation
            self._counts_at_seconds[hub] = now_seconds
            self._counting_since_seconds.setdefault(hub, now_seconds)
            self._accounts.hear_totals(
                hub,
                heartbeat.totals,
                now_seconds=now_seconds,
            )

    def forget(self) -> None:
        """Drop what was heard of hubs that are gone."""
        now_seconds = self._timers.now_seconds()
        self._accounts.forget(now_seconds=now_seconds)
        self._counts_at_seconds = {
            hub: heard_at_seconds
            for hub, heard_at_seconds in self._counts_at_seconds.items()
            if self._counts(hub)
        }
        self._counting_since_seconds = {
            hub: since_seconds
            for hub, since_seconds in self._counting_since_seconds.items()
            if hub in self._counts_at_seconds
        }

    def _told(
        self, routes: routes_module.Chosen, tell: Callable[..., Amounts]
    ) -> Amounts | None:
        if not routes.counts:
            return None
        return _plain(tell(now_seconds=self._timers.now_seconds()))

    def _choose_counter(self, routes: routes_module.Chosen) -> str | None:
        if routes.counts:
            return ""
        hubs = [
            self._members.identity(address).incarnation
            for address in routes.targets
        ]
        counts = list(filter(self._counts, hubs))
        if self._accounts.counter in counts:
            return self._accounts.counter
        # One that has just started has not heard of all hubs yet.
        return min(counts, key=self._counting_since, default=None)

    def _counting_since(self, incarnation: str) -> float:
        return self._counting_since_seconds[incarnation]

    def _counts(self, incarnation: str) -> bool:
        oldest = self._timers.now_seconds() - self._members.silent_seconds()
        heard_at_seconds = self._counts_at_seconds.get(incarnation)
        return heard_at_seconds is not None and heard_at_seconds >= oldest


def _plain(amounts: Amounts) -> Amounts:
    # A whole number takes a third of the bytes of a float.
    return {
        workspace: int(amount) if float(amount).is_integer() else amount
        for workspace, amount in amounts.items()
    }


__all__ = [
    "RateMessages",
]

"""Tokens that this instance may spend, granted by the holders of the rates."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from boragefold.coordination.rates import account as accounts
from boragefold.coordination.rates import grant_pool as grant_pools
from boragefold.coordination.rates import limits
from boragefold.coordination.rates import usage
from boragefold.policy import stock
from boragefold.protocol import rate_messages
from boragefold.telemetry import counters as counting
from boragefold.timing import timers as timing

# Tokens are requested ahead of need, so that most requests need not wait.
AHEAD_SECONDS = 0.5
LOW_SECONDS = 0.2

# With fewer recent requests most tokens fetched ahead would remain unused.
MIN_FETCH_REQUESTS = 3

# Delay after a response without tokens to a request that only fetched ahead.
REPEAT_SECONDS = 0.005

# After this many unanswered requests the holder is considered dead until the
# next view selects one.
MAX_UNANSWERED = 2

# Usual duration of a view change.
NO_HOLDER_SECONDS = 1.0


class LeasedStock(stock.Stock):
    """Spends granted tokens and requests more from the holder."""

    def __init__(
        self,
        *,
        timers: timing.TimerService,
        counters: counting.Counters,
        limit_of: Callable[[str], limits.Limit | None],
        open_grant_pool: Callable[[str], grant_pools.GrantPool],
        has_holder: Callable[[str], bool],
    ) -> None:
        """Start without tokens.

        :param timers: timer service
        :param counters: receives the counts of shortfalls
        :param limit_of: returns the fleet-wide limit of a workspace
        :param open_grant_pool: creates the grant pool of a workspace
        :param has_holder: returns whether a holder of the rate is known
        """
        self._timers = timers
        self._counters = counters
        self._limit_of = limit_of
        self._open_grant_pool = open_grant_pool
        self._has_holder = has_holder
        self._accounts: dict[str, accounts.Account] = {}
        self._callbacks: list[Callable[[str], None]] = []
        self._reserving = False

    def reserve(
        self, *, workspace: str, tokens: float
    ) -> stock.Reservation | stock.Shortfall:
        """Reserve tokens, or return a shortfall with the expected wait.

        :param workspace: workspace whose rate is charged
        :param tokens: prompt tokens plus the maximum of generated tokens
        :return: a reservation or a shortfall
        """
        limit = self._limit_of(workspace)
        if limit is None:
            return self._create_shortfall("no_such_workspace", None)
        if tokens > limit.burst_tokens + limits.TINY_TOKENS:
            return self._create_shortfall("larger_than_burst", None)
        account = self._account(workspace)
        now_seconds = self._timers.now_seconds()
        if not account.covers(tokens):
            self._record_demand(workspace, account, tokens)
        if not account.covers(tokens):
            return self._shortfall(workspace, account)
        draft = account.grant_pool.take(tokens)
        if account.fetch_ahead:
            account.use.add(tokens, now_seconds)
        account.wanted_tokens = 0.0
        self._fetch_ahead(account, tokens)
        return accounts.Charged(
            workspace=workspace, tokens=tokens, draft=draft
        )

    def settle(
        self, reservation: stock.Reservation, *, used_tokens: float
    ) -> None:
        """Return the unused tokens of a request that has ended.

        :param reservation: result of :meth:`reserve`
        :param used_tokens: prompt and generated tokens that were used
        """
        if reservation.settled or not isinstance(
            reservation, accounts.Charged
        ):
            return
        reservation.settled = True
        account = self._account(reservation.workspace)
        excess_tokens = used_tokens - reservation.tokens
        if excess_tokens > 0:
            # Charging the excess prevents it from being granted again.
            self._counters.add("rate_overruns", "", excess_tokens)
            left_tokens = account.grant_pool.left_tokens()
            extra = account.grant_pool.take(min(excess_tokens, left_tokens))
            account.grant_pool.settle(extra, used_tokens=excess_tokens)
        before_tokens = account.grant_pool.left_tokens()
        account.grant_pool.settle(reservation.draft, used_tokens=used_tokens)
        if account.grant_pool.left_tokens() > before_tokens:
            self._wake(reservation.workspace, account)

    def subscribe(self, callback: Callable[[str], None]) -> None:
        """Register a callback for workspaces that received tokens.

        :param callback: called with the workspace
        """
        self._callbacks.append(callback)

    def answer(self, given: rate_messages.TokensGiven) -> None:
        """Process the holder's response.

        :param given: tokens, or a refusal
        """
        account = self._accounts.get(given.workspace)
        if account is None:
            return
        got_more = account.grant_pool.answer(given)
        if got_more:
            account.refused_tokens = 0.0
            self._wake(given.workspace, account)
        elif given.tokens > 0 or given.queued:
            return
        elif given.ready_in_seconds > 0:
            account.refused_tokens = account.wanted_tokens
            self._retry_later(given.workspace, account, given.ready_in_seconds)
        else:
            # This refused a request that only fetched ahead; a waiting
            # request needs tokens now.
            self._retry_later(given.workspace, account, REPEAT_SECONDS)

    def holder_changed(self) -> None:
        """Repeat requests that were sent to a previous holder."""
        for workspace, account in self._accounts.items():
            account.grant_pool.forget_request()
            account.refused_tokens = 0.0
            self._retry_later(workspace, account, 0.0)

    def tick(self) -> None:
        """Close expired grants, repeat overdue requests, drop idle pools."""
        for workspace, account in list(self._accounts.items()):
            account.grant_pool.tick()
            if account.grant_pool.overdue:
                self._ask_if_wanted(workspace, account)
            idle = account.grant_pool.idle and not account.grant_pool.in_flight
            if idle and not account.is_wanted(self._timers.now_seconds()):
                del self._accounts[workspace]

    def items(self) -> Iterable[tuple[str, grant_pools.GrantPool]]:
        """List the grants of this instance.

        :return: grant pools by workspace
        """
        return [
            (workspace, account.grant_pool)
            for workspace, account in self._accounts.items()
        ]

    def _create_shortfall(
        self, reason: str, ready_in_seconds: float | None
    ) -> stock.Shortfall:
        self._counters.add("rate_shortfalls", reason)
        return stock.Shortfall(ready_in_seconds=ready_in_seconds)

    def _create_no_holder_shortfall(self, reason: str) -> stock.Shortfall:
        self._counters.add("rate_shortfalls", reason)
        return stock.Shortfall(
            ready_in_seconds=NO_HOLDER_SECONDS, no_holder=True
        )

    def _shortfall(
        self, workspace: str, account: accounts.Account
    ) -> stock.Shortfall:
        now_seconds = self._timers.now_seconds()
        left_seconds = account.grant_pool.ready_at_seconds - now_seconds
        if not self._has_holder(workspace):
            return self._create_no_holder_shortfall("no_holder")
        if account.grant_pool.unanswered >= MAX_UNANSWERED:
            return self._create_no_holder_shortfall("unanswered")
        if account.grant_pool.in_flight:
            wait_seconds = max(limits.IN_FLIGHT_SECONDS, left_seconds)
            return self._create_shortfall("asking", wait_seconds)
        return self._create_shortfall(
            "empty", max(limits.IN_FLIGHT_SECONDS, left_seconds)
        )

    def _account(self, workspace: str) -> accounts.Account:
        if workspace not in self._accounts:
            limit = self._limit_of(workspace)
            self._accounts[workspace] = accounts.Account(
                grant_pool=self._open_grant_pool(workspace),
                use=usage.RecentUse(),
                fetch_ahead=limit is not None and limit.fetch_ahead,
            )
        return self._accounts[workspace]

    def _record_demand(
        self, workspace: str, account: accounts.Account, tokens: float
    ) -> None:
        now_seconds = self._timers.now_seconds()
        if not account.is_wanted(self._timers.now_seconds()):
            account.wanted_tokens = 0.0
        account.wanted_tokens = max(account.wanted_tokens, tokens)
        account.wanted_at_seconds = now_seconds
        if account.grant_pool.in_flight:
            return
        refused = (
            now_seconds < account.grant_pool.ready_at_seconds
            and tokens >= account.refused_tokens > 0
        )
        if not refused:
            self._ask(workspace, account, tokens)

    def _ask(
        self, workspace: str, account: accounts.Account, tokens: float
    ) -> None:
        if not self._has_holder(workspace):
            self._retry_later(workspace, account, limits.RETRY_SECONDS)
            return
        needed_tokens = max(0.0, tokens - account.grant_pool.left_tokens())
        self._ask_without_waking(account, needed_tokens)

    def _ask_without_waking(
        self, account: accounts.Account, needed_tokens: float
    ) -> None:
        # The response may arrive within the caller's own call; waking
        # subscribers then would make it reserve twice.
        use_tokens = account.use.tokens(self._timers.now_seconds())
        was_reserving, self._reserving = self._reserving, True
        try:
            account.grant_pool.ask(
                needed_tokens=needed_tokens,
                ahead_tokens=max(0.0, use_tokens - needed_tokens)
                * AHEAD_SECONDS,
            )
        finally:
            self._reserving = was_reserving

    def _fetch_ahead(self, account: accounts.Account, tokens: float) -> None:
        now_seconds = self._timers.now_seconds()
        use_tokens = account.use.tokens(now_seconds)
        if use_tokens < MIN_FETCH_REQUESTS * tokens:
            return
        if account.grant_pool.left_tokens() >= use_tokens * LOW_SECONDS:
            return
        if account.grant_pool.in_flight:
            return
        if now_seconds < account.grant_pool.ready_at_seconds:
            return
        self._ask_without_waking(account, 0.0)

    def _ask_if_wanted(
        self, workspace: str, account: accounts.Account
    ) -> None:
        if (
            not account.is_wanted(self._timers.now_seconds())
            or account.grant_pool.in_flight
        ):
            return
        if not account.covers(account.wanted_tokens):
            self._ask(workspace, account, account.wanted_tokens)
        if account.covers(account.wanted_tokens):
            self._wake(workspace, account)

    def _retry_later(
        self, workspace: str, account: accounts.Account, delay_seconds: float
    ) -> None:
        if account.retry is not None:
            account.retry.cancel()
        account.retry = self._timers.once(
            delay_seconds=delay_seconds,
            callback=lambda: self._ask_if_wanted(workspace, account),
        )

    def _wake(self, workspace: str, account: accounts.Account) -> None:
        if self._reserving:
            return
        for callback in self._callbacks:
            callback(workspace)


__all__ = [
    "LeasedStock",
]

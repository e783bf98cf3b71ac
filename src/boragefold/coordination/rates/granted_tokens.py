"""Tokens that this instance may spend, granted by the holders of the rates."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from boragefold.coordination.rates import grant_pool as grant_pools
from boragefold.coordination.rates import limits
from boragefold.coordination.rates import usage
from boragefold.coordination.rates import workspace_state as workspace_states
from boragefold.policy import token_balance
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


class GrantedTokens(token_balance.TokenBalance):
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
        self._states: dict[str, workspace_states.WorkspaceState] = {}
        self._callbacks: list[Callable[[str], None]] = []
        self._reserving = False

    def reserve(
        self, *, workspace: str, tokens: float
    ) -> token_balance.Reservation | token_balance.Shortfall:
        """Reserve tokens, or return a shortfall with the expected wait.

        :param workspace: workspace whose rate is charged
        :param tokens: prompt tokens plus the maximum of generated tokens
        :return: a reservation or a shortfall
        """
        limit = self._limit_of(workspace)
        if limit is None:
            return self._create_shortfall("no_such_workspace", None)
        if tokens > limit.burst_tokens + limits.EPSILON_TOKENS:
            return self._create_shortfall("larger_than_burst", None)
        state = self._state(workspace)
        now_seconds = self._timers.now_seconds()
        if not state.has_tokens(tokens):
            self._record_demand(workspace, state, tokens)
        if not state.has_tokens(tokens):
            return self._shortfall(workspace, state)
        charge = state.grant_pool.charge(tokens)
        if state.fetch_ahead:
            state.use.add(tokens, now_seconds)
        state.demand_tokens = 0.0
        self._fetch_ahead(state, tokens)
        return workspace_states.ChargedReservation(
            workspace=workspace, tokens=tokens, charge=charge
        )

    def settle(
        self, reservation: token_balance.Reservation, *, used_tokens: float
    ) -> None:
        """Return the unused tokens of a request that has ended.

        :param reservation: result of :meth:`reserve`
        :param used_tokens: prompt and generated tokens that were used
        """
        if reservation.settled or not isinstance(
            reservation, workspace_states.ChargedReservation
        ):
            return
        reservation.settled = True
        state = self._state(reservation.workspace)
        excess_tokens = used_tokens - reservation.tokens
        if excess_tokens > 0:
            # Charging the excess prevents it from being granted again.
            self._counters.add("rate_overruns", "", excess_tokens)
            available_tokens = state.grant_pool.available_tokens()
            extra = state.grant_pool.charge(
                min(excess_tokens, available_tokens)
            )
            state.grant_pool.settle(extra, used_tokens=excess_tokens)
        before_tokens = state.grant_pool.available_tokens()
        state.grant_pool.settle(reservation.charge, used_tokens=used_tokens)
        if state.grant_pool.available_tokens() > before_tokens:
            self._wake(reservation.workspace, state)

    def subscribe(self, callback: Callable[[str], None]) -> None:
        """Register a callback for workspaces that received tokens.

        :param callback: called with the workspace
        """
        self._callbacks.append(callback)

    def receive(self, given: rate_messages.TokensGiven) -> None:
        """Process the holder's response.

        :param given: tokens, or a refusal
        """
        state = self._states.get(given.workspace)
        if state is None:
            return
        got_more = state.grant_pool.receive(given)
        if got_more:
            state.refused_tokens = 0.0
            self._wake(given.workspace, state)
        elif given.tokens > 0 or given.queued:
            return
        elif given.ready_in_seconds > 0:
            state.refused_tokens = state.demand_tokens
            self._retry_later(given.workspace, state, given.ready_in_seconds)
        else:
            # This refused a request that only fetched ahead; a waiting
            # request needs tokens now.
            self._retry_later(given.workspace, state, REPEAT_SECONDS)

    def reset_requests(self) -> None:
        """Repeat requests that were sent to a previous holder."""
        for workspace, state in self._states.items():
            state.grant_pool.cancel_request()
            state.refused_tokens = 0.0
            self._retry_later(workspace, state, 0.0)

    def tick(self) -> None:
        """Close expired grants, repeat overdue requests, drop idle pools."""
        for workspace, state in list(self._states.items()):
            state.grant_pool.tick()
            if state.grant_pool.overdue:
                self._request_if_needed(workspace, state)
            idle = state.grant_pool.idle and not state.grant_pool.in_flight
            if idle and not state.has_demand(self._timers.now_seconds()):
                del self._states[workspace]

    def items(self) -> Iterable[tuple[str, grant_pools.GrantPool]]:
        """List the grants of this instance.

        :return: grant pools by workspace
        """
        return [
            (workspace, state.grant_pool)
            for workspace, state in self._states.items()
        ]

    def _create_shortfall(
        self, reason: str, ready_in_seconds: float | None
    ) -> token_balance.Shortfall:
        self._counters.add("rate_shortfalls", reason)
        return token_balance.Shortfall(ready_in_seconds=ready_in_seconds)

    def _create_no_holder_shortfall(
        self, reason: str
    ) -> token_balance.Shortfall:
        self._counters.add("rate_shortfalls", reason)
        return token_balance.Shortfall(
            ready_in_seconds=NO_HOLDER_SECONDS, no_holder=True
        )

    def _shortfall(
        self, workspace: str, state: workspace_states.WorkspaceState
    ) -> token_balance.Shortfall:
        now_seconds = self._timers.now_seconds()
        left_seconds = state.grant_pool.ready_at_seconds - now_seconds
        if not self._has_holder(workspace):
            return self._create_no_holder_shortfall("no_holder")
        if state.grant_pool.unanswered >= MAX_UNANSWERED:
            return self._create_no_holder_shortfall("unanswered")
        if state.grant_pool.in_flight:
            wait_seconds = max(limits.IN_FLIGHT_SECONDS, left_seconds)
            return self._create_shortfall("asking", wait_seconds)
        return self._create_shortfall(
            "empty", max(limits.IN_FLIGHT_SECONDS, left_seconds)
        )

    def _state(self, workspace: str) -> workspace_states.WorkspaceState:
        if workspace not in self._states:
            limit = self._limit_of(workspace)
            self._states[workspace] = workspace_states.WorkspaceState(
                grant_pool=self._open_grant_pool(workspace),
                use=usage.RecentUse(),
                fetch_ahead=limit is not None and limit.fetch_ahead,
            )
        return self._states[workspace]

    def _record_demand(
        self,
        workspace: str,
        state: workspace_states.WorkspaceState,
        tokens: float,
    ) -> None:
        now_seconds = self._timers.now_seconds()
        if not state.has_demand(self._timers.now_seconds()):
            state.demand_tokens = 0.0
        state.demand_tokens = max(state.demand_tokens, tokens)
        state.demand_at_seconds = now_seconds
        if state.grant_pool.in_flight:
            return
        refused = (
            now_seconds < state.grant_pool.ready_at_seconds
            and tokens >= state.refused_tokens > 0
        )
        if not refused:
            self._ask(workspace, state, tokens)

    def _ask(
        self,
        workspace: str,
        state: workspace_states.WorkspaceState,
        tokens: float,
    ) -> None:
        if not self._has_holder(workspace):
            self._retry_later(workspace, state, limits.RETRY_SECONDS)
            return
        needed_tokens = max(0.0, tokens - state.grant_pool.available_tokens())
        self._ask_without_waking(state, needed_tokens)

    def _ask_without_waking(
        self, state: workspace_states.WorkspaceState, needed_tokens: float
    ) -> None:
        # The response may arrive within the caller's own call; waking
        # subscribers then would make it reserve twice.
        use_tokens = state.use.tokens(self._timers.now_seconds())
        was_reserving, self._reserving = self._reserving, True
        try:
            state.grant_pool.request_tokens(
                needed_tokens=needed_tokens,
                ahead_tokens=max(0.0, use_tokens - needed_tokens)
                * AHEAD_SECONDS,
            )
        finally:
            self._reserving = was_reserving

    def _fetch_ahead(
        self, state: workspace_states.WorkspaceState, tokens: float
    ) -> None:
        now_seconds = self._timers.now_seconds()
        use_tokens = state.use.tokens(now_seconds)
        if use_tokens < MIN_FETCH_REQUESTS * tokens:
            return
        if state.grant_pool.available_tokens() >= use_tokens * LOW_SECONDS:
            return
        if state.grant_pool.in_flight:
            return
        if now_seconds < state.grant_pool.ready_at_seconds:
            return
        self._ask_without_waking(state, 0.0)

    def _request_if_needed(
        self, workspace: str, state: workspace_states.WorkspaceState
    ) -> None:
        if (
            not state.has_demand(self._timers.now_seconds())
            or state.grant_pool.in_flight
        ):
            return
        if not state.has_tokens(state.demand_tokens):
            self._ask(workspace, state, state.demand_tokens)
        if state.has_tokens(state.demand_tokens):
            self._wake(workspace, state)

    def _retry_later(
        self,
        workspace: str,
        state: workspace_states.WorkspaceState,
        delay_seconds: float,
    ) -> None:
        if state.retry is not None:
            state.retry.cancel()
        state.retry = self._timers.once(
            delay_seconds=delay_seconds,
            callback=lambda: self._request_if_needed(workspace, state),
        )

    def _wake(
        self, workspace: str, state: workspace_states.WorkspaceState
    ) -> None:
        if self._reserving:
            return
        for callback in self._callbacks:
            callback(workspace)


__all__ = [
    "GrantedTokens",
]

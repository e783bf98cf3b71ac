"""The rates of the bench: one holder, asked by message.

The real holders are leased and split by data centre; here only what the
decisions feel of them is modelled, which is the delay of a grant.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Mapping
import functools
from typing import NamedTuple

from boragefold.bench import deployments
from boragefold.policy import token_balance
from boragefold.timing import timers

# An instance asks for a second of its part ahead, and hands back what is more
# than that.
AHEAD_SECONDS = 1.0


class Ask(NamedTuple):
    """An instance that waits for tokens."""

    short: float
    grant: Callable[[float], None]


class RateHolder:
    """The fleet's bucket of each workspace."""

    def __init__(
        self,
        *,
        service: timers.TimerService,
        rates_tokens_per_second: Mapping[str, float],
        instances: int,
    ) -> None:
        self._service = service
        self.rates = dict(rates_tokens_per_second)
        self.bursts = {
            name: rate * deployments.BURST_SECONDS
            for name, rate in self.rates.items()
        }
        self.ahead = {
            name: rate * AHEAD_SECONDS / instances
            for name, rate in self.rates.items()
        }
        self._levels = {
            name: (burst, 0.0) for name, burst in self.bursts.items()
        }
        self._asked: dict[str, collections.deque[Ask]] = (
            collections.defaultdict(collections.deque)
        )
        self._waking: set[str] = set()

    def level(self, workspace: str) -> float:
        """Tell what is left now.

        :param workspace: whose bucket
        :return: tokens
        """
        level, at_seconds = self._levels[workspace]
        elapsed = self._service.now_seconds() - at_seconds
        return min(
            self.bursts[workspace], level + elapsed * self.rates[workspace]
        )

    def add(self, workspace: str, tokens: float) -> None:
        """Put tokens back.

        :param workspace: whose bucket
        :param tokens: how many
        """
        self._set(workspace, self.level(workspace) + tokens)
        self._grant(workspace)

    def ask(
        self, workspace: str, short: float, grant: Callable[[float], None]
    ) -> float:
        """Ask for tokens, first come first served.

        :param workspace: whose bucket
        :param short: how many are needed
        :param grant: called with how many are given, once there are enough
        :return: tokens that are missing until then
        """
        asked = self._asked[workspace]
        asked.append(Ask(short, grant))
        wanted = sum(ask.short for ask in asked)
        missing = max(0.0, wanted - self.level(workspace))
        self._grant(workspace)
        return missing

    def _grant(self, workspace: str) -> None:
        asked = self._asked[workspace]
        while asked and self.level(workspace) >= asked[0].short - 1e-6:
            ask = asked.popleft()
            level = self.level(workspace)
            others = sum(each.short for each in asked)
            ahead = min(self.ahead[workspace], max(0.0, level - others))
            granted = min(level, ask.short + ahead)
            self._set(workspace, level - granted)
            ask.grant(granted)
        if asked and workspace not in self._waking:
            self._waking.add(workspace)
            missing = asked[0].short - self.level(workspace)
            self._service.once(
                delay_seconds=missing / self.rates[workspace],
                callback=functools.partial(self._wake, workspace),
            )

    def _wake(self, workspace: str) -> None:
        self._waking.discard(workspace)
        self._grant(workspace)

    def _set(self, workspace: str, level: float) -> None:
        self._levels[workspace] = (level, self._service.now_seconds())


class ModelBalance(token_balance.TokenBalance):
    """One instance's part of the rates, granted by the holder."""

    def __init__(
        self,
        *,
        service: timers.TimerService,
        holder: RateHolder,
        delay_seconds: float,
    ) -> None:
        self._service = service
        self._holder = holder
        self._delay_seconds = delay_seconds
        self._local: dict[str, float] = collections.defaultdict(float)
        self._asking: set[str] = set()
        self._missing: dict[str, tuple[float, float]] = {}
        self._callbacks: list[Callable[[str], None]] = []
        service.every(
            period_seconds=AHEAD_SECONDS, callback=self._return_all_unused
        )

    def reserve(
        self, *, workspace: str, tokens: float
    ) -> token_balance.Reservation | token_balance.Shortfall:
        """Set tokens aside, or ask the holder for them."""
        if tokens > self._holder.bursts[workspace]:
            return token_balance.Shortfall(ready_in_seconds=None)
        if self._local[workspace] >= tokens:
            self._local[workspace] -= tokens
            return token_balance.Reservation(
                workspace=workspace, tokens=tokens
            )
        short = tokens - self._local[workspace]
        self._ask(workspace, short)
        return token_balance.Shortfall(
            ready_in_seconds=self._ready_in(workspace)
        )

    def settle(
        self, reservation: token_balance.Reservation, *, used_tokens: float
    ) -> None:
        """Give back what a request left over."""
        if reservation.settled:
            return
        reservation.settled = True
        workspace = reservation.workspace
        self._local[workspace] += reservation.tokens - used_tokens
        self._return_unused(workspace)
        self._later(0.0, lambda: self._tell(workspace))

    def subscribe(self, callback: Callable[[str], None]) -> None:
        """Be told when a workspace has got more tokens."""
        self._callbacks.append(callback)

    def _ready_in(self, workspace: str) -> float:
        round_trip = 2 * self._delay_seconds
        missing, at_seconds = self._missing.get(workspace, (0.0, 0.0))
        elapsed = self._service.now_seconds() - at_seconds
        left = missing / self._holder.rates[workspace] - elapsed
        return max(round_trip, left)

    def _ask(self, workspace: str, short: float) -> None:
        if workspace in self._asking:
            return
        self._asking.add(workspace)
        self._later(
            self._delay_seconds, lambda: self._decide(workspace, short)
        )

    def _decide(self, workspace: str, short: float) -> None:
        def grant(tokens: float) -> None:
            self._later(
                self._delay_seconds, lambda: self._receive(workspace, tokens)
            )

        missing = self._holder.ask(workspace, short, grant)
        if missing:
            self._later(
                self._delay_seconds, lambda: self._wait(workspace, missing)
            )

    def _wait(self, workspace: str, missing: float) -> None:
        self._missing[workspace] = (missing, self._service.now_seconds())

    def _receive(self, workspace: str, granted: float) -> None:
        self._asking.discard(workspace)
        self._missing.pop(workspace, None)
        self._local[workspace] += granted
        self._tell(workspace)

    def _tell(self, workspace: str) -> None:
        for callback in self._callbacks:
            callback(workspace)

    def _return_all_unused(self) -> None:
        for workspace in self._local:
            self._return_unused(workspace)

    def _return_unused(self, workspace: str) -> None:
        kept = self._holder.ahead[workspace]
        unused = max(0.0, self._local[workspace] - kept)
        if not unused:
            return
        self._local[workspace] -= unused
        self._later(
            self._delay_seconds,
            lambda: self._holder.add(workspace, unused),
        )

    def _later(self, seconds: float, callback: Callable[[], None]) -> None:
        self._service.once(delay_seconds=seconds, callback=callback)


__all__ = [
    "ModelBalance",
    "RateHolder",
]

"""Holds requests for a moment while a hub learns of earlier ones."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from boragefold.policy import rate_verdict
from boragefold.policy import shared_rate
from boragefold.state import deployment
from boragefold.timing import timers as timing

# A report and its confirmation take less unless the hub is lost.
HOLD_SECONDS = 0.6
CHECK_SECONDS = 0.02
# News of a request that another instance admitted at the same moment arrive
# within this time.
NEWS_SECONDS = 0.06


class Held(NamedTuple):
    """A request that is to be decided on, in tokens or requests.

    ``on_decided`` is called once, unless the request isn't wanted any more.
    """

    workspace: deployment.Workspace
    amount: float
    is_wanted: Callable[[], bool]
    on_decided: Callable[[rate_verdict.Verdict], None]
    since_seconds: float = 0.0


class RateAdmission:
    """Decides on requests by their workspaces' rates, in order."""

    def __init__(
        self, *, rate: shared_rate.SharedRate, timers: timing.TimerService
    ) -> None:
        """Begin without requests.

        :param rate: the buckets of this instance
        :param timers: the process clock
        """
        self._rate = rate
        self._timers = timers
        self._held: list[Held] = []

    def admit(self, request: Held) -> None:
        """Decide on a request, at once unless news of a hub may admit it.

        :param request: the request
        """
        held = request._replace(since_seconds=self._timers.now_seconds())
        name = held.workspace.name
        is_first = all(each.workspace.name != name for each in self._held)
        if not is_first or not self._is_decided(held):
            self._hold(held)

    def _hold(self, held: Held) -> None:
        if not self._held:
            self._timers.once(
                delay_seconds=CHECK_SECONDS, callback=self._check
            )
        self._held.append(held)

    def _check(self) -> None:
        waiting, self._held = self._held, []
        blocked: set[str] = set()
        for held in waiting:
            name = held.workspace.name
            if name in blocked or not self._is_decided(held):
                blocked.add(name)
                self._held.append(held)
        if self._held:
            self._timers.once(
                delay_seconds=CHECK_SECONDS, callback=self._check
            )

    def _is_decided(self, held: Held) -> bool:
        if not held.is_wanted():
            return True
        now_seconds = self._timers.now_seconds()
        waited_seconds = now_seconds - held.since_seconds
        verdict = self._rate.admit(
            held.workspace,
            held.amount,
            now_seconds=now_seconds,
            has_waited=waited_seconds >= NEWS_SECONDS,
        )
        if verdict.is_pending and waited_seconds < HOLD_SECONDS:
            return False
        held.on_decided(verdict)
        return True


__all__ = [
    "RateAdmission",
]

"""Virtual time counters of each workspace's service, for fair queueing.

Load pattern: some workspaces always have requests queued, others only at
times. Without a common virtual time, a workspace that returns after an idle
hour would be served alone until it had caught up with that hour.

This is start-time fair queueing: the workspace with the smallest counter is
served next, and the virtual time is the counter of the one served last.
"""

from __future__ import annotations

import dataclasses

# How far a workspace that waited may catch up without starving the others, in
# units of the largest charge.
MAX_LAG_CHARGES = 2
MIN_SWEEP_LENGTH = 64


@dataclasses.dataclass(kw_only=True)
class Account:
    """The service received by one workspace."""

    counter: float = 0.0
    correction: float = 0.0
    active: bool = False


class VirtualCounter:
    """Monotonic counters, compared with a common virtual time."""

    def __init__(self) -> None:
        self._accounts: dict[str, Account] = {}
        self._virtual_time = 0.0
        self._largest_charge = 0.0
        self._min_counter = 0.0
        self._sweep_length = MIN_SWEEP_LENGTH

    def __len__(self) -> int:
        return len(self._accounts)

    def join(self, workspace: str) -> None:
        """Record that a workspace has work queued after it had none.

        :param workspace: the workspace
        """
        account = self._accounts.get(workspace)
        if account is None:
            self._sweep()
            account = Account()
            self._accounts[workspace] = account
        account.counter = max(account.counter, self._virtual_time)
        account.active = True

    def leave(self, workspace: str) -> None:
        """Record that a workspace has no work queued any more.

        :param workspace: one that joined
        """
        self._accounts[workspace].active = False

    def value(self, workspace: str) -> float:
        """Return the counter of a workspace; the smallest is served next.

        :param workspace: one that joined
        :return: its counter, which never decreases
        """
        account = self._accounts[workspace]
        if account.counter < self._min_counter:
            account.counter = self._min_counter
        return account.counter

    def charge(self, workspace: str, amount: float) -> None:
        """Add service to a workspace's counter.

        :param workspace: one that joined
        :param amount: tokens or seconds of service
        """
        account = self._accounts[workspace]
        self._largest_charge = max(self._largest_charge, amount)
        self._virtual_time = max(self._virtual_time, self.value(workspace))
        lag = MAX_LAG_CHARGES * self._largest_charge
        self._min_counter = max(self._min_counter, self._virtual_time - lag)
        due = amount + account.correction
        account.correction = min(due, 0.0)
        account.counter += max(due, 0.0)

    def correct(self, workspace: str, amount: float) -> None:
        """Adjust the next charge, as the last one was an estimate.

        The counter itself must not decrease: heaps ordered by it would break.

        :param workspace: the workspace; ignored if it was removed meanwhile
        :param amount: actual service minus the charged amount
        """
        account = self._accounts.get(workspace)
        if account is not None:
            account.correction += amount

    def _sweep(self) -> None:
        if len(self._accounts) < self._sweep_length:
            return
        # Removed without effect: an idle workspace whose counter is behind
        # rejoins at the virtual time.
        self._accounts = {
            workspace: account
            for workspace, account in self._accounts.items()
            if account.active or account.counter > self._virtual_time
        }
        self._sweep_length = max(MIN_SWEEP_LENGTH, 2 * len(self._accounts))


__all__ = [
    "MAX_LAG_CHARGES",
    "VirtualCounter",
]

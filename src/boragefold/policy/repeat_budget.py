"""How many repeats one instance may send, of those that all may send.

Load pattern: many endpoints fail at once, or connections break again and
again. Without a budget each failure becomes a further request, the endpoints
that are left get a multiple of the load, and the fault spreads.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import NamedTuple

# Parts of a window in which events are counted together.
SLICES = 100
# Traffic may end within a window, which lowers what is allowed in hindsight.
SAFETY_SHARE = 0.97
# Part of the slack that may be saved up for failures at the same moment.
BURST_SHARE = 0.25
MIN_BURST_REPEATS = 1.0


class FleetLimit(NamedTuple):
    """How many repeats all instances together may send in any time window.

    At most ``ratio`` of the requests of the window, plus ``slack``.
    """

    ratio: float
    slack: float
    window_seconds: float


class Permit(NamedTuple):
    """The right to send one request once more.

    It is paid for by the requests of a window, in which it counts in the
    slice ``slice_number``, and for the rest from the slack.
    """

    slice_number: int
    by_requests: float
    by_slack: float


class BudgetState(NamedTuple):
    """What is left of a budget.

    ``requests`` were counted in the window.
    """

    requests: int
    left_by_requests: float
    left_of_slack: float


@dataclasses.dataclass(kw_only=True)
class Slice:
    """What was counted in a part of the window."""

    number: int
    requests: int = 0
    by_requests: float = 0.0
    by_slack: float = 0.0


class RepeatBudget:
    """Limits the repeats of one service's requests in any time window.

    An instance earns repeats by its own requests, and has a part of the slack
    of all: what the instances send then adds up to the limit of all at most,
    whatever each of them knows of the others' traffic. The part is earned
    evenly over a window. It begins with a debt of what its predecessor may
    have saved up and spent a moment before it ended: what both spend in a
    window then isn't more than the part of one.
    """

    def __init__(self, *, started_at_seconds: float) -> None:
        """Begin without any request.

        :param started_at_seconds: when this process started
        """
        self._slices: collections.deque[Slice] = collections.deque()
        self._saved_slack: float | None = None
        self._earned_at_seconds = started_at_seconds

    def record_request(self, limit: FleetLimit, *, now_seconds: float) -> None:
        """Record that a caller sent a request.

        :param limit: of all instances together
        :param now_seconds: reading of the process clock
        """
        self._current(limit, now_seconds).requests += 1

    def take(
        self, state: BudgetState, limit: FleetLimit, *, now_seconds: float
    ) -> Permit | None:
        """Take the right to one repeat, if there is one.

        :param state: what is left now
        :param limit: of all instances together
        :param now_seconds: reading of the process clock
        :return: the right, None if there is none
        """
        if state.left_by_requests + state.left_of_slack < 1:
            return None
        by_requests = min(1.0, state.left_by_requests)
        current = self._current(limit, now_seconds)
        permit = Permit(current.number, by_requests, 1 - by_requests)
        self._count(current, permit)
        self._save(-permit.by_slack)
        return permit

    def use(
        self, permit: Permit, limit: FleetLimit, *, now_seconds: float
    ) -> None:
        """Count a repeat from when it is sent, not from the decision on it.

        :param permit: the right to it
        :param limit: of all instances together
        :param now_seconds: reading of the process clock
        """
        self._uncount(permit)
        self._count(self._current(limit, now_seconds), permit)

    def give_back(self, permit: Permit) -> None:
        """Give a right back that wasn't used.

        :param permit: the right
        """
        self._uncount(permit)
        self._save(permit.by_slack)

    def state(
        self, limit: FleetLimit, *, slack_part: float, now_seconds: float
    ) -> BudgetState:
        """Tell what is left.

        :param limit: of all instances together
        :param slack_part: this instance's part of the slack, from 0 to 1
        :param now_seconds: reading of the process clock
        :return: the counts
        """
        oldest = self._current(limit, now_seconds).number - SLICES
        requests = sum(
            each.requests for each in self._slices if each.number > oldest
        )
        by_requests = sum(each.by_requests for each in self._slices)
        by_slack = sum(each.by_slack for each in self._slices)
        earned = SAFETY_SHARE * limit.ratio * requests
        own_slack = SAFETY_SHARE * limit.slack * slack_part
        saved = self._earn(own_slack, limit.window_seconds, now_seconds)
        return BudgetState(
            requests,
            left_by_requests=max(0.0, earned - by_requests),
            left_of_slack=max(0.0, min(saved, own_slack - by_slack)),
        )

    def _current(self, limit: FleetLimit, now_seconds: float) -> Slice:
        number = int(now_seconds * SLICES / limit.window_seconds)
        if self._slices and self._slices[-1].number > number:
            # The settings were reloaded with a longer window.
            self._slices.clear()
        while self._slices and self._slices[0].number < number - SLICES:
            self._slices.popleft()
        if not self._slices or self._slices[-1].number < number:
            self._slices.append(Slice(number=number))
        return self._slices[-1]

    def _earn(
        self, own_slack: float, window_seconds: float, now_seconds: float
    ) -> float:
        burst = max(
            BURST_SHARE * own_slack, min(own_slack / 2, MIN_BURST_REPEATS)
        )
        elapsed_seconds = now_seconds - self._earned_at_seconds
        self._earned_at_seconds = now_seconds
        if not own_slack:
            return 0.0
        before = -burst if self._saved_slack is None else self._saved_slack
        saved = before + own_slack * elapsed_seconds / window_seconds
        self._saved_slack = min(saved, burst)
        return self._saved_slack

    def _save(self, repeats: float) -> None:
        if self._saved_slack is not None:
            self._saved_slack += repeats

    def _count(self, counted_in: Slice, permit: Permit) -> None:
        counted_in.by_requests += permit.by_requests
        counted_in.by_slack += permit.by_slack

    def _uncount(self, permit: Permit) -> None:
        for each in self._slices:
            if each.number == permit.slice_number:
                each.by_requests -= permit.by_requests
                each.by_slack -= permit.by_slack


__all__ = [
    "BudgetState",
    "FleetLimit",
    "Permit",
    "RepeatBudget",
]

"""This data centre's part of every rate, while published weights change.

Two data centres may read a change of the weights at different times, and a
partitioned one may not read it for hours. If a data centre whose part grows
used the larger part immediately, the parts in use would add up to more than
the rate. An increase therefore waits until all view members of the data
centres whose part shrinks have confirmed that they know exactly this revision:
whichever of them is or becomes the holder then uses the smaller part. A later
revision does not count, because a data centre that missed this revision may
use more than this revision leaves for it.

A new process knows no earlier weights, and a process that was paused knows
only old ones. After every view change a process asks the members of its own
data centre which part they use, and takes the smallest.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping

from boragefold.coordination import link
from boragefold.coordination.rates import limits
import boragefold.coordination.rights as membership
from boragefold.protocol import ids
from boragefold.protocol import rate_messages
from boragefold.telemetry import counters as counting
from boragefold.timing import timers as timing

ASK_SECONDS = 1.0


class Shares:
    """Parts of the data centres, decreased at once and increased when safe."""

    def __init__(
        self,
        *,
        peers: link.PeerLink,
        rights: membership.Rights,
        timers: timing.TimerService,
        counters: counting.Counters,
        changed: Callable[[], None],
    ) -> None:
        """Start without weights.

        :param peers: connection to other instances
        :param rights: views with the members of the data centres
        :param timers: timer service
        :param counters: receives the counts of increases
        :param changed: called after this data centre's part has changed
        """
        self._link = peers
        self._rights = rights
        self._timers = timers
        self._counters = counters
        self._changed = changed
        self._revision = -1
        self._newest_revision = -1
        self._parts: dict[str, float] = {}
        self._active_parts: dict[str, float] = {}
        self._decreased: set[str] = set()
        self._confirmed: set[ids.InstanceId] = set()
        self._answered: set[ids.InstanceId] = set()
        self._query_timer: timing.Subscription | None = None
        self._raise_timer: timing.Subscription | None = None
        # True until the members of this data centre have reported their part.
        self._starting = False
        self._smallest_part = float("inf")
        peers.subscribe(rate_messages.SharesAsked, self._receive_query)
        peers.subscribe(rate_messages.SharesKnown, self._receive_known)
        rights.subscribe(lambda view: self._restart_query())

    def own_limit(self, limit: limits.Limit) -> limits.Limit:
        """Return this data centre's part of a limit.

        :param limit: limit of the whole fleet
        :return: the part in force; zero before any weights are known
        """
        nothing = limit.part(0.0)
        published = limits.split(limit, self._parts)
        in_force = limits.split(limit, self._active_parts)
        # They differ only while an increase waits.
        one = published.get(self._own_data_centre, nothing)
        other = in_force.get(self._own_data_centre, nothing)
        return one._replace(
            rate_tokens_per_second=min(
                one.rate_tokens_per_second, other.rate_tokens_per_second
            ),
            burst_tokens=min(one.burst_tokens, other.burst_tokens),
        )

    def parts(self, limit: limits.Limit) -> dict[str, limits.Limit]:
        """Split a limit by the published weights.

        :param limit: limit of the whole fleet
        :return: parts by data centre
        """
        return limits.split(limit, self._parts)

    def update(self, *, revision: int, weights: Mapping[str, float]) -> None:
        """Apply published weights; older revisions are ignored.

        :param revision: revision that rises with every change
        :param weights: weight by data centre
        """
        if revision <= self._revision:
            return
        first = self._revision < 0
        missed = not first and revision > self._revision + 1
        before = self._parts
        total = sum(weights.values())
        self._revision = revision
        self._parts = {
            name: weight / total for name, weight in weights.items() if total
        }
        self._confirmed.clear()
        self._decreased |= {
            name
            for name, part in before.items()
            if self._parts.get(name, 0.0) < part
            and name != self._own_data_centre
        }
        if missed:
            # A missed revision may have increased the part of any other one.
            self._decreased |= self._parts.keys() - {self._own_data_centre}
        if first:
            self._starting = True
            self._restart_query()
        if self._starting:
            return
        target = self._parts.get(self._own_data_centre, 0.0)
        if target <= self._active_parts.get(self._own_data_centre, 0.0):
            self._activate_parts()
            return
        self._counters.add("rate_share_raises", "waiting")
        self._request_confirmations()

    @property
    def _own_data_centre(self) -> str:
        return self._link.self_id.data_centre

    def _activate_parts(self) -> None:
        self._active_parts = self._parts
        if self._raise_timer is not None:
            self._raise_timer.cancel()
            self._raise_timer = None
        self._changed()

    def _request_confirmations(self) -> None:
        if self._raise_timer is not None:
            self._raise_timer.cancel()
        if self._all_confirmed():
            self._schedule_raise()
            return
        self._raise_timer = self._timers.once(
            delay_seconds=ASK_SECONDS, callback=self._request_confirmations
        )
        for member in sorted(self._required_members() - self._confirmed):
            self._link.send(
                to=member, body=rate_messages.SharesAsked(self._revision)
            )

    def _restart_query(self) -> None:
        self._answered.clear()
        if self._query_timer is None and self._revision >= 0:
            self._query_timer = self._timers.every(
                period_seconds=ASK_SECONDS, callback=self._query_members
            )
        self._query_members()

    def _query_members(self) -> None:
        """Ask members that have not answered yet which part they use."""
        if self._query_timer is None:
            return
        view = self._rights.directory().get(self._own_data_centre)
        if view is None:
            return
        others = set(view.members) - {self._link.self_id}
        if others <= self._answered:
            self._finish_start()
        if others and others <= self._answered:
            self._query_timer.cancel()
            self._query_timer = None
        for member in sorted(others - self._answered):
            self._link.send(
                to=member, body=rate_messages.SharesAsked(self._revision)
            )

    def _process_member_part(
        self, sender: ids.InstanceId, known: rate_messages.SharesKnown
    ) -> None:
        # Members may be delaying an increase; a restart must not skip it.
        if self._query_timer is None:
            return
        if self._starting:
            self._collect_member_part(sender, known)
            return
        if known.revision < 0:
            return
        self._answered.add(sender)
        self._newest_revision = max(self._newest_revision, known.revision)
        if known.own_part >= self._active_parts.get(
            self._own_data_centre, 0.0
        ):
            return
        self._active_parts = {
            **self._active_parts,
            self._own_data_centre: known.own_part,
        }
        self._decreased |= self._parts.keys() - {self._own_data_centre}
        self._changed()
        if self._raise_timer is None:
            self._counters.add("rate_share_raises", "waiting")
            self._request_confirmations()

    def _collect_member_part(
        self, sender: ids.InstanceId, known: rate_messages.SharesKnown
    ) -> None:
        # A member that has just started too knows of no delayed increase.
        self._answered.add(sender)
        if known.revision >= 0:
            self._newest_revision = max(self._newest_revision, known.revision)
            self._smallest_part = min(self._smallest_part, known.own_part)
        self._query_members()

    def _finish_start(self) -> None:
        """Start with at most the part that members of the data centre use.

        A paused member can't report a delayed increase. If a new process used
        the published part before that member has answered or left the view,
        the parts in use would add up to more than the rate.
        """
        if not self._starting:
            return
        self._starting = False
        published = self._parts.get(self._own_data_centre, 0.0)
        if self._smallest_part >= published and not self._decreased:
            self._activate_parts()
            return
        part = 0.0 if self._decreased else self._smallest_part
        self._active_parts = {**self._parts, self._own_data_centre: part}
        self._decreased |= self._parts.keys() - {self._own_data_centre}
        self._changed()
        self._counters.add("rate_share_raises", "waiting")
        self._request_confirmations()

    def _all_confirmed(self) -> bool:
        # A partitioned data centre without a known view may still grant by
        # the old weights.
        if self._revision < self._newest_revision:
            # Members of this data centre know newer weights.
            return False
        decreased = self._decreased & self._parts.keys()
        if not decreased <= self._rights.directory().keys():
            return False
        return not self._required_members() - self._confirmed

    def _required_members(self) -> set[ids.InstanceId]:
        directory = self._rights.directory()
        return {
            member
            for name in self._decreased & self._parts.keys()
            if name in directory
            for member in directory[name].members
        }

    def _receive_query(
        self, sender: ids.InstanceId, asked: rate_messages.SharesAsked
    ) -> None:
        own_part = self._active_parts.get(self._own_data_centre, 0.0)
        revision = -1 if self._starting else self._revision
        self._link.send(
            to=sender, body=rate_messages.SharesKnown(revision, own_part)
        )

    def _receive_known(
        self, sender: ids.InstanceId, known: rate_messages.SharesKnown
    ) -> None:
        if sender.data_centre == self._own_data_centre:
            self._process_member_part(sender, known)
            return
        # A sender with a later revision may use a larger part than this
        # revision leaves for it.
        if self._raise_timer is None or known.revision != self._revision:
            return
        self._confirmed.add(sender)
        if not self._all_confirmed():
            return
        self._schedule_raise()

    def _schedule_raise(self) -> None:
        # Grants and loans by the old weights are valid until they expire.
        if self._raise_timer is not None:
            self._raise_timer.cancel()
        self._raise_timer = self._timers.once(
            delay_seconds=limits.GRANT_VALID_SECONDS
            + limits.CLOCK_DRIFT_SECONDS,
            callback=self._apply_raise,
        )

    def _apply_raise(self) -> None:
        self._counters.add("rate_share_raises", "in_force")
        self._decreased.clear()
        self._activate_parts()


__all__ = [
    "ASK_SECONDS",
    "Shares",
]

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
        self._in_force: dict[str, float] = {}
        self._lowered: set[str] = set()
        self._knowing: set[ids.InstanceId] = set()
        self._learned: set[ids.InstanceId] = set()
        self._learning: timing.Subscription | None = None
        self._asking: timing.Subscription | None = None
        # True until the members of this data centre have reported their part.
        self._holding = False
        self._least_part = float("inf")
        peers.subscribe(rate_messages.SharesAsked, self._asked)
        peers.subscribe(rate_messages.SharesKnown, self._known)
        rights.subscribe(lambda view: self._learn_anew())

    def own_limit(self, limit: limits.Limit) -> limits.Limit:
        """Return this data centre's part of a limit.

        :param limit: limit of the whole fleet
        :return: the part in force; zero before any weights are known
        """
        nothing = limit.part(0.0)
        published = limits.split(limit, self._parts)
        in_force = limits.split(limit, self._in_force)
        # They differ only while an increase waits.
        one = published.get(self._own_name, nothing)
        other = in_force.get(self._own_name, nothing)
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
        self._knowing.clear()
        self._lowered |= {
            name
            for name, part in before.items()
            if self._parts.get(name, 0.0) < part and name != self._own_name
        }
        if missed:
            # A missed revision may have increased the part of any other one.
            self._lowered |= self._parts.keys() - {self._own_name}
        if first:
            self._holding = True
            self._learn_anew()
        if self._holding:
            return
        target = self._parts.get(self._own_name, 0.0)
        if target <= self._in_force.get(self._own_name, 0.0):
            self._put_in_force()
            return
        self._counters.add("rate_share_raises", "waiting")
        self._ask()

    @property
    def _own_name(self) -> str:
        return self._link.self_id.data_centre

    def _put_in_force(self) -> None:
        self._in_force = self._parts
        if self._asking is not None:
            self._asking.cancel()
            self._asking = None
        self._changed()

    def _ask(self) -> None:
        if self._asking is not None:
            self._asking.cancel()
        if self._everybody_knows():
            self._raise_later()
            return
        self._asking = self._timers.once(
            delay_seconds=ASK_SECONDS, callback=self._ask
        )
        for member in sorted(self._must_know() - self._knowing):
            self._link.send(
                to=member, body=rate_messages.SharesAsked(self._revision)
            )

    def _learn_anew(self) -> None:
        self._learned.clear()
        if self._learning is None and self._revision >= 0:
            self._learning = self._timers.every(
                period_seconds=ASK_SECONDS, callback=self._learn
            )
        self._learn()

    def _learn(self) -> None:
        """Ask members that have not answered yet which part they use."""
        if self._learning is None:
            return
        view = self._rights.directory().get(self._own_name)
        if view is None:
            return
        others = set(view.members) - {self._link.self_id}
        if others <= self._learned:
            self._stop_holding()
        if others and others <= self._learned:
            self._learning.cancel()
            self._learning = None
        for member in sorted(others - self._learned):
            self._link.send(
                to=member, body=rate_messages.SharesAsked(self._revision)
            )

    def _learn_from(
        self, sender: ids.InstanceId, known: rate_messages.SharesKnown
    ) -> None:
        # Members may be delaying an increase; a restart must not skip it.
        if self._learning is None:
            return
        if self._holding:
            self._learn_while_holding(sender, known)
            return
        if known.revision < 0:
            return
        self._learned.add(sender)
        self._newest_revision = max(self._newest_revision, known.revision)
        if known.own_part >= self._in_force.get(self._own_name, 0.0):
            return
        self._in_force = {**self._in_force, self._own_name: known.own_part}
        self._lowered |= self._parts.keys() - {self._own_name}
        self._changed()
        if self._asking is None:
            self._counters.add("rate_share_raises", "waiting")
            self._ask()

    def _learn_while_holding(
        self, sender: ids.InstanceId, known: rate_messages.SharesKnown
    ) -> None:
        # A member that has just started too knows of no delayed increase.
        self._learned.add(sender)
        if known.revision >= 0:
            self._newest_revision = max(self._newest_revision, known.revision)
            self._least_part = min(self._least_part, known.own_part)
        self._learn()

    def _stop_holding(self) -> None:
        """Start with at most the part that members of the data centre use.

        A paused member can't report a delayed increase. If a new process used
        the published part before that member has answered or left the view,
        the parts in use would add up to more than the rate.
        """
        if not self._holding:
            return
        self._holding = False
        published = self._parts.get(self._own_name, 0.0)
        if self._least_part >= published and not self._lowered:
            self._put_in_force()
            return
        part = 0.0 if self._lowered else self._least_part
        self._in_force = {**self._parts, self._own_name: part}
        self._lowered |= self._parts.keys() - {self._own_name}
        self._changed()
        self._counters.add("rate_share_raises", "waiting")
        self._ask()

    def _everybody_knows(self) -> bool:
        # A partitioned data centre without a known view may still grant by
        # the old weights.
        if self._revision < self._newest_revision:
            # Members of this data centre know newer weights.
            return False
        waited_for = self._lowered & self._parts.keys()
        if not waited_for <= self._rights.directory().keys():
            return False
        return not self._must_know() - self._knowing

    def _must_know(self) -> set[ids.InstanceId]:
        directory = self._rights.directory()
        return {
            member
            for name in self._lowered & self._parts.keys()
            if name in directory
            for member in directory[name].members
        }

    def _asked(
        self, sender: ids.InstanceId, asked: rate_messages.SharesAsked
    ) -> None:
        own_part = self._in_force.get(self._own_name, 0.0)
        revision = -1 if self._holding else self._revision
        self._link.send(
            to=sender, body=rate_messages.SharesKnown(revision, own_part)
        )

    def _known(
        self, sender: ids.InstanceId, known: rate_messages.SharesKnown
    ) -> None:
        if sender.data_centre == self._own_name:
            self._learn_from(sender, known)
            return
        # A sender with a later revision may use a larger part than this
        # revision leaves for it.
        if self._asking is None or known.revision != self._revision:
            return
        self._knowing.add(sender)
        if not self._everybody_knows():
            return
        self._raise_later()

    def _raise_later(self) -> None:
        # Grants and loans by the old weights are valid until they expire.
        if self._asking is not None:
            self._asking.cancel()
        self._asking = self._timers.once(
            delay_seconds=limits.GRANT_SECONDS + limits.MARGIN_SECONDS,
            callback=self._raise,
        )

    def _raise(self) -> None:
        self._counters.add("rate_share_raises", "in_force")
        self._lowered.clear()
        self._put_in_force()


__all__ = [
    "ASK_SECONDS",
    "Shares",
]

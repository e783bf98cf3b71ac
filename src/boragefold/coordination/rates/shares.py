"""Which part of every rate is ours, while the published weights change.

Two data centres may read a change of the weights at different times, and one
that is cut off may not read it for hours. If the one whose part grew used it
at once, the parts in use would add up to more than the rate. A raise waits
until every member of the views of those whose part fell has said that it knows
just this revision: whichever of them is or becomes the holder uses the lower
part. A later one won't do: who missed ours may use more than ours leaves it.

A fresh process knows no earlier weights, one that was paused only old ones.
With every view a process asks its own data centre's members which part they
use, and takes the smallest.
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
    """The parts of the data centres, lowered at once and raised when safe."""

    def __init__(
        self,
        *,
        peers: link.PeerLink,
        rights: membership.Rights,
        timers: timing.TimerService,
        counters: counting.Counters,
        changed: Callable[[], None],
    ) -> None:
        """Know no weights yet.

        :param peers: to other instances
        :param rights: for the members of the data centres
        :param timers: the timer service
        :param counters: where raises are counted
        :param changed: called when our part has changed
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
        # Until our data centre's members have said which part they use.
        self._holding = False
        self._least_part = float("inf")
        peers.subscribe(rate_messages.SharesAsked, self._asked)
        peers.subscribe(rate_messages.SharesKnown, self._known)
        rights.subscribe(lambda view: self._learn_anew())

    def own_limit(self, limit: limits.Limit) -> limits.Limit:
        """Take our data centre's part in force.

        :param limit: of the whole fleet
        :return: our part; nothing before any weights are known
        """
        nothing = limit.part(0.0)
        published = limits.split(limit, self._parts)
        in_force = limits.split(limit, self._in_force)
        # Both are the same unless a raise waits.
        one = published.get(self._own_name, nothing)
        other = in_force.get(self._own_name, nothing)
        return one._replace(
            rate_tokens_per_second=min(
                one.rate_tokens_per_second, other.rate_tokens_per_second
            ),
            burst_tokens=min(one.burst_tokens, other.burst_tokens),
        )

    def parts(self, limit: limits.Limit) -> dict[str, limits.Limit]:
        """Split a limit as published.

        :param limit: of the whole fleet
        :return: parts by data centre
        """
        return limits.split(limit, self._parts)

    def update(self, *, revision: int, weights: Mapping[str, float]) -> None:
        """Take in published weights; older revisions are ignored.

        :param revision: rises with every change
        :param weights: weights by data centre
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
            # A revision in between may have raised any of the others.
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
        """Ask the members of our view which part they use, once each."""
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
        # Members may hold back a raise; a restart must not undo that.
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
        # A member that is as fresh as we are knows of no raise that waits.
        self._learned.add(sender)
        if known.revision >= 0:
            self._newest_revision = max(self._newest_revision, known.revision)
            self._least_part = min(self._least_part, known.own_part)
        self._learn()

    def _stop_holding(self) -> None:
        """Use the part that the members of our data centre use, at most.

        A paused member can't say that a raise waits. If a fresh process used
        the published part before it has answered or left the view, the parts
        in use would add up to more than the rate.
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
        # A partitioned data centre without a view may still grant by the old
        # weights.
        if self._revision < self._newest_revision:
            # Our peers know newer weights.
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
        # Whoever read a later revision may use a larger part than ours leaves.
        if self._asking is None or known.revision != self._revision:
            return
        self._knowing.add(sender)
        if not self._everybody_knows():
            return
        self._raise_later()

    def _raise_later(self) -> None:
        # Grants and loans by the old weights may be charged until they end.
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

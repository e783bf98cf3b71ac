"""Which part of every rate is ours, while the published weights change.

Two data centres may read a change of the weights at different times, and one
that is cut off may not read it for hours. If the one whose part grew used it
at once, the parts in use would add up to more than the rate. A raise waits
until every member of the views of those whose part fell has said that it knows
the revision: whichever of them is or becomes the holder uses the lower part.
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
        self._parts: dict[str, float] = {}
        self._own_part = 0.0
        self._lowered: set[str] = set()
        self._knowing: set[ids.InstanceId] = set()
        self._asking: timing.Subscription | None = None
        peers.subscribe(rate_messages.SharesAsked, self._asked)
        peers.subscribe(rate_messages.SharesKnown, self._known)

    @property
    def own_part(self) -> float:
        """Tell our data centre's part in force.

        :return: from 0 to 1
        """
        return self._own_part

    def part(self, data_centre: str) -> float:
        """Tell the published part of a data centre.

        :param data_centre: its name
        :return: from 0 to 1
        """
        return self._parts.get(data_centre, 0.0)

    def update(self, *, revision: int, weights: Mapping[str, float]) -> None:
        """Take in published weights; older revisions are ignored.

        :param revision: rises with every change
        :param weights: weights by data centre
        """
        if revision <= self._revision:
            return
        first = self._revision < 0
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
            if self.part(name) < part and name != self._own_name
        }
        target = self.part(self._own_name)
        if first or target <= self._own_part:
            self._put_in_force()
            return
        self._counters.add("rate_share_raises", "waiting")
        self._ask()

    @property
    def _own_name(self) -> str:
        return self._link.self_id.data_centre

    def _put_in_force(self) -> None:
        self._own_part = self.part(self._own_name)
        self._lowered.clear()
        if self._asking is not None:
            self._asking.cancel()
            self._asking = None
        self._changed()

    def _ask(self) -> None:
        if self._asking is not None:
            self._asking.cancel()
        self._asking = self._timers.once(
            delay_seconds=ASK_SECONDS, callback=self._ask
        )
        for member in self._must_know() - self._knowing:
            self._link.send(
                to=member, body=rate_messages.SharesAsked(self._revision)
            )

    def _must_know(self) -> set[ids.InstanceId]:
        directory = self._rights.directory()
        return {
            member
            for name in self._lowered
            if name in directory
            for member in directory[name].members
        }

    def _asked(
        self, sender: ids.InstanceId, asked: rate_messages.SharesAsked
    ) -> None:
        self._link.send(
            to=sender, body=rate_messages.SharesKnown(self._revision)
        )

    def _known(
        self, sender: ids.InstanceId, known: rate_messages.SharesKnown
    ) -> None:
        if self._asking is None or known.revision < self._revision:
            return
        self._knowing.add(sender)
        directory = self._rights.directory()
        if not self._lowered <= directory.keys():
            return
        if self._must_know() - self._knowing:
            return
        # What the others granted and lent before they knew may still be
        # charged until the longest grant has ended.
        self._asking.cancel()
        self._asking = self._timers.once(
            delay_seconds=limits.GRANT_SECONDS + limits.MARGIN_SECONDS,
            callback=self._raise,
        )

    def _raise(self) -> None:
        self._counters.add("rate_share_raises", "in_force")
        self._put_in_force()


__all__ = [
    "ASK_SECONDS",
    "Shares",
]

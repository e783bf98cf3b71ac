"""Spreads the views of all data centres by gossip, without a full mesh."""

from __future__ import annotations

import random

import xxhash

from boragefold.coordination import instance_list as instance_lists
from boragefold.coordination import link
from boragefold.coordination import quorum
from boragefold.coordination import rights
from boragefold.coordination import view_state
from boragefold.protocol import ids
from boragefold.protocol import view_messages as messages
from boragefold.timing import timers

# Period of the exchanges with other data centres; a change has reached all of
# them by then.
REMOTE_GOSSIP_SECONDS = 2.0
LOCAL_GOSSIP_SECONDS = 5.0

# Only the first members of a view, and its leader, send to other data centres;
# the second continues when the first, usually the leader, is lost.
REMOTE_GOSSIPERS = 2

# Bounds the size of a message.
MAX_VIEWS_PER_MESSAGE = 2


class Directory:
    """The latest known view of each data centre, updated by gossip."""

    def __init__(
        self,
        *,
        peer_link: link.PeerLink,
        timer_service: timers.TimerService,
        state: view_state.ViewState,
        instance_list: instance_lists.InstanceList,
        random_source: random.Random,
    ) -> None:
        self._link = peer_link
        self._timers = timer_service
        self._state = state
        self._instance_list = instance_list
        self._random = random_source
        self._others: dict[str, rights.View] = {}

    def start(self) -> None:
        """Start the periodic exchanges."""
        for period_seconds, callback in (
            (REMOTE_GOSSIP_SECONDS, self._gossip_remote),
            (LOCAL_GOSSIP_SECONDS, self._gossip_local),
        ):
            self._timers.every(
                period_seconds=period_seconds,
                callback=callback,
                first_delay_seconds=self._random.uniform(0, period_seconds),
            )

    def views(self) -> dict[str, rights.View]:
        """Return the latest known view of each data centre.

        :return: views by data centre
        """
        own = self._state.view
        if own is None:
            return dict(self._others)
        return {**self._others, own.data_centre: own}

    def on_digest(
        self, sender: ids.InstanceId, digest: messages.Digest
    ) -> None:
        """Send the views that the sender lacks, and request missing ones.

        :param sender: the sender
        :param digest: the ids of the views that the sender knows
        """
        if digest.checksum == _checksum(self._known()):
            return
        if not digest.known:
            self._link.send(to=sender, body=self._digest(answer=True))
            return
        theirs = {
            known.data_centre: messages.ViewId(known.epoch, known.number)
            for known in digest.known
        }
        views = self.views()
        lacking = [
            messages.ViewRecord(*view)
            for data_centre, view in sorted(views.items())
            if quorum.view_id(view) > theirs.get(data_centre, messages.NO_VIEW)
        ]
        self._random.shuffle(lacking)
        if lacking:
            news = messages.News(tuple(lacking[:MAX_VIEWS_PER_MESSAGE]))
            self._link.send(to=sender, body=news)
        if digest.answer and any(
            theirs_id > quorum.view_id(views.get(data_centre))
            for data_centre, theirs_id in theirs.items()
        ):
            self._link.send(to=sender, body=self._digest(answer=False))

    def on_news(self, sender: ids.InstanceId, news: messages.News) -> None:
        """Store the received views that are later than the known ones.

        :param sender: the sender
        :param news: the views
        """
        for record in news.views:
            view = rights.View(*record)
            if view.data_centre == self._state.self_id.data_centre:
                self._state.record_view_id(quorum.view_id(view))
                continue
            before = self._others.get(view.data_centre)
            if quorum.view_id(view) > quorum.view_id(before):
                self._others[view.data_centre] = view

    def _digest(self, *, answer: bool) -> messages.Digest:
        known = self._known()
        return messages.Digest(
            checksum=_checksum(known), known=known, answer=answer
        )

    def _probe(self) -> messages.Digest:
        return messages.Digest(
            checksum=_checksum(self._known()), known=(), answer=True
        )

    def _known(self) -> tuple[messages.Known, ...]:
        return tuple(
            messages.Known(data_centre, view.epoch, view.number)
            for data_centre, view in sorted(self.views().items())
        )

    def _gossip_remote(self) -> None:
        view = self._state.view
        others = self._instance_list.other_data_centres()
        if view is None or not others:
            return
        senders = {*view.members[:REMOTE_GOSSIPERS], self._state.leader}
        if self._state.self_id not in senders:
            return
        data_centre = self._random.choice(sorted(others))
        address = self._random.choice(others[data_centre])
        self._link.send(
            to=ids.InstanceId(data_centre, address, ""),
            body=self._probe(),
        )

    def _gossip_local(self) -> None:
        view = self._state.view
        if view is None:
            return
        peers = [
            member for member in view.members if member != self._state.self_id
        ]
        if peers:
            self._link.send(
                to=self._random.choice(peers),
                body=self._probe(),
            )


def _checksum(known: tuple[messages.Known, ...]) -> int:
    text = "\n".join(
        f"{one.data_centre}\0{one.epoch}\0{one.number}" for one in known
    )
    return xxhash.xxh3_64_intdigest(text.encode())


__all__ = [
    "Directory",
    "LOCAL_GOSSIP_SECONDS",
    "MAX_VIEWS_PER_MESSAGE",
    "REMOTE_GOSSIPERS",
    "REMOTE_GOSSIP_SECONDS",
]

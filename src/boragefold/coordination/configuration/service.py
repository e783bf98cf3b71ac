"""Assembles the parts that keep an instance's configuration up to date."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import random
from typing import NamedTuple

from absl import logging

from boragefold.coordination.configuration import change_queue
from boragefold.coordination.configuration import distribution
from boragefold.coordination.configuration import leaving_marks
from boragefold.coordination.configuration import peers as peering
from boragefold.coordination.configuration import reader as readers
from boragefold.coordination.configuration import readiness as tracking
from boragefold.coordination.configuration import reconciliation
from boragefold.coordination.configuration import watching
import boragefold.coordination.link as links
import boragefold.coordination.rights as membership
from boragefold.protocol import config_messages as messages
from boragefold.protocol import ids
from boragefold.protocol import platform_api
from boragefold.state import catalogue as catalogues
from boragefold.state import fingerprint as fingerprints
from boragefold.state import history as histories
from boragefold.state import rejections as rejecting
from boragefold.state import tree as trees
from boragefold.telemetry import counters as telemetry
from boragefold.timing import timers as timing

# Bounds how long a lost message goes unnoticed.
COMPARE_PERIOD_SECONDS = 1.0
# Shorter, because a starting instance serves nobody until it is ready.
FRESH_PERIOD_SECONDS = 0.5
# How often a data centre's steward and deputy compare with another one.
REMOTE_EVERY_TICKS = 2
# An unchanged list is processed again after this, because a peer may have
# sent an older mark in the meantime.
SAME_LIST_SECONDS = 5.0
# Spreads the first calls of starting instances that have no view.
NO_VIEW_JITTER_SECONDS = 4.0


class Status(NamedTuple):
    """The state of the configuration, for operators.

    ``heard_seconds_ago`` is the age of the platform's last answer to this
    instance or to a peer that reported it; None without any answer.
    """

    readiness: tracking.Readiness
    role: peering.Role
    newest_revision: int
    paths: int
    root: int
    heard_seconds_ago: float | None
    rejections: dict[str, rejecting.Rejection]


class Configuration:
    """Keeps the tree up to date from the platform and from peers."""

    def __init__(
        self,
        *,
        tree: trees.Tree,
        catalogue: catalogues.Catalogue,
        history: histories.History,
        link: links.PeerLink,
        rights: membership.Rights,
        reader: readers.PlatformReader,
        timers: timing.TimerService,
        counters: telemetry.Counters,
        random: random.Random,
        seeds: Sequence[ids.InstanceId] = (),
    ) -> None:
        self._tree = tree
        self._link = link
        self._timers = timers
        self._counters = counters
        self._random = random
        self._ticks = 0
        self._heard_seconds: float | None = None
        self._listing_seen = (-1, 0.0)
        self._fingerprint = fingerprints.Fingerprint(tree=tree)
        self._peers = peering.Peers(rights=rights, seeds=seeds, random=random)
        self._watcher = watching.TreeWatcher(
            reader=reader,
            timers=timers,
            random=random,
            counters=counters,
            apply=change_queue.ChangeQueue(tree=tree, timers=timers).add,
        )
        self._readiness_tracker = tracking.ReadinessTracker(
            tree=tree,
            watcher=self._watcher,
            timers=timers,
            data_centre=link.self_id.data_centre,
        )
        self._reconciliation = reconciliation.Reconciliation(
            link=link,
            tree=tree,
            fingerprint=self._fingerprint,
            history=history,
            counters=counters,
            is_ready=self._readiness_tracker.is_ready,
            on_comparison=self._readiness_tracker.on_comparison,
        )
        self._distribution = distribution.Distribution(
            link=link,
            tree=tree,
            history=history,
            reconciliation=self._reconciliation,
            peers=self._peers,
            timers=timers,
            compare=self._compare,
            counters=counters,
        )
        self._leaving_marks = leaving_marks.LeavingMarks(
            link=link,
            index=catalogue.endpoints,
            peers=self._peers,
            counters=counters,
        )
        link.subscribe(messages.ConfigurationSummary, self._on_summary)
        tree.rejections.subscribe(_log_rejection)
        self._readiness_tracker.subscribe(_log_ready)

    def start(self) -> None:
        """Start reading the platform and comparing with peers."""
        self._peers.subscribe(self._apply_role)
        self._apply_role()
        self._tick()

    def receive_listing(self, listing: platform_api.Listing) -> None:
        """Process the platform's list; to be subscribed to its poller.

        :param listing: the platform's list
        """
        now_seconds = self._timers.now_seconds()
        seen_revision, seen_seconds = self._listing_seen
        if (
            listing.revision == seen_revision
            and now_seconds - seen_seconds < SAME_LIST_SECONDS
        ):
            return
        self._listing_seen = (listing.revision, now_seconds)
        self._peers.receive_listing(listing)
        self._leaving_marks.receive_listing(listing)

    def readiness(self) -> tracking.Readiness:
        """Return whether callers can be answered from this configuration.

        :return: ready, or why not and what to do
        """
        return self._readiness_tracker.readiness()

    def subscribe_ready(
        self, callback: Callable[[tracking.Ready], None]
    ) -> None:
        """Call back when the instance becomes ready.

        :param callback: called once
        """
        self._readiness_tracker.subscribe(callback)

    def status(self) -> Status:
        """Summarize the configuration for an operator.

        :return: the status
        """
        return Status(
            readiness=self._readiness_tracker.readiness(),
            role=self._peers.role,
            newest_revision=self._tree.newest_revision(),
            paths=len(self._tree),
            root=self._fingerprint.root(),
            heard_seconds_ago=self._heard_seconds_ago(),
            rejections=self._tree.rejections.newest(),
        )

    def _apply_role(self) -> None:
        role = self._peers.role
        if role is peering.Role.MEMBER:
            self._watcher.stop()
        elif role is peering.Role.ALONE:
            # Jitter: whole data centres may have been restarted together.
            self._watcher.start(
                gap_seconds=watching.NO_VIEW_GAP_SECONDS,
                delay_seconds=self._random.uniform(0, NO_VIEW_JITTER_SECONDS),
            )
        else:
            self._watcher.start(gap_seconds=watching.MIN_GAP_SECONDS)

    def _tick(self) -> None:
        self._ticks += 1
        self._apply_role()
        self._readiness_tracker.check()
        if self._readiness_tracker.is_ready():
            self._compare_in_turn()
            period_seconds = COMPARE_PERIOD_SECONDS
        else:
            self._compare(self._peers.choose_any())
            period_seconds = FRESH_PERIOD_SECONDS
        # Jitter: instances that start together must not compare in lockstep.
        delay_seconds = period_seconds * self._random.uniform(0.8, 1.2)
        self._timers.once(delay_seconds=delay_seconds, callback=self._tick)

    def _compare_in_turn(self) -> None:
        self._compare(self._peers.choose_local())
        reads = self._peers.role is not peering.Role.MEMBER
        if reads and self._ticks % REMOTE_EVERY_TICKS == 0:
            self._compare(self._peers.choose_remote())

    def _compare(self, peer: ids.InstanceId | None) -> None:
        if peer is None:
            return
        body = messages.ConfigurationSummary(
            root=self._fingerprint.root(),
            marks_root=self._leaving_marks.hash_marks(),
            ready=self._readiness_tracker.is_ready(),
            heard_seconds_ago=self._heard_seconds_ago(),
        )
        self._link.send(to=peer, body=body)

    def _on_summary(
        self, sender: ids.InstanceId, body: messages.ConfigurationSummary
    ) -> None:
        self._record_heard(body.heard_seconds_ago)
        if body.marks_root != self._leaving_marks.hash_marks():
            self._leaving_marks.send_all(sender)
        same = body.root == self._fingerprint.root()
        if not same or not body.ready:
            self._counters.add(
                "configuration_comparisons", "fresh" if same else "differing"
            )
            self._reconciliation.send_hashes(sender)

    def _record_heard(self, seconds_ago: float | None) -> None:
        if seconds_ago is None:
            return
        heard_seconds = self._timers.now_seconds() - seconds_ago
        self._heard_seconds = max(self._heard_seconds or 0.0, heard_seconds)

    def _heard_seconds_ago(self) -> float | None:
        if self._watcher.last_answer_seconds is not None:
            self._record_heard(
                self._timers.now_seconds() - self._watcher.last_answer_seconds
            )
        if self._heard_seconds is None:
            return None
        return self._timers.now_seconds() - self._heard_seconds


def _log_rejection(path: str, rejection: rejecting.Rejection) -> None:
    logging.warning(
        "revision %d of %s was not put into force: %s; %s",
        rejection.revision,
        path,
        rejection.rejected.reason,
        rejection.rejected.remedy,
    )


def _log_ready(ready: tracking.Ready) -> None:
    logging.info("the configuration is ready, from the %s", ready.source)


__all__ = [
    "Configuration",
    "Status",
]

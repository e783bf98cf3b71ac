"""Replicates what is published below one prefix of the users' store."""

from __future__ import annotations

from collections.abc import Callable
import math
import random

from boragefold.entry import store_dialect
from boragefold.state import published_items
from boragefold.telemetry import counters as telemetry
from boragefold.telemetry import decision_log
from boragefold.timing import timers as timing
from boragefold.transport import http_client
from boragefold.transport import whole_answer

# Long-poll time; also bounds how long a dead connection is kept.
LONG_POLL_SECONDS = 2.0
# The same below a prefix where items are renewed all the time. A dead
# connection shows early enough for another instance to read a change before
# it has to be in force.
RENEWED_POLL_SECONDS = 0.3
# How long an answer may be late after the end of a long poll.
ANSWER_MARGIN_SECONDS = 0.7
# Changes that come in quick succession share one read.
READ_PAUSE_SECONDS = 0.7
FIRST_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 1.0
# How often an instance that doesn't read the store checks whether it has to.
IDLE_CHECK_SECONDS = 0.1
# Endpoints renew their entries at least this often, so a watch on them is
# answered within this time while the store works.
HEALTHY_SECONDS = 1.0
# An answer this old no longer proves that the store works.
STALE_SECONDS = 3.0
# A step of the reading takes less than these checks together. Checks are
# counted, not seconds: a process that stood still has something to catch up.
PROGRESS_CHECK_SECONDS = 1.0
MAX_CHECKS_WITHOUT_STEP = 4
# Far more than a deployment publishes; pages may go on without an end.
MAX_LISTED_ITEMS = 200_000

OnAnswer = Callable[[bool, float], None]


class StoreFollower:
    """Keeps the published items below one key prefix up to date."""

    def __init__(
        self,
        *,
        prefix: str,
        dialect: store_dialect.StoreDialect,
        client: http_client.HttpClient,
        items: published_items.PublishedItems,
        timers: timing.TimerService,
        counters: telemetry.Counters,
        log: decision_log.DecisionLog,
        rng: random.Random,
        poll_seconds: float = LONG_POLL_SECONDS,
        must_read: Callable[[], bool] = lambda: True,
        on_answer: OnAnswer = lambda has_recovered, written_since: None,
    ) -> None:
        """Create a follower that has read nothing yet.

        :param prefix: key prefix
        :param dialect: encodes and decodes the calls on the store
        :param client: sends the calls
        :param items: stores the published items
        :param timers: the process clock
        :param counters: metrics of this process
        :param log: decision log of this process
        :param rng: adds jitter to the retries
        :param poll_seconds: how long the store waits for a change
        :param must_read: tells whether this instance has to go on reading the
            store after its first listing
        :param on_answer: called before the items of an answer are applied,
            with whether it is the first one after a failure, and with the
            time since which they were written
        """
        self._prefix = prefix
        self._dialect = dialect
        self._client = client
        self._items = items
        self._timers = timers
        self._counters = counters
        self._log = log
        self._rng = rng
        self._poll_seconds = poll_seconds
        self._must_read = must_read
        self._on_answer = on_answer
        self._paused = False
        self._listed: list[published_items.Item] = []
        self._listed_revision: int | None = None
        self._revision: int | None = None
        # The revision of the listing's last page: what changed until then is
        # read before the follower may rest.
        self._listed_until_revision = 0
        self._retry_seconds = FIRST_RETRY_SECONDS
        self._asked_at_seconds = 0.0
        # When the answer to a watch that is under way is overdue.
        self._due_at_seconds = math.inf
        self._answered_at_seconds: float | None = None
        self._failing = False
        self._run_number = 0
        self._checks_without_step = 0

    def start(self) -> None:
        """Begin with a full listing, and begin again if nothing goes on."""
        self._list("")
        self._timers.every(
            period_seconds=PROGRESS_CHECK_SECONDS,
            callback=self._check_progress,
        )

    def is_stale(self) -> bool:
        """Tell whether the last answer of the store is too old.

        :return: whether the items may be out of date
        """
        if self._answered_at_seconds is None or self._paused:
            return True
        now_seconds = self._timers.now_seconds()
        return now_seconds - self._answered_at_seconds > STALE_SECONDS

    def confirmed_at_seconds(self) -> float:
        """Return when the store last showed that nothing newer is published.

        :return: reading of the process clock, minus infinity if it never did
        """
        if self._answered_at_seconds is None:
            return -math.inf
        return self._answered_at_seconds

    def is_healthy(self) -> bool:
        """Tell whether the store has just answered this instance.

        :return: whether others can rely on the store being up
        """
        if self._failing or self._paused or self._answered_at_seconds is None:
            return False
        age_seconds = self._timers.now_seconds() - self._answered_at_seconds
        return age_seconds < HEALTHY_SECONDS

    def is_failing(self) -> bool:
        """Tell whether the last call on the store failed or is overdue.

        :return: whether others can't rely on this instance to read the store
        """
        return (
            self._failing
            or self._timers.now_seconds() > self._due_at_seconds
            or (not self._paused and self.is_stale())
        )

    def _check_progress(self) -> None:
        self._checks_without_step += 1
        if self._checks_without_step > MAX_CHECKS_WITHOUT_STEP:
            self._begin_again("stalled")

    def _begin_again(self, reason: str) -> None:
        # Whatever is still to come of the reading so far is ignored.
        self._run_number += 1
        self._due_at_seconds = math.inf
        self._retry_seconds = MAX_RETRY_SECONDS
        self._retry_later(reason, lambda: self._list(""))

    def _call_later(
        self, delay_seconds: float, callback: Callable[[], None]
    ) -> None:
        self._checks_without_step = 0
        run_number = self._run_number
        self._timers.once(
            delay_seconds=delay_seconds,
            callback=lambda: (
                callback() if run_number == self._run_number else None
            ),
        )

    def _list(self, after_key: str) -> None:
        if not after_key:
            self._listed = []
            self._listed_revision = None
        call = self._dialect.list_call(self._prefix, after_key)
        self._send(call, lambda answer: self._handle_page(answer, after_key))

    def _handle_page(
        self,
        answer: whole_answer.WholeAnswer | http_client.Failure,
        after_key: str,
    ) -> None:
        page = (
            store_dialect.StoreFailed(answer.reason)
            if isinstance(answer, http_client.Failure)
            else self._dialect.read_page(answer)
        )
        if isinstance(page, store_dialect.Page) and self._is_endless(
            page, after_key
        ):
            page = store_dialect.StoreFailed("endless")
        if isinstance(page, store_dialect.StoreFailed):
            self._listed = []
            self._retry_later(page.reason, lambda: self._list(""))
            return
        # What is listed may have been written at any time.
        self._record_success(written_since_seconds=-math.inf)
        self._listed.extend(page.items)
        if self._listed_revision is None:
            # Pages are no snapshot: the watch starts at the revision of the
            # first one, so that changes made while reading aren't missed.
            self._listed_revision = page.revision
        self._listed_until_revision = page.revision
        if page.more:
            self._list(page.last_key)
            return
        self._revision = self._listed_revision
        self._items.replace(
            self._listed, prefix=self._prefix, revision=self._revision
        )
        self._listed = []
        self._watch()

    def _is_endless(self, page: store_dialect.Page, after_key: str) -> bool:
        if len(self._listed) + len(page.items) > MAX_LISTED_ITEMS:
            return True
        return page.more and page.last_key <= after_key

    def _watch(self) -> None:
        known_revision = self._revision or 0
        is_caught_up = known_revision >= self._listed_until_revision
        self._paused = is_caught_up and not self._must_read()
        if self._paused:
            # Enough other instances of the data centre read the store.
            self._call_later(IDLE_CHECK_SECONDS, self._watch)
            return
        poll_seconds = self._poll_seconds if is_caught_up else 0.0
        call = self._dialect.watch_call(
            self._prefix, known_revision, poll_seconds
        )
        # Others read meanwhile; a slow store's answer is still waited for.
        self._due_at_seconds = (
            self._timers.now_seconds() + poll_seconds + ANSWER_MARGIN_SECONDS
        )
        self._send(
            call, lambda answer: self._handle_events(answer, known_revision)
        )

    def _handle_events(
        self,
        answer: whole_answer.WholeAnswer | http_client.Failure,
        after_revision: int,
    ) -> None:
        events = (
            store_dialect.StoreFailed(answer.reason)
            if isinstance(answer, http_client.Failure)
            else self._dialect.read_events(answer)
        )
        if isinstance(events, store_dialect.StoreFailed):
            self._retry_later(events.reason, self._watch)
            return
        was_current = not self.is_stale()
        self._record_success(written_since_seconds=self.confirmed_at_seconds())
        if isinstance(events, store_dialect.HistoryLost):
            self._counters.add("store_histories_lost", self._prefix)
            self._list("")
            return
        self._revision = max(after_revision, events.revision)
        now_seconds = self._timers.now_seconds()
        self._items.take(
            (
                item._replace(changed_at_seconds=now_seconds)
                for item in events.items
            )
            # Otherwise the changes may be as old as the gap in the reading.
            if was_current
            else events.items,
            prefix=self._prefix,
            after_revision=after_revision,
            revision=self._revision,
        )
        spent_seconds = self._timers.now_seconds() - self._asked_at_seconds
        self._call_later(
            max(0.0, READ_PAUSE_SECONDS - spent_seconds), self._watch
        )

    def _send(
        self,
        call: http_client.Call,
        done: Callable[[whole_answer.WholeAnswer | http_client.Failure], None],
    ) -> None:
        self._asked_at_seconds = self._timers.now_seconds()
        self._checks_without_step = 0
        self._counters.add("store_calls", self._prefix)
        run_number = self._run_number
        self._client.send(
            call,
            whole_answer.WholeAnswerSink(
                done=lambda answer: self._take(answer, done, run_number)
            ),
        )

    def _take(
        self,
        answer: whole_answer.WholeAnswer | http_client.Failure,
        done: Callable[[whole_answer.WholeAnswer | http_client.Failure], None],
        run_number: int,
    ) -> None:
        if run_number != self._run_number:
            return
        self._due_at_seconds = math.inf
        try:
            done(answer)
        except Exception:
            # The step that would have asked for more was left out.
            self._begin_again("handler_failed")
            raise

    def _record_success(self, *, written_since_seconds: float) -> None:
        self._answered_at_seconds = self._timers.now_seconds()
        self._retry_seconds = FIRST_RETRY_SECONDS
        has_recovered, self._failing = self._failing, False
        if has_recovered:
            self._log.write("store_regained", prefix=self._prefix)
        self._on_answer(has_recovered, written_since_seconds)

    def _retry_later(self, reason: str, again: Callable[[], None]) -> None:
        self._counters.add("store_failures", reason)
        if not self._failing:
            self._failing = True
            self._log.write(
                "store_lost",
                prefix=self._prefix,
                reason=reason,
                revision=self._revision,
            )
        # Jitter: instances that lost the store at once must not all retry at
        # once.
        delay_seconds = self._retry_seconds * (0.5 + self._rng.random())
        self._retry_seconds = min(2 * self._retry_seconds, MAX_RETRY_SECONDS)
        self._call_later(delay_seconds, again)


__all__ = [
    "StoreFollower",
]

"""Schedules the engines that this instance owns, for all instances."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from boragefold.coordination.fleet import order_leases
from boragefold.coordination.fleet import order_turns
from boragefold.coordination.fleet import owner_changes
import boragefold.coordination.link as links
from boragefold.entry import cold_endpoints
from boragefold.entry import engine_dialect as dialects
from boragefold.entry import engine_messages
from boragefold.entry import owned_engine
from boragefold.entry import owned_summaries
from boragefold.entry import owner_client
from boragefold.entry import owner_log
from boragefold.policy import engine_decisions
from boragefold.policy import engine_schedule
from boragefold.policy import engine_slots
from boragefold.protocol import ids
from boragefold.protocol import peer_messages as messages
from boragefold.state import deployment
from boragefold.state import fleet as fleets
from boragefold.telemetry import counters as telemetry
from boragefold.telemetry import decision_log
from boragefold.timing import timers as timing
from boragefold.transport import http_client

# An owner gives up an engine after this time without a report: eight failed
# report requests.
GIVE_UP_SECONDS = 2.0
# An instance that gave up an engine leaves it to others for this time.
RELEASE_SECONDS = 8.0


class EngineOwner:
    """Replies to requests of all instances for the engines owned here."""

    def __init__(
        self,
        *,
        link: links.PeerLink,
        fleet: fleets.Fleet,
        dialect: dialects.EngineDialect,
        client: http_client.HttpClient,
        timers: timing.TimerService,
        counters: telemetry.Counters,
        log: decision_log.DecisionLog,
        lease_seconds: float,
        issuer: int,
        leases: order_leases.OrderLeases,
        count_other_loads: Callable[[], int],
        owner_change: Callable[
            [deployment.EndpointRecord], owner_changes.OwnerChange
        ],
        is_cut_off: Callable[[str], bool] = lambda engine: False,
        cold: cold_endpoints.ColdEndpoints | None = None,
    ) -> None:
        """Subscribe to the messages of instances that use owned engines.

        :param link: to all instances, this one included
        :param fleet: the published deployment
        :param dialect: builds and parses the calls to engines
        :param client: HTTP client for the engines
        :param timers: the process clock
        :param counters: of this process
        :param log: of this process
        :param lease_seconds: minimum time between orders of two instances
        :param issuer: this instance's own number in fencing numbers
        :param leases: required for giving orders
        :param count_other_loads: number of loads under way on engines of other
            owners
        :param owner_change: explains why this instance started or stopped
            owning an engine
        :param is_cut_off: whether peers reach an engine and this instance
            doesn't
        :param cold: the cold engines; None if none has a limit
        """
        self._link = link
        self._fleet = fleet
        self._dialect = dialect
        self._client = client
        self._timers = timers
        self._counters = counters
        self._log = log
        self._lease_seconds = lease_seconds
        self._issuer = issuer
        self._leases = leases
        self._started_at_seconds = timers.now_seconds()
        self._count_other_loads = count_other_loads
        self._owner_change = owner_change
        self._is_cut_off = is_cut_off
        self._cold = cold
        # Both are updated once per call of set_owned: computing them for each
        # decision costs more than the decision if there are many engines.
        self._other_loads = 0
        self._engines = 0
        self._owned: dict[str, owned_engine.OwnedEngine] = {}
        # Kept after ownership ends: an instance that owns an engine again
        # must detect that others gave it orders in the meantime.
        self._turns: dict[str, order_turns.OrderTurns] = {}
        self._released_until_seconds: dict[str, float] = {}
        self._summaries = owned_summaries.OwnedSummaries()
        self._next_run: timing.Subscription | None = None
        self._next_run_at_seconds = 0.0
        link.subscribe(messages.EngineAsk, self._on_ask)
        link.subscribe(messages.RunStarted, self._on_started)
        link.subscribe(messages.RunEnded, self._on_ended)

    def set_owned(self, records: Iterable[deployment.EndpointRecord]) -> None:
        """Schedule exactly these engines from now on.

        :param records: the engines that this instance owns
        """
        self._other_loads = self._count_other_loads()
        self._engines = sum(1 for _ in self._fleet.engines())
        now_seconds = self._timers.now_seconds()
        wanted = {record.name: record for record in records}
        for name in self._owned.keys() - wanted.keys():
            given_up = self._owned.pop(name)
            given_up.stop()
            self._summaries.remove(name)
            change = self._owner_change(given_up.record)
            owner_log.log_given_up(self._log, given_up.record, change)
        for name, record in wanted.items():
            owned = self._owned.get(name)
            if owned is None:
                self._start_owning(record)
            elif owned.record != record:
                owned.update_record(record)
                self._summaries.update(name, owned, now_seconds=now_seconds)
        self.run()

    def should_release(self, engine: str) -> bool:
        """Check whether an engine should have another owner.

        Only the owner may be cut off from an engine. As long as it stays the
        owner, no adapter is loaded there although all others could load one.

        :param engine: its name
        :return: whether this instance can't reach the engine, or couldn't
            recently
        """
        now_seconds = self._timers.now_seconds()
        owned = self._owned.get(engine)
        silent = (
            owned is not None
            and owned.seconds_without_report() > GIVE_UP_SECONDS
        )
        if silent or self._is_cut_off(engine):
            until_seconds = now_seconds + RELEASE_SECONDS
            self._released_until_seconds[engine] = until_seconds
        return self._released_until_seconds.get(engine, 0.0) > now_seconds

    def engines_to_release(self) -> tuple[str, ...]:
        """List the engines that should have another owner.

        :return: their names
        """
        return tuple(
            filter(self.should_release, list(self._released_until_seconds))
        )

    def statuses(self) -> tuple[messages.EngineStatus, ...]:
        """Describe the owned engines for other instances.

        :return: one status for each engine
        """
        now_seconds = self._timers.now_seconds()
        return tuple(
            self._summaries.status(name, engine, now_seconds=now_seconds)
            for name, engine in self._owned.items()
        )

    def remove_peer(self, peer: ids.InstanceId) -> None:
        """Remove the requests of an incarnation that has ended.

        :param peer: the incarnation
        """
        now_seconds = self._timers.now_seconds()
        for name, engine in list(self._owned.items()):
            withdrawn = engine.schedule.remove_where(
                lambda ask: ask.sender == peer, now_seconds=now_seconds
            )
            if withdrawn:
                self._run_engine(name)

    def run(self) -> None:
        """Carry out the current decisions of all schedules."""
        for name in list(self._owned):
            self._advance(name)
        self._schedule_run()

    def _run_due(self) -> None:
        # The timer's reading may differ from the due time by rounding.
        until_seconds = max(
            self._timers.now_seconds(), self._next_run_at_seconds
        )
        self._next_run = None
        for name in self._summaries.due(until_seconds=until_seconds):
            self._advance(name)
        self._schedule_run()

    def _run_engine(self, name: str) -> None:
        # Only one engine is advanced: if each message advanced all engines,
        # an instance that owns all of them because the others stopped would
        # do nothing else, and its callers would leave before their requests
        # are read.
        self._advance(name)
        self._schedule_run()

    def _advance(self, name: str) -> None:
        engine = self._owned.get(name)
        if engine is None:
            return
        actions = engine.advance()
        now_seconds = self._timers.now_seconds()
        self._summaries.update(name, engine, now_seconds=now_seconds)
        for action in actions:
            self._reply(name, action)

    def _start_owning(self, record: deployment.EndpointRecord) -> None:
        engine = self._fleet.engine_of(record)
        if engine is None:
            return
        change = self._owner_change(record)
        owner_log.log_taken_up(self._log, record, change)
        turns = self._turns.setdefault(
            record.name,
            order_turns.OrderTurns(
                lease_seconds=self._lease_seconds,
                issuer=self._issuer,
                started_at_seconds=self._started_at_seconds,
            ),
        )
        slots = engine_slots.EngineSlots(
            engine=engine,
            newest_versions=self._fleet.versions,
            loads_elsewhere=lambda: self._loads_on_other_engines(record.name),
            count_engines=lambda: self._engines,
            issuer=self._issuer,
        )
        self._owned[record.name] = owned_engine.OwnedEngine(
            record=record,
            schedule=engine_schedule.EngineSchedule(
                engine=engine, slots=slots
            ),
            turns=turns,
            lease=self._leases.lease(
                record.name,
                record.data_centre,
                on_obtained=lambda: self._run_engine(record.name),
            ),
            dialect=self._dialect,
            client=self._client,
            timers=self._timers,
            counters=self._counters,
            log=self._log,
            on_changed=lambda: self._run_engine(record.name),
            cold=self._cold,
            is_evacuated=self._fleet.is_evacuated,
        )

    def _loads_on_other_engines(self, name: str) -> int:
        now_seconds = self._timers.now_seconds()
        own = self._summaries.loads_except(name, now_seconds=now_seconds)
        return own + self._other_loads

    def _on_ask(
        self, sender: ids.InstanceId, body: messages.EngineAsk
    ) -> None:
        ask = engine_messages.read_ask(
            sender, body, now_seconds=self._timers.now_seconds()
        )
        if body.unanswered == owner_client.RECONNECT_AFTER_RETRIES:
            # The reply didn't arrive: the connection only looks open.
            self._link.reconnect(sender)
        owned = self._owned.get(body.engine)
        if owned is None:
            self._reply(
                body.engine,
                engine_decisions.Refusal(ask, engine_decisions.NOT_OWNER, 0.0),
            )
            return
        granted = owned.schedule.find_grant(ask.request_id)
        if owned.must_move(ask.adapter):
            # The grant, if there was one, didn't arrive.
            self._refuse_evacuated(owned, ask)
            return
        if granted is not None:
            # The request is repeated since the reply was lost.
            self._reply(body.engine, granted)
            return
        refusal = owned.schedule.submit(
            ask, now_seconds=self._timers.now_seconds()
        )
        if refusal is not None:
            self._reply(body.engine, refusal)
        elif body.unanswered:
            waits = messages.EngineWaits(ask.request_id, body.engine)
            self._link.send(to=sender, body=waits)
        self._run_engine(body.engine)

    def _refuse_evacuated(
        self,
        owned: owned_engine.OwnedEngine,
        ask: engine_decisions.EngineRequest,
    ) -> None:
        now_seconds = self._timers.now_seconds()
        owned.schedule.remove(ask.request_id, now_seconds=now_seconds)
        name = owned.record.name
        refusal = engine_decisions.Refusal(
            ask, engine_decisions.EVACUATED, 0.0
        )
        self._reply(name, refusal)
        self._run_engine(name)

    def _on_started(
        self, sender: ids.InstanceId, body: messages.RunStarted
    ) -> None:
        owned = self._owned.get(body.engine)
        if owned is not None:
            owned.schedule.record_start(
                body.request_id, now_seconds=self._timers.now_seconds()
            )
            self._run_engine(body.engine)

    def _on_ended(
        self, sender: ids.InstanceId, body: messages.RunEnded
    ) -> None:
        owned = self._owned.get(body.engine)
        if owned is None:
            return
        granted = owned.schedule.find_grant(body.request_id)
        owned.schedule.remove(
            body.request_id, now_seconds=self._timers.now_seconds()
        )
        if body.not_held and granted is not None:
            owned.record_missing(granted.request.adapter)
        self._run_engine(body.engine)

    def _reply(self, engine: str, action: engine_decisions.Action) -> None:
        if isinstance(action, engine_decisions.Grant):
            self._link.send(
                to=action.request.sender,
                body=messages.EngineGrant(
                    action.request.request_id,
                    engine,
                    action.version,
                    *action.queue_times,
                ),
            )
        elif isinstance(action, engine_decisions.Refusal):
            self._counters.add("engine_asks_refused", action.reason)
            if action.reason != engine_schedule.WOULD_BE_LATE:
                # The requesting instance logs where the request went instead.
                owned = self._owned.get(engine)
                owner_log.log_refusal(self._log, engine, action, owned)
            self._link.send(
                to=action.request.sender,
                body=messages.EngineRefusal(
                    action.request.request_id,
                    engine,
                    action.reason,
                    action.retry_after_seconds,
                    action.wait_seconds,
                ),
            )

    def _schedule_run(self) -> None:
        due_seconds = self._summaries.next_due_at_seconds()
        if self._next_run is not None:
            if due_seconds == self._next_run_at_seconds:
                return
            self._next_run.cancel()
            self._next_run = None
        if due_seconds is None:
            return
        self._next_run_at_seconds = due_seconds
        delay_seconds = due_seconds - self._timers.now_seconds()
        self._next_run = self._timers.once(
            delay_seconds=max(0.0, delay_seconds), callback=self._run_due
        )


__all__ = [
    "EngineOwner",
]

"""Requests to run on an engine, sent to the instance that owns it.

A request is sent to the owner of the engine that ranks first. The owner
replies once: run it now, or not on this engine. Until then the request waits
in the owner's queue, which holds everything that waits for that engine.
"""

from __future__ import annotations

import abc
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses

from boragefold.coordination.fleet import members as members_module
from boragefold.coordination.fleet import ownership as ownerships
import boragefold.coordination.link as links
from boragefold.entry import engine_messages
from boragefold.entry import engine_views
from boragefold.policy import engine_decisions
from boragefold.policy import engine_ranking
from boragefold.protocol import ids
from boragefold.protocol import peer_messages as messages
from boragefold.state import deployment
from boragefold.state import fleet as fleets
from boragefold.timing import timers as timing

# Repeating is safe: the owner identifies a request by its id.
RETRY_SECONDS = 0.5
# A connection that looks open may be dead; both sides reconnect after this
# many repetitions without a reply.
RECONNECT_AFTER_RETRIES = 2
# An owner is known to others a moment before it takes an engine up.
MAX_NOT_OWNER = 3
# Reason of the refusal at an engine that gets only what its owner grants.
WITHOUT_OWNER = "cold_without_owner"


class GrantReceiver(abc.ABC):
    """Receives the owner's reply for a request."""

    @abc.abstractmethod
    def on_granted(
        self, engine: str, version: int, waits: engine_decisions.QueueTimes
    ) -> None:
        """Run the request now.

        :param engine: where
        :param version: of the adapter, 0 for any
        :param waits: how long it waited in the owner's queue, by cause
        """

    @abc.abstractmethod
    def on_refused(
        self,
        engine: str,
        reason: str,
        retry_after_seconds: float,
        wait_seconds: float,
    ) -> None:
        """Handle a refusal by the engine's owner.

        :param engine: which
        :param reason: one of a small fixed set
        :param retry_after_seconds: when a retry may succeed
        :param wait_seconds: estimated time in the queue, for a request that
            was refused since it asked not to be queued
        """


@dataclasses.dataclass(kw_only=True)
class PendingRequest:
    """A request to an owner that has no reply yet."""

    receiver: GrantReceiver
    request: engine_decisions.EngineRequest
    engine: str
    owner: ids.InstanceId
    sent_at_seconds: float
    unanswered: int = 0
    not_owner: int = 0


class OwnerClient:
    """Sends requests to the owners of engines, and reports their progress."""

    def __init__(
        self,
        *,
        link: links.PeerLink,
        members: members_module.Members,
        ownership: ownerships.Ownership,
        fleet: fleets.Fleet,
        timers: timing.TimerService,
        health: Callable[[str], float],
        needs_grant: Callable[[str], bool] = lambda engine: False,
    ) -> None:
        """Subscribe to the owners' replies.

        :param link: to all instances, this one included
        :param members: the other instances
        :param ownership: which instance owns which engine
        :param fleet: the published deployment
        :param timers: the process clock
        :param health: health of an endpoint, from 0 to 1
        :param needs_grant: tells whether an engine may get nothing without a
            grant of its owner
        """
        self._link = link
        self._members = members
        self._ownership = ownership
        self._fleet = fleet
        self._timers = timers
        self._health = health
        self._needs_grant = needs_grant
        self._pending: dict[str, PendingRequest] = {}
        self._granted: dict[str, ids.InstanceId] = {}
        self._engine_views = engine_views.EngineViews()
        link.subscribe(messages.EngineGrant, self._on_grant)
        link.subscribe(messages.EngineRefusal, self._on_refusal)
        link.subscribe(messages.EngineWaits, self._on_waits)

    def rank(
        self,
        service: str,
        key: deployment.AdapterKey,
        owned: tuple[messages.EngineStatus, ...],
    ) -> list[engine_ranking.EngineView]:
        """Rank the engines of a service for a request.

        :param service: the service
        :param key: the adapter that the request needs
        :param owned: status of the engines that this instance owns
        :return: the best first
        """
        return engine_ranking.rank(key, self._views(service, key, owned))

    def request(
        self,
        receiver: GrantReceiver,
        request: engine_decisions.EngineRequest,
        engine: str,
    ) -> None:
        """Ask an engine's owner whether a request may run there.

        :param receiver: receives the reply, never inside this call
        :param request: the request
        :param engine: where
        """
        owner = self._ownership.owner(engine)
        if owner is None:
            self._timers.once(
                delay_seconds=0.0,
                callback=lambda: self._reply_without_owner(receiver, engine),
            )
            return
        pending = PendingRequest(
            receiver=receiver,
            request=request,
            engine=engine,
            owner=owner,
            sent_at_seconds=self._timers.now_seconds(),
        )
        self._pending[request.request_id] = pending
        self._send(pending)

    def _reply_without_owner(
        self, receiver: GrantReceiver, engine: str
    ) -> None:
        # Without an owner, loaded adapters can still be used.
        if self._needs_grant(engine):
            receiver.on_refused(engine, WITHOUT_OWNER, 0.0, 0.0)
        else:
            receiver.on_granted(engine, 0, engine_decisions.QueueTimes())

    def report_start(self, request_id: str, engine: str) -> None:
        """Tell an engine's owner that a response has started.

        :param request_id: of the request
        :param engine: where it runs
        """
        owner = self._granted.get(request_id)
        if owner is not None:
            body = messages.RunStarted(request_id, engine)
            self._link.send(to=owner, body=body)

    def report_end(
        self, request_id: str, engine: str, *, not_held: bool = False
    ) -> None:
        """Tell an engine's owner that a request has ended or was cancelled.

        :param request_id: of the request
        :param engine: where it ran, or was to run
        :param not_held: whether the engine rejected it since its adapter
            isn't loaded
        """
        pending = self._pending.pop(request_id, None)
        owner = self._granted.pop(request_id, None)
        if owner is None and pending is not None:
            owner = pending.owner
        if owner is not None:
            body = messages.RunEnded(request_id, engine, not_held)
            self._link.send(to=owner, body=body)

    def retry_pending(self) -> None:
        """Repeat unanswered requests, and refuse those that must move.

        Owners that don't know of an evacuation keep its requests queued.
        """
        now_seconds = self._timers.now_seconds()
        for request_id, pending in list(self._pending.items()):
            if self._ownership.owner(pending.engine) != pending.owner:
                del self._pending[request_id]
                pending.receiver.on_refused(
                    pending.engine, "owner_changed", 0.0, 0.0
                )
            elif self._must_move(pending):
                pending.receiver.on_refused(
                    pending.engine, engine_decisions.EVACUATED, 0.0, 0.0
                )
            elif now_seconds - pending.sent_at_seconds > RETRY_SECONDS:
                pending.sent_at_seconds = now_seconds
                pending.unanswered += 1
                if pending.unanswered == RECONNECT_AFTER_RETRIES:
                    self._link.reconnect(pending.owner)
                self._send(pending)

    def _must_move(self, pending: PendingRequest) -> bool:
        record = self._fleet.endpoint(pending.engine)
        return record is not None and self._fleet.is_evacuated(
            record, pending.request.adapter
        )

    def _views(
        self,
        service: str,
        key: deployment.AdapterKey,
        owned: tuple[messages.EngineStatus, ...],
    ) -> Iterator[engine_ranking.EngineView]:
        statuses = self._reported_statuses()
        statuses.update((status.name, status) for status in owned)
        data_centre = self._link.self_id.data_centre
        for record in self._fleet.endpoints_of(service, key):
            is_local = record.data_centre == data_centre
            health = self._health(record.name)
            status = statuses.get(record.name)
            if status is not None and not status.answers:
                continue
            if status is None and self._lacks_owner(record.name):
                continue
            yield self._engine_views.view_of(
                record, status, is_local=is_local, health=health
            )

    def _lacks_owner(self, engine: str) -> bool:
        return self._ownership.owner(engine) is None and self._needs_grant(
            engine
        )

    def _reported_statuses(self) -> dict[str, messages.EngineStatus]:
        return {
            status.name: status
            for member in self._members.reachable()
            if member.beat is not None
            for status in member.beat.engines
            if self._ownership.owner(status.name) == member.instance
        }

    def _send(self, pending: PendingRequest) -> None:
        now_seconds = self._timers.now_seconds()
        body = engine_messages.write_ask(
            pending.request,
            pending.engine,
            unanswered=pending.unanswered,
            now_seconds=now_seconds,
        )
        self._link.send(to=pending.owner, body=body)

    def _on_grant(
        self, sender: ids.InstanceId, body: messages.EngineGrant
    ) -> None:
        pending = self._pop_pending(sender, body.request_id, body.engine)
        if pending is None:
            if body.request_id not in self._granted:
                # The request was cancelled in the meantime.
                ended = messages.RunEnded(body.request_id, body.engine, False)
                self._link.send(to=sender, body=ended)
            return
        self._granted[body.request_id] = sender
        waits = engine_decisions.QueueTimes(
            slot_seconds=body.place_wait_seconds,
            load_seconds=body.load_wait_seconds,
            capacity_seconds=body.turn_wait_seconds,
        )
        pending.receiver.on_granted(body.engine, body.version, waits)

    def _on_refusal(
        self, sender: ids.InstanceId, body: messages.EngineRefusal
    ) -> None:
        if self._keep_pending(sender, body):
            return
        pending = self._pop_pending(sender, body.request_id, body.engine)
        if pending is not None:
            pending.receiver.on_refused(
                body.engine,
                body.reason,
                body.retry_after_seconds,
                body.wait_seconds,
            )

    def _keep_pending(
        self, sender: ids.InstanceId, body: messages.EngineRefusal
    ) -> bool:
        # ``retry_pending`` asks again, or refuses if the owner has changed.
        pending = self._pending.get(body.request_id)
        if (
            body.reason != engine_decisions.NOT_OWNER
            or pending is None
            or pending.request.eager
            or (pending.engine, pending.owner) != (body.engine, sender)
        ):
            return False
        pending.not_owner += 1
        return pending.not_owner <= MAX_NOT_OWNER

    def _on_waits(
        self, sender: ids.InstanceId, body: messages.EngineWaits
    ) -> None:
        pending = self._pending.get(body.request_id)
        if pending is not None and pending.owner == sender:
            pending.unanswered = 0

    def _pop_pending(
        self, sender: ids.InstanceId, request_id: str, engine: str
    ) -> PendingRequest | None:
        pending = self._pending.get(request_id)
        if (
            pending is None
            or pending.engine != engine
            or pending.owner != sender
        ):
            return None
        return self._pending.pop(request_id)


__all__ = [
    "GrantReceiver",
    "OwnerClient",
]

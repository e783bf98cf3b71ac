"""Leases by which a suspected request is sent one copy at a time.

The issuer of a request's lease follows from the members that an instance
knows, so nothing is stored. Instances that don't know each other, as during a
cut, have an issuer on each side; one that has just become the issuer learns
from renewals what its predecessor issued. Without suspects nothing is sent.
"""

from __future__ import annotations

import abc
import dataclasses
import itertools
import math

from boragefold.coordination.fleet import members as members_module
import boragefold.coordination.link as links
from boragefold.policy import suspect_leases
from boragefold.protocol import crash_messages as messages
from boragefold.protocol import ids
from boragefold.timing import timers as timing

CHECK_SECONDS = 0.1
# The pause between questions doubles while another instance holds the lease.
MAX_ASK_SECONDS = 0.8
# A lease ends by itself unless it is renewed.
LEASE_SECONDS = 2.0
RENEW_SECONDS = 0.5
# A reachable issuer that is silent for longer runs a release without leases.
MAX_SILENCE_SECONDS = 1.0
# A copy that broke is followed by the next one when its crash is known.
SETTLE_SECONDS = 0.5


class LeaseWaiter(abc.ABC):
    """A request that waits until no other copy of it is on its way."""

    @abc.abstractmethod
    def is_needed(self) -> bool:
        """Tell whether the request still needs its lease.

        :return: whether it hasn't completed anywhere
        """

    @abc.abstractmethod
    def may_wait(self) -> bool:
        """Tell whether the request can still wait for its lease.

        :return: whether it would have time to be answered
        """

    @abc.abstractmethod
    def on_lease(self) -> None:
        """Send the request."""

    @abc.abstractmethod
    def on_no_lease(self) -> None:
        """Refuse the request, as it can't wait any longer."""


@dataclasses.dataclass(kw_only=True)
class LeaseQueue:
    """The requests at this instance that share a lease.

    ``number`` is that of the lease that is held or asked for, ``issuer`` the
    instance that was asked, and ``holder`` the copy that has it.
    """

    number: int = 0
    waiting: list[LeaseWaiter] = dataclasses.field(default_factory=list)
    holder: LeaseWaiter | None = None
    issuer: str = ""
    answered_at_seconds: float = math.inf
    ask_at_seconds: float = -math.inf
    ask_pause_seconds: float = CHECK_SECONDS
    next_check: timing.Subscription | None = None


class SuspectLeases:
    """Asks for leases of suspected requests, and issues those of others."""

    def __init__(
        self,
        *,
        link: links.PeerLink,
        members: members_module.Members,
        timers: timing.TimerService,
    ) -> None:
        """Subscribe to the messages.

        :param link: to the peers
        :param members: the other instances
        :param timers: the process clock
        """
        self._link = link
        self._members = members
        self._timers = timers
        self._book = suspect_leases.LeaseBook()
        self._queues: dict[int, LeaseQueue] = {}
        self._numbers = itertools.count(1)
        link.subscribe(messages.SuspectLeaseAsked, self._handle_asked)
        link.subscribe(messages.SuspectLeaseAnswer, self._handle_answer)
        link.subscribe(messages.SuspectLeaseEnded, self._handle_ended)

    def request(self, key: int, waiter: LeaseWaiter) -> None:
        """Let a request wait for its lease.

        :param key: identifies the lease
        :param waiter: told when it may be sent, perhaps inside this call
        """
        queue = self._queues.get(key)
        if queue is None:
            queue = self._queues[key] = LeaseQueue()
            self._renumber(queue)
        queue.waiting.append(waiter)
        if queue.next_check is None:
            self._check(key, queue)

    def release(self, key: int, waiter: LeaseWaiter, *, settles: bool) -> None:
        """End the lease of a request, or let it wait no longer.

        :param key: identifies the lease
        :param waiter: the request that asked for it
        :param settles: whether it may turn out only now that it crashed
        """
        queue = self._queues.get(key)
        if queue is None:
            return
        if queue.holder is waiter:
            self._timers.once(
                delay_seconds=SETTLE_SECONDS if settles else 0.0,
                callback=lambda: self._end(key, queue),
            )
        elif waiter in queue.waiting:
            queue.waiting.remove(waiter)

    def _check(self, key: int, queue: LeaseQueue) -> None:
        queue.next_check = None
        self._drop_late(queue)
        if not queue.waiting and queue.holder is None:
            self._end(key, queue)
            return
        queue.next_check = self._timers.once(
            delay_seconds=CHECK_SECONDS,
            callback=lambda: self._check(key, queue),
        )
        self._send_cleared(queue)
        if (
            queue.waiting or queue.holder is not None
        ) and self._timers.now_seconds() >= queue.ask_at_seconds:
            self._ask(key, queue)

    def _send_cleared(self, queue: LeaseQueue) -> None:
        cleared = [each for each in queue.waiting if not each.is_needed()]
        queue.waiting = [each for each in queue.waiting if each.is_needed()]
        for waiter in cleared:
            waiter.on_lease()

    def _drop_late(self, queue: LeaseQueue) -> None:
        late = [each for each in queue.waiting if not each.may_wait()]
        queue.waiting = [each for each in queue.waiting if each not in late]
        for waiter in late:
            waiter.on_no_lease()

    def _ask(self, key: int, queue: LeaseQueue) -> None:
        now_seconds = self._timers.now_seconds()
        issuer = self._find_issuer(key)
        if queue.issuer != issuer.address:
            queue.issuer = issuer.address
            queue.answered_at_seconds = now_seconds
        silence_seconds = now_seconds - queue.answered_at_seconds
        if queue.holder is None and silence_seconds > MAX_SILENCE_SECONDS:
            self._begin(queue)
            return
        queue.ask_at_seconds = now_seconds + queue.ask_pause_seconds
        if issuer == self._link.self_id:
            issued = self._issue(issuer, key, queue.number)
            self._process_answer(queue, issued)
        else:
            asked = messages.SuspectLeaseAsked(key, queue.number)
            self._link.send(to=issuer, body=asked)

    def _find_issuer(self, key: int) -> ids.InstanceId:
        staying = {
            instance.address: instance for instance in self._members.staying()
        }
        own = self._link.self_id
        staying[own.address] = own
        return staying[suspect_leases.choose_issuer(key, staying)]

    def _begin(self, queue: LeaseQueue) -> None:
        queue.ask_pause_seconds = RENEW_SECONDS
        queue.ask_at_seconds = self._timers.now_seconds() + RENEW_SECONDS
        queue.holder = queue.waiting.pop(0)
        queue.holder.on_lease()

    def _end(self, key: int, queue: LeaseQueue) -> None:
        ended = messages.SuspectLeaseEnded(key, queue.number)
        own = self._link.self_id
        if queue.issuer == own.address:
            self._handle_ended(own, ended)
        elif queue.issuer:
            issuer = self._members.identity(queue.issuer)
            self._link.send(to=issuer, body=ended)
        queue.holder = None
        self._renumber(queue)
        if queue.next_check is not None:
            queue.next_check.cancel()
        if queue.waiting:
            self._check(key, queue)
        else:
            del self._queues[key]

    def _renumber(self, queue: LeaseQueue) -> None:
        queue.number = next(self._numbers)
        queue.issuer = ""
        queue.ask_at_seconds = -math.inf
        queue.ask_pause_seconds = CHECK_SECONDS

    def _handle_asked(
        self, sender: ids.InstanceId, asked: messages.SuspectLeaseAsked
    ) -> None:
        answer = messages.SuspectLeaseAnswer(
            asked.key,
            asked.number,
            self._issue(sender, asked.key, asked.number),
        )
        self._link.send(to=sender, body=answer)

    def _issue(self, holder: ids.InstanceId, key: int, number: int) -> bool:
        now_seconds = self._timers.now_seconds()
        return self._book.issue(
            key,
            suspect_leases.Lease(holder, number, now_seconds + LEASE_SECONDS),
            now_seconds=now_seconds,
            is_alive=self._is_alive,
        )

    def _is_alive(self, holder: ids.InstanceId) -> bool:
        if holder == self._link.self_id:
            return True
        return any(
            member.instance == holder for member in self._members.reachable()
        )

    def _handle_answer(
        self, sender: ids.InstanceId, answer: messages.SuspectLeaseAnswer
    ) -> None:
        queue = self._queues.get(answer.key)
        if queue is not None and queue.number == answer.number:
            self._process_answer(queue, answer.issued)
        elif answer.issued:
            ended = messages.SuspectLeaseEnded(answer.key, answer.number)
            self._link.send(to=sender, body=ended)

    def _process_answer(self, queue: LeaseQueue, issued: bool) -> None:
        queue.answered_at_seconds = self._timers.now_seconds()
        if queue.holder is not None:
            return
        if issued and queue.waiting:
            self._begin(queue)
        else:
            queue.ask_pause_seconds = min(
                2 * queue.ask_pause_seconds, MAX_ASK_SECONDS
            )

    def _handle_ended(
        self, sender: ids.InstanceId, ended: messages.SuspectLeaseEnded
    ) -> None:
        self._book.end(ended.key, sender, ended.number)


__all__ = [
    "LeaseWaiter",
    "SuspectLeases",
]

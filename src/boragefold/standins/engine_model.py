"""A model engine as the system sees one: batches, slots, loads, orders.

No network and no real model: tokens come at a steady pace from a timer.
"""

from __future__ import annotations

import abc
import collections
import dataclasses
from typing import NamedTuple
import uuid

from boragefold.timing import timers as timing

TOKEN_SECONDS = 0.028
LOAD_SECONDS = 0.25


class Held(NamedTuple):
    """An adapter version in a slot."""

    adapter: str
    version: str


class TokenSink(abc.ABC):
    """Receives the tokens of one stream."""

    @abc.abstractmethod
    def token(self, index: int, text: str) -> None:
        """Take one token.

        :param index: its place in the whole answer, from 0
        :param text: the token
        """

    @abc.abstractmethod
    def done(self, generated_tokens: int) -> None:
        """Learn that the answer is whole.

        :param generated_tokens: how many tokens the answer has
        """

    @abc.abstractmethod
    def cut(self) -> None:
        """Learn that the engine broke the answer off."""


@dataclasses.dataclass(eq=False, kw_only=True)
class Stream:
    """One answer in generation."""

    held: Held
    next_token: int
    max_tokens: int
    sink: TokenSink


@dataclasses.dataclass(kw_only=True)
class Faults:
    """What goes wrong on purpose."""

    silent: bool = False
    refuse: bool = False
    truncate_after_tokens: int | None = None
    slow_factor: float = 1.0
    fail_loads: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class OrderResult:
    """How an order ended."""

    done: bool
    reason: str
    fencing: int


class Engine:
    """A continuously batching engine with adapter slots."""

    def __init__(
        self,
        *,
        timers: timing.TimerService,
        model: str,
        slots: int,
        batch_size: int,
        checks_fencing: bool,
        token_seconds: float = TOKEN_SECONDS,
        load_seconds: float = LOAD_SECONDS,
    ) -> None:
        self._timers = timers
        self.model = model
        self.slots = slots
        self.batch_size = batch_size
        self.checks_fencing = checks_fencing
        self.token_seconds = token_seconds
        self.load_seconds = load_seconds
        self.faults = Faults()
        self.fencing = 0
        self.served: collections.Counter[Held] = collections.Counter()
        self.evicted_in_use = 0
        self.loads_done = 0
        self._empty()
        self._schedule()

    def restart(self) -> None:
        """Come back as a new incarnation that holds no adapter."""
        broken = [*self.running, *self.waiting]
        self._empty()
        self.fencing = 0
        for stream in broken:
            stream.sink.cut()

    def submit(self, stream: Stream) -> bool:
        """Take a stream into the batch or the queue.

        :param stream: what to generate
        :return: False when its adapter isn't in a slot
        """
        if stream.held.adapter and stream.held not in self.resident:
            return False
        self.served[stream.held] += 1
        self.waiting.append(stream)
        self._fill_batch()
        return True

    def cancel(self, stream: Stream) -> None:
        """Drop a stream whose reader is gone.

        :param stream: which
        """
        if stream in self.running:
            self.running.remove(stream)
            self._fill_batch()
        elif stream in self.waiting:
            self.waiting.remove(stream)

    def in_use(self, held: Held) -> int:
        """Count the streams on an adapter.

        :param held: which
        :return: running and waiting streams
        """
        return sum(
            stream.held == held for stream in (*self.running, *self.waiting)
        )

    def load(
        self,
        held: Held,
        evict: Held | None,
        fencing: int,
        finished: collections.abc.Callable[[OrderResult], None],
    ) -> None:
        """Carry out an order to load an adapter, evicting another if asked.

        :param held: what to load
        :param evict: what to give up for it
        :param fencing: the order's fencing token
        :param finished: called once with the result
        """
        refusal = self._order_refusal(held, evict, fencing)
        if refusal is not None:
            finished(
                OrderResult(done=False, reason=refusal, fencing=self.fencing)
            )
            return
        self.fencing = max(self.fencing, fencing)
        if evict is not None and evict in self.resident:
            self.evict(evict, fencing)
        if held in self.resident:
            finished(
                OrderResult(done=True, reason="resident", fencing=fencing)
            )
            return
        self.loading.add(held)
        incarnation = self.incarnation
        self._timers.once(
            delay_seconds=self.load_seconds,
            callback=lambda: self._loaded(held, incarnation, finished),
        )

    def evict(self, held: Held, fencing: int) -> OrderResult:
        """Carry out an order to give an adapter's slot up.

        :param held: what to evict
        :param fencing: the order's fencing token
        :return: the result
        """
        if self.checks_fencing and fencing < self.fencing:
            return OrderResult(
                done=False, reason="old_fencing", fencing=self.fencing
            )
        self.fencing = max(self.fencing, fencing)
        # An engine does as it is told; what this counts is our fault.
        self.evicted_in_use += bool(self.in_use(held))
        self.resident.discard(held)
        return OrderResult(done=True, reason="evicted", fencing=fencing)

    def _order_refusal(
        self, held: Held, evict: Held | None, fencing: int
    ) -> str | None:
        if self.checks_fencing and fencing < self.fencing:
            return "old_fencing"
        taken = len(self.resident | self.loading | {held})
        freed = 1 if evict in self.resident else 0
        if taken - freed > self.slots:
            return "slots_full"
        return None

    def _loaded(
        self,
        held: Held,
        incarnation: str,
        finished: collections.abc.Callable[[OrderResult], None],
    ) -> None:
        if incarnation != self.incarnation:
            reason = "restarted"
        elif self.faults.fail_loads:
            reason = "load_failed"
        else:
            reason = "loaded"
            self.loads_done += 1
            self.resident.add(held)
        self.loading.discard(held)
        finished(
            OrderResult(
                done=reason == "loaded", reason=reason, fencing=self.fencing
            )
        )

    def _empty(self) -> None:
        self.incarnation = uuid.uuid4().hex
        self.resident: set[Held] = set()
        self.loading: set[Held] = set()
        self.running: list[Stream] = []
        self.waiting: collections.deque[Stream] = collections.deque()

    def _schedule(self) -> None:
        self._timers.once(
            delay_seconds=self.token_seconds * self.faults.slow_factor,
            callback=self._step,
        )

    def _step(self) -> None:
        self._schedule()
        if self.faults.silent:
            return
        for stream in list(self.running):
            self._generate(stream)
        self._fill_batch()

    def _generate(self, stream: Stream) -> None:
        limit = self.faults.truncate_after_tokens
        if limit is not None and stream.next_token >= limit:
            self.running.remove(stream)
            stream.sink.cut()
            return
        index = stream.next_token
        stream.next_token += 1
        stream.sink.token(index, f"{stream.held.adapter}:{index} ")
        if stream.next_token >= stream.max_tokens:
            self.running.remove(stream)
            stream.sink.done(stream.next_token)

    def _fill_batch(self) -> None:
        while self.waiting and len(self.running) < self.batch_size:
            self.running.append(self.waiting.popleft())


__all__ = [
    "Engine",
    "Faults",
    "Held",
    "OrderResult",
    "Stream",
    "TokenSink",
]

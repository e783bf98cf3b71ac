"""An engine that reads prompts in pieces between the steps of its answers."""

from __future__ import annotations

import dataclasses
import heapq
import itertools

from boragefold.policy import engine_decisions
from boragefold.policy import engine_schedule
from boragefold.policy import engine_slots
from tests.fakes import engine_loads

PIECE_TOKENS = 4_096
STEP_SECONDS = 0.005
# From the end of reading to the first event, and of each message.
FIRST_EVENT_SECONDS = 0.04
MESSAGE_SECONDS = 0.005


@dataclasses.dataclass(kw_only=True)
class Answer:
    """A request at the engine."""

    request: engine_decisions.EngineRequest
    unread: int
    read_at: float = 0.0
    tokens: int = 0
    event_at: float = 0.0
    longest_pause: float = 0.0


class ChunkedEngine:
    """Plays an engine and the messages between it and its schedule."""

    def __init__(self, *, tokens_per_second: float, event_tokens: int):
        self._speed = tokens_per_second
        self._event_tokens = event_tokens
        slots = engine_slots.EngineSlots(
            engine=engine_loads.ENGINE, newest_versions={}
        )
        slots.apply_report({engine_loads.MODEL: {}}, {}, now_seconds=0.0)
        self.schedule = engine_schedule.EngineSchedule(
            engine=engine_loads.ENGINE, slots=slots
        )
        self.answers: dict[str, Answer] = {}
        self.refused: dict[str, engine_decisions.Refusal] = {}
        self._messages: list[
            tuple[float, int, str, engine_decisions.EngineRequest]
        ] = []
        self._order = itertools.count()

    def submit(
        self, at: float, request: engine_decisions.EngineRequest
    ) -> None:
        self._post(at, "ask", request)

    def run(self, until: float) -> None:
        now = 0.0
        while now < until:
            self._deliver(now)
            now = self._step(now)

    def _post(
        self, at: float, kind: str, request: engine_decisions.EngineRequest
    ) -> None:
        heapq.heappush(self._messages, (at, next(self._order), kind, request))

    def _deliver(self, now: float) -> None:
        while self._messages and self._messages[0][0] <= now:
            at, _, kind, request = heapq.heappop(self._messages)
            if kind == "grant":
                self.answers[request.request_id] = Answer(
                    request=request, unread=request.prompt_tokens
                )
                continue
            if kind == "ask":
                refusal = self.schedule.submit(request, now_seconds=at)
                if refusal is not None:
                    self.refused[request.request_id] = refusal
            elif kind == "started":
                self.schedule.record_start(request.request_id, now_seconds=at)
            else:
                self.schedule.remove(request.request_id, now_seconds=at)
            for action in self.schedule.advance(now_seconds=at):
                if isinstance(action, engine_decisions.Grant):
                    self._post(at + MESSAGE_SECONDS, "grant", action.request)
                elif isinstance(action, engine_decisions.Refusal):
                    self.refused[action.request.request_id] = action

    def _step(self, now: float) -> float:
        room = PIECE_TOKENS
        for answer in self.answers.values():
            piece = min(room, answer.unread)
            room -= piece
            answer.unread -= piece
        read = PIECE_TOKENS - room
        end = now + STEP_SECONDS + read / self._speed
        for answer in self.answers.values():
            self._answer(answer, end)
        return end

    def _answer(self, answer: Answer, now: float) -> None:
        request = answer.request
        if answer.unread or answer.tokens >= request.output_tokens:
            return
        answer.read_at = answer.read_at or now
        if now < answer.read_at + FIRST_EVENT_SECONDS:
            return
        answer.tokens += 1
        if answer.tokens == 1:
            self._post(now + MESSAGE_SECONDS, "started", request)
            answer.event_at = now
        elif answer.tokens % self._event_tokens == 0:
            pause = now - answer.event_at
            answer.longest_pause = max(answer.longest_pause, pause)
            answer.event_at = now
        if answer.tokens == request.output_tokens:
            self._post(now + MESSAGE_SECONDS, "ended", request)


__all__ = [
    "Answer",
    "ChunkedEngine",
]

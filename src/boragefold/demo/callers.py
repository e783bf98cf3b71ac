"""The callers of the demonstration, and what each of them received."""

from __future__ import annotations

import collections
from collections.abc import Callable
import itertools
import random
from typing import NamedTuple

import msgspec

from boragefold.demo import fleet as fleets
from boragefold.protocol import outcome as outcomes
from boragefold.telemetry import counters as telemetry
from boragefold.transport import http_client
from boragefold.transport import whole_answer

CHATS = 400
CHATS_PER_SECOND = 30.0
# The hot caller sends more than its rate, the others less.
HOT_SHARE = 0.5
PAYOUTS = 24
TOKENS = 12
# The exponent of a Pareto distribution: a few adapters get most requests.
POPULARITY = 1.1
PROGRESS_SECONDS = 30.0
RESTART_AFTER_CHATS = 150
WITHDRAW_AFTER_CHATS = 250


class Asked(NamedTuple):
    """One chat, as it was asked."""

    workspace: str
    model: str
    began_seconds: float


class Callers:
    """Sends the demonstration's requests and checks each answer."""

    def __init__(
        self, *, fleet: fleets.DemoFleet, done: Callable[[], None]
    ) -> None:
        self._fleet = fleet
        self._done = done
        self._draw = random.Random(1)
        self._client = http_client.HttpClient(
            sockets_=fleet.sockets, timers=fleet.timers
        )
        self._entries = itertools.cycle(fleet.instances)
        self._workspaces = list(fleet.example.keys)
        self._models = self._models_by_workspace()
        self._open = 0
        self.sent_chats = 0
        self.sent_payouts = 0
        self.counters = telemetry.Counters()
        self.served: collections.Counter[str] = collections.Counter()
        self.asked: collections.Counter[str] = collections.Counter()
        self.refused: collections.Counter[str] = collections.Counter()
        self.faults: list[str] = []

    @property
    def withdrawn(self) -> str:
        """Name the workspace whose key is withdrawn half-way.

        :return: ``team/name``
        """
        return self._workspaces[-1]

    def start(self) -> None:
        """Begin to send."""
        self._next_chat()
        self._next_payout()

    def _models_by_workspace(self) -> dict[str, list[str]]:
        models: dict[str, list[str]] = {name: [] for name in self._workspaces}
        for path, document in self._fleet.example.tree.items():
            if "/adapters/" not in path:
                continue
            for name, adapter in document.items():
                for workspace in adapter["workspaces"]:
                    models[f"quadro/{workspace}"].append(name)
        return models

    def _next_chat(self) -> None:
        if self.sent_chats == CHATS:
            return
        self.sent_chats += 1
        self._chat()
        self._cause_failures()
        self._fleet.timers.once(
            delay_seconds=self._draw.expovariate(CHATS_PER_SECOND),
            callback=self._next_chat,
        )

    def _cause_failures(self) -> None:
        if self.sent_chats == RESTART_AFTER_CHATS:
            next(iter(self._fleet.engines.values())).restart()
        elif self.sent_chats == WITHDRAW_AFTER_CHATS:
            self._fleet.withdraw(self.withdrawn)

    def _chat(self) -> None:
        hot = self._draw.random() < HOT_SHARE
        workspace = self._workspaces[0 if hot else self._pick_cold()]
        model = self._pick_model(workspace)
        asked = Asked(workspace, model, self._fleet.timers.now_seconds())
        self.asked[workspace] += 1
        body = {
            "model": model,
            "messages": [{"role": "user", "content": "letter this page"}],
            "max_tokens": TOKENS,
        }
        self._send(
            "/v1/chat/completions",
            workspace,
            body,
            [],
            lambda answer: self._chat_ended(asked, answer),
        )

    def _pick_cold(self) -> int:
        return self._draw.randrange(1, len(self._workspaces))

    def _pick_model(self, workspace: str) -> str:
        models = self._models[workspace]
        place = int(self._draw.paretovariate(POPULARITY)) - 1
        return models[min(place, len(models) - 1)]

    def _chat_ended(
        self,
        asked: Asked,
        answer: whole_answer.WholeAnswer | http_client.Failure,
    ) -> None:
        if isinstance(answer, http_client.Failure):
            self.faults.append(f"chat cut off: {answer.reason}")
        elif answer.status != 200:
            self._note_refusal(asked, answer)
        else:
            self._check_text(asked, answer)
        self._ended()

    def _check_text(
        self, asked: Asked, answer: whole_answer.WholeAnswer
    ) -> None:
        choices = msgspec.json.decode(answer.body)["choices"]
        words = choices[0]["message"]["content"].split()
        expected = [f"quadro/{asked.model}:{n}" for n in range(TOKENS)]
        if words != expected:
            self.faults.append(f"wrong answer for {asked.model}")
        self.served[asked.workspace] += 1
        elapsed = self._fleet.timers.now_seconds() - asked.began_seconds
        self.counters.observe_seconds("chat_seconds", elapsed)

    def _note_refusal(
        self, asked: Asked, answer: whole_answer.WholeAnswer
    ) -> None:
        reason = answer.headers.get(outcomes.HEADER_REASON.lower(), "none")
        self.refused[reason] += 1
        withdrawn = asked.workspace == self.withdrawn
        if reason == "key_not_granted" and not withdrawn:
            self.faults.append("a granted key was refused")

    def _next_payout(self) -> None:
        if self.sent_payouts == PAYOUTS:
            return
        self.sent_payouts += 1
        workspace = self._workspaces[self.sent_payouts % 3]
        self._send(
            "/v1/tickets",
            workspace,
            {},
            [],
            lambda answer: self._ticket_came(workspace, answer),
        )
        self._fleet.timers.once(delay_seconds=0.4, callback=self._next_payout)

    def _ticket_came(
        self,
        workspace: str,
        answer: whole_answer.WholeAnswer | http_client.Failure,
    ) -> None:
        if not isinstance(answer, whole_answer.WholeAnswer):
            self.faults.append("no ticket")
            self._ended()
            return
        ticket = msgspec.json.decode(answer.body)["ticket"]
        header = [("Idempotency-Key", ticket)]
        # Every payout is sent twice at once, through two instances.
        for _ in range(2):
            self._send(
                f"/services/rights{fleets.PAYOUTS}",
                workspace,
                {"euro": self.sent_payouts},
                header,
                lambda answer: self._ended(),
            )
        self._ended()

    def _send(
        self,
        target: str,
        workspace: str,
        body: object,
        headers: list[tuple[str, str]],
        done: Callable[[whole_answer.WholeAnswer | http_client.Failure], None],
    ) -> None:
        self._open += 1
        key = self._fleet.example.keys[workspace]
        call = http_client.Call(
            address=next(self._entries).settings.listen,
            method="POST",
            target=target,
            headers=[("Authorization", f"Bearer {key}"), *headers],
            body=msgspec.json.encode(body),
            fresh=False,
            progress_seconds=PROGRESS_SECONDS,
        )
        self._client.send(call, whole_answer.WholeAnswerSink(done=done))

    def _ended(self) -> None:
        self._open -= 1
        all_sent = self.sent_chats == CHATS and self.sent_payouts == PAYOUTS
        if all_sent and self._open == 0:
            self._done()


__all__ = [
    "CHATS",
    "Callers",
    "PAYOUTS",
]

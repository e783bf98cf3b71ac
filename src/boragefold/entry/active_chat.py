"""One chat request, from its arrival to the end of the response."""

from __future__ import annotations

import abc
from collections.abc import Callable

from boragefold.entry import answers
from boragefold.entry import engine_answer
from boragefold.policy import work as works
from boragefold.protocol import chat as chat_messages
from boragefold.protocol import outcome as outcomes
from boragefold.transport import http_client
from boragefold.transport import http_server

STATUS_OK = 200
STATUS_BAD_GATEWAY = 502
# Must exceed the time that an engine takes to prefill a long prompt.
PROGRESS_SECONDS = 10.0
EVENT_STREAM = ("Content-Type", "text/event-stream")


class ChatEvents(abc.ABC):
    """Receives the events of chat requests and decides how to proceed."""

    @abc.abstractmethod
    def on_first_token(self, chat: ActiveChat) -> None:
        """Handle the arrival of the first token.

        :param chat: the chat request
        """

    @abc.abstractmethod
    def on_completed(self, chat: ActiveChat) -> None:
        """Handle the end of a complete response.

        :param chat: the chat request
        """

    @abc.abstractmethod
    def on_attempt_failed(
        self, chat: ActiveChat, reason: str, *, may_have_run: bool
    ) -> None:
        """Resume, retry or fail a chat request whose attempt failed.

        :param chat: the chat request
        :param reason: the cause of the failure
        :param may_have_run: whether the engine may have processed the request
        """

    @abc.abstractmethod
    def on_caller_disconnected(self, chat: ActiveChat) -> None:
        """Handle the disconnection of the caller.

        :param chat: the chat request
        """


class ActiveChat(engine_answer.AttemptObserver):
    """The state of one chat request at this instance."""

    def __init__(
        self,
        *,
        work: works.Work,
        request: chat_messages.ChatRequest,
        key_digest: str,
        exchange: http_server.Exchange,
        events: ChatEvents,
        client: http_client.HttpClient,
    ) -> None:
        self.work = work
        self.request = request
        self.key_digest = key_digest
        self.endpoint = ""
        self.incarnation = ""
        self.attempts = 0
        self.generated_tokens = 0
        self.usage: dict[str, int] | None = None
        self.finished = False
        self._exchange = exchange
        self._events = events
        self._client = client
        self._streaming = request.get("stream", False)
        self._texts: list[str] = []
        self._answer: engine_answer.EngineAnswer | None = None
        exchange.on_closed = self._on_caller_disconnected
        exchange.on_drained = self._on_drained

    def send(
        self,
        *,
        endpoint: str,
        address: str,
        body: bytes,
        may_send: Callable[[], bool] = lambda: True,
    ) -> None:
        """Send the request to an endpoint, starting at the next token.

        :param endpoint: name of the endpoint
        :param address: address of the endpoint
        :param body: request body for the engine
        :param may_send: called just before the first byte is written
        """
        self.endpoint = endpoint
        self.attempts += 1
        self._answer = engine_answer.EngineAnswer(
            adapter=self.work.adapter_version,
            next_token=self.generated_tokens,
            observer=self,
        )
        call = http_client.Call(
            address=address,
            method="POST",
            target="/v1/chat/completions",
            headers=[answers.JSON],
            body=body,
            fresh=False,
            progress_seconds=PROGRESS_SECONDS,
            may_send=may_send,
        )
        self._answer.pending = self._client.send(call, self._answer)

    def abort_attempt(self, reason: str) -> None:
        """Cancel the running attempt and report it as failed.

        :param reason: the cause
        """
        self._cancel_attempt()
        self.on_failed(reason, may_have_run=True)

    def refuse(self, refusal: outcomes.NotRun | outcomes.Unknown) -> None:
        """Send the final response for a request without a complete result.

        :param refusal: the outcome and the remedy
        """
        if self.finished:
            return
        self.finished = True
        self._cancel_attempt()
        if self._exchange.started:
            # The error event and the missing terminator mark the response as
            # incomplete.
            self._exchange.send(
                b"data: " + answers.error_body(refusal, {}) + b"\n\n"
            )
            self._exchange.abort()
        else:
            answers.send_error(self._exchange, refusal, self.work.request_id)

    def on_accepted(self, incarnation: str) -> None:
        """Record which incarnation of the engine responds.

        :param incarnation: the engine's incarnation
        """
        self.incarnation = incarnation

    def on_tokens(self, texts: list[str]) -> None:
        """Forward tokens to the caller, or collect them unless streaming.

        :param texts: the tokens
        """
        first = self.generated_tokens == 0
        self.generated_tokens += len(texts)
        if first:
            self._events.on_first_token(self)
        text = "".join(texts)
        if not self._streaming:
            self._texts.append(text)
            return
        self._start_stream()
        keeps_up = self._exchange.send(
            chat_messages.encode_chunk(
                self.work.request_id, self.request["model"], text
            )
        )
        if not keeps_up and self._answer is not None:
            pending = self._answer.pending
            if pending is not None:
                pending.pause()

    def on_complete(self, usage: dict[str, int]) -> None:
        """Finish the caller's response.

        :param usage: token counts that the engine reports
        """
        self.finished = True
        self.usage = usage
        if self._streaming:
            self._start_stream()
            self._exchange.send(chat_messages.DONE)
            self._exchange.finish()
        else:
            self._reply_whole(usage)
        self._events.on_completed(self)

    def on_failed(self, reason: str, *, may_have_run: bool) -> None:
        """Report a failed attempt unless the request is finished.

        :param reason: the cause of the failure
        :param may_have_run: whether the engine may have processed the request
        """
        self._answer = None
        if not self.finished:
            self._events.on_attempt_failed(
                self, reason, may_have_run=may_have_run
            )

    def _start_stream(self) -> None:
        if not self._exchange.started:
            headers = answers.outcome_headers("ran", "", self.work.request_id)
            self._exchange.start(STATUS_OK, [EVENT_STREAM, *headers])

    def _reply_whole(self, usage: dict[str, int]) -> None:
        headers = answers.outcome_headers("ran", "", self.work.request_id)
        body = chat_messages.encode_answer(
            self.work.request_id,
            self.request["model"],
            "".join(self._texts),
            usage,
        )
        self._exchange.reply(STATUS_OK, [answers.JSON, *headers], body)

    def _cancel_attempt(self) -> None:
        answer, self._answer = self._answer, None
        if answer is not None and answer.pending is not None:
            answer.pending.cancel()

    def _on_caller_disconnected(self) -> None:
        if not self.finished:
            self.finished = True
            self._cancel_attempt()
            self._events.on_caller_disconnected(self)

    def _on_drained(self) -> None:
        if self._answer is not None and self._answer.pending is not None:
            self._answer.pending.resume()


__all__ = [
    "ActiveChat",
    "ChatEvents",
]

"""Answers of a stand-in that go on until their connection is closed."""

from __future__ import annotations

import enum
from typing import TypedDict

from boragefold.standins import endpoint_connection
from boragefold.timing import timers as timing
from boragefold.transport import exchange as exchanges
from boragefold.transport import unsent_budget

PERIOD_SECONDS = 0.002
BLOCK_BYTES = 262_144
HEAD = "HTTP/1.1 200 OK\r\n"
REFUSAL = "HTTP/1.1 503 Unavailable\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"


class Form(enum.Enum):
    """The part of an answer that goes on without an end."""

    HEADER_NAME = "header_name"
    HEADER_VALUE = "header_value"
    INTERIM = "interim"
    OTHER_ANSWER = "other_answer"
    REFUSAL = "refusal"
    CHUNK_EXTENSION = "chunk_extension"
    BODY = "body"


class Sent(TypedDict):
    """How much of an answer was written until its connection closed."""

    form: str
    bytes: int
    open: bool
    seconds: float


class EndlessAnswers:
    """Sends answers without an end, and records how much was written."""

    def __init__(self, *, timers: timing.TimerService) -> None:
        """Begin without an answer.

        :param timers: of the process
        """
        self._timers = timers
        self._sent: list[Sent] = []

    @property
    def seen(self) -> list[Sent]:
        """Describe the answers.

        :return: in the order in which they began
        """
        return self._sent

    def send(
        self,
        exchange: exchanges.Exchange,
        form: Form,
        headers: exchanges.Headers,
    ) -> None:
        """Answer without an end.

        :param exchange: the exchange to answer
        :param form: the part that goes on
        :param headers: of an ordinary answer
        """
        connection = exchange.connection
        assert isinstance(connection, endpoint_connection.EndpointConnection)
        exchange.finished = True
        sent = Sent(form=form.value, bytes=0, open=True, seconds=0.0)
        self._sent.append(sent)
        stream = connection.stream
        began_at_seconds = self._timers.now_seconds()
        beginning, repeated = _parts(form, headers)
        block = repeated * (BLOCK_BYTES // len(repeated))
        stream.write(beginning)

        def go_on() -> None:
            if not stream.open:
                subscription.cancel()
                sent["open"] = False
            elif stream.unsent_bytes < unsent_budget.HIGH_WATER_BYTES // 2:
                sent["bytes"] += len(block)
                stream.write(block)
            now_seconds = self._timers.now_seconds()
            sent["seconds"] = now_seconds - began_at_seconds

        subscription = self._timers.every(
            period_seconds=PERIOD_SECONDS, callback=go_on
        )


def _parts(form: Form, headers: exchanges.Headers) -> tuple[bytes, bytes]:
    fields = "".join(f"{name}: {value}\r\n" for name, value in headers)
    beginning, repeated = {
        Form.HEADER_NAME: (HEAD, "x"),
        Form.HEADER_VALUE: (f"{HEAD}X: ", "x"),
        Form.INTERIM: ("", "HTTP/1.1 100 Continue\r\n\r\n"),
        Form.OTHER_ANSWER: (f"{HEAD}Boragefold-Attempt-Id: 0\r\n\r\n", "x"),
        Form.REFUSAL: (f"{REFUSAL}Boragefold-Not-Executed: 1\r\n\r\n", "x"),
        Form.CHUNK_EXTENSION: (f"{HEAD}{fields}{CHUNKED}\r\n1;x=", "x"),
        Form.BODY: (f"{HEAD}{fields}\r\n", "x"),
    }[form]
    return beginning.encode(), repeated.encode()


__all__ = [
    "EndlessAnswers",
    "Form",
]

"""An answer that is only of use when it is whole."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import msgspec

from boragefold.protocol import decoding
from boragefold.transport import answer_parser
from boragefold.transport import caller_admission
from boragefold.transport import caller_memory
from boragefold.transport import http_client
from boragefold.transport import streams

MAX_ANSWER_BYTES = 4_194_304
# A cut number is a number, too; a cut object isn't JSON.
DOCUMENT_BEGINNINGS = (b"{", b"[")


class WholeAnswer(NamedTuple):
    """A complete answer; header names are in lower case.

    ``body`` is not to be changed.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class WholeAnswerSink(http_client.AnswerSink):
    """Collects an answer and passes it on once, or the failure."""

    collects = True

    def __init__(
        self,
        *,
        done: Callable[[WholeAnswer | http_client.Failure], None],
        max_bytes: int = MAX_ANSWER_BYTES,
        may_be_empty: bool = False,
        admission: caller_admission.CallerAdmission | None = None,
    ) -> None:
        """Collect nothing yet.

        :param done: called once with the answer, or why there is none
        :param max_bytes: a longer answer is a failure
        :param may_be_empty: whether the status is enough
        :param admission: counts an answer that a caller has asked for, which
            is a failure where no room is left
        """
        self._done = done
        self._max_bytes = max_bytes
        self._may_be_empty = may_be_empty
        self._status = 0
        self._headers: dict[str, str] = {}
        self._admission = admission
        self._body = (
            bytearray()
            if admission is None
            else caller_memory.HeldBody(account=admission.memory)
        )

    def head(self, status: int, headers: dict[str, str]) -> None:
        """Note the head.

        :param status: the HTTP status
        :param headers: the headers
        """
        self._status = status
        self._headers = headers

    def data(self, data: bytes) -> None:
        """Collect a piece, up to the bound.

        :param data: the piece
        """
        if len(self._body) + len(data) > self._max_bytes:
            self.full = True
        else:
            self._body += data
            self.full = not self._has_room()

    def end(self, framing: http_client.Framing) -> None:
        """Pass the whole answer on.

        :param framing: what showed its end
        """
        if self.full:
            failure = http_client.Failure(
                reason=answer_parser.TOO_LARGE, may_have_arrived=True
            )
            self._done(failure)
            return
        if framing is http_client.Framing.CLOSE and not self._is_proven():
            failure = http_client.Failure(
                reason=streams.END_OF_INPUT, may_have_arrived=True
            )
            self._done(failure)
            return
        # Used as bytes are, and never changed.
        body: Any = self._body
        if not isinstance(body, caller_memory.HeldBody):
            body = bytes(body)
        self._done(WholeAnswer(self._status, self._headers, body))

    def failed(self, failure: http_client.Failure) -> None:
        """Pass the failure on.

        :param failure: why
        """
        self._done(failure)

    def _has_room(self) -> bool:
        body = self._body
        if self._admission is None or not isinstance(
            body, caller_memory.HeldBody
        ):
            return True
        body.settle()
        return self._admission.make_room(None, large=body.is_large)

    def _is_proven(self) -> bool:
        if not self._body:
            return self._may_be_empty
        return is_document(bytes(self._body))


def is_document(body: bytes) -> bool:
    """Tell whether a body is a JSON document that can't have been cut.

    :param body: all that arrived
    :return: whether it is a whole object or array
    """
    if not body.lstrip().startswith(DOCUMENT_BEGINNINGS):
        return False
    try:
        msgspec.json.decode(body)
    except decoding.ERRORS:
        return False
    return True


__all__ = [
    "WholeAnswer",
    "WholeAnswerSink",
    "is_document",
]

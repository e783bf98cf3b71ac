"""The chat completion interface of callers and engines."""

from __future__ import annotations

import dataclasses
from typing import Any
from typing import NamedTuple
from typing import NotRequired
from typing import TypedDict

import msgspec

from boragefold.protocol import decoding

MAX_MESSAGES = 1_000
DONE = b"data: [DONE]\n\n"


class Message(TypedDict):
    """One message of a conversation."""

    role: str
    content: str


class ChatRequest(TypedDict):
    """A chat completion request; ``model`` names adapter and version."""

    model: str
    messages: list[Message]
    max_tokens: NotRequired[int]
    stream: NotRequired[bool]


class EngineEvent(msgspec.Struct):
    """One server-sent event of a streamed engine answer."""

    choices: list[dict[str, Any]]
    index: int = -1
    adapter: str = ""
    version: str = ""
    usage: dict[str, int] | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class BadChatRequest:
    """Reports a body that is not a valid chat completion request."""

    reason: str
    remedy: str


class ModelReference(NamedTuple):
    """The parts of ``model``; an empty version selects the newest."""

    name: str
    version: str


def parse(body: bytes) -> ChatRequest | BadChatRequest:
    """Decode and validate a chat completion request.

    :param body: JSON
    :return: the request, or the reason why it is invalid
    """
    try:
        request = _DECODER.decode(body)
    except decoding.ERRORS as error:
        return BadChatRequest(
            reason="body_invalid",
            remedy=f"send a chat completion request as JSON: {error}",
        )
    if not 1 <= len(request["messages"]) <= MAX_MESSAGES:
        return BadChatRequest(
            reason="messages_invalid",
            remedy=f"send 1 to {MAX_MESSAGES} messages",
        )
    if request.get("max_tokens", 1) < 1:
        return BadChatRequest(
            reason="max_tokens_invalid", remedy="ask for at least one token"
        )
    return request


def split_model(model: str) -> ModelReference:
    """Split ``model`` into adapter name and version.

    :param model: ``NAME`` or ``NAME@VERSION``
    :return: name and version
    """
    name, _, version = model.partition("@")
    return ModelReference(name, version)


def estimate_tokens(request: ChatRequest) -> int:
    """Estimate the prompt's tokens before an engine has counted them.

    Four bytes per token is the usual figure for English; each word costs at
    least one token, however short it is.

    :param request: the request
    :return: number of tokens
    """
    return sum(
        max(len(message["content"].split()), len(message["content"]) // 4)
        for message in request["messages"]
    )


def encode_chunk(request_id: str, model: str, text: str) -> bytes:
    """Encode one chunk of a streamed answer.

    :param request_id: the ID of the answer
    :param model: the name that the caller requested
    :param text: the text of the chunk
    :return: a server-sent event
    """
    event = {
        "id": request_id,
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{"index": 0, "delta": {"content": text}}],
    }
    return b"data: " + _ENCODER.encode(event) + b"\n\n"


def encode_answer(
    request_id: str, model: str, text: str, usage: dict[str, int]
) -> bytes:
    """Encode an answer that isn't streamed.

    :param request_id: the ID of the answer
    :param model: the name that the caller requested
    :param text: the whole text
    :param usage: token counts of prompt and completion
    :return: JSON
    """
    message = {"role": "assistant", "content": text}
    answer = {
        "id": request_id,
        "object": "chat.completion",
        "model": model,
        "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
        "usage": usage,
    }
    return _ENCODER.encode(answer)


_DECODER = msgspec.json.Decoder(ChatRequest)
_ENCODER = msgspec.json.Encoder()

__all__ = [
    "BadChatRequest",
    "ChatRequest",
    "DONE",
    "EngineEvent",
    "Message",
    "ModelReference",
    "encode_answer",
    "encode_chunk",
    "estimate_tokens",
    "parse",
    "split_model",
]

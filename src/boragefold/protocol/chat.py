"""The chat interface: what callers send and what engines stream."""

from __future__ import annotations

import dataclasses
from typing import Any
from typing import NamedTuple
from typing import NotRequired
from typing import TypedDict

import msgspec

MAX_MESSAGES = 1_000
DONE = b"data: [DONE]\n\n"


class Message(TypedDict):
    """One message of a conversation."""

    role: str
    content: str


class ChatRequest(TypedDict):
    """What a caller asks for; ``model`` names adapter and version."""

    model: str
    messages: list[Message]
    max_tokens: NotRequired[int]
    stream: NotRequired[bool]


class EngineEvent(msgspec.Struct):
    """One server-sent event of an engine's answer."""

    choices: list[dict[str, Any]]
    index: int = -1
    adapter: str = ""
    version: str = ""
    usage: dict[str, int] | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class BadChatRequest:
    """A body that is no chat request."""

    reason: str
    remedy: str


class Target(NamedTuple):
    """What ``model`` names; no version means the newest."""

    name: str
    version: str


def parse(body: bytes) -> ChatRequest | BadChatRequest:
    """Read a caller's request.

    :param body: JSON
    :return: the request, or what is wrong with it
    """
    try:
        request = _DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
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


def target(model: str) -> Target:
    """Read the adapter and the version out of ``model``.

    :param model: ``NAME`` or ``NAME@VERSION``
    :return: both parts
    """
    name, _, version = model.partition("@")
    return Target(name, version)


def estimate_tokens(request: ChatRequest) -> int:
    """Estimate the prompt's tokens before an engine has counted them.

    Four bytes a token is the usual figure for English; short words cost one
    token each however short they are.

    :param request: the request
    :return: tokens
    """
    return sum(
        max(len(message["content"].split()), len(message["content"]) // 4)
        for message in request["messages"]
    )


def chunk(request_id: str, model: str, text: str) -> bytes:
    """Write one piece of a streamed answer.

    :param request_id: names the answer
    :param model: as the caller named it
    :param text: the piece
    :return: a server-sent event
    """
    event = {
        "id": request_id,
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{"index": 0, "delta": {"content": text}}],
    }
    return b"data: " + _ENCODER.encode(event) + b"\n\n"


def whole(
    request_id: str, model: str, text: str, usage: dict[str, int]
) -> bytes:
    """Write an answer that wasn't streamed.

    :param request_id: names the answer
    :param model: as the caller named it
    :param text: all of it
    :param usage: tokens of prompt and completion
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
    "Target",
    "chunk",
    "estimate_tokens",
    "parse",
    "target",
    "whole",
]

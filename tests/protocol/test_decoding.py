"""Bytes of others that are nested too deeply are malformed, as others are."""

from __future__ import annotations

import base64

import pytest

from boragefold.coordination.once import tickets
from boragefold.protocol import chat
from boragefold.protocol import platform_api
from boragefold.state import patch
from boragefold.state import validation
from boragefold.telemetry import log_story

NESTED = b'{"x": ' + b"[" * 100_000 + b"]" * 100_000 + b"}"
DEPTHS = (10, 300, 900, 1_000, 5_000)


def nest(depth):
    return b'{"a": ' + b'{"a": ' * depth + b"1" + b"}" * depth + b"}"


def test_a_callers_body():
    assert isinstance(chat.parse(NESTED), chat.BadChatRequest)


def test_answers_of_the_platform():
    failed = platform_api.PlatformFailed(reason="malformed")
    assert platform_api.decode_tree(NESTED) == failed
    assert platform_api.decode_list(NESTED) == failed


@pytest.mark.parametrize("depth", DEPTHS)
def test_a_published_document(depth):
    found = validation.validate("routes/press.json", nest(depth))
    assert isinstance(found, validation.Rejected)


def test_a_patch():
    assert patch.apply(b"{}", patch.Patch(NESTED, ())) is None


def test_a_ticket():
    encoded = base64.urlsafe_b64encode(b"\x91" * 100_000 + b"\x90")
    text = tickets.PREFIX + encoded.decode().rstrip("=")
    assert tickets.decode(text) == tickets.InvalidTicket()


@pytest.mark.parametrize("time_seconds", ["[" * 100_000, "9" * 400])
def test_a_line_of_a_log(time_seconds):
    lines = [f'{{"event": "e", "time_seconds": {time_seconds}}}']
    assert list(log_story.read("x", lines)) == []

"""Entries that another writer may leave, and what they look like."""

from __future__ import annotations

import json

DEEP = "[" * 100_000 + "]" * 100_000
DEEP_OBJECT = '{"a":' * 100_000 + "1" + "}" * 100_000
SOUND = {
    "service": "desk",
    "address": "127.0.0.1:9",
    "zone": "dc-a",
    "slots": 8,
    "state": "ready",
    "models": [],
    "born": 1,
    "version": "v1",
}


def entry(**changes) -> bytes:
    return json.dumps({**SOUND, **changes}).encode()


def raw(field: str, value: str) -> bytes:
    # For values that the encoder would not write.
    marked = entry(**{field: "MARK"}).decode()
    return marked.replace('"MARK"', value).encode()


# None of them names an endpoint that can be used.
ENDPOINTS = {
    "nested": DEEP.encode(),
    "nested_object": DEEP_OBJECT.encode(),
    "nested_zone": raw("zone", DEEP),
    "nested_models": raw("models", DEEP),
    "nested_unknown": raw("history", DEEP),
    "nested_version": raw("version", DEEP),
    "nested_cold_time": raw("cold_remaining_ms", DEEP),
    "port_too_large": entry(address="127.0.0.1:99999"),
    "port_of_digits": entry(address="127.0.0.1:9" + "9" * 5000),
    "port_superscript": entry(address="127.0.0.1:²"),
    "port_zero": entry(address="127.0.0.1:0"),
    "host_long": entry(address="h" * 300 + ":80"),
    "host_name": entry(address="replica.example:80"),
    "born_40_digits": raw("born", "9" * 40),
    "born_64_bits": raw("born", str(2**64 - 1)),
    "slots_41_digits": raw("slots", "9" * 41),
    "slots_negative": entry(slots=-1),
    "notice_without_end": raw("remaining_ms", "1e308"),
    "notice_too_large": raw("remaining_ms", "1e999"),
    "state_unknown": entry(state="resting"),
    "service_number": entry(service=7),
    "not_text": b"\xff\xfe\x00",
    "empty": b"",
    "list": b"[]",
}
# An odd part that isn't needed leaves the endpoint in use.
USABLE_PARTS = {
    "unknown_list": ("history", "[[[]]]"),
    "version_list": ("version", "[[]]"),
    "cold_time_too_large": ("cold_remaining_ms", "9" * 400),
}
CONFIGURATIONS = {
    "nested": DEEP.encode(),
    "nested_object": DEEP_OBJECT.encode(),
    "number": b"7",
    "version_40_digits": b'{"version": ' + b"9" * 40 + b"}",
}
ADAPTER_VERSIONS = {
    "nested": DEEP.encode(),
    "list": b"[]",
    "version_40_digits": (
        b'{"model": "base", "adapter": "a1", "version": ' + b"9" * 40 + b"}"
    ),
    "version_infinite": b'{"model":"base","adapter":"a1","version":1e999}',
    "model_list": b'{"model":[[]],"adapter":"a1","version":1}',
}


__all__ = [
    "ADAPTER_VERSIONS",
    "CONFIGURATIONS",
    "DEEP",
    "ENDPOINTS",
    "SOUND",
    "USABLE_PARTS",
    "entry",
    "raw",
]

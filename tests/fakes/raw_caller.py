"""A caller that sees how its answer was framed and how it ended."""

from __future__ import annotations

import os
import socket
import threading
import time
from typing import NamedTuple

import h11

from tests.fakes import machines as machines_module

TIMEOUT_SECONDS = 10.0


class Seen(NamedTuple):
    """An answer as its caller saw it; status 0 if none began."""

    request_id: str
    status: int
    complete: bool
    body: bytes
    headers: dict[str, str]
    seconds: float


def ask(
    machines,
    path,
    *,
    number=0,
    version="1.1",
    body=b"",
    events=4,
    model="base",
    headers=None,
    request_id="",
    begun: threading.Event | None = None,
) -> Seen:
    # ``begun`` is set when the head of an answer has come.
    request_id = request_id or os.urandom(8).hex()
    sent = compose(
        path,
        request_id,
        version=version,
        body=body,
        events=events,
        model=model,
        headers=headers,
    )
    began = time.monotonic()
    with connect(machines, number) as sock:
        sock.sendall(sent)
        status, complete, got, fields = _read(sock, begun)
    seconds = time.monotonic() - began
    return Seen(request_id, status, complete, got, fields, seconds)


def connect(machines, number) -> socket.socket:
    host, _, port = machines.gateways[number]["front"].rpartition(":")
    return socket.create_connection((host, int(port)), TIMEOUT_SECONDS)


def compose(
    path,
    request_id,
    *,
    version="1.1",
    body=b"",
    events=4,
    model="base",
    headers=None,
) -> bytes:
    # Requests that are alike would share the blame for crashes.
    body = body or request_id.encode()
    sent = {
        "Host": machines_module.HOST,
        "Boragefold-Attempt-Id": request_id,
        "Boragefold-Deadline-Ms": "4000",
        "Boragefold-Key": machines_module.KEY,
        "Boragefold-Model": model,
        "Boragefold-Token-Usage": f"100,{events}",
        "Content-Length": str(len(body)),
        **(headers or {}),
    }
    if path.startswith(("/orders", "/reads")):
        del sent["Boragefold-Model"], sent["Boragefold-Token-Usage"]
    lines = [f"POST {path} HTTP/{version}"]
    lines += [f"{name}: {value}" for name, value in sent.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


def _read(sock, begun):
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="POST", target="/", headers=[("Host", "")]))
    parser.send(h11.EndOfMessage())
    status, body, fields = 0, b"", {}
    while True:
        try:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(sock.recv(65536))
                continue
        except (OSError, h11.RemoteProtocolError):
            return status, False, body, fields
        if isinstance(event, h11.Response):
            status = event.status_code
            if begun is not None:
                begun.set()
            fields = {k.decode(): v.decode() for k, v in event.headers}
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return status, True, body, fields
        elif isinstance(event, h11.ConnectionClosed):
            return status, False, body, fields


__all__ = [
    "Seen",
    "ask",
    "compose",
    "connect",
]

"""Crowds of callers that send much, or never end what they began."""

from __future__ import annotations

import concurrent.futures
import functools
import itertools
import pathlib
import socket
import struct
import threading
import time

from tests.fakes import machines as machines_module

PIECE_BYTES = 8_192
CHUNK_BYTES = 65_536
# A caller of the crowd gives up on a connection that takes nothing.
SOCKET_SECONDS = 10.0
NO_LINGER = struct.pack("ii", 1, 0)


def head(path="/reads/x", *fields, key=machines_module.KEY):
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {machines_module.HOST}",
        "Boragefold-Attempt-Id: 0123456789abcdef",
        "Boragefold-Deadline-Ms: 8000",
        f"Boragefold-Key: {key}",
        *fields,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def length(count):
    return f"Content-Length: {count}"


CHUNKED = "Transfer-Encoding: chunked"


def chunks(body_bytes, chunk_bytes=CHUNK_BYTES):
    full, rest = divmod(body_bytes, chunk_bytes)
    sizes = [chunk_bytes] * full + [rest] * bool(rest)
    return b"".join(b"%x\r\n%s\r\n" % (n, b"x" * n) for n in sizes)


class Crowd:
    """Runs one script on many connections, and keeps them open."""

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._opened = []
        self._lock = threading.Lock()
        self._gone = threading.Event()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self._gone.set()
        for sock in self._opened:
            sock.close()

    def connect(self):
        sock = socket.create_connection(self._address, SOCKET_SECONDS)
        with self._lock:
            self._opened.append(sock)
        return sock

    def play(self, count, script):
        """Play a script on each connection, until all said what they say."""
        quiet = functools.partial(self._play_one, script)
        with concurrent.futures.ThreadPoolExecutor(min(count, 120)) as pool:
            list(pool.map(quiet, range(count)))

    def _play_one(self, script, _number):
        try:
            script(self)
        except OSError:
            # Refused or cut, as is allowed.
            pass


def say(*parts):
    """Return a script that sends the parts and leaves it at that."""

    def script(crowd):
        sock = crowd.connect()
        for part in parts:
            sock.sendall(part)

    return script


def say_in_pieces(opening, body_bytes):
    def script(crowd):
        sock = crowd.connect()
        sock.sendall(opening)
        for _ in range(body_bytes // PIECE_BYTES):
            sock.sendall(b"x" * PIECE_BYTES)
        sock.sendall(b"x" * (body_bytes % PIECE_BYTES))

    return script


def say_and_reset(data, rounds):
    def script(crowd):
        for _ in range(rounds):
            sock = crowd.connect()
            sock.sendall(data)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            sock.close()

    return script


def say_without_end(opening, part, most_bytes):
    def script(crowd):
        sock = crowd.connect()
        sock.sendall(opening)
        for _ in range(most_bytes // len(part)):
            sock.sendall(part)

    return script


def say_slowly(opening, parts, pause_seconds):
    def script(crowd):
        sock = crowd.connect()
        sock.sendall(opening)
        for part in itertools.islice(parts, 20):
            sock.sendall(part)
            time.sleep(pause_seconds)

    return script


def peak_memory_mb(pid):
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(li for li in status.splitlines() if li.startswith("VmHWM"))
    return int(line.split()[1]) / 1024


def open_descriptors(pid):
    return sum(1 for _ in pathlib.Path(f"/proc/{pid}/fd").iterdir())


__all__ = [
    "CHUNKED",
    "Crowd",
    "chunks",
    "head",
    "length",
    "open_descriptors",
    "peak_memory_mb",
    "say",
    "say_and_reset",
    "say_in_pieces",
    "say_slowly",
    "say_without_end",
]

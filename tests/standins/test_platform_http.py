from __future__ import annotations

from collections.abc import Iterator
import contextlib
from http import client
import json
import time

import pytest

from boragefold.protocol import platform_api
from boragefold.standins import platform as platforms
from boragefold.standins import platform_http

# A loopback answer takes milliseconds; only a hang comes near this.
LIMIT_SECONDS = 10.0


class Face:
    """The server on a thread of its own, and calls to it."""

    def __init__(self) -> None:
        self.server = platform_http.serve(
            host="127.0.0.1",
            port=0,
            platform=platforms.Platform(now_seconds=time.monotonic),
        )
        self.port = self.server.server.port
        self.server.start()

    def send(
        self, method: str, path: str, body: bytes | None = None
    ) -> client.HTTPConnection:
        connection = client.HTTPConnection(
            "127.0.0.1", self.port, timeout=LIMIT_SECONDS
        )
        connection.request(method, path, body)
        return connection

    def answer(self, connection: client.HTTPConnection) -> tuple[int, bytes]:
        with contextlib.closing(connection):
            response = connection.getresponse()
            return response.status, response.read()

    def call(self, *request) -> tuple[int, bytes]:
        return self.answer(self.send(*request))


@pytest.fixture
def face() -> Iterator[Face]:
    face = Face()
    yield face
    face.server.stop()


def test_a_watch_is_held_until_there_is_news(face: Face) -> None:
    face.call("PUT", "/control/tree/common/store", b"1")
    path = "/v1/tree?after=1&wait_seconds=30"
    watches = [face.send("GET", path) for _ in range(3)]
    status, _ = face.call("PUT", "/control/tree/common/store", b"2")
    assert status == 200
    for watch in watches:
        status, body = face.answer(watch)
        result = platform_api.decode_tree(body)
        assert status == 200
        assert result.changes == (
            platform_api.PublishedChange("common/store", 2, b"2"),
        )


def test_a_watch_without_news_is_answered_when_its_wait_is_over(face) -> None:
    status, body = face.call("GET", "/v1/tree?after=0&wait_seconds=0.1")
    assert status == 200
    assert platform_api.decode_tree(body) == platform_api.WatchResult(0, ())


def test_the_list_and_the_faults_are_set_from_outside(face: Face) -> None:
    listed = {
        "address": "10.0.0.1:1",
        "data_centre": "east",
        "kind": "endpoint",
        "state": "leaving",
    }
    face.call("PUT", "/control/list", json.dumps([listed]).encode())
    status, body = face.call("GET", "/v1/list")
    assert (status, json.loads(body)["instances"]) == (200, [listed])
    face.call("PUT", "/control/faults", b'{"down": true}')
    assert face.call("GET", "/v1/list")[0] == 503
    face.call("PUT", "/control/faults", b"{}")
    assert face.call("GET", "/v1/list")[0] == 200
    counts = json.loads(face.call("GET", "/control/calls")[1])
    assert counts["total"] == 3


def test_a_deleted_path_is_told_as_null(face: Face) -> None:
    face.call("PUT", "/control/tree/a", b"1")
    face.call("DELETE", "/control/tree/a")
    status, body = face.call("GET", "/v1/tree?after=0")
    assert status == 200
    assert json.loads(body)["changes"] == [
        {"path": "a", "revision": 2, "value": None}
    ]

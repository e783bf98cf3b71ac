"""The HTTP face of the platform's stand-in.

A handler of ``request`` that returns a boolean leaves the answer to us, so a
watch is held simply by keeping its response and firing ``response`` later.
"""

from __future__ import annotations

from collections.abc import Callable
import pathlib
import time
from typing import Any
from typing import NamedTuple
from urllib import parse

from circuits import core
from circuits.web import events
from circuits.web import servers
import click
import msgspec

from boragefold.protocol import platform_api
from boragefold.standins import platform as platforms
from boragefold.state import tree_file

HOLD_CHECK_SECONDS = 0.05
LONGEST_WAIT_SECONDS = 60.0
CONTROL_TREE = "/control/tree/"
NOT_FOUND = 404
UNAVAILABLE = 503
BAD_REQUEST = 400


class _Held(NamedTuple):
    response: Any
    after_revision: int
    until_seconds: float


class PlatformFace(core.BaseComponent):  # type: ignore[misc]
    """Answers readers, and the test that plays the platform's operators."""

    channel = "web"

    def __init__(self, *, platform: platforms.Platform) -> None:
        super().__init__()
        self._platform = platform
        self._held: list[_Held] = []
        self._snapshot = platform.snapshot()
        self._controls: dict[str, Callable[[bytes], None]] = {
            "/control/list": self._put_list,
            "/control/faults": self._put_faults,
            "/control/snapshot": self._take_snapshot,
            "/control/restore": self._restore,
        }

    @core.handler("request", priority=1.0)  # type: ignore[untyped-decorator]
    def _on_request(self, request: Any, response: Any, *_: Any) -> bool:
        if request.path == platform_api.TREE_PATH:
            self._read(response, self._watch)
        elif request.path == platform_api.LIST_PATH:
            self._read(response, self._list)
        elif request.path == "/control/calls":
            self._send(response, self._call_counts())
        elif request.method in ("PUT", "DELETE"):
            self._control(request, response)
        else:
            self._send(response, b"", NOT_FOUND)
        return True

    @core.handler("disconnect")  # type: ignore[untyped-decorator]
    def _on_disconnect(self, sock: Any) -> None:
        self._held = [
            held
            for held in self._held
            if held.response.request.sock is not sock
        ]

    @core.handler("check_held")  # type: ignore[untyped-decorator]
    def _on_check_held(self) -> None:
        held_before, self._held = self._held, []
        for held in held_before:
            self._answer_or_hold(held)

    def _read(self, response: Any, answer: Callable[[Any], None]) -> None:
        failed = self._platform.count_call()
        if failed is not None:
            self._send(response, failed.reason.encode(), UNAVAILABLE)
        elif not self._platform.faults.silent:
            answer(response)

    def _watch(self, response: Any) -> None:
        query = dict(parse.parse_qsl(response.request.qs))
        try:
            after_revision = int(query.get("after", "0"))
            wait_seconds = float(query.get("wait_seconds", "0"))
        except ValueError:
            self._send(response, b"", BAD_REQUEST)
            return
        wait_seconds = min(wait_seconds, LONGEST_WAIT_SECONDS)
        until_seconds = time.monotonic() + wait_seconds
        self._answer_or_hold(_Held(response, after_revision, until_seconds))

    def _list(self, response: Any) -> None:
        listing = self._platform.list_instances()
        self._send(response, platform_api.encode_list(listing))

    def _answer_or_hold(self, held: _Held) -> None:
        if self._platform.faults.down or self._platform.faults.silent:
            self._held.append(held)
            return
        result = self._platform.peek(held.after_revision)
        over = time.monotonic() >= held.until_seconds
        if over or platforms.is_news(result, held.after_revision):
            self._send(held.response, platform_api.encode_tree(result))
        else:
            self._held.append(held)

    def _control(self, request: Any, response: Any) -> None:
        body = request.body.getvalue()
        control = self._controls.get(request.path)
        if control is not None:
            control(body)
        elif request.path.startswith(CONTROL_TREE):
            deleted = request.method == "DELETE" or body == b"null"
            self._platform.put_data(
                request.path.removeprefix(CONTROL_TREE),
                None if deleted else body,
            )
        else:
            self._send(response, b"", NOT_FOUND)
            return
        answer = {"revision": self._platform.revision}
        self._send(response, msgspec.json.encode(answer))

    def _put_list(self, body: bytes) -> None:
        """Take a list of instances, without a revision."""
        instances = msgspec.json.decode(
            body, type=list[platform_api.InstanceDocument]
        )
        self._platform.put_list(
            platform_api.ListedInstance(**instance) for instance in instances
        )

    def _put_faults(self, body: bytes) -> None:
        self._platform.faults = msgspec.json.decode(
            body, type=platforms.Faults
        )

    def _take_snapshot(self, body: bytes) -> None:
        self._snapshot = self._platform.snapshot()

    def _restore(self, body: bytes) -> None:
        self._platform.restore(self._snapshot)

    def _call_counts(self) -> bytes:
        return msgspec.json.encode(
            {
                "total": self._platform.calls.total(),
                "peak_per_second": self._platform.peak_calls_per_second(),
                "refused": self._platform.refused_calls,
            }
        )

    def _send(self, response: Any, body: bytes, status: int = 200) -> None:
        response.status = status
        response.headers["Content-Type"] = "application/json"
        response.body = body
        self.fire(events.response(response), "web")


class check_held(core.Event):  # type: ignore[misc] # noqa: N801
    """Answer the watches that have news or have waited long enough."""


def serve(
    *, host: str, port: int, platform: platforms.Platform
) -> core.Manager:
    """Build the server; the caller runs it.

    :param host: the IP number to listen on
    :param port: the port, zero for any
    :param platform: what is served
    :return: the root component
    """
    server = servers.BaseServer((host, port), display_banner=False)
    PlatformFace(platform=platform).register(server)
    core.Timer(HOLD_CHECK_SECONDS, check_held(), "web", persist=True).register(
        server
    )
    return server


@click.command()
@click.option("--listen", required=True, help="IP number and port")
@click.option(
    "--tree",
    type=click.Path(exists=True, path_type=pathlib.Path),
    help="a JSON file of documents by path, or a directory",
)
def main(listen: str, tree: pathlib.Path | None) -> None:
    """Stand in for the platform's configuration service and list."""
    platform = platforms.Platform(now_seconds=time.monotonic)
    published = tree_file.load(tree) if tree else {}
    for path, data in published.items():
        platform.put_data(path, data)
    host, _, port = listen.rpartition(":")
    serve(host=host, port=int(port), platform=platform).run()


__all__ = [
    "PlatformFace",
    "main",
    "serve",
]

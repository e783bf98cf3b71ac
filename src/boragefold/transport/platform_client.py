"""The platform's configuration service, read over HTTP."""

from __future__ import annotations

from collections.abc import Callable

from boragefold.coordination.configuration import reader
from boragefold.protocol import platform_api
from boragefold.transport import http_client
from boragefold.transport import whole_answer

STATUS_OK = 200
# What the service may need beyond the wait of a long poll.
GRACE_SECONDS = 5.0
# What an instance may take for control.
MAX_TREE_BYTES = 67_108_864

Answer = whole_answer.WholeAnswer | http_client.Failure


class PlatformClient(reader.PlatformReader):
    """Reads and watches over one address."""

    def __init__(
        self, *, client: http_client.HttpClient, address: str
    ) -> None:
        self._client = client
        self._address = address

    def watch(
        self, *, after_revision: int, callback: reader.WatchCallback
    ) -> None:
        """Ask for changes.

        :param after_revision: zero for the whole tree
        :param callback: called with the changes or the failure
        """
        target = (
            f"{platform_api.TREE_PATH}?after={after_revision}"
            f"&wait_seconds={reader.WATCH_SECONDS:g}"
        )

        def done(answer: Answer) -> None:
            body = _body(answer)
            if isinstance(body, platform_api.PlatformFailed):
                callback(body)
            else:
                callback(platform_api.decode_tree(body))

        self._get(target, reader.WATCH_SECONDS + GRACE_SECONDS, done)

    def read_list(self, *, callback: reader.ListCallback) -> None:
        """Ask for the list of instances.

        :param callback: called with the list or the failure
        """

        def done(answer: Answer) -> None:
            body = _body(answer)
            if isinstance(body, platform_api.PlatformFailed):
                callback(body)
            else:
                callback(platform_api.decode_list(body))

        self._get(platform_api.LIST_PATH, GRACE_SECONDS, done)

    def _get(
        self,
        target: str,
        progress_seconds: float,
        done: Callable[[Answer], None],
    ) -> None:
        call = http_client.Call(
            address=self._address,
            method="GET",
            target=target,
            headers=[],
            body=b"",
            fresh=False,
            progress_seconds=progress_seconds,
        )
        sink = whole_answer.WholeAnswerSink(
            done=done, max_bytes=MAX_TREE_BYTES
        )
        self._client.send(call, sink)


def _body(answer: Answer) -> bytes | platform_api.PlatformFailed:
    if isinstance(answer, http_client.Failure):
        timed_out = answer.reason == "timeout"
        return platform_api.PlatformFailed(
            reason="timeout" if timed_out else "refused"
        )
    if answer.status != STATUS_OK:
        return platform_api.PlatformFailed(reason="status")
    return answer.body


__all__ = [
    "PlatformClient",
]

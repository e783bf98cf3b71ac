"""A loopback proxy that delays, holds, resets, silences or cuts one way."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
import threading

from boragefold.transport import streams

READ_BYTES = 65536


class Mode(enum.Enum):
    """What happens to the bytes of all connections."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    NO_ANSWERS = "no_answers"
    RESET_ANSWERS = "reset_answers"
    HOLD = "hold"


# Longer than the way between data centres, shorter than any timeout.
DELAY_SECONDS = 0.08
HOLD_CHECK_SECONDS = 0.02


class Proxy:
    """Listens on one address and speaks to another."""

    def __init__(self, target: str) -> None:
        self.mode = Mode.PASS
        self.address = ""
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self._sources: dict[asyncio.StreamWriter, str] = {}
        # Connections of these hosts pass nothing any more.
        self.silenced: set[str] = set()

    async def open(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def reset(self, source: str = "") -> None:
        """Reset every connection that is open now, or those of one host."""
        for writer in list(self._writers):
            if not source or self._sources.get(writer) == source:
                _reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._relay(reader, writer)
        except asyncio.CancelledError:
            # The run is over; asyncio would print each that was cancelled.
            _reset(writer)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is Mode.RESET:
            _reset(writer)
            return
        host, _, port = self._target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, port)
        except OSError:
            _reset(writer)
            return
        ends = {writer, far_writer}
        self._writers |= ends
        source = writer.get_extra_info("peername")[0]
        self._sources |= dict.fromkeys(ends, source)
        there = self._pump(reader, far_writer, answers=False)
        back = self._pump(far_reader, writer, answers=True)
        await asyncio.gather(there, back)
        self._writers -= ends
        for end in ends:
            del self._sources[end]

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        answers: bool,
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                if self.mode is Mode.RESET_ANSWERS and answers:
                    _reset(writer)
                    return
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(DELAY_SECONDS)
                while self.mode is Mode.HOLD:
                    await asyncio.sleep(HOLD_CHECK_SECONDS)
                lost = self.mode is Mode.SILENT
                lost |= self.mode is Mode.NO_ANSWERS and answers
                lost |= self._sources[writer] in self.silenced
                if lost:
                    # What was lost once is lost for good: the connection
                    # stays silent also when the fault has passed.
                    await asyncio.Event().wait()
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            _reset(writer)


def _reset(writer: asyncio.StreamWriter) -> None:
    # Without this, the connection would be closed in good order.
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, streams.NO_LINGER)
    writer.transport.abort()


class Proxies:
    """All proxies of a run, on a thread of their own."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True
        )
        self._thread.start()
        self.by_name: dict[str, Proxy] = {}

    def open(self, name: str, target: str) -> str:
        proxy = Proxy(target)
        asyncio.run_coroutine_threadsafe(proxy.open(), self._loop).result()
        self.by_name[name] = proxy
        return proxy.address

    def set(self, name: str, mode: Mode) -> None:
        proxy = self.by_name[name]
        proxy.mode = mode
        if mode is Mode.RESET:
            self._loop.call_soon_threadsafe(proxy.reset)

    def silence(self, name: str, source: str) -> None:
        self.by_name[name].silenced.add(source)

    def reset(self, name: str, source: str) -> None:
        proxy = self.by_name[name]
        self._loop.call_soon_threadsafe(proxy.reset, source)

    def heal(self, name: str, source: str) -> None:
        self.by_name[name].silenced.discard(source)

    def close(self) -> None:
        for each in self.by_name.values():
            self._loop.call_soon_threadsafe(each.reset)
        asyncio.run_coroutine_threadsafe(_cancel_all(), self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()


async def _cancel_all() -> None:
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


__all__ = [
    "Mode",
    "Proxies",
]

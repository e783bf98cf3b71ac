"""Links that can be cut silently: a proxy for each machine."""

import asyncio
import threading
import time


class Link:
    """One machine's link to the store.

    While it is cut, nothing passes: bytes are held up until it heals, open
    connections stay silent, and new ones aren't answered.
    """

    def __init__(self, *, loop, listen, target):
        self.loop = loop
        self.listen = listen
        self.target = target
        self.healed = asyncio.Event()
        self.healed.set()
        # When the machine last sent anything to the store.
        self.sent_at = 0.0

    async def start(self):
        host, _, port = self.listen.rpartition(":")
        await asyncio.start_server(self.accept, host, int(port))

    def cut(self):
        self.loop.call_soon_threadsafe(self.healed.clear)

    def heal(self):
        self.loop.call_soon_threadsafe(self.healed.set)

    async def accept(self, reader, writer):
        try:
            await self.healed.wait()
            host, _, port = self.target.rpartition(":")
            far = await asyncio.open_connection(host, int(port))
            await asyncio.gather(
                self.pump(reader, far[1], outgoing=True),
                self.pump(far[0], writer, outgoing=False),
            )
        except OSError:
            pass
        finally:
            writer.close()

    async def pump(self, reader, writer, *, outgoing):
        try:
            while data := await reader.read(65536):
                if outgoing:
                    self.sent_at = time.time()
                await self.healed.wait()
                writer.write(data)
                await writer.drain()
        finally:
            writer.close()


class Links:
    """The links of all machines, in a thread of their own."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        thread.start()
        self.by_name = {}

    def open(self, name, *, listen, target):
        link = Link(loop=self.loop, listen=listen, target=target)
        asyncio.run_coroutine_threadsafe(link.start(), self.loop).result(5)
        self.by_name[name] = link

"""A replica stand-in: a model engine or a plain service, on loopback.

It follows PROTOCOL.md as far as the scripts need it: `/v1/report`, `/v1/order`
for the model's adapters a1 to a3000 (400 for any other, as there is no such
order), the
service's health path, `Boragefold-Expect-Instance` (421 from any other
replica), 503 with `Boragefold-Not-Executed` when all slots are taken, the
echo of `Boragefold-Attempt-Id`, and streams with increasing event ids. It
works on a request until the answer is whole or the connection closes.

`GET /control/seen` lists every run (id, start, end and how it ended) and every
order with its answer.
"""

import asyncio
import json
import sys
import time

MODEL = "m0"
ADAPTERS = 3000
LOAD_SECONDS = 0.25


class Replica:
    """One replica; `events` is 0 for a plain service."""

    def __init__(self, *, name, slots, events, event_seconds):
        self.name = name
        self.slots = slots
        self.events = events
        self.event_seconds = event_seconds
        self.running = 0
        self.runs = []
        self.orders = []
        self.sequence = 0
        # Adapters that are held or on their way, and when they are there.
        self.held = {}

    async def serve(self, host, port):
        server = await asyncio.start_server(self.connection, host, port)
        async with server:
            await server.serve_forever()

    async def connection(self, reader, writer):
        try:
            while await self.one_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def one_request(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            return False
        first, *lines = head.decode("latin-1").split("\r\n")
        method, target, _ = first.split(" ", 2)
        path = target.partition("?")[0]
        headers = {}
        for line in filter(None, lines):
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        left = int(headers.get("content-length", "0"))
        size = left
        body = b""
        while left:
            piece = await reader.read(min(left, 65536))
            if not piece:
                return False
            left -= len(piece)
            if path == "/v1/order":
                body += piece
        expected = headers.get("boragefold-expect-instance")
        if path == "/control/seen":
            seen = {"runs": self.runs, "orders": self.orders}
            self.reply(writer, 200, [], json.dumps(seen).encode())
        elif expected not in (None, self.name):
            self.reply(writer, 421, [], b"")
        elif path == "/v1/report":
            self.reply(writer, 200, [], json.dumps(self.report()).encode())
        elif path == "/v1/order":
            self.reply(writer, self.order(json.loads(body)), [], b"{}")
        elif path == "/health":
            instance = ("Boragefold-Instance-Id", self.name)
            self.reply(writer, 200, [instance, self.load()], b"")
        elif "boragefold-attempt-id" not in headers:
            self.reply(writer, 400, [("Boragefold-Not-Executed", "1")], b"")
        elif self.running >= self.slots:
            refused = ("Boragefold-Not-Executed", "1")
            self.reply(writer, 503, [refused, self.load()], b"")
        elif not self.holds(headers.get("boragefold-model", "")):
            self.reply(writer, 421, [], b"")
        else:
            await self.run(reader, writer, headers, size)
        await writer.drain()
        return True

    async def run(self, reader, writer, headers, size):
        attempt = headers["boragefold-attempt-id"]
        run = {"id": attempt, "size": size, "began": time.time(), "end": "?"}
        self.runs.append(run)
        self.running += 1
        try:
            if self.events:
                await self.stream(reader, writer, attempt)
            else:
                await asyncio.sleep(self.event_seconds)
                self.reply(writer, 200, self.marks(attempt), b"done")
                await writer.drain()
            run["end"] = "whole"
        except (OSError, asyncio.IncompleteReadError):
            run["end"] = "caller closed"
            raise
        finally:
            run["ended"] = time.time()
            self.running -= 1

    async def stream(self, reader, writer, attempt):
        head = [
            *self.marks(attempt),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        self.head(writer, 200, head)
        for number in range(1, self.events + 1):
            await asyncio.sleep(self.event_seconds)
            if reader.at_eof() or writer.is_closing():
                raise ConnectionResetError
            event = f"id: {number}\ndata: t{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def marks(self, attempt):
        return [
            ("Boragefold-Attempt-Id", attempt),
            ("Boragefold-Response-Signature", f"{self.name}.{attempt}"),
            self.load(),
        ]

    def load(self):
        return ("Boragefold-Instance-Load", f"{self.running},0,{self.slots}")

    def holds(self, name):
        model, _, adapter = name.partition("/")
        if not self.events or not adapter:
            return True
        return model == MODEL and self.held.get(adapter, 1e12) <= time.time()

    def order(self, order):
        status = self.carry_out(order)
        self.orders.append({**order, "status": status, "at": time.time()})
        return status

    def carry_out(self, order):
        adapter = order.get("adapter", "")
        named = adapter[:1] == "a" and adapter[1:].isdigit()
        if (
            "holder" not in order
            or "fence_token" not in order
            or order.get("model") != MODEL
            or not named
            or not 1 <= int(adapter[1:]) <= ADAPTERS
        ):
            return 400
        loads = order["operation"] == "load"
        if loads == (adapter in self.held):
            return 200
        if order.get("expected", self.sequence) != self.sequence:
            return 409
        self.sequence += 1
        if not loads:
            del self.held[adapter]
            return 200
        self.held[adapter] = time.time() + LOAD_SECONDS
        return 202

    def report(self):
        now = time.time()
        ready = [key for key, at in self.held.items() if at <= now]
        coming = [key for key, at in self.held.items() if at > now]
        adapters = [f"{key}@1" for key in ready]
        return {
            "stage": "colocated",
            "models": [{"name": MODEL, "version": 1, "adapters": adapters}],
            "busy": False,
            "sequence": self.sequence,
            "born": 1,
            "waiting": 0,
            "running": self.running,
            "kv_used": 0,
            "kv_total": 129722,
            "handles": 0,
            "coming": [f"{MODEL}/{key}@1" for key in coming],
        }

    @staticmethod
    def head(writer, status, headers):
        lines = [f"HTTP/1.1 {status} X", *(f"{n}: {v}" for n, v in headers)]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())

    def reply(self, writer, status, headers, body):
        length = ("Content-Length", str(len(body)))
        self.head(writer, status, [*headers, length])
        writer.write(body)


def main():
    name, address, slots, events, event_seconds = sys.argv[1:6]
    host, _, port = address.rpartition(":")
    replica = Replica(
        name=name,
        slots=int(slots),
        events=int(events),
        event_seconds=float(event_seconds),
    )
    asyncio.run(replica.serve(host, int(port)))


if __name__ == "__main__":
    main()

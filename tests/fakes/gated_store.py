"""The store as one instance sees it, with calls that a test can hold up."""

from __future__ import annotations

from collections.abc import Callable
import http.server
import threading

from tests.fakes import machines as machines_module


class StoreGate:
    """Passes calls on to the store, each after ``before_call``."""

    def __init__(self, store: str) -> None:
        self.before_call: Callable[[str], None] = lambda target: None
        gate = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self) -> None:
                gate.before_call(self.path)
                reply = machines_module.call(store, "GET", self.path)
                self.send_response(reply.status)
                self.send_header("Content-Length", str(len(reply.body)))
                self.end_headers()
                self.wfile.write(reply.body)

            def log_message(self, *args: object) -> None:
                pass

        self._server = http.server.ThreadingHTTPServer(
            ("127.0.0.1", 0), Handler
        )
        self._server.daemon_threads = True
        self.address = "{}:{}".format(*self._server.server_address)
        threading.Thread(
            target=self._server.serve_forever, daemon=True
        ).start()

    def close(self) -> None:
        self._server.shutdown()
        self._server.server_close()


class GatedMachines(machines_module.Machines):
    """The fleet, in which single gateways reach the store through a gate."""

    def __init__(self, folder, *, gateways) -> None:
        super().__init__(folder, gateways=gateways)
        self.gates: dict[int, StoreGate] = {}

    def gate(self, number: int) -> StoreGate:
        """Put a gate before the store for a gateway's next start."""
        self.gates[number] = StoreGate(self.store)
        return self.gates[number]

    def stop(self) -> None:
        super().stop()
        for gate in self.gates.values():
            gate.close()

    def _settings(self, number):
        settings = super()._settings(number)
        if number in self.gates:
            settings["platform"] = {"address": self.gates[number].address}
        return settings


__all__ = [
    "GatedMachines",
    "StoreGate",
]

"""The users' machines with gateways that can be cut off from endpoints."""

from __future__ import annotations

import enum
import json
import os
import socket
import subprocess
import sys

from boragefold.standins import ports
from tests.fakes import machines as machines_module
from tests.soak import proxy


class NewConnections(enum.Enum):
    """What happens to connections that a cut-off gateway opens."""

    REFUSED = "refused"
    HANG = "hang"


class OpenConnections(enum.Enum):
    """What happens to the connections that it has."""

    LIVE = "live"
    SILENT = "silent"
    RESET = "reset"


class BlackHole:
    """An address where new connections get no answer."""

    def __init__(self) -> None:
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        # A full queue of connections drops what opens another one.
        self._listener.listen(0)
        self.address = "{}:{}".format(*self._listener.getsockname())
        self._fillers = [self._fill() for _ in range(4)]

    def close(self) -> None:
        for sock in (*self._fillers, self._listener):
            sock.close()

    def _fill(self) -> socket.socket:
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(self._listener.getsockname())
        return sock


class CutMachines(machines_module.Machines):
    """The fleet, with a proxy before each endpoint unless ``direct``."""

    def __init__(self, folder, *, gateways, direct=False) -> None:
        super().__init__(folder, gateways=gateways)
        self.proxies = proxy.Proxies()
        self._direct = direct
        self._published: dict[str, str] = {}
        self.black_hole = BlackHole()
        self._instead = {
            NewConnections.REFUSED: ports.free_address(),
            NewConnections.HANG: self.black_hole.address,
        }

    def publish(self, name, **changes):
        if name not in self.proxies.by_name and not self._direct:
            self.proxies.open(name, self.endpoints[name])
        behind = self.proxies.by_name.get(name)
        address = self.endpoints[name] if behind is None else behind.address
        self._published[name] = address
        super().publish(name, **{"address": address, **changes})

    def start_gateway(self, number):
        path = self.folder / f"gateway-{number}.json"
        path.write_text(json.dumps(self._settings(number)))
        log = (self.folder / f"gateway-{number}.log").open("ab")
        self.processes[f"gateway-{number}"] = subprocess.Popen(
            [sys.executable, "-m", "tests.fakes.cuttable_gateway"],
            env={
                **os.environ,
                "BORAGEFOLD_SETTINGS": str(path),
                "CUT_FILE": str(self._cut_file(number)),
            },
            stdout=log,
        )

    def cut(
        self,
        number: int,
        new: NewConnections,
        opened: OpenConnections,
        *,
        prefix: str = "",
    ) -> None:
        """Cut a gateway off from the endpoints whose names begin so."""
        names = [n for n in self.endpoints if n.startswith(prefix)]
        cut = {
            "addresses": [self._published[name] for name in names],
            "instead": self._instead[new],
        }
        # Replaced at once: the gateway may be reading it.
        draft = self._cut_file(number).with_suffix(".draft")
        draft.write_text(json.dumps(cut))
        draft.replace(self._cut_file(number))
        host = self.gateways[number]["front"].rpartition(":")[0]
        for name in self.proxies.by_name.keys() & names:
            if opened is OpenConnections.SILENT:
                self.proxies.silence(name, host)
            elif opened is OpenConnections.RESET:
                self.proxies.reset(name, host)

    def heal(self, number: int) -> None:
        """End the cut; what was silenced stays silent."""
        self._cut_file(number).unlink(missing_ok=True)
        host = self.gateways[number]["front"].rpartition(":")[0]
        for name in self.proxies.by_name:
            self.proxies.heal(name, host)

    def stop(self):
        super().stop()
        self.proxies.close()
        self.black_hole.close()

    def _cut_file(self, number):
        return self.folder / f"cut-{number}.json"


__all__ = [
    "CutMachines",
    "NewConnections",
    "OpenConnections",
]

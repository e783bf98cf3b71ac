"""Store, replicas and gateways as processes on loopback addresses.

The gateways are started as `deploy/system.toml` starts them, with settings
like those of quadrosul-prod. The platform's part is played here: processes
that end are started again after a short delay, and a process that exceeds
`memory_mb` is killed, as DEPLOY.md says.
"""

import http.client
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HERE = pathlib.Path(__file__).resolve().parent
MEMORY_MB = 300
RESTART_SECONDS = 0.5
ZONES = ("sul-a", "sul-b", "sul-c")
HOST = "ficu95.example"
KEY = "i9n73hh2b9wu3fexd9dn"


def call(address, method, target, body=None, headers=None, seconds=5.0):
    connection = http.client.HTTPConnection(address, timeout=seconds)
    try:
        connection.request(method, target, body=body, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read()
    finally:
        connection.close()


def eventually(check, seconds=30.0):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if found := check():
                return found
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(0.05)
    raise TimeoutError("it did not come about")


class Fleet:
    """Everything that a script starts; `stop` ends all of it."""

    def __init__(self, *, gateways=2, hosts=None, zones=ZONES):
        """Choose addresses; `hosts` are the gateways' last two numbers."""
        # A script that is stopped has to end what it started, too.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        drawn = random.SystemRandom()
        self.net = f"127.{drawn.randrange(1, 250)}.{drawn.randrange(250)}"
        self.next_host = 1
        self.zones = zones
        self.store = self.address()
        # Where a gateway finds the store, if not at its own address.
        self.store_of = {}
        self.replicas = {}
        self.entries = {}
        self.processes = {}
        self.names = [f"front-{n}" for n in range(gateways)]
        self.listen = {}
        for name in self.names:
            self.next_host += 1
            host = f"{self.net}.{self.next_host}"
            if hosts is not None:
                host = self.net.rpartition(".")[0] + "." + hosts[len(self.listen)]
            self.listen[name] = {
                part: f"{host}:{free_port(host)}"
                for part in ("front", "ready", "control")
            }
        # Who ended: (time, gateway, cause), causes "memory" and "own end".
        self.ends = []
        self.peak_kb = dict.fromkeys(self.names, 0)
        self.killed = set()
        self.over = threading.Event()
        self.lock = threading.Lock()

    def address(self):
        self.next_host += 1
        host = f"{self.net}.{self.next_host}"
        return f"{host}:{free_port(host)}"

    def env(self, **more):
        paths = (ROOT / "target/deps", ROOT / "src", ROOT / "platform")
        kept = {k: os.environ[k] for k in ("PATH", "HOME") if k in os.environ}
        return {**kept, "PYTHONPATH": ":".join(map(str, paths)), **more}

    def spawn(self, name, arguments, **env):
        log = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            arguments, cwd=ROOT, env=self.env(**env), stdout=log, stderr=log
        )

    def start_store(self):
        module = "boragefold.standins.machines"
        self.spawn(
            "store",
            [sys.executable, "-m", module, "store", "--listen", self.store],
        )

    def start_replica(self, name, *, service, slots, events, event_seconds):
        self.replicas[name] = address = self.address()
        script = str(HERE / "replica.py")
        figures = map(str, (slots, events, event_seconds))
        self.spawn(name, [sys.executable, script, name, address, *figures])
        eventually(lambda: call(address, "GET", "/control/seen")[0] == 200)
        models = [{"name": "m0", "version": 1, "adapters": []}]
        self.entries[name] = {
            "service": service,
            "address": address,
            "zone": self.zones[len(self.replicas) % len(self.zones)],
            "slots": slots,
            "state": "ready",
            "models": models if events else [],
            "born": 1,
            "version": "v1",
            "cold_remaining_ms": 0,
            "sequence": 1,
        }
        self.publish(name)

    def publish(self, name, **changes):
        """Write a replica's entry, as it does itself now and then."""
        with self.lock:
            entry = self.entries[name]
            entry.update(changes, sequence=entry["sequence"] + 1)
            self.put(f"servers/{name}", entry)
            return time.time()

    def put(self, key, value):
        query = parse.urlencode({"key": key})
        body = json.dumps(value)
        target = f"/control/item?{query}"
        eventually(lambda: call(self.store, "PUT", target, body)[0] == 200)

    def settings(self, name):
        listen = self.listen[name]
        number = self.names.index(name)
        return {
            "node_name": name,
            "role": "gateway",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip": listen["front"].rpartition(":")[0],
            "zone": self.zones[number % len(self.zones)],
            "region": "region",
            "zones": dict.fromkeys(self.zones, "region"),
            "listen": listen,
            "seeds": [each["control"] for each in self.listen.values()][:3],
            "bootstrap": True,
            "limits": {"memory_mb": MEMORY_MB, "max_fds": 4100},
            "heartbeat_ms": 1200,
            "bounds": {
                "drain_ms": 2000,
                "grace_s": 8,
                "lease_ms": 3000,
                "config_apply_ms": 2000,
                "budget_ratio": 0.2,
                "budget_window_s": 10,
                "retry_slack": 54,
                "quota_window_s": 8,
                "quota_overage": 0.25,
                "quota_slack": 17000,
            },
            "platform": {
                "address": self.store_of.get(name, self.store),
                "form": "read",
            },
        }

    def start_gateway(self, name):
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self.settings(name)))
        self.spawn(
            name,
            [sys.executable, "-S", "platform/run.py"],
            BORAGEFOLD_SETTINGS=str(path),
        )

    def is_ready(self, name):
        return call(self.listen[name]["ready"], "GET", "/v1/ready")[0] == 200

    def start_gateways(self):
        for name in self.names:
            self.start_gateway(name)
        for name in self.names:
            eventually(lambda name=name: self.is_ready(name))
        # Engines are scheduled only some seconds after the start.
        time.sleep(4.0)
        threading.Thread(target=self.keep, daemon=True).start()

    def kill(self, name):
        """Play `node_kill`; `keep` starts the process again."""
        self.killed.add(name)
        self.processes[name].kill()

    def keep(self):
        """Play the platform: memory limit and restarts."""
        while not self.over.wait(0.02):
            for name in self.names:
                process = self.processes[name]
                kilobytes = resident_kb(process.pid)
                self.peak_kb[name] = max(self.peak_kb[name], kilobytes)
                if kilobytes > MEMORY_MB * 1000:
                    process.kill()
                    self.note(name, "memory")
                elif process.poll() is not None and name in self.killed:
                    self.killed.discard(name)
                    self.note(name, "killed by the script")
                elif process.poll() is not None:
                    self.note(name, f"own end {process.returncode}")

    def note(self, name, cause):
        self.processes[name].wait()
        with self.lock:
            self.ends.append((time.time(), name, cause))
        time.sleep(RESTART_SECONDS)
        if not self.over.is_set():
            self.start_gateway(name)

    def seen(self, kind):
        """List what all replicas saw: `runs` or `orders`."""
        found = []
        for name, address in self.replicas.items():
            _, body = call(address, "GET", "/control/seen")
            items = json.loads(body)[kind]
            found += [{**item, "replica": name} for item in items]
        return found

    def stop(self):
        for each in (signal.SIGTERM, signal.SIGINT):
            signal.signal(each, signal.SIG_IGN)
        self.over.set()
        # Whoever restarts a process may be about to do so.
        time.sleep(RESTART_SECONDS + 0.2)
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()


def free_port(host):
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


def resident_kb(pid):
    try:
        with open(f"/proc/{pid}/statm") as file:
            pages = int(file.read().split()[1])
    except (OSError, IndexError, ValueError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE") // 1024


def route(name, prefix, kind, service, **changes):
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "route_type": kind,
        "timeout_ms": 15000,
        "target_latency_ms": 1000,
        "priority": 1,
        "service": service,
        "max_attempts": 1,
        "public": False,
        "resumable": False,
        "gap_aim_ms": 400,
        "sticky": kind == "stream",
        **changes,
    }


def configuration():
    return {
        "version": 7,
        "routes": [
            route(
                "draft-pt", "/lohu930/", "stream", "traduz", timeout_ms=4000
            ),
            route(
                "draft-es", "/xeba204/", "stream", "traduz", timeout_ms=10000
            ),
            route("letter-notes", "/rilo557/", "stream", "traduz"),
            route("rights-order", "/puxa403/", "non_idempotent", "balcao"),
            route("catalogue-read", "/kome118/", "idempotent", "balcao"),
        ],
        "services": [
            {
                "name": "traduz",
                "health_path": "/health",
                "max_connections": 360,
                "engine": {
                    "slots": 64,
                    "kv_capacity_tokens": 129722,
                    "weights_mb": 74000,
                    "adapter_slots": 5,
                    "loads_per_s": 4.2,
                    "models": [
                        {
                            "name": "m0",
                            "weights_mb": 72700,
                            "load_s": 2.1,
                            "adapters": 3000,
                            "adapter_mb": 66,
                        }
                    ],
                },
            },
            {
                "name": "balcao",
                "health_path": "/health",
                "max_connections": 100,
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {
                "name": "hule930",
                "api_keys": [KEY],
                "unit": "tokens",
                "plain_tokens": 200,
                "rate_per_s": 1000000,
                "burst": 1000000,
            }
        ],
    }

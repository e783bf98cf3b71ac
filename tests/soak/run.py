"""One run: a fleet, callers, the faults of a plan, and the checks."""

from __future__ import annotations

from collections.abc import Callable
import pathlib
import signal
import threading
import time
from typing import NamedTuple

from tests.fakes import cut_machines
from tests.fakes import machines as machines_module
from tests.fakes import repeat_rule
from tests.fakes import versioned_engines
from tests.soak import callers
from tests.soak import checks
from tests.soak import crowds
from tests.soak import culprits
from tests.soak import endpoint_faults
from tests.soak import listings
from tests.soak import plan
from tests.soak import proxy
from tests.soak import spells
from tests.soak import stalls
from tests.soak import versions

# What a fault did to an instance is over so long after it ended.
TOUCHED_SECONDS = 3.0
# An endpoint that was announced to leave is back after this.
AWAY_SECONDS = 6.0
SPARE_KEY = "spare-key-{}"
# What the callers of a run can exceed, where faults draw many repeats.
TIGHT_LIMIT = repeat_rule.LIMIT._replace(ratio=0.02, slack=4.0)
REPEAT_FAULTS = {"break_series", "lost_share"}
HERD_SECONDS = 6.0
# Callers who take up streams, beside the others.
TAKERS = 4


class Herd(NamedTuple):
    """A time in which most new connections went to one gateway."""

    gateway: int
    begin_seconds: float
    end_seconds: float


class SoakMachines(
    versioned_engines.VersionedEngines, cut_machines.CutMachines
):
    """The fleet, with a proxy before each store as well.

    A proxy accepts connections for an endpoint that is gone; ``direct`` leaves
    the endpoints' own addresses published. ``limit`` is that of repeats,
    ``machine_limits`` are those of memory and descriptors, if any.
    """

    def __init__(
        self, folder, *, limit, machine_limits=None, **options
    ) -> None:
        super().__init__(folder, **options)
        self.limit = limit
        self.machine_limits = machine_limits

    def _settings(self, number):
        name = f"store-{number}"
        if name not in self.proxies.by_name:
            self.proxies.open(name, self.store)
        address = self.proxies.by_name[name].address
        settings = super()._settings(number)
        bounds = {
            **settings["bounds"],
            **spells.BOUNDS,
            "budget_ratio": self.limit.ratio,
            "retry_slack": self.limit.slack,
        }
        return {
            **settings,
            "platform": {"address": address},
            "bounds": bounds,
            "limits": self.machine_limits or {},
        }


class Run(
    endpoint_faults.EndpointFaults,
    culprits.CulpritFaults,
    versions.VersionFaults,
    stalls.StallFaults,
    listings.ListingFaults,
    spells.SpellFaults,
    crowds.CrowdFaults,
):
    """Plays one plan; ``broken`` lists the promises that did not hold."""

    def __init__(
        self,
        folder: pathlib.Path,
        *,
        seed: int,
        gateways: int = 4,
        callers_count: int = 8,
        faults: list[plan.Fault],
        length_seconds: float = plan.LENGTH_SECONDS,
    ) -> None:
        has_versions = any(fault.kind in versions.KINDS for fault in faults)
        self.machines = SoakMachines(
            folder,
            gateways=gateways,
            versions=versions.VERSIONS if has_versions else (),
            direct=has_versions
            or any(fault.kind in culprits.CRASHES for fault in faults),
            limit=(
                TIGHT_LIMIT
                if any(fault.kind in REPEAT_FAULTS for fault in faults)
                else repeat_rule.LIMIT
            ),
            machine_limits=(
                crowds.LIMITS
                if any(fault.kind in crowds.KINDS for fault in faults)
                else None
            ),
        )
        super().__init__()
        self.over = threading.Event()
        self.keys = [
            machines_module.KEY,
            *(SPARE_KEY.format(number) for number in range(3)),
        ]
        self.holder = dict.fromkeys(self.keys, "press")
        self.withdrawn: dict[str, float] = {}
        self.left: dict[str, tuple[float, float]] = {}
        self.cuts: list[endpoint_faults.Cut] = []
        self.falls: list[int] = []
        self.planned_stops: list[tuple[int, float]] = []
        self.still_stops: list[stalls.StillStop] = []
        self.crowd_peaks = []
        self.herds: list[Herd] = []
        self.herd_on: int | None = None
        self.calm_from_seconds = 0.0
        has_unframed = any("unframed" in fault.kind for fault in faults)
        self.callers = [
            callers.Caller(
                run=self,
                number=number,
                seed=seed,
                http_1_0=number % 2 == 1 and has_unframed,
            )
            for number in range(callers_count)
        ]
        self.takers = [
            versioned_engines.Caller(
                machines=self.machines,
                over=self.over,
                seed=seed,
                number=number,
            )
            for number in range(TAKERS if has_versions else 0)
        ]
        self._prepare_spells(
            seed=seed,
            is_played=any(fault.kind in spells.KINDS for fault in faults),
        )
        self.faults = faults
        self._length_seconds = length_seconds
        self._version = 1
        self._touched: list[tuple[int | None, float, float]] = []
        self._busy: set[str] = set()
        self._lock = threading.Lock()

    def play(self) -> list[str]:
        """Play the plan.

        :return: the promises that did not hold, a line each
        """
        try:
            self.machines.start()
            self._publish()
            return self._play()
        finally:
            self.over.set()
            self.machines.stop()

    def taking(self) -> list[int]:
        """List the gateways that a balancer would send callers to."""
        stopping = {f"gateway-{n}" for n, _ in self.planned_stops} & self._busy
        numbers = range(len(self.machines.gateways))
        taking = [n for n in numbers if f"gateway-{n}" not in stopping]
        return taking or list(numbers)

    def touched(self, gateway: int, at_seconds: float) -> bool:
        """Tell whether a fault was near a gateway at a time."""
        return any(
            where in (None, gateway)
            and begin - 0.5 <= at_seconds <= end + TOUCHED_SECONDS
            for where, begin, end in self._touched
        )

    def disturbed(self, begin: float, end: float) -> bool:
        """Tell whether anything unplanned went on in a time."""
        return any(
            at - 0.5 <= end and begin <= until + TOUCHED_SECONDS
            for where, at, until in self._touched
            if where is None or where >= 0
        )

    def _play(self) -> list[str]:
        begin = callers.clock()
        self.calm_from_seconds = (
            begin + self._length_seconds - plan.CALM_SECONDS + 3.0
        )
        for caller in (*self.callers, *self.takers, *self.spenders):
            caller.start()
        threads = []
        for fault in self.faults:
            time.sleep(max(0.0, begin + fault.at_seconds - callers.clock()))
            thread = threading.Thread(target=self._inject, args=(fault,))
            thread.start()
            threads.append(thread)
        time.sleep(max(0.0, begin + self._length_seconds - callers.clock()))
        self.over.set()
        for thread in (
            *threads,
            *self.callers,
            *self.takers,
            *self.spenders,
        ):
            thread.join()
        ended = [
            f"ENDED: {name} with {process.returncode}"
            for name, process in self.machines.processes.items()
            if process.poll() is not None
        ]
        return [*ended, *([] if ended else checks.all_of(self))]

    def _inject(self, fault: plan.Fault) -> None:
        getattr(self, f"_{fault.kind}")(fault)

    def _herd(self, fault: plan.Fault) -> None:
        if not self._claim("herd"):
            return
        seconds = HERD_SECONDS + fault.for_seconds
        begin = callers.clock()
        self.herd_on = fault.what % len(self.machines.gateways)
        time.sleep(seconds)
        self.herds.append(Herd(self.herd_on, begin, callers.clock()))
        self.herd_on = None
        self._busy.discard("herd")

    def _claim(self, name: str) -> bool:
        # One fault at a time for each process; others may overlap.
        with self._lock:
            free = name not in self._busy
            self._busy.add(name)
            return free

    def _note(self, gateway: int | None, seconds: float) -> None:
        now = callers.clock()
        self._touched.append((gateway, now, now + seconds))

    def _restart(self, number: int) -> None:
        name = f"gateway-{number}"
        self.machines.processes[name].wait(20)
        self.machines.start_gateway(number)
        machines_module.eventually(lambda: self.machines.is_ready(number))
        self._busy.discard(name)

    def _gateway(self, fault: plan.Fault) -> int | None:
        number = fault.what % len(self.machines.gateways)
        return number if self._claim(f"gateway-{number}") else None

    def _kill(self, fault: plan.Fault) -> None:
        if (number := self._gateway(fault)) is not None:
            self._note(number, 3.0)
            self.machines.signal(number, signal.SIGKILL)
            self._restart(number)

    def _kill_all(self, fault: plan.Fault) -> None:
        numbers = [
            number
            for number in range(len(self.machines.gateways))
            if self._claim(f"gateway-{number}")
        ]
        self._note(None, 4.0)
        for number in numbers:
            self.machines.signal(number, signal.SIGKILL)
        for number in numbers:
            self._restart(number)

    def _pause(self, fault: plan.Fault) -> None:
        if (number := self._gateway(fault)) is not None:
            self._note(number, fault.for_seconds + 1.0)
            self.machines.signal(number, signal.SIGSTOP)
            time.sleep(fault.for_seconds)
            self.machines.signal(number, signal.SIGCONT)
            self._busy.discard(f"gateway-{number}")

    def _stop(self, fault: plan.Fault, *, signals: int = 1) -> None:
        if (number := self._gateway(fault)) is not None:
            self.planned_stops.append((number, callers.clock()))
            for _ in range(signals):
                self.machines.signal(number, signal.SIGTERM)
                time.sleep(0.2)
            self._restart(number)

    def _stop_twice(self, fault: plan.Fault) -> None:
        self._stop(fault, signals=2)

    def _reload(self, fault: plan.Fault) -> None:
        number = fault.what % len(self.machines.gateways)
        if f"gateway-{number}" not in self._busy:
            self.machines.signal(number, signal.SIGHUP)

    def _store_down(self, fault: plan.Fault) -> None:
        self._note(None, fault.for_seconds)
        self.machines.store_status(503)
        time.sleep(fault.for_seconds)
        self.machines.store_status(200)

    def _store_forgets(self, fault: plan.Fault) -> None:
        machines_module.call(self.machines.store, "PUT", "/control/forget")

    def _store(self, fault: plan.Fault, mode: proxy.Mode) -> None:
        number = fault.what % len(self.machines.gateways)
        self._note(number, fault.for_seconds)
        self._through(f"store-{number}", mode, fault.for_seconds)

    def _store_silent_for_one(self, fault: plan.Fault) -> None:
        self._store(fault, proxy.Mode.SILENT)

    def _store_slow_for_one(self, fault: plan.Fault) -> None:
        self._store(fault, proxy.Mode.DELAY)

    def _store_resets_one(self, fault: plan.Fault) -> None:
        self._store(fault, proxy.Mode.RESET)

    def _endpoint_leaves(
        self,
        fault: plan.Fault,
        *,
        after_mark: Callable[[], None] = lambda: None,
    ) -> None:
        name = self._name(fault)
        if not self._claim("leaving"):
            return
        self.machines.publish(name, state="draining")
        gone = callers.clock()
        after_mark()
        time.sleep(AWAY_SECONDS)
        self.left[name] = (gone, callers.clock())
        self.machines.publish(name)
        self._busy.discard("leaving")

    def _key_withdrawn(self, fault: plan.Fault) -> None:
        key = self.keys[1 + fault.what % (len(self.keys) - 1)]
        if key not in self.withdrawn:
            self.withdrawn[key] = float("inf")
            self._publish()
            self.withdrawn[key] = callers.clock()

    def _deployment_changes(self, fault: plan.Fault) -> None:
        self._publish()

    def _publish(self) -> None:
        with self._lock:
            self._version += 1
            deployment = machines_module.deployment(self._version)
            (tenant,) = deployment["tenants"]
            if self.limits:
                deployment["tenants"] += spells.tenants(self.limits[-1])
            tenant["api_keys"] = [
                key for key in self.keys if key not in self.withdrawn
            ]
            self.machines.put("op/config", deployment)


__all__ = [
    "Run",
]

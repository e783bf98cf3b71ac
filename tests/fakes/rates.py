"""A fleet of rates in virtual time, and the account of what it allowed."""

from __future__ import annotations

from typing import NamedTuple

from boragefold.coordination.rates import limits
from boragefold.coordination.rates import service
import boragefold.coordination.rights as rights
from boragefold.policy import token_balance
from boragefold.telemetry import counters as counting
from tests.fakes import network as networks
from tests.fakes import rights as fake_rights

WORKSPACE = "quadro/drafts"
LIMIT = limits.Limit(300.0, 900.0)
DATA_CENTRES = ("north", "south", "west")
WEIGHTS = {name: 1.0 for name in DATA_CENTRES}


class Process(NamedTuple):
    """One instance with its rates."""

    node: networks.Node
    rights: fake_rights.FakeRights
    rates: service.Rates
    counters: counting.Counters


class Charge(NamedTuple):
    """A reservation and when it was made."""

    at_seconds: float
    reservation: token_balance.Reservation


class Fleet:
    """Instances in data centres, one workspace, and every charge."""

    def __init__(
        self,
        *,
        seed: int = 1,
        limit: limits.Limit = LIMIT,
        per_data_centre: int = 2,
        data_centres: tuple[str, ...] = DATA_CENTRES,
        **network: float,
    ) -> None:
        self.network = networks.Network(seed=seed, **network)
        self.views = fake_rights.FakeViews()
        self.limit = limit
        self.weights = {name: 1.0 for name in data_centres}
        self.revision = 1
        self.charges: list[Charge] = []
        self.used: dict[int, float] = {}
        self.processes: dict[str, list[Process]] = {
            name: [] for name in data_centres
        }
        for name in data_centres:
            for _ in range(per_data_centre):
                self.start(name)
            self.change_view(name)

    def start(self, data_centre: str) -> Process:
        count = len(self.network.nodes) + len(self.charges)
        address = f"{data_centre}-{count}-{self.network.random.random()}"
        node = self.network.start(data_centre, address)
        fake = self.views.join(node)
        counters = counting.Counters()
        rates = service.Rates(
            peers=node.link,
            rights=fake,
            timers=node.timers,
            counters=counters,
        )
        rates.update_data_centres(revision=self.revision, weights=self.weights)
        rates.update_workspaces({WORKSPACE: self.limit})
        process = Process(node, fake, rates, counters)
        self.processes[data_centre].append(process)
        return process

    def change_view(
        self, data_centre: str, without: tuple[Process, ...] = ()
    ) -> None:
        self.views.change(
            data_centre,
            [
                process.node
                for process in self.processes[data_centre]
                if process not in without
            ],
        )

    def kill(self, process: Process) -> None:
        self.network.kill(process.node)
        self.processes[process.node.self_id.data_centre].remove(process)

    def holder(self, data_centre: str) -> Process:
        view = self.views.latest[data_centre]
        holder = rights.holder(view, limits.right_of(WORKSPACE))
        return next(
            process
            for process in self.processes[data_centre]
            if process.node.self_id == holder
        )

    def other(self, data_centre: str) -> Process:
        holder = self.holder(data_centre)
        return next(
            process
            for process in self.processes[data_centre]
            if process is not holder
        )

    def reserve(
        self, process: Process, tokens: float
    ) -> token_balance.Reservation | token_balance.Shortfall:
        result = process.rates.token_balance.reserve(
            workspace=WORKSPACE, tokens=tokens
        )
        if isinstance(result, token_balance.Reservation):
            now_seconds = self.network.clock.now_seconds()
            self.charges.append(Charge(now_seconds, result))
        return result

    def obtain(
        self, process: Process, tokens: float, *, within_seconds: float
    ) -> bool:
        """Reserve, coming back as often as the shortfalls say."""
        end_seconds = self.network.clock.now_seconds() + within_seconds
        while True:
            result = self.reserve(process, tokens)
            if isinstance(result, token_balance.Reservation):
                return True
            wait_seconds = result.ready_in_seconds
            now_seconds = self.network.clock.now_seconds()
            if wait_seconds is None or now_seconds > end_seconds:
                return False
            self.network.run_for(min(wait_seconds, 0.1))

    def settle(
        self,
        process: Process,
        reservation: token_balance.Reservation,
        used_tokens: float,
    ) -> None:
        self.used[id(reservation)] = used_tokens
        process.rates.token_balance.settle(
            reservation, used_tokens=used_tokens
        )

    def run_for(self, duration_seconds: float) -> None:
        self.network.run_for(duration_seconds)

    def charged_tokens(self, since_seconds: float = 0.0) -> float:
        return sum(
            self._tokens(charge)
            for charge in self.charges
            if charge.at_seconds >= since_seconds
        )

    def excess_tokens(self) -> float:
        """Compare every window with burst and rate, over all pairs of events.

        :return: how far the worst window is above (positive) or below
        """
        rate = self.limit.rate_tokens_per_second
        total = 0.0
        lowest = float("inf")
        worst = float("-inf")
        for charge in self.charges:
            lowest = min(lowest, total - rate * charge.at_seconds)
            total += self._tokens(charge)
            worst = max(worst, total - rate * charge.at_seconds - lowest)
        return worst - self.limit.burst_tokens

    def _tokens(self, charge: Charge) -> float:
        reservation = charge.reservation
        return self.used.get(id(reservation), reservation.tokens)


__all__ = [
    "DATA_CENTRES",
    "Fleet",
    "LIMIT",
    "Process",
    "WEIGHTS",
    "WORKSPACE",
]

"""An engine in virtual time that answers orders as real engines do."""

from __future__ import annotations

from collections.abc import Iterator
import itertools
import random
from typing import NamedTuple

from boragefold.coordination.fleet import fencing_numbers
from boragefold.entry import engine_dialect as dialects
from boragefold.policy import engine_decisions
from boragefold.state import deployment
from boragefold.timing import clock as clocks

OK = 200
ACCEPTED = 202
BAD_REQUEST = 400
CONFLICT = 409
CARRIED_OUT = (OK, ACCEPTED)

LEASE_SECONDS = 3.0
MAX_COMING = 4
REPORT_LAG_SECONDS = (0.1, 0.15)
LOAD_SECONDS = 0.25
MODEL_SECONDS = 2.1


class GivenOrder(NamedTuple):
    """An order as it reached the engine, and its answer.

    ``count`` is the engine's own after it, ``counted`` whether it rose,
    ``status`` None where the engine was down; ``life`` counts the engine's
    starts.
    """

    at_seconds: float
    giver: str
    fence: int
    order: engine_decisions.Order
    expected: int
    count: int
    status: int | None
    counted: bool
    life: int


class Breach(NamedTuple):
    """A rule that was broken, and the orders that broke it."""

    rule: str
    how: str
    orders: tuple[GivenOrder, ...]


class ModelEngine:
    """Holds adapters, counts orders and keeps a record of all of them."""

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        seed: int = 0,
        models: tuple[str, ...] = ("base",),
        places: int = 5,
        load_seconds: float = LOAD_SECONDS,
        report_lag_seconds: tuple[float, float] = REPORT_LAG_SECONDS,
        newest: dict[deployment.AdapterKey, int] | None = None,
        tells_start: bool = False,
    ) -> None:
        """Begin with models and without adapters.

        :param clock: what all times are readings of
        :param seed: of the ages of its reports
        :param models: what it holds
        :param places: adapters that it has room for
        :param load_seconds: how long an adapter is on its way
        :param report_lag_seconds: how old reports are, from and to
        :param newest: the newest version where there are several
        :param tells_start: whether its reports tell when it started
        """
        self._clock = clock
        self._random = random.Random(seed)
        self._places = places
        self._load_seconds = load_seconds
        self._report_lag_seconds = report_lag_seconds
        self.newest = {} if newest is None else newest
        self._tells_start = tells_start
        self.orders: list[GivenOrder] = []
        self.overfull: list[GivenOrder] = []
        self.life = 0
        self._begin(models)

    def restart(self, *, models: tuple[str, ...] = ()) -> None:
        """Start again under the same name, with the count at 0.

        :param models: what it holds from the start on
        """
        self.life += 1
        self._begin(models)

    def held(self) -> dict[deployment.AdapterKey, int]:
        """List what is held, also what leaves.

        :return: versions by adapter
        """
        self._settle()
        return dict(self._held)

    def run(self, key: deployment.AdapterKey, *, seconds: float) -> bool:
        """Begin to answer a request.

        :param key: its adapter
        :param seconds: how long it takes
        :return: whether the adapter is there
        """
        self._settle()
        if self.down or key not in self._held or key == self._leaving:
            return False
        ends_at_seconds = self._clock.now_seconds() + seconds
        before = self._used_until_seconds.get(key, 0.0)
        self._used_until_seconds[key] = max(before, ends_at_seconds)
        return True

    def order(
        self,
        order: engine_decisions.Order,
        *,
        giver: str,
        fence: int,
        expected: int,
    ) -> int | None:
        """Take an order.

        :param order: what it shall load or drop
        :param giver: the instance
        :param fence: its fencing number
        :param expected: the count that the order relies on
        :return: the status of the answer; None where there is no answer
        """
        self._settle()
        before = self.count
        status = None if self.down else self._answer(order, expected)
        given = GivenOrder(
            at_seconds=self._clock.now_seconds(),
            giver=giver,
            fence=fence,
            order=order,
            expected=expected,
            count=self.count,
            status=status,
            counted=self.count > before,
            life=self.life,
        )
        self.orders.append(given)
        if self._taken() > self._places and not self.down:
            self.overfull.append(given)
            self.down = True
        self._remember(self._clock.now_seconds())
        return status

    def report(self) -> dialects.AdapterReport | None:
        """Tell the state of a moment ago.

        :return: the report; None while the engine is down
        """
        self._settle()
        if self.down:
            return None
        lag_seconds = self._random.uniform(*self._report_lag_seconds)
        oldest_seconds = self._clock.now_seconds() - lag_seconds
        seen = self._history[0][1]
        for at_seconds, report in self._history:
            if at_seconds > oldest_seconds:
                break
            seen = report
        return seen

    def breaches(self) -> list[Breach]:
        """List what broke the rules ONE and LIMIT.

        :return: all breaches, in the order of the rules
        """
        lives = itertools.groupby(self.orders, key=lambda given: given.life)
        per_life = [list(orders) for _, orders in lives]
        return [
            *itertools.chain.from_iterable(map(_shared, per_life)),
            *itertools.chain.from_iterable(map(_lower, per_life)),
            *itertools.chain.from_iterable(map(_turns, per_life)),
            *(Breach("LIMIT", "overfull", (one,)) for one in self.overfull),
        ]

    def _begin(self, models: tuple[str, ...]) -> None:
        self.down = False
        self.count = 0
        self._born_milliseconds = (
            fencing_numbers.EPOCH_MILLISECONDS
            + int(self._clock.now_seconds() * 1000)
            if self._tells_start
            else 0
        )
        self._models = set(models)
        self._models_coming: dict[str, float] = {}
        self._held: dict[deployment.AdapterKey, int] = {}
        self._coming: dict[deployment.AdapterKey, tuple[float, int]] = {}
        self._used_until_seconds: dict[deployment.AdapterKey, float] = {}
        self._leaving: deployment.AdapterKey | None = None
        self._history: list[tuple[float, dialects.AdapterReport]] = []
        self._remember(self._clock.now_seconds())

    def _taken(self) -> int:
        return len(self._held.keys() | self._coming.keys())

    def _answer(self, order: engine_decisions.Order, expected: int) -> int:
        if isinstance(order, engine_decisions.Unload):
            return self._unload(order.key, expected)
        if not order.key.adapter:
            return self._load_model(order.key.model, expected)
        return self._load(order, expected)

    def _unload(self, key: deployment.AdapterKey, expected: int) -> int:
        if key == self._leaving:
            return ACCEPTED
        if self._busy():
            return CONFLICT
        if key not in self._held:
            return OK
        if expected != self.count:
            return CONFLICT
        self.count += 1
        if self._is_used(key):
            self._leaving = key
            return ACCEPTED
        del self._held[key]
        return OK

    def _load(self, order: engine_decisions.Load, expected: int) -> int:
        key = order.key
        newest = self.newest.get(key, 1)
        if order.version > newest:
            return BAD_REQUEST
        version = order.version or newest
        if self._busy() or key.model not in self._models:
            return CONFLICT
        if key in self._coming:
            return ACCEPTED
        if self._held.get(key, 0) >= version:
            return OK
        if expected != self.count or len(self._coming) >= MAX_COMING:
            return CONFLICT
        self.count += 1
        ready_at_seconds = self._clock.now_seconds() + self._load_seconds
        self._coming[key] = (ready_at_seconds, version)
        return ACCEPTED

    def _load_model(self, model: str, expected: int) -> int:
        if model in self._models:
            return OK
        if model in self._models_coming:
            return ACCEPTED
        if self._busy() or expected != self.count:
            return CONFLICT
        self.count += 1
        now_seconds = self._clock.now_seconds()
        self._models_coming[model] = now_seconds + MODEL_SECONDS
        return ACCEPTED

    def _busy(self) -> bool:
        return self._leaving is not None or bool(self._models_coming)

    def _is_used(self, key: deployment.AdapterKey) -> bool:
        now_seconds = self._clock.now_seconds()
        return self._used_until_seconds.get(key, 0.0) > now_seconds

    def _settle(self) -> None:
        # Reports show the past: each change is kept with its own time.
        now_seconds = self._clock.now_seconds()
        while True:
            at_seconds, change = min(
                self._changes(), key=lambda one: one[0], default=(None, None)
            )
            if change is None or at_seconds is None:
                return
            if at_seconds > now_seconds:
                return
            self._apply(change)
            self._remember(at_seconds)

    def _changes(self) -> Iterator[tuple[float, str | deployment.AdapterKey]]:
        if self.down:
            return
        yield from (
            (at_seconds, key) for key, (at_seconds, _) in self._coming.items()
        )
        yield from (
            (at_seconds, model)
            for model, at_seconds in self._models_coming.items()
        )
        if self._leaving is not None:
            yield self._used_until_seconds[self._leaving], self._leaving

    def _apply(self, change: str | deployment.AdapterKey) -> None:
        if isinstance(change, str):
            del self._models_coming[change]
            self._models.add(change)
        elif change == self._leaving:
            self._leaving = None
            self._held.pop(change, None)
        else:
            _, self._held[change] = self._coming.pop(change)

    def _remember(self, at_seconds: float) -> None:
        held: dict[str, dict[str, int]] = {
            model: {} for model in sorted(self._models)
        }
        for key, version in self._held.items():
            held.setdefault(key.model, {})[key.adapter] = version
        report = dialects.AdapterReport(
            counted=fencing_numbers.OrderCount(
                self._born_milliseconds, self.count
            ),
            held=held,
            coming={key: one[1] for key, one in self._coming.items()},
            busy=self._busy(),
        )
        self._history.append((at_seconds, report))
        oldest_seconds = at_seconds - 2 * self._report_lag_seconds[1]
        while len(self._history) > 1 and self._history[1][0] < oldest_seconds:
            del self._history[0]


def _carried_out(orders: list[GivenOrder]) -> list[GivenOrder]:
    return [given for given in orders if given.status in CARRIED_OUT]


def _shared(orders: list[GivenOrder]) -> Iterator[Breach]:
    # Two with one number break the rule even where one was refused.
    by_fence: dict[int, GivenOrder] = {}
    for given in orders:
        first = by_fence.setdefault(given.fence, given)
        if first.giver != given.giver:
            yield Breach("ONE", "shared fence", (first, given))


def _lower(orders: list[GivenOrder]) -> Iterator[Breach]:
    highest: GivenOrder | None = None
    for given in _carried_out(orders):
        if highest is None or given.fence >= highest.fence:
            highest = given
        else:
            yield Breach("ONE", "lower fence", (highest, given))


def _turns(orders: list[GivenOrder]) -> Iterator[Breach]:
    last: dict[str, tuple[int, GivenOrder]] = {}
    carried_out = _carried_out(orders)
    for index, given in enumerate(carried_out):
        before_index, before = last.get(given.giver, (index - 1, given))
        last[given.giver] = index, given
        age_seconds = given.at_seconds - before.at_seconds
        if before_index != index - 1 and age_seconds < LEASE_SECONDS:
            between = carried_out[before_index + 1 : index]
            yield Breach("ONE", "turns", (before, *between, given))


__all__ = [
    "Breach",
    "GivenOrder",
    "LEASE_SECONDS",
    "ModelEngine",
]

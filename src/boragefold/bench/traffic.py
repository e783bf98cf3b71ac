"""The requests of a scenario, drawn from its seed."""

from __future__ import annotations

import bisect
from collections.abc import Iterator
import heapq
import itertools
import random
from typing import NamedTuple

from boragefold.bench import deployments
from boragefold.policy import work as works

POPULARITY_EXPONENT = 1.6
MAX_ANSWER_TOKENS = 1024
VERSION = "1"
LONG_ANSWER_TOKENS = 3000
PREFIXES_PER_ADAPTER = 3


class Arrival(NamedTuple):
    """A request as the caller sends it, and how long its answer will be."""

    at_seconds: float
    work: works.Work
    answer_tokens: int
    idempotent: bool
    draw: float


class HotAdapter(NamedTuple):
    """From a moment on, most of a workspace's traffic needs one adapter."""

    workspace: str
    share: float
    from_seconds: float


class Pattern(NamedTuple):
    """How callers behave; factors are of a workspace's usual traffic.

    ``load`` is all traffic over what the engines can serve. ``factors``
    gives for a workspace name a list of (from, to, factor).
    """

    load: float = 0.6
    factors: dict[str, list[tuple[float, float, float]]] = {}
    hot_adapter: HotAdapter | None = None
    long_share: float = 0.0
    shift_at_seconds: float | None = None


class Traffic:
    """Draws the arrivals of all workspaces in order of time."""

    def __init__(
        self,
        *,
        deployment: deployments.Deployment,
        pattern: Pattern,
        end_seconds: float,
        seed: int,
    ) -> None:
        self._deployment = deployment
        self._pattern = pattern
        self._end_seconds = end_seconds
        self._seed = seed
        self._owned = self._share_out(random.Random(f"owners {seed}"))

    def arrivals(self) -> Iterator[Arrival]:
        """Draw every request.

        :return: arrivals in order of time
        """
        return heapq.merge(
            *(
                self._of_workspace(size, number)
                for number, size in enumerate(self._deployment.workspaces)
            ),
            key=lambda arrival: arrival.at_seconds,
        )

    def _share_out(
        self, rng: random.Random
    ) -> dict[str, list[tuple[int, float]]]:
        sizes = self._deployment.workspaces
        ranks: dict[str, list[tuple[int, float]]] = {
            size.name: [] for size in sizes
        }
        names = [size.name for size in sizes]
        shares = [size.share for size in sizes]
        for rank in range(1, self._deployment.adapters + 1):
            (owner,) = rng.choices(names, shares)
            ranks[owner].append((rank, rank**-POPULARITY_EXPONENT))
        return ranks

    def _of_workspace(
        self, size: deployments.WorkspaceSize, number: int
    ) -> Iterator[Arrival]:
        rng = random.Random(f"{size.name} {self._seed}")
        usual = (
            self._deployment.requests_per_second()
            * self._pattern.load
            * size.share
        )
        hot = self._pattern.hot_adapter
        picker = _Picker(
            owned=self._owned[size.name],
            hot=hot if hot and hot.workspace == size.name else None,
            shift_at_seconds=self._pattern.shift_at_seconds,
        )
        highest = max(
            [1.0] + [f for *_, f in self._pattern.factors.get(size.name, [])]
        )
        now = 0.0
        for serial in itertools.count():
            now += rng.expovariate(usual * highest)
            if now >= self._end_seconds:
                return
            # Thinning keeps the process Poisson while its rate changes.
            if rng.random() < self._factor(size.name, now) / highest:
                yield self._arrival(rng, size, picker, now, serial, number)

    def _factor(self, name: str, now: float) -> float:
        return next(
            (
                factor
                for start, end, factor in self._pattern.factors.get(name, [])
                if start <= now < end
            ),
            1.0,
        )

    def _arrival(
        self,
        rng: random.Random,
        size: deployments.WorkspaceSize,
        picker: _Picker,
        now: float,
        serial: int,
        number: int,
    ) -> Arrival:
        deployment = self._deployment
        desk = rng.random() < deployment.desk_share
        answer = max(8, int(rng.gammavariate(2.0, 110.0)))
        limit = MAX_ANSWER_TOKENS
        if rng.random() < self._pattern.long_share:
            answer, limit = int(rng.uniform(1000, 2000)), LONG_ANSWER_TOKENS
        prompt = max(16, int(rng.gammavariate(4.0, 125.0)))
        if desk:
            adapter = works.AdapterVersion(deployments.DESK_MODEL, "", "")
            prompt, answer, limit = prompt // 4, answer // 4 + 1, 512
        else:
            adapter = works.AdapterVersion(
                deployments.MODEL, f"adapter-{picker.pick(rng, now)}", VERSION
            )
        # Callers state a limit with some air, not always the largest.
        limit = min(limit, max(64, 2 * answer))
        answer = min(answer, limit)
        patience = (
            deployment.desk_patience_seconds
            if desk
            else deployment.patience_seconds
        )
        work = works.Work(
            request_id=f"{size.name}-{serial}",
            workspace=size.name,
            adapter_version=adapter,
            prompt_tokens=prompt,
            max_tokens=limit,
            arrived_at_seconds=now,
            deadline_at_seconds=now + patience,
            late_sensitive=desk or deployment.late_sensitive,
            prefix=(
                f"{adapter.adapter}/{rng.randrange(PREFIXES_PER_ADAPTER)}"
                if not desk
                else ""
            ),
        )
        return Arrival(
            at_seconds=now,
            work=work,
            answer_tokens=answer,
            idempotent=not desk,
            draw=rng.random(),
        )


def most_popular(count: int) -> list[str]:
    """Name the adapters that are asked for most, before any shift.

    :param count: how many
    :return: their names, most popular first
    """
    return [f"adapter-{rank}" for rank in range(1, count + 1)]


class _Picker:
    """Draws the adapters of one workspace by popularity."""

    def __init__(
        self,
        *,
        owned: list[tuple[int, float]],
        hot: HotAdapter | None,
        shift_at_seconds: float | None,
    ) -> None:
        self._ranks = [rank for rank, _ in owned]
        self._sums = list(itertools.accumulate(w for _, w in owned))
        self._hot = hot
        self._shift_at_seconds = shift_at_seconds

    def pick(self, rng: random.Random, now: float) -> int:
        hot = self._hot
        if hot and now >= hot.from_seconds and rng.random() < hot.share:
            return self._ranks[len(self._ranks) // 2]
        place = bisect.bisect(self._sums, rng.random() * self._sums[-1])
        place = min(place, len(self._ranks) - 1)
        shift = self._shift_at_seconds
        # After a shift the least popular become the most popular.
        return self._ranks[
            -1 - place if shift is not None and now >= shift else place
        ]


__all__ = [
    "Arrival",
    "HotAdapter",
    "Pattern",
    "Traffic",
    "VERSION",
    "most_popular",
]

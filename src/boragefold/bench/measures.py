"""What callers received in one run, in a few figures."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import itertools
from typing import NamedTuple

from boragefold.bench import deployments
from boragefold.bench import fleet as fleets
from boragefold.bench import ledger as ledgers


class Measures(NamedTuple):
    """The figures of one run; requests of the warm-up are left out.

    ``refused_inside`` counts the refusals inside the rate, less those requests
    outside it that the same workspace was served instead: which requests of a
    caller over its rate are served is the fleet's to choose, how many isn't.
    ``late`` counts requests inside the rate whose first token didn't come
    while the caller waited. ``worst_served`` is the smallest share of its
    entitlement that a workspace was served. ``over_rate_tokens`` is what a
    workspace got beyond its rate and burst.
    """

    requests: int
    inside_rate: int
    served: int
    stalls: int
    stall_seconds: float
    first_token_p50_seconds: float
    first_token_p99_seconds: float
    batch_efficiency: float
    worst_served: float
    refused_inside: int
    refused_inside_share: float
    refused_outside: int
    late: int
    failed: int
    over_rate_tokens: float
    wrong_adapter: int
    evictions_in_use: int
    evictions: int
    loads: int


def measure(
    *,
    fleet: fleets.Fleet,
    rates_tokens_per_second: Mapping[str, float],
    warm_up_seconds: float,
    end_seconds: float,
) -> Measures:
    """Work out a run's figures.

    :param fleet: after its run
    :param rates_tokens_per_second: by workspace
    :param warm_up_seconds: requests before it don't count
    :param end_seconds: when the last request had arrived
    :return: the figures
    """
    records = [
        record
        for record in fleet.ledger.records.values()
        if record.arrival.at_seconds >= warm_up_seconds
    ]
    inside = [record for record in records if record.inside_rate]
    refused = [
        record for record in records if record.refused_at_seconds is not None
    ]
    refused_inside = _net_refusals(records)
    duration = end_seconds - warm_up_seconds
    waits = sorted(
        _first_token_seconds(record)
        for record in inside
        if record.refused_at_seconds is None
    )
    return Measures(
        requests=len(records),
        inside_rate=len(inside),
        served=sum(_is_served(record) for record in records),
        stalls=sum(record.stall_seconds > 0 for record in records),
        stall_seconds=sum(record.stall_seconds for record in records),
        first_token_p50_seconds=_quantile(waits, 0.5),
        first_token_p99_seconds=_quantile(waits, 0.99),
        batch_efficiency=_batch_efficiency(fleet),
        worst_served=_worst_served(
            records, fleet.deployment, rates_tokens_per_second, duration
        ),
        refused_inside=refused_inside,
        refused_inside_share=refused_inside / max(1, len(inside)),
        refused_outside=sum(not record.inside_rate for record in refused),
        late=sum(record.given_up for record in inside),
        failed=sum(record.failed for record in records),
        over_rate_tokens=_over_rate(fleet, rates_tokens_per_second),
        wrong_adapter=sum(e.wrong_adapter for e in fleet.engines.values()),
        evictions_in_use=sum(
            engine.evictions_in_use for engine in fleet.engines.values()
        ),
        evictions=sum(engine.evictions for engine in fleet.engines.values()),
        loads=fleet.store.loads,
    )


def _net_refusals(records: Iterable[ledgers.Record]) -> int:
    refused: dict[str, list[int]] = collections.defaultdict(list)
    instead: collections.Counter[str] = collections.Counter()
    for record in records:
        name = record.arrival.work.workspace
        if record.inside_rate and record.refused_at_seconds is not None:
            refused[name].append(record.tokens)
        elif not record.inside_rate and _is_served(record):
            instead[name] += record.tokens
    return sum(
        _count_beyond(sorted(tokens), instead[name])
        for name, tokens in refused.items()
    )


def _count_beyond(tokens: list[int], covered: int) -> int:
    sums = itertools.accumulate(tokens)
    return sum(total > covered for total in sums)


def _is_served(record: ledgers.Record) -> bool:
    return record.finished_at_seconds is not None


def _first_token_seconds(record: ledgers.Record) -> float:
    work = record.arrival.work
    if record.first_token_at_seconds is not None:
        return record.first_token_at_seconds - work.arrived_at_seconds
    return work.deadline_at_seconds - work.arrived_at_seconds


def _quantile(ordered: list[float], part: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def _batch_efficiency(fleet: fleets.Fleet) -> float:
    engines = [
        engine
        for engine in fleet.engines.values()
        if engine.size.model == deployments.MODEL
    ]
    size = fleet.deployment.batch_size
    full = (
        size
        * deployments.SINGLE_TOKENS_PER_SECOND
        * deployments.batch_speed(size, 1)
    )
    busy_seconds = sum(engine.busy_seconds for engine in engines)
    tokens = sum(engine.generated_tokens for engine in engines)
    return tokens / max(1e-9, full * busy_seconds)


def _worst_served(
    records: Iterable[ledgers.Record],
    deployment: deployments.Deployment,
    rates: Mapping[str, float],
    duration_seconds: float,
) -> float:
    demand: collections.Counter[str] = collections.Counter()
    served: collections.Counter[str] = collections.Counter()
    for record in records:
        name = record.arrival.work.workspace
        demand[name] += record.tokens * record.inside_rate
        served[name] += record.tokens * _is_served(record)
    entitled = entitlements(
        demand=demand,
        weights=rates,
        capacity_tokens=deployment.tokens_per_second() * duration_seconds,
    )
    return min(
        min(1.0, served[name] / tokens)
        for name, tokens in entitled.items()
        if tokens
    )


def entitlements(
    *,
    demand: Mapping[str, float],
    weights: Mapping[str, float],
    capacity_tokens: float,
) -> dict[str, float]:
    """Share capacity out by weight, to nobody more than it asks for.

    :param demand: tokens that each workspace asked for inside its rate
    :param weights: the workspaces' weights
    :param capacity_tokens: what there is
    :return: tokens that each workspace is entitled to
    """
    entitled: dict[str, float] = {}
    left = capacity_tokens
    open_weight = sum(weights[name] for name in demand)
    # Whoever asks for least, by weight, is settled first.
    for name in sorted(demand, key=lambda name: demand[name] / weights[name]):
        share = left * weights[name] / open_weight
        entitled[name] = min(demand[name], share)
        left -= entitled[name]
        open_weight -= weights[name]
    return entitled


def _over_rate(fleet: fleets.Fleet, rates: Mapping[str, float]) -> float:
    """Find the largest excess over rate and burst, of any window."""
    spent: dict[str, list[tuple[float, int]]] = collections.defaultdict(list)
    for record in fleet.ledger.records.values():
        if record.first_token_at_seconds is not None:
            spent[record.arrival.work.workspace].append(
                (record.first_token_at_seconds, record.tokens)
            )
    return max(
        (_excess(sorted(runs), rates[name]) for name, runs in spent.items()),
        default=0.0,
    )


def _excess(runs: list[tuple[float, int]], rate: float) -> float:
    # Tokens that begin at the same time as a queue's worth of admitted work
    # starts were reserved earlier; the queue's patience bounds how much.
    level = worst = 0.0
    last = 0.0
    for at_seconds, tokens in runs:
        level = max(0.0, level - (at_seconds - last) * rate) + tokens
        last = at_seconds
        worst = max(worst, level - rate * deployments.BURST_SECONDS)
    return worst


__all__ = [
    "Measures",
    "entitlements",
    "measure",
]

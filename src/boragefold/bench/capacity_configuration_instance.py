"""What the published configuration costs one instance by itself."""

from __future__ import annotations

from collections.abc import Sequence
import gc
import random
import time
import tracemalloc
from typing import Any
from typing import NamedTuple

import msgspec

from boragefold.state import catalogue as catalogues
from boragefold.state import fingerprint as fingerprints
from boragefold.state import history as histories
from boragefold.state import patch as patches
from boragefold.state import tree as trees
from boragefold.telemetry import counters as telemetry

# The size designed for.
ADAPTERS = 18_000
CHANGES_PER_DAY = 11_000
DAY_SECONDS = 86_400.0
ADAPTER_PATH = "teams/quadro/adapters/0"


class Memory(NamedTuple):
    """What the configuration of one instance keeps, by part."""

    adapters: int
    paths: int
    tree_bytes: int
    catalogue_bytes: int
    fingerprint_bytes: int
    history_bytes: int
    published_bytes: int

    @property
    def total_bytes(self) -> int:
        """Add up.

        :return: bytes
        """
        return (
            self.tree_bytes
            + self.catalogue_bytes
            + self.fingerprint_bytes
            + self.history_bytes
        )


class Processing(NamedTuple):
    """Processor time of one change to a path of ``adapters`` adapters."""

    adapters: int
    value_bytes: int
    packed_bytes: int
    apply_seconds: float
    reread_seconds: float
    patch_seconds: float
    core_share: float


def realistic_tree(*, adapters: int, per_path: int) -> dict[str, Any]:
    """Make a catalogue whose names and versions share little.

    Names that count up would pack ten times better than real ones.

    :param adapters: how many
    :param per_path: how many in one value
    :return: documents by path
    """
    draw = random.Random(1)
    workspaces = [f"workspace-{number}" for number in range(40)]
    return {
        f"teams/quadro/adapters/{start // per_path}": {
            f"{draw.getrandbits(48):012x}-{draw.choice(workspaces)}": {
                "model": f"base-{draw.randrange(4)}",
                "versions": [f"{draw.getrandbits(40):010x}" for _ in "ab"],
                "workspaces": draw.sample(workspaces, 2),
            }
            for _ in range(min(per_path, adapters - start))
        }
        for start in range(0, adapters, per_path)
    }


def measure_memory(
    *, adapters: int = ADAPTERS, per_path: int = 100, changes: int = 20_000
) -> Memory:
    """Measure what one instance keeps.

    :param adapters: size of the catalogue
    :param per_path: how many adapters one value holds
    :param changes: how many changes the history has seen
    :return: bytes by part
    """
    tree = realistic_tree(adapters=adapters, per_path=per_path)
    data = {path: msgspec.json.encode(value) for path, value in tree.items()}
    del tree
    sizes: list[int] = []
    tracemalloc.start()
    kept = _keep_and_weigh(data, changes, sizes)
    tracemalloc.stop()
    assert kept
    tree_bytes, catalogue_bytes, fingerprint_bytes, history_bytes = sizes
    return Memory(
        adapters=adapters,
        paths=len(data),
        tree_bytes=tree_bytes,
        catalogue_bytes=catalogue_bytes,
        fingerprint_bytes=fingerprint_bytes,
        history_bytes=history_bytes,
        published_bytes=sum(map(len, data.values())),
    )


def measure_processing(
    *, sizes: Sequence[int] = (25, 100, 400, 4000), rounds: int = 10
) -> list[Processing]:
    """Measure the processor time of a change, by size of the value.

    :param sizes: how many adapters one value holds
    :param rounds: how often each is measured
    :return: a result for each size
    """
    return [_processing(size, rounds) for size in sizes]


def _keep_and_weigh(
    data: dict[str, bytes], changes: int, sizes: list[int]
) -> tuple[Any, ...]:
    counters = telemetry.Counters()
    tree = trees.Tree(counters=counters)
    start = _weigh()
    for revision, (path, value) in enumerate(data.items(), 1):
        tree.apply(path=path, revision=revision, data=value)
    sizes.append(_weigh() - start)
    start = _weigh()
    catalogue = catalogues.Catalogue(tree=tree, counters=counters)
    sizes.append(_weigh() - start)
    start = _weigh()
    fingerprint = fingerprints.Fingerprint(tree=tree)
    sizes.append(_weigh() - start)
    start = _weigh()
    store = trees.Tree(counters=counters)
    history = histories.History(tree=store, wall_seconds=time.time)
    for number in range(1, changes + 1):
        path = f"teams/quadro/adapters/{number % len(data)}"
        store.apply(path=path, revision=number, data=b"{}")
    sizes.append(_weigh() - start)
    return catalogue, fingerprint, history


def _weigh() -> int:
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


def _processing(size: int, rounds: int) -> Processing:
    values = [
        msgspec.json.encode(
            realistic_tree(adapters=size + extra, per_path=size + extra)[
                ADAPTER_PATH
            ]
        )
        for extra in (0, 1)
    ]
    tree = trees.Tree(counters=telemetry.Counters())
    catalogues.Catalogue(tree=tree, counters=telemetry.Counters())
    timings = [_time_round(tree, values, number) for number in range(rounds)]
    apply_seconds, reread_seconds, patch_seconds = map(
        min, zip(*timings, strict=True)
    )
    entry = tree.entry(ADAPTER_PATH)
    assert entry is not None
    return Processing(
        adapters=size,
        value_bytes=len(values[0]),
        packed_bytes=len(entry.packed or b""),
        apply_seconds=apply_seconds,
        reread_seconds=reread_seconds,
        patch_seconds=patch_seconds,
        core_share=(apply_seconds + patch_seconds)
        * CHANGES_PER_DAY
        / DAY_SECONDS,
    )


def _time_round(
    tree: trees.Tree, values: list[bytes], number: int
) -> tuple[float, float, float]:
    value = values[number % 2]
    began = time.perf_counter()
    tree.apply(path=ADAPTER_PATH, revision=number + 1, data=value)
    applied = time.perf_counter()
    tree.apply(path=ADAPTER_PATH, revision=number + 1, data=value)
    reread = time.perf_counter()
    patches.make(values[(number + 1) % 2], value)
    patched = time.perf_counter()
    return applied - began, reread - applied, patched - reread


__all__ = [
    "ADAPTER_PATH",
    "CHANGES_PER_DAY",
    "DAY_SECONDS",
    "Memory",
    "Processing",
    "measure_memory",
    "measure_processing",
    "realistic_tree",
]

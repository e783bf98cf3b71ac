"""The sizes of the fleets that the bench models."""

from __future__ import annotations

import itertools
from typing import NamedTuple

MODEL = "base"
DESK_MODEL = "desk"

# Only the shapes matter: each bound is a ratio on the same engine.
SINGLE_TOKENS_PER_SECOND = 60.0
SLOWDOWN_PER_REQUEST = 0.045
SLOWDOWN_PER_ADAPTER = 0.01
PREFILL_TOKENS_PER_SECOND = 4000.0
PREFIX_SAVING = 0.8

MEAN_PROMPT_TOKENS = 500
MEAN_ANSWER_TOKENS = 220
TYPICAL_ADAPTERS_IN_BATCH = 8
# Rates that engines can honour, and a burst that drains in time.
SOLD_PART = 0.85
BURST_SECONDS = 12.0


class WorkspaceSize(NamedTuple):
    """A workspace and its share of the fleet's rate."""

    name: str
    share: float


class EngineSize(NamedTuple):
    """One engine of the fleet."""

    name: str
    data_centre: str
    model: str
    slots: int
    batch_size: int


class Deployment(NamedTuple):
    """A fleet: its data centres, instances, engines, store and callers."""

    name: str
    data_centres: tuple[str, ...]
    instances: int
    replicas: int
    desk_replicas: int
    adapters: int
    loads_per_second: float
    between_seconds: float
    client_seconds: float
    patience_seconds: float
    desk_patience_seconds: float
    late_sensitive: bool
    workspaces: tuple[WorkspaceSize, ...]
    slots: int = 24
    batch_size: int = 16
    desk_share: float = 0.1

    def engines(self) -> list[EngineSize]:
        """List the engines, spread evenly over the data centres.

        :return: first those with adapters, then those of the desk
        """
        models = [MODEL] * self.replicas + [DESK_MODEL] * self.desk_replicas
        centres = itertools.cycle(self.data_centres)
        return [
            EngineSize(
                name=f"{model}-{number}",
                data_centre=centre,
                model=model,
                slots=self.slots,
                batch_size=self.batch_size,
            )
            for number, (model, centre) in enumerate(
                zip(models, centres, strict=False)
            )
        ]

    def instance_centres(self) -> list[str]:
        """List the data centre of each entry instance.

        :return: one name per instance
        """
        centres = itertools.cycle(self.data_centres)
        return list(itertools.islice(centres, self.instances))

    def requests_per_second(self) -> float:
        """Work out what the engines with adapters can serve.

        :return: requests of mean size per second, batches full
        """
        seconds = (
            MEAN_PROMPT_TOKENS / PREFILL_TOKENS_PER_SECOND
            + MEAN_ANSWER_TOKENS / SINGLE_TOKENS_PER_SECOND
        )
        speed = batch_speed(self.batch_size, TYPICAL_ADAPTERS_IN_BATCH)
        return self.replicas * self.batch_size * speed / seconds

    def tokens_per_second(self) -> float:
        """Work out the tokens, prompt and answer, that this comes to.

        :return: tokens per second over the engines with adapters
        """
        tokens = MEAN_PROMPT_TOKENS + MEAN_ANSWER_TOKENS
        return self.requests_per_second() * tokens

    def rates_tokens_per_second(self, sold_part: float) -> dict[str, float]:
        """Share the engines' capacity out as the workspaces' rates.

        :param sold_part: the sum of the rates over the capacity
        :return: rates by workspace
        """
        return {
            size.name: size.share * sold_part * self.tokens_per_second()
            for size in self.workspaces
        }


def batch_speed(requests: int, adapters: int) -> float:
    """Tell how fast each request of a batch goes on.

    :param requests: how many share the batch
    :param adapters: how many adapters they use
    :return: a factor, 1 for a request alone
    """
    return 1.0 / (
        1.0
        + SLOWDOWN_PER_REQUEST * max(0, requests - 1)
        + SLOWDOWN_PER_ADAPTER * max(0, adapters - 1)
    )


WORKSPACES = (
    WorkspaceSize("large-1", 0.35),
    WorkspaceSize("large-2", 0.30),
    WorkspaceSize("large-3", 0.20),
    WorkspaceSize("small-1", 0.10),
    WorkspaceSize("small-2", 0.05),
)

QUADRO_SUL = Deployment(
    name="quadro-sul",
    data_centres=("poa-1", "poa-2", "poa-3"),
    instances=7,
    replicas=10,
    desk_replicas=3,
    adapters=3000,
    loads_per_second=4.0,
    between_seconds=0.0015,
    client_seconds=0.003,
    patience_seconds=10.0,
    desk_patience_seconds=10.0,
    late_sensitive=False,
    workspaces=WORKSPACES,
)

CARONI = Deployment(
    name="caroni",
    data_centres=("pos-1", "pos-2", "pos-3"),
    instances=6,
    replicas=5,
    desk_replicas=3,
    adapters=3000,
    loads_per_second=2.0,
    between_seconds=0.0005,
    client_seconds=0.001,
    patience_seconds=5.0,
    desk_patience_seconds=5.0,
    late_sensitive=True,
    workspaces=WORKSPACES,
)

DEPLOYMENTS = {each.name: each for each in (QUADRO_SUL, CARONI)}

__all__ = [
    "BURST_SECONDS",
    "CARONI",
    "DEPLOYMENTS",
    "DESK_MODEL",
    "Deployment",
    "EngineSize",
    "MEAN_ANSWER_TOKENS",
    "MEAN_PROMPT_TOKENS",
    "MODEL",
    "PREFILL_TOKENS_PER_SECOND",
    "PREFIX_SAVING",
    "QUADRO_SUL",
    "SOLD_PART",
    "SINGLE_TOKENS_PER_SECOND",
    "WorkspaceSize",
    "batch_speed",
]

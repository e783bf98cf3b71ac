"""A published tree of any size, the same for the same seed."""

from __future__ import annotations

from collections.abc import Sequence
import hashlib
import random
from typing import Any
from typing import NamedTuple

from boragefold.state import documents

# A change of one entry sends its whole piece.
ADAPTERS_PER_PATH = 100
VERSIONS_PER_ADAPTER = 2


class ExampleEndpoint(NamedTuple):
    """An endpoint of the example."""

    data_centre: str
    name: str
    address: str
    model: str = "base-0"
    role: str = "decode"
    slots: int = 8
    batch_size: int = 16
    checks_fencing: bool = True


class Example(NamedTuple):
    """A tree, and the plain keys of its workspaces by ``team/name``."""

    tree: dict[str, Any]
    keys: dict[str, str]


def make(
    *,
    seed: int,
    data_centres: Sequence[str],
    endpoints: Sequence[ExampleEndpoint] = (),
    adapters: int = 100,
    workspaces: int = 5,
    teams: Sequence[str] = ("quadro",),
    models: Sequence[str] = ("base-0",),
    rate_tokens_per_second: float = 20_000.0,
    burst_tokens: float = 60_000.0,
    adapters_per_path: int = ADAPTERS_PER_PATH,
) -> Example:
    """Make a tree.

    :param seed: decides the keys and who may use which adapter
    :param data_centres: their names, of equal weight
    :param endpoints: the endpoints
    :param adapters: how many, spread over the teams
    :param workspaces: how many, spread over the teams
    :param teams: their names
    :param models: names of the base models
    :param rate_tokens_per_second: the default rate
    :param burst_tokens: the default burst
    :param adapters_per_path: how many adapters one path holds
    :return: the tree and the keys
    """
    draw = random.Random(seed)
    tree: dict[str, Any] = {
        "common/defaults": documents.Defaults(
            rate_tokens_per_second=rate_tokens_per_second,
            burst_tokens=burst_tokens,
            max_tokens=1024,
            deadline_seconds=60.0,
        ),
        "common/store": documents.Store(
            loads_per_second=4.0, loads_in_flight=8
        ),
        "common/models": {
            model: documents.Model(context_tokens=8192) for model in models
        },
        "common/data_centres": {
            name: documents.DataCentre(region="region-0", weight=1.0)
            for name in data_centres
        },
        **_endpoint_paths(data_centres, endpoints),
    }
    keys: dict[str, str] = {}
    for index, team in enumerate(teams):
        names = _share("workspace", workspaces, index, len(teams))
        team_keys = {name: f"{draw.getrandbits(128):032x}" for name in names}
        keys |= {f"{team}/{name}": key for name, key in team_keys.items()}
        tree[f"teams/{team}/workspaces"] = {
            name: documents.Workspace() for name in names
        }
        tree[f"teams/{team}/keys"] = {
            digest(key): documents.Key(workspace=name, state="granted")
            for name, key in team_keys.items()
        }
        own = _share("adapter", adapters, index, len(teams))
        tree |= _adapter_paths(
            draw, team, own, names, models, adapters_per_path
        )
    return Example(tree, keys)


def digest(key: str) -> str:
    """Make the published form of a key.

    :param key: the plain key
    :return: its SHA-256, 64 hexadecimal digits
    """
    return hashlib.sha256(key.encode()).hexdigest()


def _share(prefix: str, count: int, index: int, teams: int) -> list[str]:
    return [f"{prefix}-{number}" for number in range(index, count, teams)]


def _endpoint_paths(
    data_centres: Sequence[str], endpoints: Sequence[ExampleEndpoint]
) -> dict[str, dict[str, documents.Endpoint]]:
    return {
        f"endpoints/{data_centre}": {
            endpoint.name: documents.Endpoint(
                address=endpoint.address,
                model=endpoint.model,
                role=endpoint.role,
                slots=endpoint.slots,
                batch_size=endpoint.batch_size,
                checks_fencing=endpoint.checks_fencing,
                state="live",
            )
            for endpoint in endpoints
            if endpoint.data_centre == data_centre
        }
        for data_centre in data_centres
    }


def _adapter_paths(
    draw: random.Random,
    team: str,
    names: Sequence[str],
    workspaces: Sequence[str],
    models: Sequence[str],
    per_path: int,
) -> dict[str, dict[str, documents.Adapter]]:
    versions = [f"v{n}" for n in range(1, VERSIONS_PER_ADAPTER + 1)]
    adapters = {
        name: documents.Adapter(
            model=draw.choice(models),
            versions=versions,
            workspaces=list(workspaces),
        )
        for name in names
    }
    return {
        f"teams/{team}/adapters/{number}": {
            name: adapters[name] for name in names[start : start + per_path]
        }
        for number, start in enumerate(range(0, len(names), per_path))
    }


__all__ = [
    "Example",
    "ExampleEndpoint",
    "digest",
    "make",
]

"""What must hold inside a document beyond the types of its fields."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import ipaddress
import math
import re
from typing import Any
from typing import NamedTuple

from boragefold.protocol import addresses as protocol_addresses
from boragefold.state import documents
from boragefold.state import paths

DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")


class Fault(NamedTuple):
    """What is wrong with a document, and what to do about it."""

    reason: str
    remedy: str


Check = Callable[[Any], Iterator[Fault]]


def _positive(where: str, item: Mapping[str, Any]) -> Iterator[Fault]:
    return (
        Fault(
            f"not_positive: {where}{field} is {value}",
            f"publish {field} as a finite number above zero",
        )
        for field, value in item.items()
        if isinstance(value, (int, float))
        and not isinstance(value, bool)
        and not (math.isfinite(value) and value > 0)
    )


def _names(names: Iterable[str]) -> Iterator[Fault]:
    return (
        Fault(
            f"bad_name: {name[:64]!r}",
            "use letters, digits, '.', '_' and '-', 128 at most",
        )
        for name in names
        if not paths.is_name(name)
    )


def _references(where: str, references: Iterable[str]) -> Iterator[Fault]:
    return (
        Fault(
            f"bad_reference: {where} names {reference[:64]!r}",
            "write a workspace as 'name', or 'team/name' for another team's",
        )
        for reference in references
        if not paths.is_reference(reference)
    )


def is_address(text: str) -> bool:
    """Tell whether a text is an IP number and a port.

    :param text: such as ``10.0.0.7:8000`` or ``[fd00::7]:8000``
    :return: whether it is
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    return protocol_addresses.is_port(port)


def _addresses(where: str, addresses: Iterable[str]) -> Iterator[Fault]:
    seen: set[str] = set()
    for address in addresses:
        if not is_address(address):
            yield Fault(
                f"bad_address: {where} has {address[:64]!r}",
                "write an IP number and a port, such as 10.0.0.7:8000",
            )
        if address in seen:
            yield Fault(
                f"address_twice: {address} in {where}",
                "give each endpoint an address of its own",
            )
        seen.add(address)


def check_defaults(document: documents.Defaults) -> Iterator[Fault]:
    """Check the common defaults.

    :param document: of the right types
    :return: what is wrong
    """
    return _positive("", document)


def check_store(document: documents.Store) -> Iterator[Fault]:
    """Check the limits of the weight store.

    :param document: of the right types
    :return: what is wrong
    """
    return _positive("", document)


def check_data_centres(
    document: dict[str, documents.DataCentre],
) -> Iterator[Fault]:
    """Check the data centres and their weights.

    :param document: of the right types
    :return: what is wrong
    """
    yield from _names(document)
    for name, data_centre in document.items():
        yield from _positive(f"{name}.", data_centre)
        yield from _names([data_centre["region"]])
    if not document:
        yield Fault("empty: no data centre", "publish at least one")


def check_models(document: dict[str, documents.Model]) -> Iterator[Fault]:
    """Check the base models.

    :param document: of the right types
    :return: what is wrong
    """
    yield from _names(document)
    for name, model in document.items():
        yield from _positive(f"{name}.", model)


def check_endpoints(
    document: dict[str, documents.Endpoint],
) -> Iterator[Fault]:
    """Check the endpoints of one data centre.

    :param document: of the right types
    :return: what is wrong
    """
    yield from _names(document)
    yield from _addresses(
        "endpoints", (endpoint["address"] for endpoint in document.values())
    )
    for name, endpoint in document.items():
        yield from _positive(f"{name}.", endpoint)
        yield from _names([endpoint["model"], endpoint["role"]])


def check_service(document: documents.Service) -> Iterator[Fault]:
    """Check a plain service.

    :param document: of the right types
    :return: what is wrong
    """
    yield from _names(document["addresses"])
    for data_centre, listed in document["addresses"].items():
        yield from _addresses(data_centre, listed)
    yield from _references("workspaces", document["workspaces"])
    calls = [(route["method"], route["path"]) for route in document["routes"]]
    if len(set(calls)) < len(calls):
        yield Fault(
            "route_twice: two routes of one method and path",
            "say once whether a call is idempotent",
        )
    for method, path in calls:
        if not (method.isascii() and method.isupper()):
            yield Fault(f"bad_method: {method[:64]!r}", "write it as 'POST'")
        if not path.startswith("/"):
            yield Fault(f"bad_path: {path[:64]!r}", "begin it with '/'")


def check_workspaces(
    document: dict[str, documents.Workspace],
) -> Iterator[Fault]:
    """Check the workspaces of a team.

    :param document: of the right types
    :return: what is wrong
    """
    yield from _names(document)
    for name, workspace in document.items():
        yield from _positive(f"{name}.", workspace)


def check_keys(document: dict[str, documents.Key]) -> Iterator[Fault]:
    """Check the keys of a team.

    A fault never quotes what stands in a digest's place: it may be a key.

    :param document: of the right types
    :return: what is wrong
    """
    for digest, key in document.items():
        if not DIGEST_PATTERN.fullmatch(digest):
            yield Fault(
                f"bad_digest: a key of workspace {key['workspace'][:64]!r}",
                "publish the SHA-256 of the key, 64 lower-case hexadecimal"
                " digits, and withdraw the key if it stood there itself",
            )
    yield from _names(key["workspace"] for key in document.values())


def check_adapters(document: dict[str, documents.Adapter]) -> Iterator[Fault]:
    """Check one piece of a team's adapters.

    :param document: of the right types
    :return: what is wrong
    """
    yield from _names(document)
    # Most names stand in many adapters; each is looked at once.
    named = {adapter["model"] for adapter in document.values()}
    named.update(*(adapter["versions"] for adapter in document.values()))
    yield from _names(named)
    references = set[str]()
    references.update(*(item["workspaces"] for item in document.values()))
    yield from _references("an adapter", references)
    for name, adapter in document.items():
        versions = adapter["versions"]
        if not versions or len(set(versions)) < len(versions):
            yield Fault(
                f"bad_versions: {name}", "list each version once, newest last"
            )


__all__ = [
    "Check",
    "Fault",
    "check_adapters",
    "check_data_centres",
    "check_defaults",
    "check_endpoints",
    "check_keys",
    "check_models",
    "check_service",
    "check_store",
    "check_workspaces",
    "is_address",
]

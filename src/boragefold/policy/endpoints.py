"""What this instance knows of the endpoints it may send to.

Load pattern: reports of load lag, and several instances send to the same
endpoints. Without counting what was sent since the report, every instance
sends to the endpoint that looked idle, which then is the fullest.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
from typing import NamedTuple

from boragefold.policy import work as works


class EndpointSpec(NamedTuple):
    """What is published of an endpoint, and how far away it is.

    ``distance_seconds`` is the round trip from this instance.
    """

    name: str
    data_centre: str
    model: str
    role: str
    slots: int
    batch_size: int
    distance_seconds: float = 0.0
    leaving: bool = False


class LoadReport(NamedTuple):
    """What an endpoint said of itself.

    ``measured_at_seconds`` is on our own clock: the arrival of the report
    less its age. ``resident`` is None when the report doesn't list adapters.
    """

    endpoint: str
    incarnation: str
    running: int
    waiting: int
    measured_at_seconds: float
    resident: tuple[works.AdapterVersion, ...] | None = None


@dataclasses.dataclass(kw_only=True)
class EndpointState:
    """One endpoint as this instance sees it."""

    spec: EndpointSpec
    incarnation: str = ""
    resident: set[works.AdapterVersion] = dataclasses.field(
        default_factory=set
    )
    weight: float = 1.0

    def estimated_running(self) -> int:
        """Estimate what runs and waits there.

        :return: requests: reported, plus sent, less finished since
        """
        raise NotImplementedError

    def is_pinned(self, adapter: works.AdapterVersion) -> bool:
        """Tell whether an adapter serves a request there.

        :param adapter: the adapter version
        :return: whether it must not be evicted
        """
        raise NotImplementedError


class Endpoints:
    """The endpoints, indexed by name and by the adapters they hold."""

    def __len__(self) -> int:
        raise NotImplementedError

    def __iter__(self) -> Iterator[EndpointState]:
        raise NotImplementedError

    def get(self, name: str) -> EndpointState | None:
        """Look an endpoint up.

        :param name: the endpoint
        :return: its state, or None
        """
        raise NotImplementedError

    def put(self, spec: EndpointSpec) -> None:
        """Add an endpoint or change what is published of it.

        :param spec: as published; a change of model empties it
        """
        raise NotImplementedError

    def drop(self, name: str) -> None:
        """Forget an endpoint.

        :param name: the endpoint
        """
        raise NotImplementedError

    def report(self, report: LoadReport) -> bool:
        """Take in a load report.

        :param report: of a known endpoint; others are ignored
        :return: whether the endpoint is a new incarnation, thus empty
        """
        raise NotImplementedError

    def loaded(self, name: str, adapter: works.AdapterVersion) -> None:
        """Note that an endpoint holds an adapter now.

        :param name: the endpoint
        :param adapter: the adapter version
        """
        raise NotImplementedError

    def evicted(self, name: str, adapter: works.AdapterVersion) -> None:
        """Note that an endpoint must not be sent an adapter's requests.

        :param name: the endpoint
        :param adapter: the adapter version
        """
        raise NotImplementedError

    def pin_elsewhere(
        self, name: str, adapters: Iterable[works.AdapterVersion]
    ) -> None:
        """Note which adapters other instances use at an endpoint.

        :param name: the endpoint
        :param adapters: replaces what was noted before
        """
        raise NotImplementedError

    def sent(self, name: str, work: works.Work, *, now_seconds: float) -> None:
        """Note that a request goes out, before its first byte does.

        :param name: the endpoint
        :param work: the request
        :param now_seconds: reading of the process clock
        """
        raise NotImplementedError

    def answered(
        self, name: str, request_id: str, *, now_seconds: float
    ) -> None:
        """Note the first byte of an answer; its latency is measured.

        :param name: the endpoint
        :param request_id: the request
        :param now_seconds: reading of the process clock
        """
        raise NotImplementedError

    def finished(
        self, name: str, request_id: str, *, now_seconds: float
    ) -> None:
        """Note the end of a request, good or bad.

        :param name: the endpoint
        :param request_id: the request
        :param now_seconds: reading of the process clock
        """
        raise NotImplementedError

    def failed(self, name: str, *, now_seconds: float) -> None:
        """Note that an endpoint failed a request; it loses traffic.

        :param name: the endpoint
        :param now_seconds: reading of the process clock
        """
        raise NotImplementedError

    def refresh(self, *, now_seconds: float) -> None:
        """Compare the endpoints' latencies; call it once a second.

        :param now_seconds: reading of the process clock
        """
        raise NotImplementedError

    def holders(
        self, adapter: works.AdapterVersion
    ) -> Sequence[EndpointState]:
        """Look up who holds an adapter and isn't leaving.

        :param adapter: the adapter version; an empty one is the bare model
        :return: a live view in an order that all instances share
        """
        raise NotImplementedError


__all__ = [
    "EndpointSpec",
    "EndpointState",
    "Endpoints",
    "LoadReport",
]

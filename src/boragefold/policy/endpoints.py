"""What this instance knows of the endpoints that it may send to.

Load pattern: adapters are loaded and evicted every second at hundreds of
endpoints. Without an index by adapter, each decision would scan all of them.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence

import xxhash

from boragefold.policy import endpoint_spec
from boragefold.policy import endpoint_state
from boragefold.policy import slow_endpoints
from boragefold.policy import work as works

EndpointSpec = endpoint_spec.EndpointSpec
EndpointState = endpoint_state.EndpointState
LoadReport = endpoint_spec.LoadReport


# An eviction ends within this time. An adapter that is still listed after it
# was not evicted, and can be used again.
EVICTION_TIMEOUT_SECONDS = 10.0


class Endpoints:
    """The endpoints, indexed by name and by the adapters they hold."""

    def __init__(self) -> None:
        self._by_name: dict[str, EndpointState] = {}
        self._holders: dict[works.AdapterVersion, list[EndpointState]] = {}

    def __len__(self) -> int:
        return len(self._by_name)

    def __iter__(self) -> Iterator[EndpointState]:
        return iter(self._by_name.values())

    def get(self, name: str) -> EndpointState | None:
        """Look an endpoint up.

        :param name: the endpoint
        :return: its state, or None
        """
        return self._by_name.get(name)

    def put(self, spec: EndpointSpec) -> None:
        """Add an endpoint, or update its published properties.

        :param spec: as published; a change of model removes its adapters
        """
        state = self._by_name.get(spec.name)
        if state is None:
            state = EndpointState(spec=spec)
            self._by_name[spec.name] = state
        self._unindex(state)
        if state.spec.model != spec.model:
            state.restart(state.incarnation)
        state.spec = spec
        self._index(state)

    def drop(self, name: str) -> None:
        """Forget an endpoint.

        :param name: the endpoint
        """
        state = self._by_name.pop(name, None)
        if state is not None:
            self._unindex(state)

    def report(self, report: LoadReport) -> bool:
        """Process a load report.

        :param report: from a known endpoint; others are ignored
        :return: whether the endpoint restarted, so that it holds no adapter
        """
        state = self._by_name.get(report.endpoint)
        if state is None or report.incarnation in state.former_incarnations:
            return False
        known = state.incarnation or report.incarnation
        restarted = known != report.incarnation
        if restarted:
            self._restart(state, report.incarnation)
        elif report.measured_at_seconds < state.measured_at_seconds:
            return False
        state.incarnation = report.incarnation
        state.apply_report(report)
        if report.resident is not None:
            self._reconcile(state, report)
        return restarted

    def loaded(
        self, name: str, adapter: works.AdapterVersion, *, now_seconds: float
    ) -> None:
        """Record that an endpoint now holds an adapter.

        :param name: the endpoint
        :param adapter: the adapter version
        :param now_seconds: reading of the process clock
        """
        if (state := self._by_name.get(name)) is None:
            return
        state.evicting_since.pop(adapter, None)
        state.loaded_at[adapter] = now_seconds
        self._add(state, adapter)

    def stop_using(
        self, name: str, adapter: works.AdapterVersion, *, now_seconds: float
    ) -> None:
        """Record that an adapter's requests must not go to an endpoint.

        :param name: the endpoint
        :param adapter: the adapter version
        :param now_seconds: reading of the process clock
        """
        if (state := self._by_name.get(name)) is None:
            return
        if adapter in state.resident:
            state.evicting_since[adapter] = now_seconds
        self._remove(state, adapter)

    def slot_freed(self, name: str, adapter: works.AdapterVersion) -> None:
        """Record that an evicted adapter has left its slot.

        :param name: the endpoint
        :param adapter: the adapter version
        """
        if (state := self._by_name.get(name)) is not None:
            state.evicting_since.pop(adapter, None)

    def set_used_by_peers(
        self, name: str, adapters: Iterable[works.AdapterVersion]
    ) -> None:
        """Record which adapters other instances use at an endpoint.

        :param name: the endpoint
        :param adapters: replaces the adapters recorded before
        """
        if (state := self._by_name.get(name)) is not None:
            state.used_by_peers = frozenset(adapters)

    def sent(self, name: str, work: works.Work, *, now_seconds: float) -> None:
        """Record that a request is about to be sent.

        :param name: the endpoint
        :param work: the request
        :param now_seconds: reading of the process clock
        """
        if (state := self._by_name.get(name)) is not None:
            state.begin(work, now_seconds=now_seconds)

    def answered(
        self, name: str, request_id: str, *, now_seconds: float
    ) -> None:
        """Record the first byte of an answer, and measure its latency.

        :param name: the endpoint
        :param request_id: the request
        :param now_seconds: reading of the process clock
        """
        if (state := self._by_name.get(name)) is not None:
            state.answer(request_id, now_seconds=now_seconds)

    def finished(
        self, name: str, request_id: str, *, now_seconds: float
    ) -> None:
        """Record the end of a request, whether it succeeded or failed.

        :param name: the endpoint
        :param request_id: the request
        :param now_seconds: reading of the process clock
        """
        if (state := self._by_name.get(name)) is not None:
            state.end(request_id, now_seconds=now_seconds)

    def failed(self, name: str) -> None:
        """Record that an endpoint failed a request, and lower its weight.

        :param name: the endpoint
        """
        if (state := self._by_name.get(name)) is not None:
            slow_endpoints.reduce_weight(state)

    def refresh(self, *, now_seconds: float) -> None:
        """Compare the endpoints' latencies; call it once a second.

        :param now_seconds: reading of the process clock
        """
        for state in self:
            state.forget_stale_report(now_seconds=now_seconds)
        slow_endpoints.update_weights(self, now_seconds=now_seconds)

    def holders(
        self, adapter: works.AdapterVersion
    ) -> Sequence[EndpointState]:
        """Return the endpoints that hold an adapter and aren't leaving.

        :param adapter: the adapter version; an empty one is the base model
        :return: a live view, nearest first, in an order that all instances
            of a data centre share
        """
        return self._holders.get(adapter, ())

    def _index(self, state: EndpointState) -> None:
        if not state.spec.leaving:
            for adapter in (*state.resident, _base_model(state.spec.model)):
                self._add_holder(state, adapter)

    def _unindex(self, state: EndpointState) -> None:
        for adapter in (*state.resident, _base_model(state.spec.model)):
            self._remove_holder(state, adapter)

    def _restart(self, state: EndpointState, incarnation: str) -> None:
        # A restarted engine holds no adapters.
        self._unindex(state)
        state.restart(incarnation)
        self._index(state)

    def _reconcile(self, state: EndpointState, report: LoadReport) -> None:
        listed = frozenset(report.resident or ())
        measured_at = report.measured_at_seconds
        # A report measured before an order of this instance may not show it.
        for adapter, evicting_since in list(state.evicting_since.items()):
            gone = adapter not in listed and evicting_since < measured_at
            if gone or measured_at - evicting_since > EVICTION_TIMEOUT_SECONDS:
                del state.evicting_since[adapter]
        for adapter in list(state.resident - listed):
            if state.loaded_at.get(adapter, measured_at) <= measured_at:
                self._remove(state, adapter)
        for adapter in state.usable_adapters(report):
            if adapter not in state.resident:
                state.loaded_at[adapter] = measured_at
            self._add(state, adapter)

    def _add(
        self, state: EndpointState, adapter: works.AdapterVersion
    ) -> None:
        if adapter in state.resident:
            return
        state.resident.add(adapter)
        if not state.spec.leaving:
            self._add_holder(state, adapter)

    def _remove(
        self, state: EndpointState, adapter: works.AdapterVersion
    ) -> None:
        state.resident.discard(adapter)
        state.loaded_at.pop(adapter, None)
        self._remove_holder(state, adapter)

    def _add_holder(
        self, state: EndpointState, adapter: works.AdapterVersion
    ) -> None:
        holders = self._holders.setdefault(adapter, [])
        if state not in holders:
            bisect.insort(
                holders, state, key=lambda each: _rank(each, adapter)
            )

    def _remove_holder(
        self, state: EndpointState, adapter: works.AdapterVersion
    ) -> None:
        holders = self._holders.get(adapter, [])
        if state in holders:
            holders.remove(state)
        if not holders:
            self._holders.pop(adapter, None)


def _base_model(model: str) -> works.AdapterVersion:
    return works.AdapterVersion(model, "", "")


def _rank(
    state: EndpointState, adapter: works.AdapterVersion
) -> tuple[float, int]:
    text = "\0".join((*adapter, state.spec.name))
    digest = xxhash.xxh3_64_intdigest(text.encode())
    return state.spec.distance_seconds, digest


__all__ = [
    "EndpointSpec",
    "EndpointState",
    "Endpoints",
    "LoadReport",
]

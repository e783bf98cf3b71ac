"""Orders and adapter leases of one instance."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import itertools
from typing import Any

from boragefold.coordination import link
from boragefold.coordination.orders import endpoint_orders
from boragefold.coordination.orders import fencing as fences
from boragefold.coordination.orders import lease_client
from boragefold.coordination.orders import sender as sending
from boragefold.coordination.orders import timeouts
import boragefold.coordination.rights as membership
from boragefold.protocol import ids
from boragefold.protocol import order_messages as messages
from boragefold.state import documents
from boragefold.telemetry import counters as counting
from boragefold.timing import timers as timing

TICK_SECONDS = 0.5


@dataclasses.dataclass(kw_only=True)
class _HeldEndpoint:
    """A held endpoint and the last view in which the right was valid."""

    orders: endpoint_orders.EndpointOrders
    epoch: int
    number: int


class OrderService:
    """Manages the endpoints that this instance holds, and its own leases."""

    def __init__(
        self,
        *,
        peers: link.PeerLink,
        rights: membership.Rights,
        timers: timing.TimerService,
        counters: counting.Counters,
        sender: sending.OrderSender,
        on_outcome: endpoint_orders.OutcomeCallback,
    ) -> None:
        """Create the service without endpoints.

        :param peers: link to other instances
        :param rights: tells which instance holds which endpoint
        :param timers: timer service
        :param counters: counts orders and refusals
        :param sender: sends orders to endpoints
        :param on_outcome: called with the outcome of every accepted order
        """
        self._link = peers
        self._rights = rights
        self._timers = timers
        self._counters = counters
        self._sender = sender
        self._on_outcome = on_outcome
        self._endpoints: dict[str, documents.Endpoint] = {}
        self._data_centre_of: dict[str, str] = {}
        self._held_endpoints: dict[str, _HeldEndpoint] = {}
        self._eviction_numbers = itertools.count()
        self.leases = lease_client.LeaseClient(
            timers=timers,
            counters=counters,
            holder_of=self._holder_of,
            send=self._send,
        )
        self._handlers: dict[type, Callable[[ids.InstanceId, Any], None]] = {
            messages.UseAsked: self._use_asked,
            messages.UseGiven: self.leases.apply_reply,
            messages.UseStopAsked: self.leases.handle_stop_request,
            messages.UseStopped: self._use_stopped,
        }
        for kind, handler in self._handlers.items():
            peers.subscribe(kind, handler)
        rights.subscribe(lambda view: self._update_held())
        timers.every(period_seconds=TICK_SECONDS, callback=self._tick)

    def update_endpoints(
        self, endpoints: Mapping[str, Mapping[str, documents.Endpoint]]
    ) -> None:
        """Apply the published endpoints.

        :param endpoints: documents by data centre and endpoint name; names are
            unique across data centres
        """
        own_data_centre = self._link.self_id.data_centre
        self._endpoints = dict(endpoints.get(own_data_centre, {}))
        self._data_centre_of = {
            name: data_centre
            for data_centre, group in endpoints.items()
            for name in group
        }
        for name in self._held_endpoints.keys() - self._endpoints.keys():
            del self._held_endpoints[name]
        self._update_held()

    def held_endpoint(
        self, endpoint: str
    ) -> endpoint_orders.EndpointOrders | None:
        """Return the state of an endpoint that this instance holds now.

        :param endpoint: name of the endpoint
        :return: its state, or None if another instance holds the right
        """
        view = self._rights.valid_view()
        if view is None or endpoint not in self._endpoints:
            return None
        if not self._rights.holds(timeouts.order_right(endpoint)):
            self._held_endpoints.pop(endpoint, None)
            return None
        held = self._held_endpoints.get(endpoint)
        # If a view was missed, another instance may have sent orders and
        # granted leases in it.
        if held is None or not (
            held.epoch == view.epoch
            and held.number <= view.number <= held.number + 1
        ):
            held = self._add_held_endpoint(endpoint, view)
        held.number = view.number
        return held.orders

    def _add_held_endpoint(
        self, endpoint: str, view: membership.View
    ) -> _HeldEndpoint:
        checks_fencing = self._endpoints[endpoint]["checks_fencing"]
        right = timeouts.order_right(endpoint)
        held = _HeldEndpoint(
            orders=endpoint_orders.EndpointOrders(
                endpoint=endpoint,
                fencing=fences.FencingNumbers(view=view)
                if checks_fencing
                else None,
                eviction_numbers=self._eviction_numbers,
                is_holder=lambda: self._rights.holds(right),
                now_seconds=self._timers.now_seconds,
                sender=self._sender,
                send=self._send,
                on_outcome=self._on_outcome,
                counters=self._counters,
            ),
            epoch=view.epoch,
            number=view.number,
        )
        self._held_endpoints[endpoint] = held
        self._counters.add("order_rights", "gained")
        return held

    def _update_held(self) -> None:
        for endpoint in self._endpoints:
            self.held_endpoint(endpoint)

    def _tick(self) -> None:
        for endpoint in self._endpoints:
            held = self.held_endpoint(endpoint)
            if held is not None:
                held.tick()
        self.leases.tick()

    def _holder_of(self, endpoint: str) -> ids.InstanceId | None:
        data_centre = self._data_centre_of.get(endpoint)
        if data_centre is None:
            return None
        view = self._rights.valid_view()
        if view is None or view.data_centre != data_centre:
            view = self._rights.directory().get(data_centre)
        if view is None or not view.members:
            return None
        return membership.holder(view, timeouts.order_right(endpoint))

    def _use_asked(
        self, sender: ids.InstanceId, asked: messages.UseAsked
    ) -> None:
        reasons = {
            target: self._ask_use(sender, target) for target in asked.targets
        }
        given = tuple(target for target in reasons if not reasons[target])
        refusals = tuple(
            messages.UseRefusal(target, reason)
            for target, reason in reasons.items()
            if reason
        )
        self._send(
            sender,
            messages.UseGiven(
                asked.number, timeouts.USE_LEASE_SECONDS, given, refusals
            ),
        )

    def _ask_use(self, sender: ids.InstanceId, target: messages.Target) -> str:
        held = self.held_endpoint(target.endpoint)
        if held is None:
            return "not_holder"
        return held.request_lease(sender, target.weights)

    def _use_stopped(
        self, sender: ids.InstanceId, stopped: messages.UseStopped
    ) -> None:
        held = self.held_endpoint(stopped.target.endpoint)
        if held is not None:
            held.record_stopped(sender, stopped)

    def _send(self, to: ids.InstanceId, body: Any) -> None:
        if to != self._link.self_id:
            self._link.send(to=to, body=body)
        else:
            self._handlers[type(body)](to, body)


__all__ = [
    "OrderService",
]

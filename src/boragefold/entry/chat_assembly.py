"""Assembles the components of an instance that schedule and send chats."""

from __future__ import annotations

from collections.abc import Collection
import random

from boragefold.coordination.orders import service as order_service
from boragefold.coordination.orders import timeouts
import boragefold.coordination.rights as rights_module
from boragefold.entry import chat_controller
from boragefold.entry import chat_sender
from boragefold.entry import cluster_services
from boragefold.entry import load_executor
from boragefold.entry import load_poller
from boragefold.entry import order_client
from boragefold.entry import store_budget
from boragefold.entry import use_queue
from boragefold.entry import work_digests
from boragefold.policy import assembly
from boragefold.policy import endpoints as fleet
from boragefold.policy import homes
from boragefold.policy import work as works
from boragefold.state import paths
from boragefold.state import tree as trees
from boragefold.telemetry import counters as telemetry
from boragefold.telemetry import request_events as recorded_events
from boragefold.timing import timers as timing
from boragefold.transport import http_client

# Documents that state the data centre of an endpoint and its distance.
ENDPOINT_KINDS = ("endpoints", "data_centres")


class FleetOrderRights(homes.OrderRights):
    """Tells which instance controls which endpoint, by the fleet's views."""

    def __init__(self, *, rights: rights_module.Rights) -> None:
        self._rights = rights
        self.orders: order_service.OrderService | None = None
        self.poller: load_poller.LoadPoller | None = None

    @property
    def incarnation(self) -> str:
        """Return the identity of this instance.

        :return: incarnation of this instance
        """
        return self._rights.self_id.incarnation

    def held_endpoints(self) -> Collection[str]:
        """List the endpoints to which this instance may send orders now.

        :return: names of the endpoints
        """
        if self.poller is None:
            return ()
        return frozenset(filter(self._is_ready, self.poller.local_endpoints()))

    def holder(self, endpoint: str) -> str | None:
        """Return the instance that sends orders to an endpoint.

        :param endpoint: name of the endpoint
        :return: incarnation of the instance, or None if it is unknown
        """
        record = self.poller and self.poller.record(endpoint)
        if not record:
            return None
        view = self._rights.directory().get(record.data_centre)
        if view is None:
            return None
        right = timeouts.order_right(endpoint)
        return rights_module.holder(view, right).incarnation

    def _is_ready(self, endpoint: str) -> bool:
        held = self.orders and self.orders.held_endpoint(endpoint)
        return bool(held and held.ready)


class ChatAssembly:
    """Connects the dispatcher with chats, reports, orders and digests."""

    def __init__(
        self,
        *,
        cluster: cluster_services.ClusterServices,
        client: http_client.HttpClient,
        timers: timing.TimerService,
        counters: telemetry.Counters,
        request_events: recorded_events.RequestEvents,
    ) -> None:
        self._cluster = cluster
        link = cluster.link
        rights = FleetOrderRights(rights=cluster.views)
        endpoints = fleet.Endpoints()
        self._dispatcher = assembly.assemble(
            endpoints=endpoints,
            token_balance=cluster.rates.token_balance,
            load_budget=store_budget.StoreBudget(budget=cluster.load_budget),
            rights=rights,
            instances=lambda: 1 + len(cluster.others()),
            rng=random.Random(),
            counters=counters,
        )
        self._use_queue = use_queue.UseQueue(
            leases=lambda: self.orders.leases, timers=timers
        )
        self.controller = chat_controller.ChatController(
            dispatcher=self._dispatcher,
            timers=timers,
            counters=counters,
            request_events=request_events,
            send_digest=lambda message: self.digests.send_digest(message),
            sender=chat_sender.ChatSender(
                timers=timers,
                counters=counters,
                address_of=lambda name: self.poller.address_of(name),
                queue=self._use_queue,
            ),
        )
        self.poller = load_poller.LoadPoller(
            catalogue=cluster.catalogue,
            data_centre=link.self_id.data_centre,
            endpoints=endpoints,
            events=self._dispatcher.fleet,
            client=client,
            timers=timers,
            counters=counters,
            on_sample=self._on_sample,
            on_changed=self.controller.run,
        )
        self.digests = work_digests.WorkDigests(
            link=link,
            peers=cluster.others,
            view_members=cluster.view_members,
            events=self._dispatcher.fleet,
            timers=timers,
            on_changed=self.controller.run,
        )
        executor = load_executor.LoadExecutor(
            orders=lambda: self.orders,
            events=self._dispatcher.fleet,
            timers=timers,
            counters=counters,
            on_loaded=self.digests.announce_loaded,
            on_changed=self.controller.run,
        )
        self.controller.order_executor = executor
        self.orders = order_service.OrderService(
            peers=link,
            rights=cluster.views,
            timers=timers,
            counters=counters,
            sender=order_client.HttpOrderSender(
                client=client, address_of=self.poller.address_of
            ),
            on_outcome=executor.on_order_finished,
        )
        rights.orders = self.orders
        rights.poller = self.poller
        self._subscribe()

    def start(self) -> None:
        """Start to poll the endpoints for load reports."""
        self.poller.start()

    def _subscribe(self) -> None:
        cluster = self._cluster
        cluster.tree.subscribe(self._on_change)
        cluster.catalogue.subscribe_leaving(lambda record: self._refresh())
        cluster.catalogue.subscribe_withdrawn(self.controller.revoke_key)
        cluster.rates.token_balance.subscribe(
            lambda workspace: self.controller.run()
        )
        cluster.load_budget.subscribe(self.controller.run)
        self.orders.leases.subscribe(self._use_queue.on_lease_granted)

    def _on_change(self, change: trees.Change) -> None:
        # Other changes of the catalogue require no check of all endpoints.
        parsed = paths.parse(change.path)
        if parsed is not None and parsed.kind in ENDPOINT_KINDS:
            self._refresh()

    def _refresh(self) -> None:
        self.poller.apply_records()
        self.orders.update_endpoints(self.poller.documents())

    def _on_sample(
        self,
        endpoint: str,
        report: load_poller.EngineReport,
        running: dict[works.AdapterVersion, int],
        sampled_seconds: float,
    ) -> None:
        held = self.orders.held_endpoint(endpoint)
        if held is not None:
            held.apply_report(
                incarnation=report.incarnation,
                running=running,
                sampled_seconds=sampled_seconds,
            )


__all__ = [
    "ChatAssembly",
    "FleetOrderRights",
]

"""Cluster services of an instance: views, configuration, rates, tickets."""

from __future__ import annotations

from collections.abc import Sequence
import random
import time

from boragefold.coordination.configuration import list_poller as list_pollers
from boragefold.coordination.configuration import reader as readers
from boragefold.coordination.configuration import service as configuration
import boragefold.coordination.instance_list as instance_lists
import boragefold.coordination.load_budget as load_budgets
from boragefold.coordination.once import reachability as reachabilities
from boragefold.coordination.once import register as registers
from boragefold.coordination.once import runner as runners
from boragefold.coordination.once import tickets
from boragefold.coordination.rates import limits
from boragefold.coordination.rates import service as rate_service
import boragefold.coordination.views as view_parts
from boragefold.protocol import config_messages
from boragefold.protocol import fleet_messages
from boragefold.protocol import ids
from boragefold.protocol import once_messages
from boragefold.protocol import order_messages
from boragefold.protocol import platform_api
from boragefold.protocol import rate_messages
from boragefold.protocol import view_messages
from boragefold.state import catalogue as catalogues
from boragefold.state import history as histories
from boragefold.state import paths
from boragefold.state import tree as trees
from boragefold.telemetry import counters as telemetry
from boragefold.timing import timers as timing
from boragefold.transport import peer_link

KINDS = (
    *config_messages.KINDS,
    *fleet_messages.KINDS,
    *once_messages.KINDS,
    *order_messages.KINDS,
    *rate_messages.KINDS,
    *view_messages.KINDS,
)
MS_PER_SECOND = 1_000


class ClusterServices:
    """The services that exchange messages with other instances."""

    def __init__(
        self,
        *,
        link: peer_link.ZmqPeerLink,
        reader: readers.PlatformReader,
        timers: timing.TimerService,
        counters: telemetry.Counters,
        seeds: Sequence[ids.InstanceId] = (),
    ) -> None:
        self.link = link
        self._timers = timers
        self.tree = trees.Tree(counters=counters)
        self.history = histories.History(
            tree=self.tree, wall_seconds=time.time
        )
        self.catalogue = catalogues.Catalogue(
            tree=self.tree, counters=counters
        )
        self.views = view_parts.Views(
            peer_link=link,
            timer_service=timers,
            counters=counters,
            random_source=random.Random(),
            wall_clock_ms=lambda: int(time.time() * MS_PER_SECOND),
            on_suspect=link.reconnect,
        )
        self.configuration = configuration.Configuration(
            tree=self.tree,
            catalogue=self.catalogue,
            history=self.history,
            link=link,
            rights=self.views,
            reader=reader,
            timers=timers,
            counters=counters,
            random=random.Random(),
            seeds=seeds,
        )
        self.rates = rate_service.Rates(
            peers=link, rights=self.views, timers=timers, counters=counters
        )
        self.load_budget = load_budgets.LeasedLoadBudget(
            rates=self.rates, counters=counters
        )
        reachability = reachabilities.Reachability(timers=timers)
        self.ticket_issuer = tickets.TicketIssuer(
            self_id=link.self_id,
            timers=timers,
            others=self.others,
            reachability=reachability,
        )
        self.register = registers.Register(
            link=link,
            timers=timers,
            ticket_issuer=self.ticket_issuer,
            counters=counters,
        )
        self.runner = runners.Runner(
            link=link,
            timers=timers,
            register=self.register,
            counters=counters,
            reachability=reachability,
        )
        self.lister = list_pollers.ListPoller(
            reader=reader, timers=timers, counters=counters
        )
        self.lister.subscribe(self._on_listing)
        self.lister.subscribe(self.configuration.receive_listing)
        self.tree.subscribe(self._on_change)

    def start(self) -> None:
        """Start the services."""
        self.lister.start()
        self.configuration.start()
        self.views.start()

    def leave(self) -> None:
        """Hand over this instance's leases, and leave the view."""
        self.rates.leave()
        self.views.leave()

    def others(self) -> list[ids.InstanceId]:
        """List the other instances that are known to be alive.

        :return: instances of all data centres
        """
        return [
            member
            for view in self.views.directory().values()
            for member in view.members
            if member != self.link.self_id
        ]

    def view_members(self) -> list[ids.InstanceId]:
        """List the other members of this instance's view.

        :return: instances of the same data centre
        """
        here = self.link.self_id.data_centre
        return [peer for peer in self.others() if peer.data_centre == here]

    def _on_listing(self, listing: platform_api.Listing) -> None:
        self.views.update_list(
            instance_lists.ListEntry(
                instance.address, instance.data_centre, instance.state
            )
            for instance in listing.instances
            if instance.kind == "entry"
        )

    def _on_change(self, change: trees.Change) -> None:
        match paths.parse(change.path):
            case paths.TreePath("workspaces" | "defaults"):
                self._update_rates()
            case paths.TreePath("store"):
                self._update_store()
            case paths.TreePath("data_centres"):
                self._update_weights(change)

    def _update_rates(self) -> None:
        self.rates.update_workspaces(
            {
                settings.workspace: limits.Limit(
                    settings.rate_tokens_per_second, settings.burst_tokens
                )
                for settings in self.catalogue.workspaces
            }
        )

    def _update_store(self) -> None:
        store = self.catalogue.store()
        if store is not None:
            self.load_budget.update(store)

    def _update_weights(self, change: trees.Change) -> None:
        self.rates.update_data_centres(
            revision=change.revision,
            weights={
                name: published["weight"]
                for name, published in (change.document or {}).items()
            },
        )


__all__ = [
    "ClusterServices",
    "KINDS",
]

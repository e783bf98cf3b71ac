"""What an instance does with chats: the decisions and what feeds them."""

from __future__ import annotations

from collections.abc import Collection
import random

from boragefold.coordination import rights as rights_module
from boragefold.entry import desk as desks
from boragefold.entry import engine_orders
from boragefold.entry import load_reports
from boragefold.entry import simple_orders
from boragefold.entry import together as togethers
from boragefold.entry import work_digests
from boragefold.policy import assembly
from boragefold.policy import endpoints as fleet
from boragefold.policy import homes
from boragefold.telemetry import counters as telemetry
from boragefold.telemetry import stories as telemetry_stories
from boragefold.timing import timers as timing
from boragefold.transport import http_client


class HeldOrders(homes.OrderRights):
    """Whose order right an endpoint's is, by the views of the fleet."""

    def __init__(self, *, rights: rights_module.Rights) -> None:
        self._rights = rights
        self.reports: load_reports.LoadReports | None = None

    @property
    def self_name(self) -> str:
        """Tell who we are.

        :return: our own incarnation
        """
        return self._rights.self_id.incarnation

    def ordered(self) -> Collection[str]:
        """List the endpoints that we may give orders at this moment.

        :return: their names
        """
        view = self._rights.valid_view()
        if view is None or self.reports is None:
            return ()
        return frozenset(
            name
            for name in self.reports.names()
            if rights_module.holder(view, right_of(name))
            == self._rights.self_id
        )

    def orderer(self, endpoint: str) -> str | None:
        """Tell who gives orders to an endpoint, as far as we know.

        :param endpoint: its name
        :return: an incarnation, or None
        """
        record = self.reports and self.reports.record(endpoint)
        if not record:
            return None
        view = self._rights.directory().get(record.data_centre)
        if view is None:
            return None
        return rights_module.holder(view, right_of(endpoint)).incarnation


def right_of(endpoint: str) -> str:
    """Name the right to give an endpoint orders.

    :param endpoint: its name
    :return: the name of the right
    """
    return f"orders/{endpoint}"


class Traffic:
    """The dispatcher, the desk and their feeds."""

    def __init__(
        self,
        *,
        together: togethers.Together,
        client: http_client.HttpClient,
        timers: timing.TimerService,
        counters: telemetry.Counters,
        stories: telemetry_stories.Stories,
    ) -> None:
        self._together = together
        link = together.link
        rights = HeldOrders(rights=together.views)
        endpoints = fleet.Endpoints()
        self._dispatcher = assembly.assemble(
            endpoints=endpoints,
            stock=together.rates.stock,
            load_budget=simple_orders.PartBudget(
                catalogue=together.catalogue, instances=3
            ),
            rights=rights,
            instances=lambda: 1 + len(together.others()),
            rng=random.Random(),
            counters=counters,
        )
        self.desk = desks.Desk(
            dispatcher=self._dispatcher,
            timers=timers,
            counters=counters,
            stories=stories,
            address_of=lambda name: self.reports.address_of(name),
            tell_peer=lambda tell: self.digests.tell(tell),
        )
        self.reports = load_reports.LoadReports(
            catalogue=together.catalogue,
            data_centre=link.self_id.data_centre,
            endpoints=endpoints,
            events=self._dispatcher.fleet,
            client=client,
            timers=timers,
            counters=counters,
            changed=self.desk.run,
        )
        rights.reports = self.reports
        self.digests = work_digests.WorkDigests(
            link=link,
            others=together.others,
            neighbours=together.neighbours,
            events=self._dispatcher.fleet,
            timers=timers,
            changed=self.desk.run,
        )
        self.desk.orderer = simple_orders.SimpleOrderer(
            orders=engine_orders.EngineOrders(
                client=client, counters=counters
            ),
            reports=self.reports,
            events=self._dispatcher.fleet,
            digests=self.digests,
            timers=timers,
            desk=self.desk,
        )
        self._follow_configuration()

    def start(self) -> None:
        """Begin to ask endpoints for their load."""
        self.reports.start()

    def _follow_configuration(self) -> None:
        together = self._together
        together.tree.subscribe(lambda change: self.reports.refresh())
        together.catalogue.subscribe_leaving(
            lambda record: self.reports.refresh()
        )
        together.catalogue.subscribe_withdrawn(self.desk.withdraw_key)
        together.rates.stock.subscribe(lambda workspace: self.desk.run())


__all__ = [
    "HeldOrders",
    "Traffic",
]

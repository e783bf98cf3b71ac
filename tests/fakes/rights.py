"""Views that a test changes by hand, with leases that end on time."""

from __future__ import annotations

from collections.abc import Callable
import math

from boragefold.coordination import rights
from boragefold.protocol import ids
from tests.fakes import network as networks


class FakeRights(rights.Rights):
    """The rights of one process."""

    def __init__(self, *, views: FakeViews, node: networks.Node) -> None:
        self._views = views
        self.node = node
        self.view: rights.View | None = None
        self.callbacks: list[Callable[[rights.View | None], None]] = []

    @property
    def self_id(self) -> ids.InstanceId:
        return self.node.self_id

    def valid_view(self) -> rights.View | None:
        return self.view

    def valid_for_seconds(self) -> float:
        return math.inf if self.view else 0.0

    def directory(self) -> dict[str, rights.View]:
        return {
            name: view
            for name, view in self._views.latest.items()
            if self._views.knows(self.self_id, view)
        }

    def subscribe(
        self, callback: Callable[[rights.View | None], None]
    ) -> None:
        self.callbacks.append(callback)

    def tell(self) -> None:
        for callback in self.callbacks:
            callback(self.view)


class FakeViews:
    """The views of every data centre.

    A paused process loses its lease without noticing: no callback runs, but
    ``valid_view`` gives nothing any more.
    """

    def __init__(self) -> None:
        self.latest: dict[str, rights.View] = {}
        self.rights: dict[ids.InstanceId, FakeRights] = {}
        self.knows: Callable[[ids.InstanceId, rights.View], bool] = (
            lambda instance, view: True
        )

    def join(self, node: networks.Node) -> FakeRights:
        fake = FakeRights(views=self, node=node)
        self.rights[node.self_id] = fake
        return fake

    def end(self, data_centre: str) -> None:
        """End every lease of a data centre, without telling anybody."""
        for fake in self._of(data_centre):
            fake.view = None

    def change(self, data_centre: str, nodes: list[networks.Node]) -> None:
        """End every lease, then begin the next view."""
        self.end(data_centre)
        before = self.latest.get(data_centre)
        members = tuple(sorted(node.self_id for node in nodes))
        number = before.number + 1 if before else 1
        self.latest[data_centre] = rights.View(data_centre, 1, number, members)
        for fake in self._of(data_centre):
            if not fake.node.paused and not fake.node.dead:
                self.learn(fake)

    def learn(self, fake: FakeRights) -> None:
        """Let a process that was paused learn the present view."""
        view = self.latest[fake.self_id.data_centre]
        fake.view = view if fake.self_id in view.members else None
        fake.tell()

    def _of(self, data_centre: str) -> list[FakeRights]:
        return [
            fake
            for self_id, fake in self.rights.items()
            if self_id.data_centre == data_centre
        ]


__all__ = [
    "FakeRights",
    "FakeViews",
]

"""The fleet of the demonstration: stand-ins and entry instances."""

from __future__ import annotations

import itertools
from typing import Any

from boragefold.entry import instance as instances
from boragefold.protocol import platform_api
from boragefold.settings import serve as serve_settings
from boragefold.standins import engine
from boragefold.standins import engine_model
from boragefold.standins import example_tree
from boragefold.standins import platform as platforms
from boragefold.standins import platform_http
from boragefold.standins import ports
from boragefold.standins import service
from boragefold.timing import clock as clocks
from boragefold.timing import timers as timing
from boragefold.transport import http_server
from boragefold.transport import loop as loops
from boragefold.transport import sockets

DATA_CENTRES = ("dc-a", "dc-b", "dc-c")
INSTANCES_PER_DATA_CENTRE = 2
ENGINES_PER_DATA_CENTRE = 2
ADAPTERS = 3_000
SLOTS = 8
TOKEN_SECONDS = 0.01
SERVICE_SECONDS = 0.02
HOST = "127.0.0.1"
# Below what the hot caller sends.
RATE_TOKENS_PER_SECOND = 120.0
BURST_TOKENS = 600.0
PAYOUTS = "/payouts"


class DemoFleet:
    """Everything that the callers of the demonstration talk to."""

    def __init__(self) -> None:
        self.timers = timing.TimerService(clock=clocks.BootClock())
        self.loop = loops.Loop(timers=self.timers)
        self.sockets = sockets.SocketSet(poller=self.loop.poller)
        self.sockets.register(self.loop)
        self.platform_address = ports.free_address()
        self.service = service.ServiceFace(
            timers=self.timers, answer_seconds=SERVICE_SECONDS
        )
        self.service_address = self._listen(self.service)
        self.engines: dict[str, engine_model.Engine] = {}
        self.engine_faces: list[engine.EngineFace] = []
        endpoints = [
            self._make_engine(data_centre, number)
            for data_centre, number in itertools.product(
                DATA_CENTRES, range(ENGINES_PER_DATA_CENTRE)
            )
        ]
        self.example = self._make_tree(endpoints)
        self.platform = self._make_platform()
        self.instances = [
            self._make_instance(data_centre)
            for data_centre in DATA_CENTRES * INSTANCES_PER_DATA_CENTRE
        ]
        self._publish_list(endpoints)

    def start(self) -> None:
        """Start every instance."""
        for each in self.instances:
            each.start(serve_operators=False)

    def ready(self) -> bool:
        """Tell whether every instance serves.

        :return: whether callers may begin
        """
        return all(each.ready() for each in self.instances)

    def withdraw(self, workspace: str) -> None:
        """Withdraw the key of a workspace.

        :param workspace: ``team/name``
        """
        team, _, _ = workspace.partition("/")
        path = f"teams/{team}/keys"
        digest = example_tree.digest(self.example.keys[workspace])
        keys: dict[str, Any] = dict(self.example.tree[path])
        keys[digest] = {**keys[digest], "state": "withdrawn"}
        self.platform.put(path, keys)

    def _make_engine(
        self, data_centre: str, number: int
    ) -> example_tree.ExampleEndpoint:
        made = engine_model.Engine(
            timers=self.timers,
            model="base-0",
            slots=SLOTS,
            batch_size=16,
            checks_fencing=number % 2 == 0,
            token_seconds=TOKEN_SECONDS,
        )
        face = engine.EngineFace(engine=made)
        address = self._listen(face)
        name = f"engine-{number}"
        self.engines[f"{data_centre}/{name}"] = made
        self.engine_faces.append(face)
        return example_tree.ExampleEndpoint(
            data_centre,
            name,
            address,
            slots=SLOTS,
            checks_fencing=made.checks_fencing,
        )

    def _make_tree(
        self, endpoints: list[example_tree.ExampleEndpoint]
    ) -> example_tree.Example:
        example = example_tree.make(
            seed=1,
            data_centres=DATA_CENTRES,
            endpoints=endpoints,
            adapters=ADAPTERS,
            rate_tokens_per_second=RATE_TOKENS_PER_SECOND,
            burst_tokens=BURST_TOKENS,
        )
        example.tree["services/rights"] = {
            "addresses": {DATA_CENTRES[0]: [self.service_address]},
            "routes": [
                {"method": "POST", "path": PAYOUTS, "idempotent": False}
            ],
            "workspaces": list(example.keys),
        }
        return example

    def _make_platform(self) -> platforms.Platform:
        platform = platforms.Platform(now_seconds=self.timers.now_seconds)
        platform.load(self.example.tree)
        host, port = serve_settings.split_address(self.platform_address)
        platform_http.serve(host=host, port=port, platform=platform).register(
            self.loop
        )
        return platform

    def _make_instance(self, data_centre: str) -> instances.Instance:
        settings = serve_settings.ServeSettings(
            listen=ports.free_address(),
            peer_listen=ports.free_address(),
            operators_listen=ports.free_address(),
            platform=self.platform_address,
            data_centre=data_centre,
        )
        return instances.Instance(settings=settings, loop=self.loop)

    def _publish_list(
        self, endpoints: list[example_tree.ExampleEndpoint]
    ) -> None:
        entries = [
            platform_api.ListedInstance(
                each.settings.peer_listen,
                each.settings.data_centre,
                "entry",
                "live",
            )
            for each in self.instances
        ]
        others = [
            platform_api.ListedInstance(
                endpoint.address, endpoint.data_centre, "endpoint", "live"
            )
            for endpoint in endpoints
        ]
        self.platform.put_list([*entries, *others])

    def _listen(self, face: http_server.Application) -> str:
        port = self.sockets.listen(
            host=HOST,
            port=0,
            make_handler=lambda: http_server.ServerConnection(
                application=face, on_bad_request=lambda reason: None
            ),
        )
        return f"{HOST}:{port}"


__all__ = [
    "DATA_CENTRES",
    "DemoFleet",
    "PAYOUTS",
]

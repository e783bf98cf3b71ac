"""One entry instance, put together."""

from __future__ import annotations

import ssl
from typing import Any
import uuid

from absl import logging

from boragefold.coordination.configuration import reader
from boragefold.coordination.once import register as registers
from boragefold.coordination.once import runner as runners
from boragefold.coordination.once import tickets
from boragefold.entry import chat_face
from boragefold.entry import operators
from boragefold.entry import router as routers
from boragefold.entry import service_face
from boragefold.entry import thin_desk
from boragefold.protocol import envelope
from boragefold.protocol import ids
from boragefold.protocol import once_messages
from boragefold.protocol import platform_api
from boragefold.settings import serve as serve_settings
from boragefold.state import catalogue as catalogues
from boragefold.state import tree as trees
from boragefold.telemetry import counters as telemetry
from boragefold.telemetry import exposition
from boragefold.telemetry import stories as telemetry_stories
from boragefold.timing import clock as clocks
from boragefold.timing import timers as timing
from boragefold.transport import http_client
from boragefold.transport import http_server
from boragefold.transport import loop as loops
from boragefold.transport import peer_keys
from boragefold.transport import peer_link
from boragefold.transport import platform_client
from boragefold.transport import sockets

WATCH_AGAIN_SECONDS = 0.5


class Instance(operators.Inside):
    """Everything of one entry instance, on one loop."""

    def __init__(
        self,
        *,
        settings: serve_settings.ServeSettings,
        loop: loops.Loop | None = None,
    ) -> None:
        self.settings = settings
        self.counters = telemetry.Counters()
        self.stories = telemetry_stories.Stories()
        self.loop = loop or loops.Loop(
            timers=timing.TimerService(clock=clocks.BootClock())
        )
        self.timers = self.loop.timers
        self.self_id = ids.InstanceId(
            settings.data_centre, settings.peer_listen, ids.new_incarnation()
        )
        self.sockets = sockets.SocketSet(poller=self.loop.poller)
        self.sockets.register(self.loop)
        self.client = http_client.HttpClient(
            sockets_=self.sockets, timers=self.timers
        )
        self.tree = trees.Tree(counters=self.counters)
        self.catalogue = catalogues.Catalogue(
            tree=self.tree, counters=self.counters
        )
        self.link = self._make_link()
        self._make_once()
        self._make_faces()
        self._platform: reader.PlatformReader = platform_client.PlatformClient(
            client=self.client, address=settings.platform
        )
        self._revision = 0

    def start(self) -> None:
        """Bind the ports and begin to read the configuration."""
        host, port = serve_settings.split_address(self.settings.listen)
        self.sockets.listen(
            host=host,
            port=port,
            make_handler=self._make_connection,
            tls=self._tls(),
        )
        operators_host, operators_port = serve_settings.split_address(
            self.settings.operators_listen
        )
        operators.serve(
            root=self.loop,
            host=operators_host,
            port=operators_port,
            inside=self,
        )
        self._watch()

    def ready(self) -> bool:
        """Tell whether the balancer should send requests here.

        :return: whether it should
        """
        return len(self.tree) > 0

    def status(self) -> dict[str, Any]:
        """Describe what the instance holds.

        :return: plain data
        """
        return {
            "instance": self.self_id._asdict(),
            "ready": self.ready(),
            "configuration_revision": self.tree.newest_revision(),
            "paths": len(self.tree),
            "adapters": len(self.catalogue.adapters),
        }

    def metrics(self) -> bytes:
        """Write the counters.

        :return: text
        """
        return exposition.write(self.counters)

    def explain(self, request_id: str) -> dict[str, Any] | None:
        """Tell a request's story.

        :param request_id: from the answer's header
        :return: plain data, or None
        """
        events = self.stories.read(request_id)
        return None if events is None else {"events": events}

    def audit(self, path: str) -> list[dict[str, Any]]:
        """Tell what is in force.

        :param path: of the published tree
        :return: plain data
        """
        return [
            {"path": each, "revision": entry.revision}
            for each, entry in self.tree
            if path in ("", each)
        ]

    def _make_link(self) -> peer_link.ZmqPeerLink:
        keys = peer_keys.read(self.settings.peer_secret)
        link = peer_link.ZmqPeerLink(
            poller=self.loop.poller,
            timers=self.timers,
            self_id=self.self_id,
            codec=envelope.Codec(kinds=[*once_messages.MESSAGES]),
            counters=self.counters,
            keys=None if isinstance(keys, peer_keys.BadPeerKey) else keys,
        )
        link.register(self.loop)
        return link

    def _make_once(self) -> None:
        self.office = tickets.TicketOffice(
            self_id=self.self_id, timers=self.timers, others=lambda: []
        )
        self.register = registers.Register(
            link=self.link,
            timers=self.timers,
            office=self.office,
            counters=self.counters,
        )
        self.runner = runners.Runner(
            link=self.link,
            timers=self.timers,
            register=self.register,
            counters=self.counters,
        )

    def _make_faces(self) -> None:
        desk = thin_desk.ThinDesk(
            catalogue=self.catalogue,
            client=self.client,
            counters=self.counters,
        )
        chats = chat_face.ChatFace(
            catalogue=self.catalogue,
            timers=self.timers,
            counters=self.counters,
            client=self.client,
            desk=desk,
            events=desk,
            new_request_id=new_request_id,
        )
        services = service_face.ServiceFace(
            data_centre=self.settings.data_centre,
            catalogue=self.catalogue,
            timers=self.timers,
            counters=self.counters,
            client=self.client,
            office=self.office,
            runner=self.runner,
            new_request_id=new_request_id,
        )
        self.router = routers.Router(
            catalogue=self.catalogue,
            counters=self.counters,
            chats=chats,
            services=services,
            ready=self.ready,
            new_request_id=new_request_id,
        )

    def _make_connection(self) -> http_server.ServerConnection:
        return http_server.ServerConnection(
            application=self.router,
            on_bad_request=lambda reason: self.counters.add(
                "requests_refused", reason
            ),
        )

    def _tls(self) -> ssl.SSLContext | None:
        if not self.settings.tls_certificate:
            return None
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.load_cert_chain(
            self.settings.tls_certificate, self.settings.tls_key
        )
        return context

    def _watch(self) -> None:
        self._platform.watch(
            after_revision=self._revision, callback=self._watched
        )

    def _watched(
        self, result: platform_api.WatchResult | platform_api.PlatformFailed
    ) -> None:
        if isinstance(result, platform_api.PlatformFailed):
            self.counters.add("platform_calls_failed", result.reason)
            self.timers.once(
                delay_seconds=WATCH_AGAIN_SECONDS, callback=self._watch
            )
            return
        was_ready = self.ready()
        for change in result.changes:
            self.tree.apply(
                path=change.path, revision=change.revision, data=change.data
            )
        self._revision = result.revision
        if self.ready() and not was_ready:
            logging.info("ready at revision %d", result.revision)
        self._watch()


def new_request_id() -> str:
    """Make a name for a request.

    :return: 32 hexadecimal digits
    """
    return uuid.uuid4().hex


__all__ = [
    "Instance",
    "new_request_id",
]

"""Creates and connects all parts of an entry instance."""

from __future__ import annotations

import ssl
import uuid

from absl import logging

from boragefold.coordination.configuration import readiness
from boragefold.entry import caller_bounds
from boragefold.entry import chat_assembly
from boragefold.entry import chat_handler
from boragefold.entry import cluster_services
from boragefold.entry import guarded_application
from boragefold.entry import instance_status
from boragefold.entry import operators
from boragefold.entry import process_loop
from boragefold.entry import router as routers
from boragefold.entry import service_handler
from boragefold.entry import shutdown
from boragefold.entry import ticket_handler
from boragefold.protocol import envelope
from boragefold.protocol import ids
from boragefold.settings import serve as serve_settings
from boragefold.telemetry import counters as telemetry
from boragefold.telemetry import logs
from boragefold.telemetry import request_events as recorded_events
from boragefold.timing import clock as clocks
from boragefold.transport import callers
from boragefold.transport import http_client
from boragefold.transport import http_server
from boragefold.transport import loop as loops
from boragefold.transport import peer_keys
from boragefold.transport import peer_link
from boragefold.transport import platform_client

# A new rate holder waits for its predecessor's grants to end, and then starts
# with an empty bucket.
SETTLE_SECONDS = 3.0
LEAVE_LIMIT_SECONDS = 10.0
OPERATORS_CHANNEL = "operators"


class Instance:
    """All parts of an entry instance, on one event loop."""

    def __init__(
        self,
        *,
        settings: serve_settings.ServeSettings,
        loop: loops.Loop | None = None,
    ) -> None:
        self.settings = settings
        self._joined_at_seconds: float | None = None
        self._left_at_seconds = 0.0
        process = process_loop.ProcessLoop(
            clock=clocks.BootClock(),
            counters=telemetry.Counters(),
            log=logs.WarningLog(),
            loop=loop,
        )
        self._process = process
        self.counters = process.counters
        self.request_events = recorded_events.RequestEvents()
        self.loop, self.timers = process.loop, process.timers
        self._guard, self._sockets = process.guard, process.sockets
        self._client = http_client.HttpClient(
            sockets_=self._sockets, timers=self.timers
        )
        self.cluster = cluster_services.ClusterServices(
            link=self._make_link(),
            reader=platform_client.PlatformClient(
                client=self._client, address=settings.platform
            ),
            timers=self.timers,
            counters=self.counters,
            seeds=[seed_id(seed) for seed in settings.seeds],
        )
        self.chats = chat_assembly.ChatAssembly(
            cluster=self.cluster,
            client=self._client,
            timers=self.timers,
            counters=self.counters,
            request_events=self.request_events,
        )
        self._admission = caller_bounds.connect(
            process=process,
            memory_mb=settings.memory_mb,
            max_fds=settings.max_fds,
            max_body_bytes=lambda: http_server.MAX_BODY_BYTES,
        )
        self._callers = callers.CallersFace(
            sockets_=self._sockets,
            application=guarded_application.GuardedApplication(
                application=self._make_router(), guard=self._guard
            ).handle,
            counters=self.counters,
            timers=self.timers,
            admission=self._admission,
        )
        self.shutdown = shutdown.GracefulShutdown(
            timers=self.timers,
            notice_seconds=settings.stop_notice_seconds,
            announce=self._callers.announce_stop,
            hand_over=self._hand_over,
            is_finished=self._is_finished,
            stop=self._stop,
            log_step=lambda step: logging.info("stopping: %s", step),
        )

    def start(self, *, serve_operators: bool = True) -> None:
        """Bind the ports and begin to exchange messages with peers.

        :param serve_operators: whether to serve the operators' port and handle
            signals, which only one instance of a process can do
        """
        host, port = serve_settings.split_address(self.settings.listen)
        self._callers.listen(host=host, port=port, tls=self._tls())
        self.timers.every(
            period_seconds=callers.SLOW_CHECK_SECONDS,
            callback=lambda: self._callers.refuse_slow(
                idle_seconds=self.settings.idle_timeout_seconds,
                request_seconds=self.settings.header_timeout_seconds,
            ),
        )
        if serve_operators:
            self.shutdown.register(self.loop)
            # Probes and scrapes go on while the callers' listener is closed.
            operators.listen(
                sockets_=self._process.open_sockets(OPERATORS_CHANNEL),
                counters=self.counters,
                timers=self.timers,
                address=self.settings.operators_listen,
                application=operators.OperatorsHandler(
                    state=self._instance_status()
                ).handle,
            )
        self.cluster.start()
        self.chats.start()

    def ready(self) -> bool:
        """Tell whether the balancer should send requests to this instance.

        :return: whether it should
        """
        return self._serving() and not self.shutdown.has_begun

    def _instance_status(self) -> instance_status.InstanceStatus:
        return instance_status.InstanceStatus(
            cluster=self.cluster,
            chats=self.chats.controller,
            counters=self.counters,
            request_events=self.request_events,
            is_ready=self.ready,
            is_stopping=lambda: self.shutdown.has_begun,
        )

    def _serving(self) -> bool:
        # Before its first view an instance has no tokens and would refuse
        # requests that are within the rate. A lease that is lost later doesn't
        # count: the balancer would drop all instances of a partitioned data
        # centre.
        now_seconds = self.timers.now_seconds()
        if self._joined_at_seconds is None and self.cluster.views.valid_view():
            self._joined_at_seconds = now_seconds
        return (
            self._joined_at_seconds is not None
            and now_seconds - self._joined_at_seconds >= SETTLE_SECONDS
            and self._configured()
        )

    def _configured(self) -> bool:
        return isinstance(
            self.cluster.configuration.readiness(), readiness.Ready
        )

    def _make_link(self) -> peer_link.ZmqPeerLink:
        keys = peer_keys.read(self.settings.peer_secret)
        link = peer_link.ZmqPeerLink(
            poller=self.loop.poller,
            timers=self.timers,
            self_id=ids.InstanceId(
                self.settings.data_centre,
                self.settings.peer_listen,
                ids.new_incarnation(),
            ),
            codec=envelope.Codec(kinds=cluster_services.KINDS),
            counters=self.counters,
            keys=None if isinstance(keys, peer_keys.BadPeerKey) else keys,
            run=self._guard.runner("peer"),
        )
        link.register(self.loop)
        return link

    def _make_router(self) -> routers.Router:
        cluster = self.cluster
        chats = chat_handler.ChatHandler(
            catalogue=cluster.catalogue,
            timers=self.timers,
            counters=self.counters,
            client=self._client,
            scheduler=self.chats.controller,
            events=self.chats.controller,
            new_request_id=new_request_id,
        )
        tickets = ticket_handler.TicketHandler(
            timers=self.timers,
            counters=self.counters,
            ticket_issuer=cluster.ticket_issuer,
            runner=cluster.runner,
            new_request_id=new_request_id,
        )
        services = service_handler.ServiceHandler(
            data_centre=self.settings.data_centre,
            catalogue=cluster.catalogue,
            counters=self.counters,
            client=self._client,
            tickets=tickets,
            new_request_id=new_request_id,
            admission=self._admission,
        )
        return routers.Router(
            catalogue=cluster.catalogue,
            counters=self.counters,
            chats=chats,
            services=services,
            tickets=tickets,
            ready=self._serving,
            new_request_id=new_request_id,
        )

    def _tls(self) -> ssl.SSLContext | None:
        if not self.settings.tls_certificate:
            return None
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.load_cert_chain(
            self.settings.tls_certificate, self.settings.tls_key
        )
        return context

    def _hand_over(self) -> None:
        self._left_at_seconds = self.timers.now_seconds()
        self._callers.stop_listening()
        self.cluster.leave()

    def _is_finished(self) -> bool:
        served = (
            self._callers.close_idle() == 0
            and self.cluster.runner.open_attempts == 0
        )
        return served and self._has_left()

    def _has_left(self) -> bool:
        # Without a leader no view is published that omits this instance; its
        # leases have expired by the time limit.
        waited_seconds = self.timers.now_seconds() - self._left_at_seconds
        left = self.cluster.views.has_left
        return left or waited_seconds > LEAVE_LIMIT_SECONDS

    def _stop(self) -> None:
        self.cluster.link.close()
        self.loop.stop()


def seed_id(seed: str) -> ids.InstanceId:
    """Parse the address of a seed peer from the settings.

    :param seed: ``DATA_CENTRE/IP:PORT``
    :return: an id without incarnation, for any process at that address
    """
    data_centre, _, address = seed.partition("/")
    return ids.InstanceId(data_centre, address, "")


def new_request_id() -> str:
    """Create a unique request id.

    :return: 32 hexadecimal digits
    """
    return uuid.uuid4().hex


__all__ = [
    "Instance",
    "new_request_id",
    "seed_id",
]

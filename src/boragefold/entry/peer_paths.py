"""Connects the parts by which instances open connections for each other."""

from __future__ import annotations

from collections.abc import Callable
import functools
import random
import secrets

from boragefold.coordination.fleet import members as members_module
from boragefold.coordination.fleet import path_inquiries
import boragefold.coordination.link as links
from boragefold.entry import answer_end
from boragefold.entry import break_evidence
from boragefold.entry import crash_detector
from boragefold.entry import endpoint_reach
from boragefold.entry import refusal_check
from boragefold.policy import caller_budget
from boragefold.policy import endpoint_paths
from boragefold.policy import service_choice
from boragefold.settings import gateway as gateway_settings
from boragefold.settings import serve as serve_settings
from boragefold.state import deployment
from boragefold.state import fleet as fleets
from boragefold.telemetry import counters as telemetry
from boragefold.telemetry import decision_log
from boragefold.timing import timers as timing
from boragefold.transport import http_client
from boragefold.transport import sockets
from boragefold.transport import tunnel_server

TOKEN_BYTES = 16


class PeerPaths:
    """The paths of this instance to endpoints, and its tunnels for peers."""

    def __init__(
        self,
        *,
        client: http_client.HttpClient,
        sockets_: sockets.SocketSet,
        fleet: fleets.Fleet,
        link: links.PeerLink,
        members: members_module.Members,
        timers: timing.TimerService,
        counters: telemetry.Counters,
        log: decision_log.DecisionLog,
        rng: random.Random,
        choice: service_choice.ServiceChoice,
        is_leaving: Callable[[], bool],
        connect_seconds: float,
        max_tunnels: int = caller_budget.MAX_TUNNELS,
    ) -> None:
        """Connect the parts, without binding an address.

        :param client: opens connections to endpoints
        :param sockets_: holds the tunnels
        :param fleet: the published endpoints
        :param link: to the peers
        :param members: the other instances
        :param timers: the process clock
        :param counters: counts tunnels and changes of paths
        :param log: gets a line for each change of a path
        :param rng: chooses whom to ask
        :param choice: forgets failures whose cause was a path
        :param is_leaving: whether this instance is stopping
        :param connect_seconds: how long a connection may take to open
        :param max_tunnels: how many peers' tunnels may be open
        """
        self._is_leaving = is_leaving
        self._token = secrets.token_hex(TOKEN_BYTES)
        self.port = 0
        self._client = client
        self._fleet = fleet
        self._log = log
        self._members = members
        self._data_centre = link.self_id.data_centre
        inquiries = path_inquiries.PathInquiries(
            link=link,
            members=members,
            timers=timers,
            rng=rng,
            check=lambda endpoint, on_result: self.reach.check(
                endpoint, on_result
            ),
            tunnel=self._tunnel,
        )
        self.reach = endpoint_reach.EndpointReach(
            client=client,
            fleet=fleet,
            timers=timers,
            counters=counters,
            log=log,
            choice=endpoint_paths.PathChoice(
                self_address=link.self_id.address,
                is_near=self._is_near,
                staying_peers=self._staying_peers,
            ),
            inquiries=inquiries,
            on_changed=choice.forgive,
        )
        self.refusals = refusal_check.RefusalChecks(
            client=client,
            fleet=fleet,
            inquiries=inquiries,
            rng=rng,
            log=log,
        )
        self.server = tunnel_server.TunnelServer(
            sockets_=sockets_,
            timers=timers,
            counters=counters,
            token=self._token,
            resolve=self._resolve,
            connect_seconds=connect_seconds,
            max_tunnels=max_tunnels,
        )
        self._detector: crash_detector.CrashDetector | None = None

    def use_detector(self, detector: crash_detector.CrashDetector) -> None:
        """Judge from now on why endpoints close the connections of tunnels.

        :param detector: judges broken connections
        """
        self._detector = detector

    def listen(self, settings: gateway_settings.GatewaySettings) -> None:
        """Bind the address at which peers ask for connections.

        :param settings: validated settings
        """
        wanted = settings.tunnel_listen
        host, port = serve_settings.split_address(
            wanted or settings.peer_listen
        )
        try:
            self.port = self.server.listen(
                host=host, port=port if wanted else 0
            )
        except OSError as error:
            # Peers are told the port, so any will do.
            self.port = self.server.listen(host=host, port=0)
            self._log.write(
                "tunnel_address_taken",
                wanted=wanted,
                reason=str(error),
                port=self.port,
            )

    def _tunnel(self) -> path_inquiries.Tunnel:
        if self._is_leaving():
            return path_inquiries.Tunnel(0, "")
        return path_inquiries.Tunnel(self.port, self._token)

    def _resolve(self, endpoint: str) -> tunnel_server.Target | None:
        record = self._fleet.endpoint(endpoint)
        if record is None:
            return None
        return tunnel_server.Target(
            record.address, functools.partial(self._check_crash, record)
        )

    def _check_crash(
        self,
        record: deployment.EndpointRecord,
        on_result: Callable[[bool], None],
    ) -> None:
        def judge(evidence: break_evidence.ClosingEvidence) -> None:
            verdict = answer_end.judge_closing(evidence)
            self._log.write(
                "tunnel_closed",
                endpoint=record.name,
                verdict=verdict.value,
                cause=evidence.cause.value,
                listens=evidence.listens,
                others_broke=evidence.others_broke,
            )
            on_result(verdict is answer_end.Verdict.BROKEN)

        if self._detector is None:
            judge(break_evidence.NO_EVIDENCE)
        else:
            self._detector.check_closing(record, on_evidence=judge)

    def _is_near(self, peer: str) -> bool:
        return self._members.identity(peer).data_centre == self._data_centre

    def _staying_peers(self) -> frozenset[str]:
        return frozenset(
            instance.address for instance in self._members.staying()
        )


__all__ = [
    "PeerPaths",
]

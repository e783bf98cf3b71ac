"""Creates and connects all parts of a gateway instance."""

from __future__ import annotations

from collections.abc import Callable
import random

from boragefold.coordination.fleet import fencing_numbers
from boragefold.coordination.fleet import heartbeats
from boragefold.coordination.fleet import members as members_module
from boragefold.coordination.fleet import order_leases
from boragefold.coordination.fleet import ownership as ownerships
from boragefold.coordination.fleet import rate_messages
from boragefold.entry import caller_bounds
from boragefold.entry import dialect as dialects
from boragefold.entry import engine_dialect
from boragefold.entry import engine_owner
from boragefold.entry import fleet_log
from boragefold.entry import gateway
from boragefold.entry import gateway_link
from boragefold.entry import gateway_listeners
from boragefold.entry import guarded_application
from boragefold.entry import owner_client
from boragefold.entry import peer_paths
from boragefold.entry import process_loop
from boragefold.entry import published_parts
from boragefold.entry import rate_log
from boragefold.entry import request_parts
from boragefold.entry import service_loads
from boragefold.entry import settings_reload
from boragefold.entry import shutdown
from boragefold.policy import admission_counts
from boragefold.policy import shared_rate
from boragefold.protocol import peer_messages as messages
from boragefold.settings import gateway as gateway_settings
from boragefold.state import evacuations
from boragefold.state import fleet as fleets
from boragefold.transport import http_client

# Ownership of engines and pending engine requests are refreshed this often.
REFRESH_SECONDS = 0.1
# A connection attempt across a network partition gets no answer at all.
CONNECT_SECONDS = 0.25
# The balancer stops sending requests after two failed health checks.
STOP_NOTICE_SECONDS = 2.5
# A planned stop ends this long before the process would be killed.
STOP_MARGIN_SECONDS = 0.5


class GatewayInstance:
    """All parts of a gateway instance, on one event loop."""

    def __init__(
        self,
        *,
        settings: gateway_settings.GatewaySettings,
        dialect: dialects.Dialect,
        engines: engine_dialect.EngineDialect,
        published: published_parts.PublishedFormat,
        read_settings: Callable[[], gateway_settings.GatewaySettings],
    ) -> None:
        """Create and connect the parts, without binding any address.

        :param settings: validated settings
        :param dialect: encodes and decodes HTTP of callers and endpoints
        :param engines: encodes and decodes the calls that manage adapters
        :param published: how the platform publishes items
        :param read_settings: reads the settings again, for a reload
        """
        self.settings = settings
        process = process_loop.GatewayLoop()
        self.counters, self.log = process.counters, process.log
        self.loop, self.timers = process.loop, process.timers
        self._guard, self._sockets = process.guard, process.sockets
        self._rng = random.Random()
        self._fleet = fleets.Fleet(
            evacuations=evacuations.Evacuations(
                now_seconds=self.timers.now_seconds,
                data_centres=settings.data_centres,
                limit_seconds=settings.evacuate_seconds,
            ),
            age_seconds=lambda: self._published.age.seconds(),
            run=self._guard.runner("fleet"),
        )
        self._admission = caller_bounds.connect(
            process=process,
            memory_mb=settings.memory_mb,
            max_fds=settings.max_fds,
            max_body_bytes=lambda: (
                gateway_listeners.limits_of(self._fleet).max_body_bytes
            ),
        )
        self._client = http_client.HttpClient(
            sockets_=self._sockets,
            timers=self.timers,
            connect_seconds=CONNECT_SECONDS,
        )
        self._link = gateway_link.open_link(
            settings=settings,
            loop=self.loop,
            counters=self.counters,
            guard=self._guard,
        )
        self._members = members_module.Members(
            timers=self.timers, self_id=self._link.self_id
        )
        self._published = published_parts.PublishedParts(
            published=published,
            fleet=self._fleet,
            client=self._client,
            link=self._link,
            members=self._members,
            timers=self.timers,
            counters=self.counters,
            log=self.log,
            rng=self._rng,
            renewal_seconds=settings.renewal_seconds,
        )
        self._fleet_log = fleet_log.FleetLog(
            fleet=self._fleet,
            items=self._published.items,
            log=self.log,
            counters=self.counters,
            now_seconds=self.timers.now_seconds,
        )
        self._rate = shared_rate.SharedRate(
            tolerance=settings.rate_tolerance,
            started_at_seconds=self.timers.now_seconds(),
            rng=self._rng,
        )
        self._rate_log = rate_log.RateLog(
            rate=self._rate,
            fleet=self._fleet,
            log=self.log,
            counters=self.counters,
            timers=self.timers,
        )
        self._heartbeats = heartbeats.Heartbeats(
            link=self._link,
            timers=self.timers,
            members=self._members,
            seeds=settings.seeds,
            compose=self._make_beat,
            rng=self._rng,
            rates=rate_messages.RateMessages(
                link=self._link,
                members=self._members,
                counts=admission_counts.AdmissionCounts(
                    rate=self._rate,
                    incarnation=self._link.self_id.incarnation,
                ),
                timers=self.timers,
            ),
        )
        self._loads = service_loads.connect(
            link=self._link,
            members=self._members,
            fleet=self._fleet,
            timers=self.timers,
            counters=self.counters,
            log=self.log,
            rng=self._rng,
            cold_tolerance=lambda: self.settings.cold_tolerance,
        )
        self._paths = peer_paths.PeerPaths(
            client=self._client,
            sockets_=self._sockets,
            fleet=self._fleet,
            link=self._link,
            members=self._members,
            timers=self.timers,
            counters=self.counters,
            log=self.log,
            rng=self._rng,
            choice=self._loads.choice,
            is_leaving=lambda: self.shutdown.has_begun,
            connect_seconds=CONNECT_SECONDS,
            max_tunnels=self._admission.budget.tunnels,
        )
        self._ownership = ownerships.Ownership(
            self_id=self._link.self_id,
            members=self._members,
            is_leaving=lambda: self.shutdown.has_begun,
            is_unreachable=lambda engine: self._owner.should_release(engine),
        )
        self._owner = self._make_owner(engines)
        self._owner_client = owner_client.OwnerClient(
            link=self._link,
            members=self._members,
            ownership=self._ownership,
            fleet=self._fleet,
            timers=self.timers,
            health=lambda endpoint: self._loads.choice.health(
                endpoint, now_seconds=self.timers.now_seconds()
            ),
            needs_grant=self._loads.cold.is_engine_limited,
        )
        self._listeners = gateway_listeners.GatewayListeners(
            sockets_=self._sockets,
            application=guarded_application.GuardedApplication(
                application=self._make_gateway(dialect, engines).handle,
                guard=self._guard,
            ).handle,
            counters=self.counters,
            timers=self.timers,
            fleet=self._fleet,
            cold=self._loads.cold,
            ready=self.ready,
            items=self._published.items,
            admission=self._admission,
        )
        self.shutdown = shutdown.GracefulShutdown(
            timers=self.timers,
            notice_seconds=STOP_NOTICE_SECONDS,
            announce=self._listeners.callers.announce_stop,
            hand_over=self._stop_accepting,
            give_up=self._listeners.callers.give_up,
            is_finished=self._is_idle,
            stop=self._stop,
            log_step=lambda step: self.log.write("stopping", step=step),
            limit_seconds=settings.stop_seconds - STOP_MARGIN_SECONDS,
        )
        self._settings_reloader = settings_reload.SettingsReloader(
            timers=self.timers,
            log=self.log,
            counters=self.counters,
            read=read_settings,
            current=settings,
            apply=self._apply_settings,
        )

    def start(self) -> None:
        """Bind the addresses and begin to exchange messages with peers.

        :raises OSError: when an address can't be bound
        """
        settings = self.settings
        self._listeners.listen(settings)
        self._paths.listen(settings)
        self.shutdown.register(self.loop)
        self._settings_reloader.register(self.loop)
        self._settings_reloader.start()
        self._members.subscribe(
            on_beat=self._published.relay.on_beat,
            on_replaced=self._owner.remove_peer,
            on_silent=self._fleet_log.record_silence,
        )
        self._fleet.subscribe(self._fleet_log.log_changes)
        self._fleet.subscribe(self._apply_limits)
        self._published.start()
        self._heartbeats.start()
        self._rate_log.start()
        self.timers.every(
            period_seconds=REFRESH_SECONDS, callback=self._refresh
        )
        self.log.write(
            "started",
            instance=settings.instance_name,
            data_centre=settings.data_centre,
            incarnation=self._link.self_id.incarnation,
            seeds=len(settings.seeds),
        )

    def ready(self) -> bool:
        """Tell whether the balancer should send callers to this instance.

        :return: whether it knows the deployment and the endpoints, and isn't
            stopping
        """
        is_known = (
            self._fleet.deployment is not None
            and self._published.items.is_complete()
        )
        return is_known and not self.shutdown.has_begun

    def _apply_settings(
        self, settings: gateway_settings.GatewaySettings
    ) -> None:
        # Listening addresses can't change while the process runs.
        self.settings = settings
        self._heartbeats.add_seeds(settings.seeds)
        self._rate.tolerance = settings.rate_tolerance
        self._fleet.evacuations.limit_seconds = settings.evacuate_seconds

    def _apply_limits(self) -> None:
        if self._fleet.deployment is not None:
            self._rate.set_limits(
                self._fleet.deployment.limited_workspaces(),
                now_seconds=self.timers.now_seconds(),
            )

    def _make_beat(self) -> messages.Beat:
        return messages.Beat(
            uptime_seconds=self._members.uptime_seconds,
            leaving=self.shutdown.has_begun,
            told=dict(self._published.items.told),
            engines=self._owner.statuses(),
            avoids=self._owner.engines_to_release(),
            link_megabits=self.settings.link_megabits,
            store_sound=self._published.followers.is_store_healthy(),
            store_lost=self._published.followers.any_failing(),
            unheard=self._members.silent_targets(),
        )

    def _refresh(self) -> None:
        engines = {record.name: record for record in self._fleet.engines()}
        self._ownership.refresh(engines.values())
        self._fleet_log.log_silence()
        self._owner.set_owned(engines[name] for name in self._ownership.owned)
        self._heartbeats.refresh()
        self._owner_client.retry_pending()

    def _make_owner(
        self, dialect: engine_dialect.EngineDialect
    ) -> engine_owner.EngineOwner:
        settings = self.settings
        return engine_owner.EngineOwner(
            link=self._link,
            fleet=self._fleet,
            dialect=dialect,
            client=self._client,
            timers=self.timers,
            counters=self.counters,
            log=self.log,
            lease_seconds=settings.order_lease_seconds,
            issuer=fencing_numbers.issuer_number(address=settings.peer_listen),
            leases=order_leases.connect(
                link=self._link,
                members=self._members,
                timers=self.timers,
                rng=self._rng,
                log=self.log,
            ),
            count_other_loads=self._members.count_loads,
            owner_change=self._ownership.change,
            is_cut_off=self._paths.reach.is_cut_off,
            cold=self._loads.cold,
        )

    def _make_gateway(
        self,
        dialect: dialects.Dialect,
        engines: engine_dialect.EngineDialect,
    ) -> gateway.Gateway:
        context = request_parts.connect(
            client=self._client,
            fleet=self._fleet,
            dialect=dialect,
            engines=engines,
            link=self._link,
            members=self._members,
            timers=self.timers,
            counters=self.counters,
            log=self.log,
            rng=self._rng,
            loads=self._loads,
            paths=self._paths,
            rate=self._rate,
            settings=lambda: self.settings,
            is_hub=lambda: self._heartbeats.is_hub,
            data_centre=self.settings.data_centre,
        )
        return gateway.Gateway(
            context=context,
            client=self._owner_client,
            owner=self._owner,
            self_id=self._link.self_id,
            rng=self._rng,
        )

    def _is_idle(self) -> bool:
        callers = self._listeners.callers.close_idle()
        return callers + self._paths.server.open_count == 0

    def _stop_accepting(self) -> None:
        self.log.write("stopping", step="no_new_callers")
        self._listeners.callers.stop_listening()

    def _stop(self) -> None:
        self.log.write("stopped")
        self._link.close()
        self.loop.stop()


__all__ = [
    "GatewayInstance",
]

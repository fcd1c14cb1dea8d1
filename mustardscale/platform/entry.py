"""The process that runs on each edge machine of the platform."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import os
import pathlib
import random
import signal
import sys
import time
from collections.abc import Callable

import aiomisc
import msgspec

import mustardscale
from mustardscale.blackboard import Blackboard
from mustardscale.callers.caller_connections import CallerLimits
from mustardscale.callers.caller_refusals import CallerRefusals
from mustardscale.configuration.routes import CallerBounds
from mustardscale.exceptions import SettingError
from mustardscale.hosts.membership import MembershipTimes
from mustardscale.log.keyed_log import KeyedLogClient
from mustardscale.log.keyed_tail import KeyedTail
from mustardscale.operators.state_dump import dump_state
from mustardscale.orders.order_state import orders_stream
from mustardscale.peers.peer_connections import split_address
from mustardscale.peers.peer_streams import PeerIdentity
from mustardscale.peers.tcp_peers import TcpPeerTransport
from mustardscale.platform import names
from mustardscale.platform.front_http import FrontServer, ReadyServer
from mustardscale.platform.store_client import StoreClient, StoreLog
from mustardscale.platform.store_hosts import StoreHostList
from mustardscale.platform.store_routes import StoreRoutes
from mustardscale.platform.worker_connector import WorkerConnector
from mustardscale.quotas.quota_share import QuotaTolerance
from mustardscale.relay.answer_memory import AnswerLimits
from mustardscale.relay.retry_budget import RetryAllowance
from mustardscale.relay.stream_backups import BackupScope
from mustardscale.relay_options import (
    KeyedStream,
    RelayEdges,
    RelayOptions,
)
from mustardscale.relay_router import RelayRouter
from mustardscale.reporting.event_log import EventKind, EventLog, JsonEvents
from mustardscale.reporting.json_logging import LogOutput, configure_logging
from mustardscale.reporting.prometheus_text import prometheus_text
from mustardscale.settings.daemon_settings import public_settings
from mustardscale.settings.host_limits import HostLimits, fit_to_host
from mustardscale.settings.relay_settings import RelaySettings
from mustardscale.settings.setting_sources import load_settings_of

log = logging.getLogger(__name__)

SETTINGS_FILE_VARIABLE = 'MUSTARDSCALE_BOOT'
EXIT_SETTINGS = 2
# Time that the HTTP servers get to close after the drain, seconds.
CLOSE_TIMEOUT_S = 0.5
# Interval at which the settings file is checked for changes, seconds.
SETTINGS_CHECK_S = 1.0
# Pause between two reads of the topic with the entry hosts' entries, seconds.
# Heartbeats announce new hosts sooner, and many entries come at the same time
# because all hosts start together.
HOSTS_READ_PAUSE_S = 1.0
# Interval at which the counts of refused callers are checked, seconds.
REFUSALS_CHECK_S = 1.0
# Interval at which readiness is checked, seconds.
READINESS_CHECK_S = 0.25


class EdgeHost(aiomisc.Service):
    """The router and its HTTP servers as a service of the process.

    Attributes:
        settings: the settings in force.
        events: receives the events of the process and the router.
        output: writes the log lines and counts those that it dropped.
    """

    settings: RelaySettings
    events: EventLog
    output: LogOutput

    async def start(self) -> None:
        """Starts the router, then the servers."""
        settings = self.settings
        self._router = make_router(settings, self.events)
        self._ready = ReadyServer(
            self._router.is_ready,
            lambda: prometheus_text(self._router.metrics),
            lambda: render_state(self._router),
        )
        self._front = FrontServer(
            self._router,
            make_caller_limits(settings, CallerBounds()),
            CLOSE_TIMEOUT_S,
        )
        self._front.refusals.add_gauges(self._router.metrics)
        await self._router.start()
        await self._ready.start(*split_address(settings.ready_listen))
        await self._front.start(*split_address(settings.callers_listen))
        self._tasks = [
            asyncio.create_task(self._follow_bounds()),
            asyncio.create_task(self._follow_readiness()),
            asyncio.create_task(self._follow_settings()),
            asyncio.create_task(self._follow_refusals()),
        ]
        self._reload = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload.set)
        self.events.emit(
            EventKind.PROCESS_STARTED,
            version=mustardscale.__version__,
            incarnation=self._router.blackboard.incarnation,
            settings=public_settings(settings),
        )

    async def stop(self, exception: Exception | None = None) -> None:
        """Drains the router, then stops the servers and the router."""
        settings = self.settings
        active = self._router.active
        self.events.emit(
            EventKind.PROCESS_STOPPING,
            active=active.count,
            drain_s=settings.drain_notice_s + settings.drain_timeout_s,
        )
        whole = await self._router.drain(
            settings.drain_notice_s, settings.drain_timeout_s
        )
        for task in self._tasks:
            task.cancel()
        await self._front.stop()
        await self._ready.stop()
        await self._router.stop()
        self.events.emit(
            EventKind.PROCESS_STOPPED,
            whole=whole,
            active=active.count,
            lines_dropped=self.output.dropped,
        )

    async def _follow_bounds(self) -> None:
        """Applies the limits on callers whenever the configuration changes."""
        board = self._router.blackboard
        bounds = CallerBounds()
        while True:
            if board.config.routes.table.bounds != bounds:
                bounds = board.config.routes.table.bounds
                self._front.set_limits(
                    make_caller_limits(self.settings, bounds)
                )
            await board.config_changed.wait(60.0)

    async def _follow_readiness(self) -> None:
        """Logs each change of readiness."""
        last_ready = False
        while True:
            ready = self._router.is_ready()
            if ready != last_ready:
                last_ready = ready
                draining = self._router.blackboard.draining
                cause = 'draining' if draining else 'configuration and workers'
                self.events.emit(
                    EventKind.READINESS_CHANGED, ready=ready, cause=cause
                )
            await asyncio.sleep(READINESS_CHECK_S)

    async def _follow_refusals(self) -> None:
        """Tells once a while which callers were refused, by cause."""
        seen = CallerRefusals()
        while True:
            await asyncio.sleep(REFUSALS_CHECK_S)
            new_by_cause = self._front.refusals.take_new(seen)
            if new_by_cause:
                self.events.emit(EventKind.CALLERS_REFUSED, causes=new_by_cause)

    async def _follow_settings(self) -> None:
        """Reloads the settings at SIGHUP and when the file has changed."""
        last_text = read_settings_text()
        while True:
            try:
                async with asyncio.timeout(SETTINGS_CHECK_S):
                    await self._reload.wait()
            except TimeoutError:
                if read_settings_text() == last_text:
                    continue
            self._reload.clear()
            last_text = read_settings_text()
            self._apply_settings()

    def _apply_settings(self) -> None:
        """Loads the settings and applies those that may change at run time.

        If a setting is wrong, the settings in force stay.
        """
        loaded = self.settings
        errors: list[str] = []
        try:
            loaded = load_relay_settings()
        except* SettingError as group:
            errors = [str(error) for error in group.exceptions]
        changed = [
            field.name
            for field in dataclasses.fields(loaded)
            if getattr(loaded, field.name) != getattr(self.settings, field.name)
        ]
        self.settings = loaded
        logging.getLogger().setLevel(loaded.log_level.upper())
        self._router.set_allowance(make_retry_allowance(loaded))
        bounds = self._router.blackboard.config.routes.table.bounds
        self._front.set_limits(make_caller_limits(loaded, bounds))
        self.events.emit(
            EventKind.SETTINGS_RELOADED, changed=changed, error=errors
        )


def make_router(settings: RelaySettings, events: EventLog) -> RelayRouter:
    """Makes a router that is connected to the platform."""
    rng = random.Random(f'{settings.seed}/{settings.host_id}')
    incarnation = time.time_ns() // 1_000_000
    identity = PeerIdentity(
        settings.host_id, incarnation, settings.peer_key.encode()
    )
    client = StoreClient(settings.store_address)
    connector = WorkerConnector(settings.host_id)
    board = Blackboard(
        settings.host_id, incarnation, settings.data_centre, settings.region
    )
    board.address = settings.peers_listen
    board.capacity = settings.cpu_share * settings.cpu_speed
    board.events = events
    board.pool_engines = settings.pool_engines
    board.engines_read_prompts = True
    connector.follow(board)
    tails = make_tails(board, client, rng)
    transport = TcpPeerTransport(identity, settings.peers_listen, rng)
    edges = RelayEdges(
        StoreLog(client),
        StoreHostList(
            client,
            tails[names.WORKERS_TOPIC],
            tails[names.HOSTS_TOPIC],
            settings.region,
        ),
        StoreRoutes(tails[names.OPERATOR_TOPIC]),
        transport,
        connector,
        tuple(tails.values()),
        KeyedStream(client, tails[names.QUARANTINE_TOPIC]),
        KeyedStream(client, tails[names.VERSIONS_TOPIC]),
        tails[orders_topic(board)],
    )
    options = RelayOptions(
        settings.seed_addresses,
        settings.policy,
        MembershipTimes(
            heartbeat_s=settings.heartbeat_s,
            dead_after_s=settings.dead_after_s,
            host_list_s=settings.host_list_interval_s,
        ),
        make_retry_allowance(settings),
        settings.prefill_share,
        AnswerLimits(
            settings.max_answer_bytes,
            # One answer alone must have room.
            max(
                settings.max_answer_bytes,
                fit_relay_limits(settings).all_answers_bytes,
            ),
        ),
        settings.report_interval_s,
        weights_field=names.WEIGHT_VERSIONS,
        customer_header=names.TENANT_ID,
        max_key_age_s=settings.max_key_age_ms / 1000.0,
        quota_tolerance=QuotaTolerance(
            settings.quota_window_s,
            settings.quota_overrun,
            settings.quota_slack,
        ),
        backups=BackupScope(settings.stream_backups),
        even_load=settings.even_load == 'on',
    )
    router = RelayRouter(board, options, edges, rng)
    transport.traffic.add_gauges(router.metrics)
    return router


def orders_topic(board: Blackboard) -> str:
    """Returns the topic of the orders of a host's region."""
    return names.STREAM_TOPIC_PREFIX + orders_stream(board.region)


def make_tails(
    board: Blackboard, client: KeyedLogClient, rng: random.Random
) -> dict[str, KeyedTail]:
    """Returns what follows the platform's topics, by topic."""
    tails = {
        topic: KeyedTail(board, client, topic, rng, pause_s)
        for topic, pause_s in (
            (names.OPERATOR_TOPIC, 0.0),
            (names.WORKERS_TOPIC, 0.0),
            (names.HOSTS_TOPIC, HOSTS_READ_PAUSE_S),
            (names.QUARANTINE_TOPIC, 0.0),
            (names.VERSIONS_TOPIC, 0.0),
            (orders_topic(board), 0.0),
        )
    }
    tails[orders_topic(board)].is_followed_alone = True
    tails[names.HOSTS_TOPIC].lists_hosts = True
    for topic in (names.OPERATOR_TOPIC, names.WORKERS_TOPIC):
        tails[topic].is_urgent = True
    return tails


def make_retry_allowance(settings: RelaySettings) -> RetryAllowance:
    """Returns the retry budget from the settings."""
    return RetryAllowance(
        settings.retry_ratio, settings.retry_slack, settings.retry_window_s
    )


def make_caller_limits(
    settings: RelaySettings, bounds: CallerBounds
) -> CallerLimits:
    """Returns the limits on callers from settings and configuration."""
    limits = fit_relay_limits(settings)
    return CallerLimits(
        connections=limits.connections,
        all_bodies_bytes=limits.all_bodies_bytes,
        all_answers_bytes=limits.all_answers_bytes,
        header_bytes=bounds.header_bytes,
        body_bytes=bounds.body_bytes,
        header_timeout_s=bounds.header_timeout_s,
        body_timeout_s=settings.body_timeout_s,
        write_timeout_s=settings.stream_write_timeout_s,
        keepalive_timeout_s=bounds.idle_timeout_s,
    )


def fit_relay_limits(settings: RelaySettings) -> HostLimits:
    """Returns the limits of the settings, fitted to the machine."""
    wanted = HostLimits(
        settings.max_connections,
        settings.max_all_bodies_bytes,
        settings.max_all_answers_bytes,
    )
    return fit_to_host(wanted, settings.memory_mb, settings.max_fds)


def render_state(router: RelayRouter) -> bytes:
    """Returns a router's state as JSON."""
    state = dump_state(router.blackboard, router.pool_owner)
    state['owned_rate_limits'] = sorted(router.permit_owner.owned_by_id)
    state['owned_quotas'] = router.quota_owner.describe()
    state['engine_speeds'] = {
        pool_id: pool.policy.describe_speeds()
        for pool_id, pool in router.pool_owner.owned_by_id.items()
    }
    state['plain_loads'] = router.describe_plain_loads()
    return msgspec.json.encode(state, enc_hook=str)


def settings_path() -> str:
    """Returns the path of the settings file, or '' if there is none."""
    path = os.environ.get(SETTINGS_FILE_VARIABLE, '')
    return path if path and pathlib.Path(path).exists() else ''


def read_settings_text() -> str:
    """Returns the text of the settings file, or '' if it is unreadable."""
    path = settings_path()
    try:
        return pathlib.Path(path).read_text() if path else ''
    except OSError:
        return ''


def load_relay_settings() -> RelaySettings:
    """Loads the settings from arguments, environment and settings file.

    Raises:
        ExceptionGroup: one SettingError for each wrong setting.
    """
    return load_settings_of(
        RelaySettings, sys.argv[1:], os.environ, settings_path()
    )


def run(settings: RelaySettings) -> None:
    """Runs the process until a signal ends it."""
    output = configure_logging(
        settings.log_level, secrets=(settings.peer_key,), stream=sys.stdout
    )
    write: Callable[[str], None] = output.write_line
    host = EdgeHost(
        settings=settings,
        events=JsonEvents(settings.host_id, write),
        output=output,
    )
    shutdown_timeout_s = settings.drain_timeout_s + settings.drain_notice_s
    with aiomisc.entrypoint(
        host,
        log_config=False,
        shutdown_timeout=shutdown_timeout_s + 3 * CLOSE_TIMEOUT_S,
    ) as loop:
        loop.run_forever()
    output.close()

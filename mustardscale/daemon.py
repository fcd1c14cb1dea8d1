"""The daemon mustardscaled: one entry host as a process."""

from __future__ import annotations

import asyncio
import logging
import os
import pathlib
import random
import signal
import sys
import time

import aiomisc
import msgspec

import mustardscale
from mustardscale.callers.caller_connections import (
    DEFAULT_ANSWERS_BYTES,
    CallerLimits,
)
from mustardscale.callers.callers_http import CallersServer
from mustardscale.endpoints.http_connector import HttpConnector
from mustardscale.exceptions import SettingError
from mustardscale.hosts.http_host_list import HttpHostList
from mustardscale.hosts.membership import MembershipTimes
from mustardscale.log.http_log import HttpLogClient
from mustardscale.operators.operators_http import OperatorsServer
from mustardscale.peers.peer_connections import split_address
from mustardscale.peers.peer_streams import PeerIdentity
from mustardscale.peers.tcp_peers import TcpPeerTransport
from mustardscale.reporting.json_logging import configure_logging
from mustardscale.reporting.prometheus_text import prometheus_text
from mustardscale.requests.kept_answers import KeptAnswerLimits
from mustardscale.router import Router
from mustardscale.router_options import Edges, RouterOptions
from mustardscale.settings.daemon_settings import Settings, public_settings
from mustardscale.settings.host_limits import HostLimits, fit_to_host
from mustardscale.settings.setting_sources import load_settings
from mustardscale.traces.trace import FileTrace, NoTrace, TraceSink

log = logging.getLogger(__name__)

EXIT_SETTINGS = 2
# Time for the servers to close after the drain, seconds.
CLOSE_TIMEOUT_S = 5.0
# Time for the balancer to see that the host is not ready, seconds.
BALANCER_NOTICE_S = 1.0


class EntryHost(aiomisc.Service):
    """The router with its servers, as a service of the process."""

    settings: Settings

    async def start(self) -> None:
        """Starts the router, then the servers."""
        settings = self.settings
        self._router = make_router(settings)
        await self._router.start()
        fitted = fit_to_host(
            HostLimits(
                settings.max_connections,
                settings.max_all_bodies_bytes,
                DEFAULT_ANSWERS_BYTES,
            ),
            settings.memory_mb,
            settings.max_fds,
        )
        limits = CallerLimits(
            connections=fitted.connections,
            all_bodies_bytes=fitted.all_bodies_bytes,
            all_answers_bytes=fitted.all_answers_bytes,
            header_bytes=settings.max_header_bytes,
            body_bytes=settings.max_body_bytes,
            body_timeout_s=settings.body_timeout_s,
            write_timeout_s=settings.stream_write_timeout_s,
        )
        self._callers = CallersServer(self._router, limits, CLOSE_TIMEOUT_S)
        self._callers.refusals.add_gauges(self._router.metrics)
        self._operators = OperatorsServer(
            self._router,
            settings.operators_token,
            lambda: prometheus_text(self._router.metrics),
            lambda: os.kill(os.getpid(), signal.SIGTERM),
        )
        await self._callers.start(*split_address(settings.callers_listen))
        await self._operators.start(*split_address(settings.operators_listen))
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGUSR1, self._log_dump)
        log.info(
            'started',
            extra={
                'host': settings.host_id,
                'version': mustardscale.__version__,
            },
        )

    async def stop(self, exception: Exception | None = None) -> None:
        """Drains, then stops."""
        log.info('draining')
        whole = await self._router.drain(
            BALANCER_NOTICE_S, self.settings.drain_timeout_s
        )
        if not whole:
            log.warning('drain timeout reached; requests are cut off')
        await self._callers.stop()
        await self._operators.stop()
        await self._router.stop()
        log.info('stopped')

    def _log_dump(self) -> None:
        log.info('state', extra={'state': self._router.dump()})


def make_router(settings: Settings) -> Router:
    """Makes a router whose edges are those of the real systems."""
    rng = random.Random(f'{settings.seed}/{settings.host_id}')
    incarnation = time.time_ns() // 1_000_000
    identity = PeerIdentity(
        settings.host_id, incarnation, settings.peer_key.encode()
    )
    transport = TcpPeerTransport(identity, settings.peers_listen, rng)
    edges = Edges(
        HttpLogClient(_address_of(settings.log_url), settings.host_id),
        HttpHostList(_address_of(settings.host_list_url), settings.host_id),
        transport,
        HttpConnector(),
        time.time,
        _trace_to(settings),
    )
    router = Router(make_options(settings, incarnation), edges, rng)
    transport.traffic.add_gauges(router.metrics)
    return router


def make_options(settings: Settings, incarnation: int) -> RouterOptions:
    """Makes the options of a router from the settings.

    Args:
        settings: the settings.
        incarnation: start number of this process.
    """
    return RouterOptions(
        settings.host_id,
        incarnation,
        settings.data_centre,
        settings.region,
        settings.policy,
        MembershipTimes(
            heartbeat_s=settings.heartbeat_s,
            dead_after_s=settings.dead_after_s,
            host_list_s=settings.host_list_interval_s,
        ),
        settings.resume_grace_s,
        KeptAnswerLimits(settings.kept_answers_s, settings.kept_answers_bytes),
    )


def _trace_to(settings: Settings) -> TraceSink:
    """Returns where requests and decisions are recorded."""
    if not settings.record_file:
        return NoTrace()
    return FileTrace(pathlib.Path(settings.record_file), settings.record_bytes)


def _address_of(url: str) -> str:
    """Returns the 'ip:port' of a URL.

    >>> _address_of('http://127.0.0.1:9000/')
    '127.0.0.1:9000'
    """
    return url.partition('://')[2].rstrip('/')


def run(settings: Settings) -> None:
    """Runs the daemon until a signal ends it."""
    secrets = (settings.operators_token, settings.peer_key)
    output = configure_logging(settings.log_level, secrets=secrets)
    shutdown_timeout_s = settings.drain_timeout_s + 3 * CLOSE_TIMEOUT_S
    with aiomisc.entrypoint(
        EntryHost(settings=settings),
        log_config=False,
        shutdown_timeout=shutdown_timeout_s,
    ) as loop:
        loop.run_forever()
    output.close()


def main() -> None:
    """Reads the settings and runs the daemon."""
    arguments = sys.argv[1:]
    if '--version' in arguments:
        sys.stdout.write(f'mustardscaled {mustardscale.__version__}\n')
        return
    check_only = '--check-settings' in arguments
    arguments = [item for item in arguments if item != '--check-settings']
    try:
        settings = load_settings(arguments, os.environ)
    except* SettingError as group:
        for error in group.exceptions:
            sys.stderr.write(f'mustardscaled: {error}\n')
        sys.exit(EXIT_SETTINGS)
    if check_only:
        text = msgspec.json.format(
            msgspec.json.encode(public_settings(settings))
        )
        sys.stdout.write(text.decode() + '\n')
        return
    run(settings)


if __name__ == '__main__':
    main()

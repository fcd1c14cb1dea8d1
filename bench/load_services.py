"""Measures what the number of services costs an entry host.

Each customer is a service with a token of its own. The entry host's code is
called in one process, where nothing else runs.
"""

from __future__ import annotations

import asyncio
import hashlib
import time
from collections.abc import Callable

import async_solipsism

from bench.load_site import LOAD_PROFILE
from mustardscale.configuration.config_records import (
    ConfigChange,
    ConfigKey,
    ServiceChoice,
    encode_record,
)
from mustardscale.requests.limits import ServiceLimits
from mustardscale.router import Router
from standins.memory_site import MemorySite, SiteLayout, token_of

SERVICE_COUNTS = (10, 1_000, 20_000)
PROFILE = 'profile'
REPEATS = 50
# Time until the host owns its pools, seconds.
SETTLE_S = 2.0


async def _router(services: int) -> Router:
    """Returns an entry host that knows a number of services."""
    site = MemorySite(SiteLayout(entry_hosts=1))
    router = await site.start_host('entry-1')
    await asyncio.sleep(SETTLE_S)
    config = router.blackboard.config
    key = ConfigKey('profile', PROFILE)
    change = ConfigChange(key, 0, 'load', 'load', LOAD_PROFILE)
    config.apply(1, encode_record(change))
    for number in range(services):
        name = f'service-{number}'
        digest = hashlib.sha256(token_of(name).encode()).hexdigest()
        choice = ServiceChoice(PROFILE, model='model', token_sha256=(digest,))
        change = ConfigChange(
            ConfigKey('service', name), 0, 'load', 'load', service=choice
        )
        config.apply(number + 2, encode_record(change))
    return router


def _cost_us(step: Callable[[], object]) -> float:
    step()
    started = time.process_time()
    for _ in range(REPEATS):
        step()
    return 1e6 * (time.process_time() - started) / REPEATS


async def _costs(services: int) -> dict[str, float]:
    router = await _router(services)
    limits = ServiceLimits(router.blackboard)
    name = f'service-{services // 2}'
    token = token_of(name)

    def enter_and_leave() -> None:
        limits.enter(name, LOAD_PROFILE)
        limits.leave(name)

    costs = {
        'services': services,
        'authenticate_us': _cost_us(lambda: router.authenticate(token)),
        'limits_us': _cost_us(enter_and_leave),
        'pool_refresh_us': _cost_us(router.pool_owner.refresh),
        'digest_us': _cost_us(router.blackboard.config.digest),
        'is_ready_us': _cost_us(router.is_ready),
    }
    await router.stop()
    return costs


def measure_services() -> list[dict[str, float]]:
    """Measures the parts of a request that depend on the services known."""
    loop_factory = async_solipsism.EventLoop
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        return [runner.run(_costs(count)) for count in SERVICE_COUNTS]

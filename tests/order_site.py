"""Shared helpers of the tests of orders to engines."""

import asyncio
import itertools

import async_solipsism

from mustardscale.configuration.config_records import ConfigKey, Profile
from mustardscale.configuration.wanted_state import (
    WantedEngine,
    WeightStoreLimits,
)
from mustardscale.endpoints.engines import EngineRole
from standins.expected_answers import output_length
from standins.memory_site import MemorySite, SiteLayout
from tests.test_memory_site import language

MODEL = 'katode-lm'
ALL_ENGINES = f'model/{MODEL}'
ENGINES = [f'{MODEL}-{number}' for number in range(1, 6)]
# Some engines check fencing numbers and some don't.
LAYOUT = SiteLayout(unfenced_engines=2)
# Time within which every engine of the site reaches a wanted state, seconds.
REACHED_S = 120.0
POLL_S = 0.1
LONG_TOKENS = 2_000


def run_orders(scenario, layout=LAYOUT):
    """Runs a scenario with a started site under virtual time."""

    async def main():
        site = MemorySite(layout, seed=1)
        site.weight_store.conditions.loads_at_once = 1
        await site.start()
        await site.publish_defaults(Profile(patience_s=5), Profile())
        await asyncio.sleep(5)
        watch = asyncio.create_task(RoleWatch(site).run())
        try:
            await scenario(site)
            assert not watch.done(), watch.exception()
        finally:
            watch.cancel()
            await site.stop()

    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        runner.run(main())


class RoleWatch:
    """Fails if no engine of a role serves the model."""

    def __init__(self, site):
        self.site = site

    async def run(self):
        """Checks the engines at a short interval."""
        while True:
            for role in EngineRole:
                engines = [
                    engine.current_report()
                    for engine in self.site.engines_by_id.values()
                    if engine.current_report().role is role
                ]
                assert any(report.model == MODEL for report in engines), role
            await asyncio.sleep(POLL_S)


async def publish_wanted(site, name=ALL_ENGINES, version='2', **fields):
    """Publishes a wanted state based on the current version."""
    key = ConfigKey('engine', name)
    router = next(iter(site.routers_by_host.values()))
    base = router.blackboard.config.version(key)
    fields.setdefault('model', MODEL)
    content = WantedEngine(model_version=version, **fields)
    return await site.publish(key, content, base)


async def publish_weight_limits(site, **fields):
    """Publishes the limits of the weight store."""
    key = ConfigKey('weights', site.layout.region)
    await site.publish(key, WeightStoreLimits(**fields))


async def wait_until(check, within_s=REACHED_S):
    """Polls until a check holds and fails if it takes longer than within_s."""
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + within_s
    while not check():
        assert loop.time() < give_up_at, 'it did not come in time'
        await asyncio.sleep(POLL_S)


def served_versions(site):
    """Returns the version that each engine serves, '' while it loads."""
    reports = [e.current_report() for e in site.engines_by_id.values()]
    return [report.model and report.model_version for report in reports]


def all_serve(site, version):
    """Returns whether every engine serves a version and no change remains."""
    settled = all(
        not router.blackboard.orders.change_by_engine
        for router in site.routers_by_host.values()
    )
    return settled and set(served_versions(site)) == {version}


def current_changes(site):
    """Returns the changes in progress, by engine, from the newest state."""
    routers = site.routers_by_host.values()
    newest = max(routers, key=lambda r: r.blackboard.orders.version)
    return newest.blackboard.orders.change_by_engine


def find_coordinator(site):
    """Returns the coordinator according to the newest state."""
    routers = site.routers_by_host.values()
    newest = max(routers, key=lambda r: r.blackboard.orders.version)
    return newest.blackboard.orders.host


def loading_engines(site):
    """Returns the engines that are loading weights."""
    return [
        name
        for name, engine in site.engines_by_id.items()
        if not engine.current_report().model
    ]


def count_cut_streams(site):
    """Returns how many streams were ended by orders."""
    engines = site.engines_by_id.values()
    return sum(engine.counters.cut_by_orders for engine in engines)


def long_request():
    """Returns a request whose answer takes half a minute or more."""
    requests = (language(number, 4000) for number in itertools.count(1000))
    return next(
        request
        for request in requests
        if output_length(request.prompt.fingerprint, 4000) >= LONG_TOKENS
    )

"""Tests of what hosts deny while they may lack a version."""

import asyncio
import contextlib

import pytest

from mustardscale.configuration.route_source import CHANGE_BOUND_S
from mustardscale.exceptions import OutcomeError
from mustardscale.outcomes import Outcome
from mustardscale.relay.relay_messages import RelayRequest
from standins.rated_fleet import RatedFleet
from tests.virtual_time import virtual_time

SETTLE_S = 8.0
CUT_OFF = 'h002'


class Site:
    """A few hosts, one of which loses the store and its peers."""

    def __init__(self, hosts):
        self.fleet = RatedFleet(hosts)

    @contextlib.asynccontextmanager
    async def running(self):
        await self.fleet.start()
        try:
            await asyncio.sleep(SETTLE_S)
            yield
        finally:
            await self.fleet.stop()

    def set_cut(self, is_cut):
        self.fleet.keyed_log_by_host[CUT_OFF].link.is_cut = is_cut
        change = (
            self.fleet.network.cut if is_cut else self.fleet.network.restore
        )
        for host in self.fleet.router_by_host:
            if host != CUT_OFF:
                change(CUT_OFF, host)

    async def ask(self, address, key):
        """Returns the outcome at the host that is cut off, None if served."""
        host, _, path = address.partition('/')
        now = asyncio.get_running_loop().time()
        request = RelayRequest(
            'r1', host, 'GET', f'/{path}x', (), b'', now, 1.0, credential=key
        )
        router = self.fleet.router_by_host[CUT_OFF]
        try:
            async with router.serve(request):
                return None
        except OutcomeError as error:
            return error.outcome


class TestDenials:
    """Routes and keys that a host does not know."""

    @pytest.mark.parametrize('hosts', [6, 20])
    @virtual_time
    async def test_new_route_is_denied_by_a_host_that_is_cut_off(self, hosts):
        site = Site(hosts)
        async with site.running():
            site.set_cut(True)
            site.fleet.set_routes()
            key = site.fleet.config.keys[0]
            await asyncio.sleep(CHANGE_BOUND_S)
            for _ in range(20):
                await asyncio.sleep(0.5)
                outcome = await site.ask(site.fleet.config.added[-1], key)
                assert outcome is Outcome.CONFIG_UNAVAILABLE

    @virtual_time
    async def test_new_key_is_denied_by_a_host_that_is_cut_off(self):
        site = Site(6)
        async with site.running():
            site.set_cut(True)
            standing = site.fleet.config.standing
            await asyncio.sleep(CHANGE_BOUND_S + 0.5)
            outcome = await site.ask(standing, 'new')
            assert outcome is Outcome.CONFIG_UNAVAILABLE
            assert await site.ask(standing, '') is Outcome.UNAUTHENTICATED

    @pytest.mark.parametrize('hosts', [6, 20])
    @virtual_time
    async def test_what_never_was_is_denied_by_hosts_in_touch(self, hosts):
        site = Site(hosts)
        async with site.running():
            key = site.fleet.config.keys[0]
            standing = site.fleet.config.standing
            for _ in range(40):
                await asyncio.sleep(0.47)
                unknown = await site.ask('never.example/', key)
                assert unknown is Outcome.UNKNOWN_SERVICE
                wrong = await site.ask(standing, 'never')
                assert wrong is Outcome.UNAUTHENTICATED

    @virtual_time
    async def test_what_never_was_is_denied_after_the_return(self):
        site = Site(20)
        async with site.running():
            site.set_cut(True)
            await asyncio.sleep(10.0)
            site.set_cut(False)
            await asyncio.sleep(CHANGE_BOUND_S)
            unknown = await site.ask('never.example/', '')
            assert unknown is Outcome.UNKNOWN_SERVICE

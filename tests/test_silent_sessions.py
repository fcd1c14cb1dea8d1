"""Tests of HTTP connections that go silent while they are kept."""

import asyncio

import pytest
import uvloop
from aiohttp import web

from mustardscale.endpoints.http_sessions import REQUEST_ERRORS, make_session
from mustardscale.endpoints.silent_addresses import (
    UNANSWERED_S,
    SilentAddresses,
)
from mustardscale.exceptions import LogUnavailableError
from mustardscale.platform import store_client
from mustardscale.platform.store_client import StoreClient
from standins.peer_links import PeerLink, Silence
from standins.platform_store import WORKERS_TOPIC, PlatformStore
from tests.platform_site import listen

KEPT_CONNECTIONS = 5
TIMEOUT_S = 2 * UNANSWERED_S


async def count_lost(call, errors):
    """Returns how many calls are lost until one is answered."""
    for lost in range(KEPT_CONNECTIONS + 1):
        try:
            await call()
        except errors:
            continue
        return lost
    raise AssertionError('no call was answered')


class TestStore:
    """The platform's store, over connections that carry many calls."""

    def test_calls_are_lost_over_one_silent_connection_only(self, monkeypatch):
        """Guards against hosts that try one dead connection after the other.

        Each costs a time-out, in which no newer configuration is read.
        """
        monkeypatch.setattr(store_client, 'CALL_TIMEOUT_S', TIMEOUT_S)

        async def main():
            runner, address = await listen(PlatformStore().application())
            link = PeerLink(address)
            await link.start()
            client = StoreClient(link.address)
            try:
                puts = (
                    client.put(WORKERS_TOPIC, f'k{number}', b'{}')
                    for number in range(KEPT_CONNECTIONS)
                )
                await asyncio.gather(*puts)
                link.silence(Silence.BOTH)
                return await count_lost(
                    lambda: client.newest(WORKERS_TOPIC), LogUnavailableError
                )
            finally:
                await client.close()
                await link.close()
                await runner.cleanup()

        assert uvloop.run(main()) == 1


class TestSession:
    """Sessions of the own interface, to endpoints, the log and the list."""

    @pytest.mark.parametrize('silence', [Silence.CALLS, Silence.REPLIES])
    def test_calls_are_lost_over_one_silent_connection_only(self, silence):
        """Guards against requests that each wait on a dead connection."""
        together = asyncio.Barrier(KEPT_CONNECTIONS)

        async def answer(request):
            if request.path == '/together':
                await together.wait()
            return web.Response(text='done')

        async def main():
            application = web.Application()
            application.router.add_get('/{name}', answer)
            runner, address = await listen(application)
            link = PeerLink(address)
            await link.start()
            session = make_session()

            async def call(name='alone'):
                async with asyncio.timeout(TIMEOUT_S):
                    url = f'http://{link.address}/{name}'
                    async with session.get(url) as response:
                        assert await response.text() == 'done'

            try:
                calls = (call('together') for _ in range(KEPT_CONNECTIONS))
                await asyncio.gather(*calls)
                link.silence(silence)
                return await count_lost(call, REQUEST_ERRORS)
            finally:
                await session.close()
                await link.close()
                await runner.cleanup()

        assert uvloop.run(main()) == 1


class TestSilentAddresses:
    """What an unanswered request shows of kept connections."""

    def test_only_earlier_connections_to_the_address_may_be_silent(self):
        addresses = SilentAddresses(kept_s=15.0)
        addresses.record('a', sent_at=10.0, now=12.0)
        assert addresses.may_be_silent('a', received_at=9.0)
        assert not addresses.may_be_silent('a', received_at=11.0)
        assert not addresses.may_be_silent('b', received_at=9.0)

    def test_a_request_that_is_soon_given_up_shows_nothing(self):
        """Guards against connections closed for callers who leave early."""
        addresses = SilentAddresses(kept_s=15.0)
        addresses.record('a', sent_at=10.0, now=10.0 + UNANSWERED_S / 2)
        assert not addresses.may_be_silent('a', received_at=9.0)

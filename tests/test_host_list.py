"""Tests of the host list's stand-in and its clients."""

import asyncio

import aiohttp
import async_solipsism
import msgspec
import pytest

from mustardscale.exceptions import PeerUnavailableError
from mustardscale.hosts.host_list import ListedHost, ListedKind
from mustardscale.hosts.http_host_list import HttpHostList
from standins.faults import Outage
from standins.host_list_model import (
    HostChange,
    HostListModel,
    MemoryHostList,
)
from standins.host_list_server import make_host_list_application
from standins.memory_network import MemoryNetwork
from standins.serving import Listener


def make_host(id_):
    return ListedHost(id_, ListedKind.ENTRY, '127.0.0.1:1', 'dc-1', 'dk-east')


def run(coroutine):
    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        return runner.run(coroutine)


class TestHostListModel:
    """The list lags, fails, and can be made unreachable for one host."""

    def test_changes_show_after_the_lag(self):
        async def scenario():
            model = HostListModel([make_host('a'), make_host('b')])
            model.conditions.lag_s = 3.0
            client = MemoryHostList(model)
            model.change(HostChange(leaving=['a'], put=[make_host('c')]))
            await asyncio.sleep(2.9)
            assert [h.id for h in await client.fetch()] == ['a', 'b']
            model.change(HostChange(remove=['b']))
            await asyncio.sleep(0.1)
            hosts = await client.fetch()
            assert [h.id for h in hosts] == ['a', 'b', 'c']
            assert [h.leaving for h in hosts] == [True, False, False]
            await asyncio.sleep(3)
            assert [h.id for h in await client.fetch()] == ['a', 'c']

        run(scenario())

    def test_outages_and_cuts_are_unavailable(self):
        async def scenario():
            model = HostListModel([make_host('a')])
            client = MemoryHostList(model)
            for outage in (Outage.REFUSE, Outage.HANG):
                model.conditions.outage = outage
                with pytest.raises(PeerUnavailableError):
                    await client.fetch()
            model.conditions.outage = Outage.NONE
            cut = MemoryNetwork(reachable=lambda: False)
            with pytest.raises(PeerUnavailableError):
                await MemoryHostList(model, cut).fetch()
            assert len(await client.fetch()) == 1

        run(scenario())

    def test_unknown_host_changes_nothing(self):
        async def scenario():
            model = HostListModel([make_host('a')])
            with pytest.raises(ValueError, match='nobody'):
                model.change(HostChange(remove=['a', 'nobody']))
            assert [h.id for h in await model.fetch()] == ['a']

        run(scenario())


class TestHttpHostList:
    """The HTTP client reads the server's list and names its failures."""

    def test_reads_changes_and_faults(self):
        async def scenario():
            model = HostListModel([make_host('a')])
            app = make_host_list_application(model)
            listener = Listener(app, '127.0.0.1', 0)
            await listener.open()
            address = f'127.0.0.1:{listener.port}'
            client = HttpHostList(address, 'entry-1', fetch_timeout_s=0.3)
            async with aiohttp.ClientSession(f'http://{address}') as session:
                change = msgspec.json.encode(HostChange([make_host('b')]))
                async with session.post('/hosts', data=change) as answer:
                    assert answer.status == 200
                expected = [make_host('a'), make_host('b')]
                assert await client.fetch() == expected
                assert await client.fetch() is await client.fetch()
                for fault in (
                    {'cut_hosts': ['entry-1']},
                    {'outage': 'refuse'},
                    {'outage': 'hang'},
                ):
                    async with session.post('/faults', json=fault) as answer:
                        assert answer.status == 200
                    with pytest.raises(PeerUnavailableError):
                        await client.fetch()
                    reset = {'cut_hosts': ['entry-2'], 'outage': 'none'}
                    await session.post('/faults', json=reset)
                    assert await client.fetch() == expected
                for wrong in (
                    {'outage': 'odd'},
                    {'lag_s': -1},
                    {'lag_s': 2, 'unknown': 1},
                    [1],
                ):
                    async with session.post('/faults', json=wrong) as answer:
                        assert answer.status == 400
            assert model.conditions.lag_s == 0
            model.change(HostChange(remove=['a']))
            assert await client.fetch() == [make_host('b')]
            await listener.close()
            with pytest.raises(PeerUnavailableError):
                await client.fetch()
            await client.close()

        asyncio.run(scenario())

"""Tests of the clients of endpoints whose processes are replaced."""

import asyncio

from mustardscale.blackboard import Blackboard, EndpointEntry
from mustardscale.endpoints.endpoint_clients import RETIRED_S, ProcessClients
from mustardscale.endpoints.endpoint_notices import EndpointNotice
from mustardscale.hosts.host_list import ListedKind
from tests.platform_site import PlatformSite, until
from tests.virtual_time import virtual_time

ADDRESS = '10.0.0.1:80'
USAGE = {'X-Token-Usage': '1000,500'}


class FakeClient:
    """Remembers for which endpoint it was created."""

    def __init__(self, endpoint):
        self.endpoint_id = endpoint.id
        self.closed = False

    async def close(self):
        self.closed = True


def listed(board, endpoint_id, address=ADDRESS):
    entry = EndpointEntry(
        endpoint_id, ListedKind.ENGINE, address, 'dc', 'region'
    )
    board.endpoints_by_id[endpoint_id] = entry
    return entry


def clients():
    board = Blackboard('host', 1, 'dc', 'region')
    return board, ProcessClients(board, FakeClient)


class TestReplacedProcess:
    """A process that starts at the address of one that has ended."""

    @virtual_time
    async def test_another_id_at_the_address_gets_its_own_client(self):
        board, by_process = clients()
        listed(board, 'd1')
        assert by_process.get('d1').endpoint_id == 'd1'
        del board.endpoints_by_id['d1']
        listed(board, 'd1-1')
        assert by_process.get('d1-1').endpoint_id == 'd1-1'
        assert by_process.get('d1') is None

    @virtual_time
    async def test_the_same_id_started_again_gets_a_new_client(self):
        board, by_process = clients()
        entry = listed(board, 'd1')
        first = by_process.get('d1')
        assert by_process.get('d1') is first
        entry.notice = EndpointNotice(start=2)
        assert by_process.get('d1') is not first

    @virtual_time
    async def test_clients_of_gone_processes_are_closed(self):
        board, by_process = clients()
        for number in range(100):
            listed(board, f'd{number}')
            client = by_process.get(f'd{number}')
            del board.endpoints_by_id[f'd{number}']
        listed(board, 'last')
        by_process.get('last')
        await by_process.close_retired()
        assert not client.closed
        await asyncio.sleep(RETIRED_S + 1.0)
        await by_process.close_retired()
        assert client.closed
        assert len(by_process) == 1


class TestEngineThatReturns:
    """An engine that comes back at its address under another id."""

    def test_its_reports_are_read_and_it_serves(self):
        async def scenario():
            async with PlatformSite() as site:
                router = await site.add_host('h1')
                await until(lambda: 'd1' in router.blackboard.endpoints_by_id)
                site.unlist_worker('d2')
                status, _, _ = await site.ask('/chat/x', 'r1', headers=USAGE)
                assert status == 200
                site.restart_worker('d1', 'd1-1')
                board = router.blackboard
                await until(lambda: 'd1-1' in board.endpoints_by_id)
                await until(
                    lambda: board.endpoints_by_id['d1-1'].report is not None
                )
                status, _, _ = await site.ask('/chat/x', 'r2', headers=USAGE)
                assert status == 200
                assert site.workers['d1-1'].ran[-1] == 'r2'

        asyncio.run(scenario())

"""Tests of software versions that come and go between two readings."""

import asyncio
import random

import msgspec

from mustardscale.blackboard import Blackboard
from mustardscale.hosts.host_list_controller import HostListController
from mustardscale.hosts.membership import MembershipTimes
from mustardscale.log.keyed_log import KeyedRecord
from mustardscale.log.keyed_tail import KeyedTail
from mustardscale.platform.store_hosts import StoreHostList
from mustardscale.versions.version_log import VersionLog, VersionRecord
from standins.platform_plan import worker_entry
from tests.test_keyed_tail import FakeLog
from tests.virtual_time import virtual_time

SERVICE = 'summary'


def entry_of(version, phase='decode', state='ready'):
    entry = worker_entry('127.0.0.1:80', phase, state, version)
    return msgspec.json.encode(entry | {'service': SERVICE})


class Scene:
    """A host that reads engines and records of versions."""

    def __init__(self):
        self.workers, self.versions = FakeLog(), FakeLog()
        board = Blackboard('me', 1, 'dc', 'r')
        rng = random.Random(1)
        self.tails = [
            KeyedTail(board, log, 's', rng)
            for log in (self.workers, self.versions, FakeLog())
        ]
        workers, versions, hosts = self.tails
        host_list = StoreHostList(None, workers, hosts, 'r')
        self.host_list = HostListController(
            board, host_list, MembershipTimes(), rng
        )
        self.log = VersionLog(board, self.versions, versions, self.host_list)

    async def __aenter__(self):
        """Starts to follow, with an engine and a record of v1."""
        self.workers.put_now('e1', entry_of('v1'))
        record = msgspec.json.encode(VersionRecord(SERVICE, 'v1'))
        self.versions.put_now('r1', record)
        self._tasks = [
            asyncio.create_task(part.run())
            for part in (*self.tails, self.host_list)
        ]
        await asyncio.sleep(0.1)
        return self

    async def __aexit__(self, *_):
        """Stops."""
        for task in self._tasks:
            task.cancel()

    def miss(self, *contents):
        """Writes entries of one engine of which no read tells yet."""
        for content in contents:
            offset = len(self.workers.records) + 1
            self.workers.records.append(KeyedRecord('e2', content, offset))

    async def find_sole(self):
        await self.log.confirmation.run()
        return self.log.find_sole_version(SERVICE)


class TestPassedVersions:
    """Engines that no reading of the list shows."""

    @virtual_time
    async def test_only_version_is_known(self):
        async with Scene() as scene:
            assert await scene.find_sole() == 'v1'

    @virtual_time
    async def test_version_that_has_gone_again_is_forgotten(self):
        async with Scene() as scene:
            scene.miss(entry_of('v2'), b'')
            assert await scene.find_sole() == ''

    @virtual_time
    async def test_version_under_an_id_that_is_back_is_forgotten(self):
        async with Scene() as scene:
            scene.miss(entry_of('v1'), entry_of('v2'), entry_of('v1'))
            assert await scene.find_sole() == ''

    @virtual_time
    async def test_entries_that_only_change_their_state_count_as_versions(self):
        async with Scene() as scene:
            scene.miss(entry_of('v1'), entry_of('v1', state='draining'), b'')
            assert await scene.find_sole() == 'v1'

    @virtual_time
    async def test_unreadable_entry_that_has_gone_does_harm(self):
        async with Scene() as scene:
            scene.miss(b'{', b'')
            assert await scene.find_sole() == 'v1'

"""Tests of host lists that hosts write themselves and copy from peers."""

import asyncio
import random

from mustardscale.blackboard import Blackboard
from mustardscale.exceptions import PeerUnavailableError
from mustardscale.hosts.host_list import HostList, ListedHost, ListedKind
from mustardscale.hosts.host_list_controller import (
    EXPIRY_GRACE_S,
    HostListController,
)
from mustardscale.hosts.host_list_copy import HostListCopy
from mustardscale.hosts.host_registration import (
    RETIRE_AFTER_S,
    HostRegistration,
)
from mustardscale.hosts.membership import MembershipTimes
from mustardscale.hosts.quorum import Quorum, has_quorum
from mustardscale.peers.peer_messages import HostListFetch, HostListFetchReply
from tests.test_suspension import Mesh
from tests.virtual_time import virtual_time

# A tenth of the narrowest links of hosts, 5 Mbit/s.
LIST_BYTES_PER_S = 62_500


def endpoint(name, leaving=False):
    return ListedHost(
        name, ListedKind.PLAIN, f'{name}:1', 'dc', 'r', leaving, 'service'
    )


def entry_host(name):
    return ListedHost(name, ListedKind.ENTRY, f'{name}:1', 'dc', 'r')


class FakeList(HostList):
    """A list set by a test, which reports each change to its readers."""

    def __init__(self, *listed):
        self.listed = list(listed)
        self.version = 1
        self.current = True
        self.announced = []
        self.retired = []
        self.failing = 0
        self._changed = asyncio.Event()

    def set(self, *listed):
        self.listed = list(listed)
        self.version += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def fetch(self):
        if not self.current:
            raise PeerUnavailableError('down')
        return self.listed

    def is_current(self):
        return self.current

    async def wait_changed(self, timeout_s):
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            pass

    async def announce(self, host):
        self.failing -= 1
        if self.failing >= 0:
            raise PeerUnavailableError('down')
        self.announced.append(host.id)

    async def retire(self, host):
        self.retired.append(host)


class Scene:
    """One host that reads a list."""

    def __init__(self, *listed):
        self.board = Blackboard('me', 1, 'dc', 'r')
        self.board.address = 'me:1'
        self.list = FakeList(*listed)
        self.rng = random.Random(1)
        self.controller = HostListController(
            self.board, self.list, MembershipTimes(), self.rng
        )
        self.tasks = [asyncio.create_task(self.controller.run())]

    def known(self):
        return set(self.board.endpoints_by_id)

    def stop(self):
        for task in self.tasks:
            task.cancel()


class TestChanges:
    """A list that reports its changes."""

    @virtual_time
    async def test_a_leaving_endpoint_is_known_at_once(self):
        scene = Scene(endpoint('a'), endpoint('b'))
        await asyncio.sleep(0.01)
        scene.list.set(endpoint('a', leaving=True), endpoint('b'))
        await asyncio.sleep(0.01)
        now = asyncio.get_running_loop().time()
        assert scene.board.endpoints_by_id['a'].leaving(now)
        scene.stop()

    @virtual_time
    async def test_a_removed_endpoint_is_dropped_at_once(self):
        scene = Scene(*map(endpoint, 'abc'))
        await asyncio.sleep(0.01)
        scene.list.set(endpoint('a'), endpoint('b'))
        await asyncio.sleep(0.01)
        assert scene.known() == {'a', 'b'}
        scene.stop()


class TestExpiredEntries:
    """Entries that expire while the list can not be read."""

    @virtual_time
    async def test_an_endpoint_missing_after_an_outage_may_return(self):
        scene = Scene(*map(endpoint, 'abc'))
        await asyncio.sleep(0.01)
        scene.list.regained_at = asyncio.get_running_loop().time()
        scene.list.set(endpoint('a'), endpoint('b'))
        await asyncio.sleep(EXPIRY_GRACE_S - 0.2)
        assert scene.known() == {'a', 'b', 'c'}
        scene.list.set(*map(endpoint, 'abc'))
        await asyncio.sleep(1.0)
        assert scene.known() == {'a', 'b', 'c'}
        scene.stop()

    @virtual_time
    async def test_an_endpoint_missing_after_the_grace_is_dropped(self):
        scene = Scene(*map(endpoint, 'abc'))
        await asyncio.sleep(0.01)
        scene.list.regained_at = asyncio.get_running_loop().time()
        scene.list.set(endpoint('a'), endpoint('b'))
        await asyncio.sleep(EXPIRY_GRACE_S + 0.1)
        assert scene.known() == {'a', 'b'}
        scene.stop()

    @virtual_time
    async def test_entries_missing_together_are_kept_for_the_grace(self):
        scene = Scene(*map(endpoint, 'abcd'))
        await asyncio.sleep(0.01)
        scene.list.set(endpoint('a'))
        await asyncio.sleep(EXPIRY_GRACE_S - 0.2)
        assert scene.known() == set('abcd')
        await asyncio.sleep(0.4)
        assert scene.known() == {'a'}
        scene.stop()


class FakeCalls:
    """Calls to a peer, answered by the list copy of another host."""

    def __init__(self):
        self.handler = None
        self.asked = []
        self.received_bytes = 0
        self.peer = None

    def handle(self, request_type, handler):
        self.handler = handler

    async def call(self, host, request, reply_type, timeout_s):
        self.asked.append(host)
        reply = await self.peer.handler('me', request)
        self.received_bytes += len(reply.content)
        return reply

    async def call_address(self, address, request, reply_type, timeout_s):
        return await self.call(address, request, reply_type, timeout_s)


class TestCopies:
    """A host that can not read the list asks other hosts."""

    def copy(self, scene, calls, seeds=()):
        copy = HostListCopy(
            scene.board, calls, scene.list, scene.controller, seeds, scene.rng
        )
        scene.tasks.append(asyncio.create_task(copy.run()))

    @virtual_time
    async def test_a_new_host_copies_the_list_from_a_seed(self):
        there, here = Scene(endpoint('a'), entry_host('x')), Scene()
        here.list.current = False
        calls, theirs = FakeCalls(), FakeCalls()
        self.copy(there, theirs)
        self.copy(here, calls, ('me:1', 'x:1'))
        calls.peer = theirs
        await asyncio.sleep(1.0)
        assert here.known() == {'a'}
        assert set(here.board.hosts_by_id) == {'x'}
        assert set(calls.asked) == {'x:1'}
        there.stop()
        here.stop()

    @virtual_time
    async def test_list_of_a_large_site_fills_a_narrow_link(self):
        hosts = [entry_host(f'host-{number}') for number in range(195)]
        there, here = Scene(*hosts), Scene()
        here.list.current = False
        calls, theirs = FakeCalls(), FakeCalls()
        self.copy(there, theirs)
        self.copy(here, calls, ('x:1',))
        calls.peer = theirs
        await asyncio.sleep(10.0)
        assert len(here.board.hosts_by_id) >= len(hosts)
        assert calls.received_bytes / 10.0 <= LIST_BYTES_PER_S
        there.stop()
        here.stop()

    @virtual_time
    async def test_damaged_list_changes_nothing(self):
        here = Scene(endpoint('b'))
        await asyncio.sleep(0.01)
        here.list.current = False
        calls, theirs = FakeCalls(), FakeCalls()
        self.copy(here, calls, ('x:1',))
        calls.peer = theirs

        async def answer(sender, request):
            return HostListFetchReply(9, b'damaged', is_compressed=True)

        theirs.handler = answer
        await asyncio.sleep(1.0)
        assert calls.asked
        assert here.known() == {'b'}
        here.stop()

    @virtual_time
    async def test_hosts_of_earlier_builds_get_the_list_as_it_is(self):
        there = Scene(entry_host('x'))
        theirs = FakeCalls()
        self.copy(there, theirs)
        await asyncio.sleep(0.01)
        reply = await theirs.handler('old', HostListFetch(0))
        assert not reply.is_compressed
        assert b'"x"' in reply.content
        there.stop()

    @virtual_time
    async def test_a_copied_list_names_the_host_that_sent_it(self):
        there, here = Scene(endpoint('a')), Scene()
        there.board.host, there.board.address = 'them', 'them:1'
        here.list.current = False
        calls, theirs = FakeCalls(), FakeCalls()
        self.copy(there, theirs)
        self.copy(here, calls, ('them:1',))
        calls.peer = theirs
        await asyncio.sleep(1.0)
        assert here.board.hosts_by_id['them'].address == 'them:1'
        there.stop()
        here.stop()

    @virtual_time
    async def test_an_older_copy_changes_nothing(self):
        there, here = Scene(endpoint('a')), Scene(endpoint('b'))
        await asyncio.sleep(0.01)
        here.list.set(endpoint('b'))
        await asyncio.sleep(0.01)
        here.list.current = False
        calls, theirs = FakeCalls(), FakeCalls()
        self.copy(there, theirs)
        self.copy(here, calls, ('x:1',))
        calls.peer = theirs
        await asyncio.sleep(1.0)
        assert here.known() == {'b'}
        there.stop()
        here.stop()

    @virtual_time
    async def test_nobody_is_asked_while_the_list_can_be_read(self):
        here = Scene(endpoint('b'))
        calls = FakeCalls()
        self.copy(here, calls, ('x:1',))
        await asyncio.sleep(2.0)
        assert calls.asked == []
        here.stop()


class TestRegistration:
    """Adding entry hosts to the list and removing them."""

    def register(self, scene):
        registration = HostRegistration(
            scene.board, scene.list, scene.controller, scene.rng
        )
        scene.tasks.append(asyncio.create_task(registration.run()))
        return registration

    @virtual_time
    async def test_announcing_is_retried_until_it_succeeds(self):
        scene = Scene()
        scene.list.failing = 2
        self.register(scene)
        await asyncio.sleep(1.8)
        assert scene.list.announced == ['me']
        scene.stop()

    @virtual_time
    async def test_it_retires_a_host_that_stays_silent(self):
        scene = Scene(entry_host('x'), entry_host('me'))
        self.register(scene)
        await asyncio.sleep(RETIRE_AFTER_S - 1.0)
        assert scene.list.retired == []
        await asyncio.sleep(4.0)
        assert set(scene.list.retired) == {'x'}
        scene.stop()

    @virtual_time
    async def test_it_announces_again_when_it_was_retired(self):
        scene = Scene(entry_host('me'))
        self.register(scene)
        await asyncio.sleep(0.1)
        scene.list.set()
        await asyncio.sleep(3.0)
        assert scene.list.announced[:2] == ['me', 'me']
        scene.stop()


class SharedList(FakeList):
    """A list that live hosts keep themselves, and that one host may empty."""

    async def retire(self, host):
        await super().retire(host)
        kept = [listed for listed in self.listed if listed.id != host]
        self.set(*kept)


class TestEmptyList:
    """A host that is cut off from its peers, but not from the list."""

    async def cut_off(self, returns_after_s=None):
        """Plays a minute; returns when the host held a quorum."""
        scene = Scene()
        scene.controller._host_list = scene.list = SharedList(
            *map(entry_host, ('me', 'x', 'y', 'z'))
        )
        registration = HostRegistration(
            scene.board, scene.list, scene.controller, scene.rng
        )
        scene.tasks.append(asyncio.create_task(registration.run()))
        quorum = Quorum(scene.board, Mesh())
        held_at = []
        for step in range(600):
            await asyncio.sleep(0.1)
            quorum.update()
            now = asyncio.get_running_loop().time()
            if has_quorum(scene.board, now):
                held_at.append(now)
            known = {host.id for host in scene.list.listed}
            gone = {'x', 'y', 'z'} - known
            if returns_after_s is not None and gone:
                announce = scene.list.set, *scene.list.listed
                if step % round(returns_after_s * 10) == 0:
                    announce[0](*announce[1:], *map(entry_host, sorted(gone)))
        scene.stop()
        return held_at

    @virtual_time
    async def test_host_that_took_its_peers_off_the_list_has_a_quorum(self):
        assert await self.cut_off(returns_after_s=2.5) == []

    @virtual_time
    async def test_host_whose_peers_are_gone_never_has_a_quorum(self):
        held_at = await self.cut_off()
        assert held_at
        assert RETIRE_AFTER_S < held_at[0] < RETIRE_AFTER_S + 10.0

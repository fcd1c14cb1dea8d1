"""Tests of calls that go to an endpoint through another host."""

import asyncio
import dataclasses

import pytest

from mustardscale.blackboard import EndpointEntry
from mustardscale.exceptions import (
    EndpointFailedError,
    EndpointGoneError,
    EndpointUnreachableError,
    PeerUnavailableError,
)
from mustardscale.forwarding.endpoint_links import EndpointLinks
from mustardscale.forwarding.forward_server import MAX_OPEN_CALLS
from mustardscale.forwarding.forwarders import ForwardedReply
from mustardscale.forwarding.forwarding_endpoint import (
    ForwardedAnswer,
    ForwardingEndpoint,
)
from mustardscale.hosts.host_list import ListedKind
from mustardscale.outcomes import Outcome, OutcomeClass, outcome_class
from mustardscale.peers.forward_messages import (
    NO_POSITION,
    ForwardCall,
    ForwardClose,
    ForwardedRequest,
    ForwardKind,
    ForwardOutcome,
    ForwardPart,
    ForwardRead,
    ForwardReply,
)
from standins.crash_fleet import SERVICE
from standins.cut_fleet import BOOK, READ, CutFleet
from standins.cut_links import CutMode
from tests.relay_fakes import FakeEndpoint
from tests.virtual_time import virtual_time

# Time in which a cut host has found the way through another one, seconds.
FOUND_S = 2.0
# Time after a caller's end at which no endpoint works for it, seconds.
ENDED_S = 0.1


def now():
    return asyncio.get_running_loop().time()


async def start_cut(hosts=3, mode=CutMode.REFUSED, **options):
    """Starts a fleet, cuts its last host off and lets that find a way."""
    fleet = CutFleet(hosts, **options)
    await fleet.start()
    name = list(fleet.router_by_host)[-1]
    fleet.links.cut(name, mode)
    for route in (READ, READ, SERVICE, SERVICE):
        await fleet.try_once(name, route)
    await asyncio.sleep(FOUND_S)
    fleet.tries.clear()
    return fleet, name


def running(fleet):
    """Returns how many requests the endpoints work on."""
    plain = sum(model.running for model in fleet.plain_by_id.values())
    return plain + sum(e.running for e in fleet.engine_by_address.values())


def forward_servers(fleet):
    """Returns the open answers of each host that serves for others."""
    return {
        host: router.forward_server
        for host, router in fleet.router_by_host.items()
    }


def way_of(fleet):
    """Returns the host that an open request goes through."""
    [host] = [
        host
        for host, server in forward_servers(fleet).items()
        if server.open_calls
    ]
    return host


class TestLinks:
    """What a host takes as known of its links."""

    def test_two_lost_endpoints_and_none_reached_is_cut_off(self):
        links = EndpointLinks()
        links.record_reached('e1', 1.0)
        links.record_lost('e1', 2.0)
        assert not links.is_cut_off
        links.record_lost('e2', 2.1)
        assert links.is_cut_off

    def test_one_answer_ends_it(self):
        links = EndpointLinks()
        links.record_lost('e1', 2.0)
        links.record_lost('e2', 2.1)
        links.record_reached('e3', 2.2)
        assert not links.is_cut_off

    def test_others_are_forwarded_once_one_is(self):
        links = EndpointLinks()
        links.record_lost('e1', 2.0)
        links.record_lost('e2', 2.1)
        assert not links.is_forwarded('e3')
        links.lost_by_id['e1'].is_forwarded = True
        assert links.is_forwarded('e3')
        assert not links.is_forwarded('e2')


class FakeForwarders:
    """Another host, whose reply is given."""

    def __init__(self, reply):
        self.reply = reply

    async def call(self, endpoint, call, timeout_s):
        return ForwardedReply('h2', self.reply)


class FakeMonitor:
    """A monitor of a host that has links to other endpoints, or has none."""

    def __init__(self, reply, has_links):
        self.forwarders = FakeForwarders(reply)
        self.links = EndpointLinks()
        self.has_links = has_links

    async def reaches_others(self, endpoint_id, since):
        return self.has_links

    def record_reached(self, endpoint_id):
        raise AssertionError('the endpoint was not reached')


class TestQuestions:
    """What is believed where this host and another one fail differently."""

    async def ask(self, error, has_links=True, **reply):
        entry = EndpointEntry('e1', ListedKind.PLAIN, 'e1:1', 'z', 'r', 's')
        direct = FakeEndpoint('e1')

        async def read_start():
            raise error

        direct.read_start = read_start
        unreached = ForwardReply(ForwardOutcome.UNREACHED, 'reset', **reply)
        endpoint = ForwardingEndpoint(
            entry, direct, None, FakeMonitor(unreached, has_links)
        )
        await endpoint.read_start()

    @virtual_time
    async def test_a_vague_reply_does_not_hide_a_refusal_here(self):
        with pytest.raises(EndpointGoneError):
            await self.ask(EndpointGoneError('refused'), reaches_others=True)

    @virtual_time
    async def test_a_refusal_over_lost_links_shows_nothing(self):
        with pytest.raises(EndpointUnreachableError) as info:
            await self.ask(
                EndpointGoneError('refused'),
                has_links=False,
                reaches_others=True,
            )
        assert not isinstance(info.value, EndpointGoneError)

    @virtual_time
    async def test_a_refusal_there_counts_where_this_host_saw_nothing(self):
        with pytest.raises(EndpointGoneError):
            await self.ask(
                EndpointUnreachableError('timeout'),
                gone=True,
                reaches_others=True,
            )

    @virtual_time
    async def test_no_refusal_at_all_shows_nothing(self):
        with pytest.raises(EndpointUnreachableError) as info:
            await self.ask(
                EndpointUnreachableError('timeout'), reaches_others=True
            )
        assert not isinstance(info.value, EndpointGoneError)


class TestHostInBetween:
    """Requests whose host in between ends or is harmed."""

    @pytest.mark.parametrize(
        'fault', ['kill', 'freeze', 'cut', 'cut-peers', 'drain']
    )
    @pytest.mark.parametrize('route', [BOOK, READ, SERVICE])
    @virtual_time
    async def test_outcomes_are_true(self, route, fault):
        fleet, name = await start_cut()
        for model in fleet.plain_by_id.values():
            model.work_s = 0.3
        tries = [
            asyncio.create_task(fleet.try_once(name, route)) for _ in range(10)
        ]
        await asyncio.sleep(0.15)
        via = max(
            forward_servers(fleet).items(), key=lambda item: item[1].open_calls
        )[0]
        drain = None
        if fault == 'kill':
            await fleet.kill_host(via)
        elif fault == 'freeze':
            fleet.peers.freeze(via)
        elif fault == 'cut':
            fleet.links.cut(via, CutMode.RESET)
        elif fault == 'cut-peers':
            fleet.cut_host(via)
        else:
            drain = asyncio.create_task(
                fleet.router_by_host[via].drain(0.2, 5.0)
            )
        await asyncio.sleep(3.0)
        fleet.peers.thaw(via)
        ended = await asyncio.gather(*tries)
        assert not fleet.false_outcomes()
        if drain is not None:
            assert await drain
            assert {one.outcome for one in ended} == {Outcome.COMPLETE}
        if route != BOOK:
            later = await fleet.try_once(name, route)
            assert later.outcome is Outcome.COMPLETE
        await asyncio.sleep(2.0)
        assert running(fleet) == 0
        await fleet.stop()

    @virtual_time
    async def test_a_host_that_is_cut_off_itself_sends_no_request(self):
        fleet, name = await start_cut(mode=CutMode.RESET)
        second = next(iter(fleet.router_by_host))
        fleet.links.cut(second, CutMode.RESET)
        for route in (SERVICE, READ):
            await fleet.try_once(second, route)
        await asyncio.sleep(0.1)
        tries = [await fleet.try_once(name, BOOK) for _ in range(20)]
        assert {one.outcome for one in tries} == {Outcome.COMPLETE}
        await fleet.stop()

    @virtual_time
    async def test_a_draining_host_is_passed_over(self):
        fleet, name = await start_cut()
        other = next(h for h in fleet.router_by_host if h != name)
        fleet.router_by_host[other].blackboard.draining = True
        tries = [await fleet.try_once(name, READ) for _ in range(20)]
        assert {one.outcome for one in tries} == {Outcome.COMPLETE}
        await fleet.stop()


class TestCallers:
    """Callers of forwarded requests."""

    @pytest.mark.parametrize('route', [READ, SERVICE])
    @virtual_time
    async def test_the_end_of_a_caller_ends_the_work(self, route):
        fleet, name = await start_cut()
        for model in fleet.plain_by_id.values():
            model.work_s = 2.0
        tries = [
            asyncio.create_task(fleet.try_once(name, route)) for _ in range(8)
        ]
        await asyncio.sleep(0.25)
        assert running(fleet) >= 8
        for one in tries:
            one.cancel()
        await asyncio.sleep(ENDED_S)
        assert running(fleet) == 0
        servers = forward_servers(fleet).values()
        assert not any(server.open_calls for server in servers)
        await fleet.stop()

    @virtual_time
    async def test_the_end_of_their_host_ends_the_work(self):
        fleet, name = await start_cut()
        for model in fleet.plain_by_id.values():
            model.work_s = 2.0
        for route in (READ, SERVICE):
            fleet._spawn(fleet.try_once(name, route))
        await asyncio.sleep(0.25)
        assert running(fleet) == 2
        for call in list(fleet._calls):
            call.add_done_callback(lambda done: done.exception())
        await fleet.kill_host(name)
        await asyncio.sleep(1.0)
        assert running(fleet) == 0
        await fleet.stop()

    @virtual_time
    async def test_an_answer_that_nobody_reads_is_closed(self):
        fleet, name = await start_cut()
        other = next(h for h in fleet.router_by_host if h != name)
        fleet.peers.lose_replies(other, name, 1.0)
        router = fleet.router_by_host[name]
        engine = fleet.decode_engines()[0]
        call = ForwardCall(
            ForwardKind.RUN, engine.id, ForwardedRequest('r1', deadline_s=30.0)
        )
        asking = asyncio.create_task(
            router._calls.call(other, call, ForwardReply, 1.0)
        )
        await asyncio.sleep(0.5)
        assert running(fleet) == 1
        with pytest.raises(PeerUnavailableError):
            await asking
        await asyncio.sleep(2.0)
        assert running(fleet) == 0
        await fleet.stop()


class TestPositions:
    """Which part of which answer a read gets."""

    async def open(self, fleet, name, other, request_id='r1'):
        """Opens an answer at another host and returns its number."""
        engine = fleet.decode_engines()[0]
        request = ForwardedRequest(request_id, deadline_s=30.0)
        call = ForwardCall(ForwardKind.RUN, engine.id, request)
        calls = fleet.router_by_host[name]._calls
        reply = await calls.call(other, call, ForwardReply, 1.0)
        assert reply.stream
        return reply.stream

    async def read(self, fleet, name, other, *fields):
        """Reads a part, waiting for data."""
        calls = fleet.router_by_host[name]._calls
        read = ForwardRead(*fields)
        while True:
            part = await calls.call(other, read, ForwardPart, 4.0)
            if part.data or part.ended or part.failed:
                return part

    @virtual_time
    async def test_parts_follow_each_other(self):
        fleet, name = await start_cut()
        other = next(h for h in fleet.router_by_host if h != name)
        number = await self.open(fleet, name, other)
        received = b''
        while True:
            part = await self.read(fleet, name, other, number, len(received))
            assert part.position == len(received)
            received += part.data
            if part.ended:
                break
        assert received
        await fleet.stop()

    @virtual_time
    async def test_part_whose_reply_was_lost_is_not_passed_over(self):
        fleet, name = await start_cut()
        other = next(h for h in fleet.router_by_host if h != name)
        number = await self.open(fleet, name, other)
        assert (await self.read(fleet, name, other, number, 0)).data
        # The reply did not arrive, so the position is the same.
        again = await self.read(fleet, name, other, number, 0)
        assert again.failed
        assert not again.data
        await asyncio.sleep(ENDED_S)
        assert running(fleet) == 0
        await fleet.stop()

    @virtual_time
    async def test_host_of_an_earlier_release_is_served(self):
        fleet, name = await start_cut()
        other = next(h for h in fleet.router_by_host if h != name)
        number = await self.open(fleet, name, other)
        parts = 0
        while True:
            part = await self.read(fleet, name, other, number)
            assert not part.failed
            parts += 1
            if part.ended:
                break
        assert parts > 2
        await fleet.stop()

    @virtual_time
    async def test_number_of_an_earlier_start_gets_no_other_answer(self):
        fleet, name = await start_cut()
        other = next(h for h in fleet.router_by_host if h != name)
        before = await self.open(fleet, name, other)
        await fleet.kill_host(other)
        await fleet.start_host(other)
        await asyncio.sleep(FOUND_S)
        after = await self.open(fleet, name, other, 'r2')
        assert after > before
        part = await self.read(fleet, name, other, before)
        assert part.failed
        assert not part.data
        await fleet.stop()


class ScriptedForwarders:
    """Hosts in between that reply to reads with the given parts in order."""

    def __init__(self, *parts):
        self.calls = self
        self.parts = list(parts)
        self.reads = []
        self.closed = []

    async def call(self, host, read, reply_type, timeout_s):
        self.reads.append(read)
        return self.parts.pop(0)

    def close_later(self, host, close):
        self.closed.append(close)


class TestReader:
    """What a host takes from the parts that another one hands it."""

    def answer(self, *parts):
        forwarders = ScriptedForwarders(*parts)
        reply = ForwardReply(
            ForwardOutcome.DONE, status=200, framing='length', stream=7
        )
        return forwarders, ForwardedAnswer(
            forwarders, ForwardedReply('other', reply)
        )

    @pytest.mark.parametrize('stated', [True, False])
    @virtual_time
    async def test_parts_that_follow_are_taken(self, stated):
        parts = [
            ForwardPart(b'abc', position=0),
            ForwardPart(position=3),
            ForwardPart(b'de', position=3),
            ForwardPart(ended=True, position=5),
        ]
        if not stated:
            parts = [
                dataclasses.replace(part, position=NO_POSITION)
                for part in parts
            ]
        forwarders, answer = self.answer(*parts)
        assert [data async for data in answer.chunks()] == [b'abc', b'de']
        assert forwarders.reads == [
            ForwardRead(7, position) for position in (0, 3, 3, 5)
        ]

    @pytest.mark.parametrize(
        'part',
        [
            ForwardPart(b'x', position=0),
            ForwardPart(b'x', position=4),
            ForwardPart(ended=True, position=9),
        ],
    )
    @virtual_time
    async def test_part_at_another_position_breaks_the_answer_off(self, part):
        forwarders, answer = self.answer(ForwardPart(b'abc', position=0), part)
        taken = []
        with pytest.raises(EndpointFailedError) as caught:
            async for data in answer.chunks():
                taken.append(data)
        assert not caught.value.crashed
        assert taken == [b'abc']
        answer.close()
        assert forwarders.closed == [ForwardClose(7)]


class TestBounds:
    """What one host takes on for others."""

    @virtual_time
    async def test_what_is_beyond_the_bound_is_refused_truly(self):
        fleet, name = await start_cut(hosts=2)
        count = 2 * MAX_OPEN_CALLS
        tries = await asyncio.gather(
            *(fleet.try_once(name, BOOK) for _ in range(count))
        )
        served = [o for o in tries if o.outcome is Outcome.COMPLETE]
        refused = [o for o in tries if o.outcome is not Outcome.COMPLETE]
        assert len(served) == MAX_OPEN_CALLS
        assert {outcome_class(o.outcome) for o in refused} == {
            OutcomeClass.NOT_RUN
        }
        assert not fleet.false_outcomes()
        assert (await fleet.try_once(name, BOOK)).outcome is Outcome.COMPLETE
        await fleet.stop()

    @virtual_time
    async def test_attempts_are_counted_once_over_both_hosts(self):
        fleet, name = await start_cut()
        for model in fleet.plain_by_id.values():
            model.loses_answers = True
            model.ran.clear()
        tries = [await fleet.try_once(name, READ) for _ in range(10)]
        runs = [i for m in fleet.plain_by_id.values() for i in m.ran]
        assert all(runs.count(one.request_id) <= 2 for one in tries)
        assert {outcome_class(one.outcome) for one in tries} <= {
            OutcomeClass.RAN_AND_FAILED,
            OutcomeClass.UNKNOWN,
        }
        await fleet.stop()

    @virtual_time
    async def test_a_host_that_was_asked_asks_no_other(self):
        fleet, name = await start_cut(hosts=3)
        second = next(iter(fleet.router_by_host))
        fleet.links.cut(second, CutMode.REFUSED)
        asked = []
        for host, router in fleet.router_by_host.items():
            handle = router._calls._handler_by_type[ForwardCall]

            async def record(sender, call, host=host, handle=handle):
                asked.append((sender, host))
                return await handle(sender, call)

            router._calls.handle(ForwardCall, record)
        for _ in range(20):
            one = await fleet.try_once(name, READ)
            assert one.outcome is Outcome.COMPLETE
        assert (name, second) in asked
        from_second = [to for sender, to in asked if sender == second]
        # It asks for itself whether others reach what it does not.
        assert len(from_second) <= len(fleet.plain_by_id) + 7
        await fleet.stop()


class TestPartOfTheEndpoints:
    """Hosts that reach a part of the endpoints only."""

    @pytest.mark.parametrize('mode', list(CutMode))
    @virtual_time
    async def test_all_routes_are_served(self, mode):
        fleet = CutFleet(3)
        await fleet.start()
        names = list(fleet.router_by_host)
        fleet.links.cut(names[0], mode, list(fleet.plain_by_id))
        fleet.links.cut(names[1], mode, ['e1', 'e2', 'lm-d1/2', 'lm-d2/3'])
        load = asyncio.create_task(fleet.load_routes(40.0, 10.0))
        began_at = now()
        await load
        await asyncio.sleep(3.0)
        share = fleet.served_share(lambda _: True, began_at + 3.0, now())
        assert share >= 0.98
        assert not fleet.false_outcomes()
        await fleet.stop()


class TestReleases:
    """Hosts of a release that forwards no calls."""

    @virtual_time
    async def test_hosts_of_an_earlier_release_are_not_asked(self):
        fleet = CutFleet(3)
        await fleet.start()
        names = list(fleet.router_by_host)
        for host in names[:2]:
            calls = fleet.router_by_host[host]._calls
            del calls._handler_by_type[ForwardCall]
        await asyncio.sleep(3.0)
        fleet.links.cut(names[2], CutMode.REFUSED)
        tries = [await fleet.try_once(names[2], BOOK) for _ in range(20)]
        assert {outcome_class(one.outcome) for one in tries} == {
            OutcomeClass.NOT_RUN
        }
        counts = fleet.router_by_host[names[2]].metrics.counter_by_name
        assert not any(name.startswith('calls_forwarded') for name in counts)
        await fleet.stop()


class TestSoundHosts:
    """Hosts whose links work."""

    @virtual_time
    async def test_they_forward_nothing_and_ask_nobody(self):
        fleet = CutFleet(3)
        await fleet.start()
        await fleet.load_routes(40.0, 5.0)
        await asyncio.sleep(2.0)
        for router in fleet.router_by_host.values():
            counts = router.metrics.counter_by_name
            assert not any('forward' in name for name in counts)
        await fleet.stop()

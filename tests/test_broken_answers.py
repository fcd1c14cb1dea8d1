"""Whole answers and broken ones, by framing, place and way to end."""

import asyncio
import dataclasses
import json

import aiohttp
import pytest
import uvloop

from mustardscale.endpoints.http_plain import HttpPlainEndpoint
from mustardscale.endpoints.plain_endpoints import PlainCall
from mustardscale.exceptions import EndpointFailedError
from mustardscale.peers.peer_connections import split_address
from standins.platform_plan import HOST, worker_entry
from standins.platform_store import WORKERS_TOPIC
from standins.raw_worker import (
    CONFIRMING_CHECKS,
    GONE_ENDINGS,
    Check,
    Ending,
    Framing,
    RawAnswer,
    RawWorker,
)
from tests.host_refusals import PersistentCaller
from tests.platform_site import PlatformSite, until

EVENTS = [b'id: %d\ndata: %d\n\n' % (n, n) for n in range(1, 5)]
LONG_EVENTS = [b'id: %d\ndata: %b\n\n' % (n, b'x' * 60_000) for n in range(40)]
EVENT_BYTES = len(EVENTS[-1])
ENDINGS = (Ending.CLOSED, Ending.RESET, Ending.GONE)
UNCONFIRMING_CHECKS = [c for c in Check if c not in CONFIRMING_CHECKS]
# Bytes that are missing of an answer that ends early.
INSIDE, ONE_LINE_END_SHORT, BETWEEN = 5, 1, EVENT_BYTES


class RawSite(PlatformSite):
    """A site whose engines and plain workers answer as they are told.

    Attributes:
        raw: these workers, by name.
        slot_count: requests that each of them runs at a time.
    """

    slot_count = 6

    def __init__(self, *names):
        super().__init__()
        self.raw = {name: RawWorker(name) for name in names}

    def list_worker(self, name, state='ready'):
        """Lists a worker; one that answers raw with its start."""
        if name not in self.raw:
            super().list_worker(name, state)
            return
        entry = worker_entry(
            self.address_by_worker[name], self.workers[name].phase, state
        )
        entry['born'] = self.raw[name].born
        entry['slot_count'] = self.slot_count
        self.store.put(WORKERS_TOPIC, name, json.dumps(entry).encode())

    async def __aenter__(self):
        """Starts the stand-ins and a host."""
        await super().__aenter__()
        for name, worker in self.raw.items():
            self.address_by_worker[name] = await worker.start()
            self._stack.callback(worker.end)
            self.list_worker(name)
        for name in {'d1': ('d2',), 'a1': ('a2',)}.get(next(iter(self.raw))):
            if name not in self.raw:
                self.unlist_worker(name)
        await self.add_host('h0')
        return self


async def read_answer(
    site, path='/once/x', slow_s=0.0, deadline_ms=7000, request_id='r1'
):
    """Returns status, content, and whether the caller takes it for whole."""
    headers = {
        'Host': HOST,
        'X-Request-Id': request_id,
        'X-Request-Deadline': str(deadline_ms),
        'X-Token-Usage': '1000,500',
    }
    content = b''
    async with site.session.post(
        site.url(path), headers=headers, data=b'body'
    ) as response:
        await asyncio.sleep(slow_s)
        try:
            async for data in response.content.iter_any():
                content += data
                await asyncio.sleep(slow_s / 10)
        except aiohttp.ClientError:
            return response.status, content, False
        return response.status, content, True


def ask(
    answer, path='/once/x', check=Check.ANSWERED, slow_s=0.0, deadline_ms=7000
):
    """Asks a site with one worker of the path's service."""
    name = 'a1' if path.startswith(('/book', '/read')) else 'd1'

    async def main():
        async with RawSite(name) as site:
            worker = site.raw[name]
            worker.answers = [answer]
            worker.check = check
            caller = PersistentCaller(worker)

            def send(send_id):
                return read_answer(site, path, slow_s, deadline_ms, send_id)

            received = await caller.ask('r1', send)
            caller.require_no_other_run()
            return received

    return uvloop.run(main())


class TestWholeStreams:
    """Sound streams arrive whole, whatever marks their end."""

    @pytest.mark.parametrize('framing', Framing)
    @pytest.mark.parametrize('in_one_burst', [False, True])
    def test_whole_stream_arrives(self, framing, in_one_burst):
        answer = RawAnswer(EVENTS, framing, in_one_burst=in_one_burst)
        assert ask(answer) == (200, b''.join(EVENTS), True)

    @pytest.mark.parametrize('check', CONFIRMING_CHECKS)
    def test_whole_stream_without_a_length_whose_process_answers(self, check):
        answer = RawAnswer(EVENTS, Framing.NONE)
        assert ask(answer, check=check) == (200, b''.join(EVENTS), True)

    def test_events_are_not_held_back(self):
        async def main():
            async with RawSite('d1') as site:
                site.raw['d1'].answers = [RawAnswer(EVENTS, gap_s=0.3)]
                headers = {'Host': HOST, 'X-Request-Id': 'r1'}
                async with site.session.post(
                    site.url('/once/x'), headers=headers, data=b'b'
                ) as response:
                    first = await response.content.readany()
                    assert first == EVENTS[0]

        uvloop.run(main())

    @pytest.mark.parametrize('framing', Framing)
    def test_caller_that_reads_slowly_gets_all(self, framing):
        answer = RawAnswer(LONG_EVENTS, framing, gap_s=0.0)
        assert ask(answer, slow_s=0.2) == (200, b''.join(LONG_EVENTS), True)


class TestBrokenStreams:
    """Streams that end early reach nobody as whole."""

    @pytest.mark.parametrize('ending', [Ending.RESET, Ending.GONE])
    @pytest.mark.parametrize('framing', Framing)
    def test_stream_that_breaks_off_between_events(self, framing, ending):
        answer = RawAnswer(EVENTS, framing, ending, BETWEEN)
        status, content, whole = ask(answer)
        assert (status, whole) == (200, False)
        assert b''.join(EVENTS).startswith(content)

    @pytest.mark.parametrize('missing', [INSIDE, ONE_LINE_END_SHORT])
    @pytest.mark.parametrize('ending', ENDINGS)
    @pytest.mark.parametrize('framing', Framing)
    def test_stream_that_breaks_off_inside_an_event(
        self, framing, ending, missing
    ):
        answer = RawAnswer(EVENTS, framing, ending, missing)
        assert ask(answer)[2] is False

    @pytest.mark.parametrize('framing', [Framing.LENGTH, Framing.CHUNKED])
    def test_framed_stream_that_is_closed_between_events(self, framing):
        answer = RawAnswer(EVENTS, framing, Ending.CLOSED, BETWEEN)
        assert ask(answer)[2] is False

    @pytest.mark.parametrize('missing', [INSIDE, BETWEEN])
    @pytest.mark.parametrize('ending', [Ending.RESET, Ending.GONE])
    def test_stream_that_breaks_off_in_one_burst_with_its_head(
        self, ending, missing
    ):
        answer = RawAnswer(
            EVENTS, Framing.NONE, ending, missing, in_one_burst=True
        )
        assert ask(answer)[2] is False

    @pytest.mark.parametrize('ending', [Ending.RESET, Ending.GONE])
    @pytest.mark.parametrize('framing', Framing)
    def test_stream_that_breaks_off_before_a_slow_caller(self, framing, ending):
        answer = RawAnswer(
            LONG_EVENTS, framing, ending, len(LONG_EVENTS[-1]), 0.0
        )
        assert ask(answer, slow_s=0.2)[2] is False

    @pytest.mark.parametrize('ending', [Ending.RESET, *GONE_ENDINGS])
    def test_broken_stream_is_resumed_at_another_engine(self, ending):
        async def main():
            async with RawSite('d1', 'd2') as site:
                first = RawAnswer(EVENTS, Framing.NONE, ending, BETWEEN)
                rest = RawAnswer(EVENTS[-1:], Framing.NONE)
                rest_is_set = asyncio.Event()
                for worker in site.raw.values():
                    worker.answers = [first]
                    worker.before_end = rest_is_set.wait
                resumed = asyncio.create_task(read_answer(site, '/chat/x'))
                await until(lambda: any(w.ran for w in site.raw.values()))
                for worker in site.raw.values():
                    if not worker.ran:
                        worker.answers = [rest]
                rest_is_set.set()
                assert await resumed == (200, b''.join(EVENTS), True)

        uvloop.run(main())


class TestUnconfirmedEnds:
    """Answers whose process does not show that it outlived them.

    Without a length and chunks they look like answers that broke off.
    """

    @pytest.mark.parametrize('check', UNCONFIRMING_CHECKS)
    def test_stream_whose_process_does_not_show_itself_is_not_whole(
        self, check
    ):
        status, content, whole = ask(RawAnswer(EVENTS), check=check)
        assert (status, content) == (200, b''.join(EVENTS))
        assert not whole

    @pytest.mark.parametrize('ending', GONE_ENDINGS)
    def test_stream_of_a_killed_worker_is_not_whole(self, ending):
        answer = RawAnswer(EVENTS, Framing.NONE, ending, BETWEEN)
        status, content, whole = ask(answer)
        assert (status, content) == (200, b''.join(EVENTS[:-1]))
        assert not whole

    @pytest.mark.parametrize('check', UNCONFIRMING_CHECKS)
    def test_plain_answer_whose_process_does_not_show_itself_is_lost(
        self, check
    ):
        answer = RawAnswer([b'whole', b' body'])
        assert ask(answer, '/book/x', check)[0] == 502

    @pytest.mark.parametrize('path', ['/read/x', '/book/x'])
    @pytest.mark.parametrize('ending', GONE_ENDINGS)
    def test_plain_answer_cut_short_with_little_time_left_is_lost(
        self, path, ending
    ):
        answer = RawAnswer([b'whole', b' body'], ending=ending, missing=5)
        answer = dataclasses.replace(answer, gap_s=0.1)
        status, content, _ = ask(answer, path, deadline_ms=400)
        assert status in (502, 504)
        assert not content.startswith(b'whole')

    def test_plain_answer_with_little_time_left_arrives(self):
        answer = RawAnswer([b'whole', b' body'], gap_s=0.15)
        whole = (200, b'whole body', True)
        assert ask(answer, '/book/x', deadline_ms=400) == whole


class TestCallersSide:
    """How the end of an answer is marked for callers."""

    def ask_raw(self, answer, version='1.1'):
        """Returns what a caller receives, and whether it was reset."""

        async def main():
            async with RawSite('d1') as site:
                site.raw['d1'].answers = [answer]
                ip, port = split_address(site.fronts[0].address)
                reader, writer = await asyncio.open_connection(ip, port)
                writer.write(
                    f'POST /once/x HTTP/{version}\r\nHost: {HOST}\r\n'
                    'X-Request-Id: r1\r\nX-Token-Usage: 1000,500\r\n'
                    'Connection: close\r\nContent-Length: 0\r\n\r\n'.encode()
                )
                received = b''
                try:
                    while data := await reader.read(65_536):
                        received += data
                except ConnectionResetError:
                    return received, True
                finally:
                    writer.close()
                return received, False

        return uvloop.run(main())

    def test_old_caller_gets_a_whole_stream_that_the_connection_ends(self):
        received, was_reset = self.ask_raw(RawAnswer(EVENTS), '1.0')
        head, _, content = received.partition(b'\r\n\r\n')
        assert head.split()[1] == b'200'
        assert (content, was_reset) == (b''.join(EVENTS), False)

    @pytest.mark.parametrize('ending', [Ending.RESET, Ending.GONE])
    def test_old_caller_gets_a_reset_where_a_stream_breaks_off(self, ending):
        answer = RawAnswer(EVENTS, Framing.NONE, ending, BETWEEN)
        assert self.ask_raw(answer, '1.0')[1]

    def test_old_caller_gets_a_reset_where_its_host_stops(self):
        async def main():
            async with RawSite('d1') as site:
                site.raw['d1'].answers = [RawAnswer(EVENTS, gap_s=5.0)]
                ip, port = split_address(site.fronts[0].address)
                reader, writer = await asyncio.open_connection(ip, port)
                writer.write(
                    f'POST /once/x HTTP/1.0\r\nHost: {HOST}\r\n'
                    'X-Request-Id: r1\r\nX-Token-Usage: 1000,500\r\n'
                    'Content-Length: 0\r\n\r\n'.encode()
                )
                await until(lambda: site.raw['d1'].ran)
                await asyncio.sleep(0.1)
                stopping = asyncio.create_task(site.fronts[0].stop())
                with pytest.raises(ConnectionResetError):
                    while await reader.read(65_536):
                        pass
                writer.close()
                await stopping

        uvloop.run(main())

    @pytest.mark.parametrize('ending', [Ending.RESET, Ending.GONE])
    @pytest.mark.parametrize('framing', Framing)
    def test_broken_error_answer_is_not_followed_by_another_head(
        self, framing, ending
    ):
        answer = RawAnswer(
            [b'no ', b'room'], framing, ending, 4, 0.05, status=500
        )
        received, _ = self.ask_raw(answer)
        assert received.count(b'HTTP/1.1') == 1
        assert not received.endswith(b'0\r\n\r\n')

    @pytest.mark.parametrize('framing', Framing)
    def test_whole_error_answer_arrives(self, framing):
        answer = RawAnswer([b'no ', b'room'], framing, status=500)
        received, _ = self.ask_raw(answer)
        assert received.startswith(b'HTTP/1.1 500')
        assert received.endswith(b'0\r\n\r\n')


class TestPlainAnswers:
    """Answers of plain workers."""

    @pytest.mark.parametrize('framing', Framing)
    @pytest.mark.parametrize('check', CONFIRMING_CHECKS)
    def test_whole_answer_arrives(self, framing, check):
        answer = RawAnswer([b'whole', b' body'], framing)
        assert ask(answer, '/book/x', check) == (200, b'whole body', True)

    @pytest.mark.parametrize('framing', [Framing.LENGTH, Framing.CHUNKED])
    @pytest.mark.parametrize('check', UNCONFIRMING_CHECKS)
    def test_framed_answer_arrives_whatever_becomes_of_a_check(
        self, framing, check
    ):
        answer = RawAnswer([b'whole', b' body'], framing)
        assert ask(answer, '/book/x', check) == (200, b'whole body', True)

    @pytest.mark.parametrize('ending', [Ending.RESET, Ending.GONE])
    @pytest.mark.parametrize('framing', Framing)
    @pytest.mark.parametrize('in_one_burst', [False, True])
    def test_broken_answer_is_lost(self, framing, ending, in_one_burst):
        answer = RawAnswer(
            [b'whole', b' body'], framing, ending, 5, 0.01, in_one_burst
        )
        status, content, _ = ask(answer, '/book/x')
        assert status == 502
        assert not content.startswith(b'whole')


class TestPlainEndpointsOfTheOwnInterface:
    """Answers that reach callers of the own interface."""

    def call(self, answer, check=Check.ANSWERED, timeout_s=5.0):
        async def main():
            worker = RawWorker('e1', [answer])
            worker.check = check
            endpoint = HttpPlainEndpoint(await worker.start())
            headers = (('X-Request-Id', 'r1'),)
            call = PlainCall('r1', 'GET', '/x', headers, b'', timeout_s)
            try:
                return (await endpoint.call(call)).body
            finally:
                await endpoint.close()
                worker.end()

        return uvloop.run(main())

    @pytest.mark.parametrize('framing', Framing)
    @pytest.mark.parametrize('check', Check)
    @pytest.mark.parametrize('in_one_burst', [False, True])
    def test_whole_answer_arrives(self, framing, check, in_one_burst):
        answer = RawAnswer([b'whole', b' body'], framing)
        assert self.call(answer, check) == b'whole body'

    @pytest.mark.parametrize('ending', [Ending.RESET, Ending.GONE])
    @pytest.mark.parametrize('framing', Framing)
    @pytest.mark.parametrize('in_one_burst', [False, True])
    def test_broken_answer_is_no_answer(self, framing, ending, in_one_burst):
        answer = RawAnswer(
            [b'whole', b' body'], framing, ending, 5, 0.01, in_one_burst
        )
        with pytest.raises(EndpointFailedError) as info:
            self.call(answer)
        assert info.value.crashed

    @pytest.mark.parametrize('ending', [Ending.GONE, Ending.GONE_BEHIND_PROXY])
    def test_answer_of_a_killed_endpoint_is_no_answer(self, ending):
        answer = RawAnswer([b'whole', b' body'], ending=ending, missing=5)
        with pytest.raises(EndpointFailedError):
            self.call(answer)

    def test_answer_cut_short_with_little_time_left_is_no_answer(self):
        answer = RawAnswer([b'whole', b' body'], ending=Ending.GONE, missing=5)
        with pytest.raises(EndpointFailedError):
            self.call(answer, timeout_s=0.15)

    def test_answer_is_not_confirmed_by_a_successor(self):
        async def main():
            answer = RawAnswer(
                [b'whole', b' body'], ending=Ending.GONE, missing=5
            )
            worker = RawWorker('e1', [answer])
            address = await worker.start()
            successor = RawWorker('e1')
            endpoint = HttpPlainEndpoint(address)
            call = PlainCall(
                'r1', 'GET', '/x', (('X-Request-Id', 'r1'),), b'', 5
            )
            calling = asyncio.create_task(endpoint.call(call))
            await until(lambda: worker.ran)
            await asyncio.sleep(0.06)
            await successor.start(split_address(address)[1])
            try:
                with pytest.raises(EndpointFailedError):
                    await calling
            finally:
                await endpoint.close()
                successor.end()

        uvloop.run(main())


class TestTransferCodings:
    """Answers whose coding is not chunked alone."""

    @pytest.mark.parametrize(
        'lines',
        [
            'Transfer-Encoding: chunked\r\nTransfer-Encoding: identity',
            'Transfer-Encoding: chunked,',
            'Transfer-Encoding: chunked;q=1',
            'Transfer-Encoding: gzip',
        ],
    )
    def test_they_are_no_answer(self, lines):
        async def serve(reader, writer):
            head = await reader.readuntil(b'\r\n\r\n')
            if b'/mustardscale/report' not in head:
                coded = f'HTTP/1.1 200 X\r\nX-Request-Id: r1\r\n{lines}\r\n'
                signed = 'X-Response-Signature: s\r\n\r\n5\r\nwhole\r\n'
                writer.write((coded + signed).encode())
                await writer.drain()
            writer.close()

        async def main():
            async with RawSite('a1') as site:
                server = await asyncio.start_server(serve, '127.0.0.1', 0)
                ip, port = server.sockets[0].getsockname()
                site.address_by_worker['a1'] = f'{ip}:{port}'
                site.list_worker('a1')
                entries = site.routers[0].blackboard.endpoints_by_id
                await until(lambda: entries['a1'].address == f'{ip}:{port}')
                status, content, _ = await read_answer(site, '/book/x')
                server.close()
                assert status == 502
                assert b'whole' not in content

        uvloop.run(main())

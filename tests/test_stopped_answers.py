"""Answers that a worker ends early while its process runs, and sound ones."""

import asyncio
import contextlib
import dataclasses
import enum
import random

import aiohttp
import msgspec
import pytest
import uvloop

from mustardscale.blackboard import Blackboard, EndpointEntry
from mustardscale.configuration.config_records import Profile
from mustardscale.endpoints.caller_requests import (
    PlainRequest,
    prompt_from_text,
)
from mustardscale.endpoints.endpoint_clients import EndpointClients
from mustardscale.endpoints.engines import (
    PrefillCall,
    PrefillResult,
    StreamTag,
    TokenEvent,
)
from mustardscale.endpoints.http_connector import HttpConnector
from mustardscale.endpoints.http_engine import HttpEngine
from mustardscale.exceptions import EndpointFailedError, OutcomeError
from mustardscale.hosts.host_list import ListedKind
from mustardscale.outcomes import Outcome
from mustardscale.peers.peer_connections import split_address
from mustardscale.platform.http_client import make_client
from mustardscale.platform.worker_relay import WorkerRelay
from mustardscale.relay.endpoint_listener import EndpointListener
from mustardscale.relay.relay_endpoint import RelayCall
from mustardscale.relay.relay_messages import RelayRequest
from mustardscale.requests.limits import ServiceLimits
from mustardscale.requests.plain_calls import PlainService
from standins.platform_plan import HOST
from standins.raw_worker import Ending, Framing, RawAnswer, RawWorker
from tests.host_refusals import PersistentCaller, list_send_ids
from tests.platform_site import until
from tests.relay_fakes import RelayBench
from tests.test_broken_answers import EVENTS, RawSite, read_answer
from tests.test_forwarding_http import CutSite

PREFILL_ANSWER = b'{"kv_handle":"3fa09c41b7d5","tokens":1460,"version":1}'
RESUMABLE_PATH = '/chat/x'
STREAM_PATHS = ['/once/x', RESUMABLE_PATH]
PLAIN_PATHS = ['/book/x', '/read/x']
REPEATABLE_PATHS = (RESUMABLE_PATH, '/read/x')
BODY = [b'whole', b' body']
ERROR_STATUSES = (500, 504)
# Deadline of a request that its worker stops at, and of all others, ms.
SHORT_DEADLINE_MS = 700
DEADLINE_MS = 4000


class Announcement(enum.StrEnum):
    """How hosts learn before the end of an answer that its worker leaves."""

    LISTED = 'listed as draining'
    REMOVED = 'its entry is removed'
    IN_REPLIES = 'its replies say so'
    NONE = 'not at all'


# A plain worker does not shut down unannounced.
ANNOUNCED = [a for a in Announcement if a is not Announcement.NONE]


class WideSite(RawSite):
    """A site whose workers run all requests of a test at a time."""

    slot_count = 48


@dataclasses.dataclass(frozen=True)
class Received:
    """What a caller received.

    Attributes:
        status: status of the answer.
        content: its content.
        whole: whether it looks whole.
    """

    status: int
    content: bytes
    whole: bool


async def read_old_answer(site, path, deadline_ms, request_id):
    """Returns what a caller that speaks HTTP/1.0 received."""
    ip, port = split_address(site.fronts[0].address)
    reader, writer = await asyncio.open_connection(ip, port)
    lines = (
        f'POST {path} HTTP/1.0',
        f'Host: {HOST}',
        f'X-Request-Id: {request_id}',
        f'X-Request-Deadline: {deadline_ms}',
        'X-Token-Usage: 1000,500',
        'Content-Length: 0',
    )
    writer.write('\r\n'.join([*lines, '', '']).encode())
    received = b''
    was_reset = False
    try:
        while data := await reader.read(65_536):
            received += data
    except ConnectionResetError:
        was_reset = True
    finally:
        writer.close()
    head, _, content = received.partition(b'\r\n\r\n')
    lengths = [
        int(line.partition(b':')[2])
        for line in head.lower().split(b'\r\n')
        if line.startswith(b'content-length:')
    ]
    is_short = any(len(content) < length for length in lengths)
    status = int(head.split()[1]) if head else 0
    return Received(status, content, not was_reset and not is_short)


async def read_as_both(site, caller, path, deadline_ms, request_id):
    """Returns what callers that speak HTTP/1.1 and HTTP/1.0 received."""

    def send(send_id):
        return read_answer(
            site, path, deadline_ms=deadline_ms, request_id=send_id
        )

    async def send_old(send_id):
        old = await read_old_answer(site, path, deadline_ms, send_id)
        return old.status, old.content, old.whole

    both = await asyncio.gather(
        caller.ask(f'{request_id}.1', send),
        caller.ask(f'{request_id}.0', send_old),
    )
    return [Received(*answer) for answer in both]


def make_announcement(site, name, announcement):
    """Returns what announces that a worker leaves, and awaits that all know."""
    boards = [router.blackboard for router in site.routers]

    def is_leaving(board):
        entry = board.endpoints_by_id.get(name)
        return entry is None or entry.leaving(asyncio.get_running_loop().time())

    async def announce():
        if announcement is Announcement.LISTED:
            site.list_worker(name, 'draining')
        elif announcement is Announcement.REMOVED:
            site.unlist_worker(name)
        elif announcement is Announcement.IN_REPLIES:
            site.raw[name].says_leaving = True
        if announcement in (Announcement.LISTED, Announcement.REMOVED):
            await until(lambda: all(map(is_leaving, boards)))

    return announce


async def ask_site(site, name, path, answers, deadline_ms, announcement):
    """Asks for some answers at once, each of them as both callers.

    Returns:
        What was received, for each of the answers the one caller's and the
        other's.
    """
    worker = site.raw[name]
    caller = PersistentCaller(worker)
    announce = make_announcement(site, name, announcement)

    async def announce_once_all_run():
        await until(lambda: len(worker.ran) >= 2 * len(answers))
        await announce()

    # A worker that runs on ends each answer by itself: those that wait for a
    # request that is sent again would miss their deadline.
    leaves = announcement is not Announcement.NONE or any(
        answer.ending is Ending.SHUTTING_DOWN for answer in answers
    )
    worker.before_end = announce_once_all_run if leaves else None
    reads = []
    for number, answer in enumerate(answers):
        for version in (0, 1):
            for send_id in list_send_ids(f'r{number}.{version}'):
                worker.answer_by_request_id[send_id] = answer
        reads.append(
            read_as_both(site, caller, path, deadline_ms, f'r{number}')
        )
    received = [one for both in await asyncio.gather(*reads) for one in both]
    assert len(set(worker.ran_ids)) == len(received)
    caller.require_no_other_run(
        list_repeated(worker, path), list_resumed(worker)
    )
    return received


def list_repeated(worker, path):
    """Returns the ids of the requests that may have run once more."""
    return [
        request_id
        for request_id, answer in worker.answer_by_request_id.items()
        if path in REPEATABLE_PATHS
        and answer.status == 200
        and answer.framing in (Framing.NONE, Framing.OLD_PROTOCOL)
    ]


def list_resumed(worker):
    """Returns the id of each run that went on after an event."""
    return [
        headers['x-request-id']
        for headers in worker.ran
        if 'last-event-id' in headers
    ]


def ask(
    path,
    answers,
    deadline_ms=DEADLINE_MS,
    announcement=Announcement.NONE,
    site_type=WideSite,
):
    """Asks a site with one worker of the path's service."""
    name = 'a1' if path in PLAIN_PATHS else 'd1'

    async def main():
        async with site_type(name) as site:
            return await ask_site(
                site, name, path, answers, deadline_ms, announcement
            )

    return uvloop.run(main())


def make_answers(path, ending, statuses=(200,)):
    """Returns an answer of each framing and status.

    Unless they are whole, their last part is not sent.
    """
    answers = []
    for status in statuses:
        is_stream = status == 200 and path in STREAM_PATHS
        pieces = EVENTS if is_stream else BODY
        missing = 0 if ending is Ending.WHOLE else len(pieces[-1])
        answers += [
            RawAnswer(pieces, framing, ending, missing, status=status)
            for framing in Framing
        ]
    return answers


def list_whole(answers):
    """Returns what both callers receive of whole answers."""
    return [
        Received(answer.status, b''.join(answer.pieces), True)
        for answer in answers
        for _ in (0, 1)
    ]


def require_cut_streams(received):
    """Requires that no caller takes a stream for whole."""
    for answer in received:
        assert (answer.status, answer.whole) == (200, False)
        assert b''.join(EVENTS).startswith(answer.content)


def require_cut(received):
    """Requires that no caller takes an answer for whole, or gets another."""
    for answer in received:
        pieces = EVENTS if answer.status == 200 else BODY
        assert answer.status in (200, *ERROR_STATUSES)
        assert not answer.whole
        assert b''.join(pieces).startswith(answer.content)


def require_lost(received, statuses):
    """Requires that no caller got a part of a plain answer."""
    for answer in received:
        assert answer.status in statuses
        assert not answer.content.startswith(BODY[0])


class TestDeadline:
    """A worker that stops at the deadline it received, and runs on."""

    @pytest.mark.parametrize('path', STREAM_PATHS)
    def test_stopped_streams_do_not_look_whole(self, path):
        answers = make_answers(path, Ending.STOPPED)
        require_cut_streams(ask(path, answers, SHORT_DEADLINE_MS))

    @pytest.mark.parametrize('path', STREAM_PATHS)
    def test_stopped_error_answers_of_streams_do_not_look_whole(self, path):
        answers = make_answers(path, Ending.STOPPED, ERROR_STATUSES)
        require_cut(ask(path, answers, SHORT_DEADLINE_MS))

    @pytest.mark.parametrize('path', PLAIN_PATHS)
    @pytest.mark.parametrize('statuses', [(200,), ERROR_STATUSES])
    def test_stopped_plain_answers_are_lost(self, path, statuses):
        answers = make_answers(path, Ending.STOPPED, statuses)
        require_lost(ask(path, answers, SHORT_DEADLINE_MS), (502, 504))


class TestShutdown:
    """A worker that ends its answers and replies for a moment, then ends."""

    @pytest.mark.parametrize('path', STREAM_PATHS)
    @pytest.mark.parametrize('announcement', Announcement)
    def test_streams_do_not_look_whole(self, path, announcement):
        answers = make_answers(path, Ending.SHUTTING_DOWN)
        require_cut_streams(ask(path, answers, announcement=announcement))

    @pytest.mark.parametrize('path', STREAM_PATHS)
    @pytest.mark.parametrize('announcement', Announcement)
    def test_error_answers_of_streams_do_not_look_whole(
        self, path, announcement
    ):
        answers = make_answers(path, Ending.SHUTTING_DOWN, ERROR_STATUSES)
        require_cut(ask(path, answers, announcement=announcement))

    @pytest.mark.parametrize('path', PLAIN_PATHS)
    @pytest.mark.parametrize('announcement', ANNOUNCED)
    @pytest.mark.parametrize('statuses', [(200,), ERROR_STATUSES])
    def test_plain_answers_are_lost(self, path, announcement, statuses):
        answers = make_answers(path, Ending.SHUTTING_DOWN, statuses)
        require_lost(ask(path, answers, announcement=announcement), (502,))


class TestFurtherRuns:
    """What may run again goes to another worker after a shutdown."""

    def ask_two(self, names, path, answer, rest):
        """Returns what a caller received.

        Args:
            names: two workers; the one that is asked first shuts down.
            path: path of the request.
            answer: what the first one answers.
            rest: what the other one answers.
        """

        async def main():
            async with RawSite(*names) as site:
                workers = site.raw.values()
                for worker in workers:
                    worker.answers = [answer]
                reading = asyncio.create_task(read_answer(site, path))
                await until(lambda: any(worker.ran for worker in workers))
                [first] = [name for name in names if site.raw[name].ran]
                [other] = [name for name in names if not site.raw[name].ran]
                site.raw[other].answers = [rest]
                site.list_worker(first, 'draining')
                return Received(*await reading)

        return uvloop.run(main())

    @pytest.mark.parametrize('framing', Framing)
    def test_stream_is_resumed_at_another_engine(self, framing):
        cut = RawAnswer(
            EVENTS, framing, Ending.SHUTTING_DOWN, len(EVENTS[-1]), gap_s=0.1
        )
        rest = RawAnswer(EVENTS[-1:], framing)
        received = self.ask_two(('d1', 'd2'), '/chat/x', cut, rest)
        assert received == Received(200, b''.join(EVENTS), True)

    @pytest.mark.parametrize('framing', Framing)
    def test_idempotent_request_is_answered_by_another_worker(self, framing):
        cut = RawAnswer(
            BODY, framing, Ending.SHUTTING_DOWN, len(BODY[-1]), gap_s=0.1
        )
        rest = RawAnswer(BODY, framing)
        received = self.ask_two(('a1', 'a2'), '/read/x', cut, rest)
        assert received == Received(200, b''.join(BODY), True)


class TestSoundAnswers:
    """Whole answers of workers that run on, in the same conditions."""

    @pytest.mark.parametrize('path', [*STREAM_PATHS, *PLAIN_PATHS])
    @pytest.mark.parametrize('announcement', Announcement)
    def test_answers_of_a_worker_that_leaves_later_arrive(
        self, path, announcement
    ):
        answers = make_answers(path, Ending.WHOLE, (200, *ERROR_STATUSES))
        received = ask(path, answers, announcement=announcement)
        assert received == list_whole(answers)

    @pytest.mark.parametrize('path', [*STREAM_PATHS, *PLAIN_PATHS])
    def test_answers_before_a_short_deadline_arrive(self, path):
        answers = make_answers(path, Ending.WHOLE)
        received = ask(path, answers, SHORT_DEADLINE_MS)
        assert received == list_whole(answers)


class WideCutSite(CutSite):
    """The same, and its first host has lost its links to the workers."""

    slot_count = WideSite.slot_count


class TestForwardedAnswers:
    """Answers that another host reads from the worker."""

    @pytest.mark.parametrize('path', STREAM_PATHS)
    @pytest.mark.parametrize('statuses', [(200,), ERROR_STATUSES])
    def test_stopped_streams_do_not_look_whole(self, path, statuses):
        answers = make_answers(path, Ending.STOPPED, statuses)
        require_cut(
            ask(path, answers, SHORT_DEADLINE_MS, site_type=WideCutSite)
        )

    @pytest.mark.parametrize('path', PLAIN_PATHS)
    @pytest.mark.parametrize('statuses', [(200,), ERROR_STATUSES])
    def test_stopped_plain_answers_are_lost(self, path, statuses):
        answers = make_answers(path, Ending.STOPPED, statuses)
        received = ask(path, answers, SHORT_DEADLINE_MS, site_type=WideCutSite)
        require_lost(received, (502, 504))

    @pytest.mark.parametrize('path', STREAM_PATHS)
    @pytest.mark.parametrize('announcement', Announcement)
    def test_streams_of_a_shutdown_do_not_look_whole(self, path, announcement):
        answers = make_answers(path, Ending.SHUTTING_DOWN)
        received = ask(
            path, answers, announcement=announcement, site_type=WideCutSite
        )
        require_cut_streams(received)

    @pytest.mark.parametrize('path', PLAIN_PATHS)
    @pytest.mark.parametrize('announcement', ANNOUNCED)
    def test_plain_answers_of_a_shutdown_are_lost(self, path, announcement):
        answers = make_answers(path, Ending.SHUTTING_DOWN)
        received = ask(
            path, answers, announcement=announcement, site_type=WideCutSite
        )
        require_lost(received, (502,))

    @pytest.mark.parametrize('path', [*STREAM_PATHS, *PLAIN_PATHS])
    @pytest.mark.parametrize('announcement', Announcement)
    def test_sound_answers_arrive(self, path, announcement):
        answers = make_answers(path, Ending.WHOLE, (200, *ERROR_STATUSES))
        received = ask(
            path, answers, announcement=announcement, site_type=WideCutSite
        )
        assert received == list_whole(answers)


class TestOwnPlainEndpoints:
    """Plain endpoints of the own interface, by what their callers get."""

    def serve(self, ending, framing, announce, timeout_s=3.0):
        """Returns the body of an answer, and the headers of the call.

        Args:
            ending: how the endpoint ends the answer.
            framing: how the answer's end is marked.
            announce: is called with the blackboard before the end.
            timeout_s: seconds until the request's deadline.
        """

        async def main():
            [answer] = make_answers('/book/x', ending)[:1]
            answer = dataclasses.replace(answer, framing=framing)
            worker = RawWorker('e1', [answer])
            board = Blackboard('h0', 1, 'z', 'r')
            board.endpoints_by_id['e1'] = EndpointEntry(
                'e1', ListedKind.PLAIN, await worker.start(), 'z', 'r', 'app'
            )

            async def before_end():
                announce(board)

            worker.before_end = before_end
            clients = EndpointClients(board, HttpConnector())
            service = PlainService(
                board,
                None,
                None,
                clients,
                ServiceLimits(board),
                random.Random(1),
            )
            headers = (('X-Request-Id', 'r1'),)
            request = PlainRequest(
                'r1', 'app', 'GET', '/x', headers, b'', True, timeout_s
            )
            try:
                answer = await service.serve(request, Profile())
                return answer.body, worker.ran[0]
            finally:
                await clients.close()
                worker.end()

        return uvloop.run(main())

    def list_as_leaving(self, board):
        board.endpoints_by_id['e1'].listed_leaving = True

    def remove(self, board):
        del board.endpoints_by_id['e1']

    def replace(self, board):
        known = board.endpoints_by_id['e1']
        board.endpoints_by_id['e1'] = dataclasses.replace(known)

    @pytest.mark.parametrize('framing', Framing)
    @pytest.mark.parametrize('change', ['list_as_leaving', 'remove', 'replace'])
    def test_answer_that_a_shutdown_ends_is_no_answer(self, framing, change):
        with pytest.raises(OutcomeError) as info:
            self.serve(Ending.SHUTTING_DOWN, framing, getattr(self, change))
        assert info.value.outcome is Outcome.PLAIN_SERVICE_FAILED

    @pytest.mark.parametrize('framing', Framing)
    @pytest.mark.parametrize('change', ['list_as_leaving', 'remove', 'replace'])
    def test_sound_answer_of_an_endpoint_that_leaves_arrives(
        self, framing, change
    ):
        body, _ = self.serve(Ending.WHOLE, framing, getattr(self, change))
        assert body == b''.join(BODY)

    def test_endpoint_is_told_no_deadline(self):
        _, headers = self.serve(
            Ending.WHOLE, Framing.NONE, lambda board: None, timeout_s=1.0
        )
        assert not [name for name in headers if 'deadline' in name]


@contextlib.asynccontextmanager
async def serve_content(content, framing, status=b'200 OK'):
    """Serves one content to all calls; yields the server's address."""
    old = framing is Framing.OLD_PROTOCOL
    head = b'HTTP/1.%d %b\r\n' % (0 if old else 1, status)
    if framing is Framing.CHUNKED:
        head += b'Transfer-Encoding: chunked\r\n'
        content = b'%x\r\n%b\r\n0\r\n\r\n' % (len(content), content)
    elif framing is Framing.LENGTH:
        head += b'Content-Length: %d\r\n' % len(content)

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(head + b'X-Request-Id: r1\r\n\r\n' + content)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    ip, port = server.sockets[0].getsockname()
    try:
        yield f'{ip}:{port}'
    finally:
        server.close()


def cut_anywhere(content):
    """Returns beginnings of a content, none of them whole."""
    return [content[:size] for size in range(1, len(content), 7)]


class TestOwnEngines:
    """Engines of the own interface, whose streams have a mark of their end."""

    TOKENS = TokenEvent('r1', 1, 0, ('a', 'b'), '')

    def call(self, content, framing, make_call):
        async def main():
            async with (
                aiohttp.ClientSession() as session,
                serve_content(content, framing) as address,
            ):
                await make_call(HttpEngine(session, f'http://{address}'))

        asyncio.run(main())

    @pytest.mark.parametrize('framing', Framing)
    def test_stream_without_its_end_mark_is_not_whole(self, framing):
        """Its engine runs on, be it at a deadline or before a shutdown."""
        received = []

        async def read(engine):
            async for event in engine.resume('r1', 1, 0):
                received.append(event)

        content = b'data: ' + msgspec.json.encode(self.TOKENS) + b'\n\n'
        with pytest.raises(EndpointFailedError, match='ended early'):
            self.call(content, framing, read)
        assert received == [self.TOKENS]

    @pytest.mark.parametrize('framing', Framing)
    def test_cut_prefill_answer_is_no_answer(self, framing):
        whole = msgspec.json.encode(PrefillResult('k1', 1460, 0, 4096, 1.0))
        tag = StreamTag('r1', 1, 'h0', 1)
        call = PrefillCall(tag, 'm', prompt_from_text('a'))
        for content in cut_anywhere(whole):
            with pytest.raises(EndpointFailedError):
                self.call(content, framing, lambda e: e.prefill(call))

    @pytest.mark.parametrize('framing', Framing)
    def test_cut_report_is_no_report(self, framing):
        for content in cut_anywhere(b'{"start":1,"sequence":2,"running":3}'):
            with pytest.raises(EndpointFailedError):
                self.call(content, framing, lambda e: e.report())


class TestPrefillAnswersAndReports:
    """Answers of the platform's workers about prefills and themselves."""

    def call(self, content, framing, make_call):
        async def main():
            bench = RelayBench()
            entry = EndpointEntry(
                'p1', ListedKind.ENGINE, '127.0.0.1:1', 'z', 'r', 'llm'
            )
            listener = EndpointListener(bench.board, entry)
            session = make_client(True)
            try:
                async with serve_content(content, framing) as address:
                    relay = WorkerRelay(session, address, 'p1', 1.0, listener)
                    return await make_call(relay)
            finally:
                await session.close()

        return uvloop.run(main())

    @staticmethod
    async def prefill(relay):
        request = RelayRequest('r1', HOST, 'GET', '/x', (), b'', 0.0)
        now = asyncio.get_running_loop().time()
        return await relay.prefill(RelayCall(request, now + 2.0))

    @pytest.mark.parametrize('framing', Framing)
    def test_whole_prefill_answer_is_accepted(self, framing):
        handle = self.call(PREFILL_ANSWER, framing, self.prefill)
        assert handle.key == '3fa09c41b7d5'

    @pytest.mark.parametrize('framing', Framing)
    def test_cut_prefill_answer_is_no_answer(self, framing):
        for content in cut_anywhere(PREFILL_ANSWER):
            with pytest.raises(EndpointFailedError):
                self.call(content, framing, self.prefill)

    @pytest.mark.parametrize('framing', Framing)
    def test_whole_report_names_its_process(self, framing):
        report = b'{"phase":"decode","born":7,"busy":false}'
        assert self.call(report, framing, lambda r: r.read_start()) == 7

    @pytest.mark.parametrize('framing', Framing)
    def test_cut_report_shows_nothing(self, framing):
        for content in cut_anywhere(
            b'{"phase":"decode","born":7,"busy":false}'
        ):
            with pytest.raises(EndpointFailedError):
                self.call(content, framing, lambda r: r.read_start())

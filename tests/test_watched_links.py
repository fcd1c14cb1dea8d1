"""What the second connection, which watches a link, costs sound answers."""

import asyncio
import contextlib
import socket
import struct

import pytest
import uvloop

from mustardscale.endpoints.bounded_connections import MAX_OVERHEAD_BYTES
from standins.raw_worker import Framing, RawAnswer, RawWorker
from tests.host_refusals import PersistentCaller, list_send_ids
from tests.test_broken_answers import EVENTS, RawSite, read_answer
from tests.test_endless_answers import SOCKET_BUFFER_BYTES

UNFRAMED = (Framing.NONE, Framing.OLD_PROTOCOL)
BODY = [b'whole', b' body']
MAX_CONNECTIONS = 12
IDLE_TIMEOUT_S = 1.0


class LimitedWorker(RawWorker):
    """A worker that resets connections beyond MAX_CONNECTIONS.

    Attributes:
        resets: connections that it has reset.
    """

    def __init__(self, *args):
        super().__init__(*args)
        self.resets = 0

    async def _serve(self, reader, writer):
        if len(self._open) >= MAX_CONNECTIONS:
            self.resets += 1
            raw = writer.get_extra_info('socket')
            raw.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            writer.transport.abort()
            return
        await super()._serve(reader, writer)


class ImpatientWorker(RawWorker):
    """A worker that closes connections without a request after a while."""

    async def _serve(self, reader, writer):
        first = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait([first], timeout=IDLE_TIMEOUT_S)
        if not done:
            first.cancel()
            writer.close()
            return
        reader._buffer[:0] = first.result()
        await super()._serve(reader, writer)


class EndlessWorker(RawWorker):
    """A worker that sends without end on connections without a request.

    Attributes:
        sent_bytes: bytes that it has sent there.
    """

    def __init__(self, *args):
        super().__init__(*args)
        self.sent_bytes = 0

    async def _serve(self, reader, writer):
        first = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait([first], timeout=0.05)
        if done:
            reader._buffer[:0] = first.result()
            await super()._serve(reader, writer)
            return
        first.cancel()
        with contextlib.suppress(ConnectionError):
            while not reader.at_eof():
                writer.write(bytes(65_536))
                await writer.drain()
                self.sent_bytes += 65_536
        writer.close()


def read_often(path, answer, make_worker, callers=1, times=1):
    """Returns what callers get, each for requests one after the other.

    A request that is refused and did not run, as after a pause of the test's
    process, is sent again under another id: `worker.ran_ids` has those that
    ran.
    """

    async def main():
        name = 'a1' if path.startswith(('/book', '/read')) else 'd1'
        site = RawSite(name)
        worker = site.raw[name] = make_worker(name)
        async with site:
            worker.answers = [answer]
            persistent = PersistentCaller(worker)

            def send(send_id):
                return read_answer(site, path, request_id=send_id)

            async def read_all(caller):
                return [
                    await persistent.ask(f'{caller}.{number}', send)
                    for number in range(times)
                ]

            answers = await asyncio.gather(*map(read_all, range(callers)))
            persistent.require_no_other_run()
            return [answer for own in answers for answer in own], worker

    return uvloop.run(main())


class TestConnectionLimits:
    """Connections on which nothing is sent count at the worker."""

    @pytest.mark.parametrize('framing', UNFRAMED)
    @pytest.mark.parametrize('path', ['/once/x', '/book/x'])
    def test_three_callers_at_a_time_reset_nothing(self, path, framing):
        pieces = EVENTS if path == '/once/x' else BODY
        answer = RawAnswer(pieces, framing)
        received, worker = read_often(path, answer, LimitedWorker, 3, 10)
        assert worker.resets == 0
        assert received == [(200, b''.join(pieces), True)] * 30


class TestIdleTimeouts:
    """A worker may close a connection that is idle at any time."""

    @pytest.mark.parametrize('framing', UNFRAMED)
    @pytest.mark.parametrize('path', ['/once/x', '/book/x'])
    def test_sound_answer_of_a_worker_with_an_idle_timeout_arrives(
        self, path, framing
    ):
        pieces = EVENTS if path == '/once/x' else BODY
        answer = RawAnswer(pieces, framing, gap_s=0.4)
        received, worker = read_often(path, answer, ImpatientWorker)
        assert received == [(200, b''.join(pieces), True)]
        assert worker.ran_ids == list_send_ids('0.0')[:1]


class TestEndlessWorkers:
    """A worker that is faulty may send at any time."""

    def test_bytes_of_a_connection_without_a_request_are_bounded(self):
        answer = RawAnswer(EVENTS, gap_s=0.1)
        _, worker = read_often('/once/x', answer, EndlessWorker)
        assert worker.sent_bytes <= MAX_OVERHEAD_BYTES + SOCKET_BUFFER_BYTES

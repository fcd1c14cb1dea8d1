"""Streams that end before their first event while their worker runs on."""

import asyncio
import itertools

import aiohttp
import uvloop

from standins.platform_plan import HOST
from standins.raw_worker import Ending, Framing, RawAnswer
from tests.platform_site import WAIT_S
from tests.test_broken_answers import EVENTS, RawSite, ask
from tests.test_joined_runs import ask_two

ALL_BYTES = len(b''.join(EVENTS))
UNFRAMED = (Framing.NONE, Framing.OLD_PROTOCOL)
COMMENT = b': hello\n\n'


class TestHeadsWithoutEvents:
    """An answer that is lost behind its head: the connection closes."""

    def test_streams_do_not_look_whole(self):
        for framing, comment in itertools.product(Framing, (b'', COMMENT)):
            answer = RawAnswer(
                [comment, *EVENTS], framing, Ending.CLOSED, ALL_BYTES
            )
            assert ask(answer) == (200, comment, False), (framing, comment)

    def test_resumable_streams_run_at_another_engine(self):
        for framing in UNFRAMED:
            lost = RawAnswer(EVENTS, framing, Ending.CLOSED, ALL_BYTES)
            received = ask_two('/chat/x', lost, RawAnswer(EVENTS, framing))
            # A third run, at the same engine, shows the end of the second one.
            assert received == (200, b''.join(EVENTS), True, 3), framing


class TestFurtherRunsWithoutEvents:
    """A run that a host asked to go on, and that brings nothing."""

    BROKEN = RawAnswer(EVENTS, Framing.CHUNKED, Ending.RESET, len(EVENTS[-1]))

    def test_streams_do_not_look_whole(self):
        for framing in UNFRAMED:
            lost = RawAnswer(
                EVENTS[-1:], framing, Ending.CLOSED, len(EVENTS[-1])
            )
            received = ask_two('/chat/x', self.BROKEN, lost)
            cut = b''.join(EVENTS[:-1])
            # A third run, at the same engine, brings nothing either.
            assert received == (200, cut, False, 3), framing

    def test_a_last_chunk_shows_that_nothing_is_left(self):
        broken = RawAnswer(EVENTS, Framing.NONE, Ending.RESET)
        rest = RawAnswer([], Framing.CHUNKED)
        received = ask_two('/chat/x', broken, rest)
        assert received == (200, b''.join(EVENTS), True, 2)


class TestTakenUpStreamsWithoutEvents:
    """A stream that a caller takes up, and that brings nothing."""

    def take_up(self, *answers, last_id='2'):
        """Returns what a caller gets who names an event that it has."""

        async def main():
            async with RawSite('d1') as site, asyncio.timeout(WAIT_S):
                site.raw['d1'].answers = list(answers)
                while True:
                    received = await self.ask(site, last_id)
                    # Until the host knows which software versions run.
                    if received[0] != 503:
                        return received
                    await asyncio.sleep(0.05)

        return uvloop.run(main())

    async def ask(self, site, last_id):
        headers = {
            'Host': HOST,
            'X-Request-Id': 'r1',
            'Last-Event-Id': last_id,
        }
        content = b''
        async with site.session.post(
            site.url('/chat/x'), headers=headers, data=b'body'
        ) as response:
            try:
                async for data in response.content.iter_any():
                    content += data
            except aiohttp.ClientError:
                return response.status, content, False
            return response.status, content, True

    def test_streams_do_not_look_whole(self):
        for framing in Framing:
            rest = EVENTS[2:]
            size = len(b''.join(rest))
            answer = RawAnswer(rest, framing, Ending.CLOSED, size)
            assert self.take_up(answer) == (200, b'', False), framing

    def test_a_last_chunk_shows_that_nothing_is_left(self):
        answer = RawAnswer([], Framing.CHUNKED)
        assert self.take_up(answer) == (200, b'', True)

    def test_a_last_chunk_of_a_second_run_shows_the_same(self):
        last_id = str(len(EVENTS))
        second = RawAnswer(EVENTS, Framing.CHUNKED, goes_on=True)
        for framing in UNFRAMED:
            first = RawAnswer(EVENTS, framing, goes_on=True)
            received = self.take_up(first, second, last_id=last_id)
            assert received == (200, b'', True), framing

    def test_a_second_run_without_a_length_shows_nothing(self):
        last_id = str(len(EVENTS))
        for framing in UNFRAMED:
            answer = RawAnswer(EVENTS, framing, goes_on=True)
            received = self.take_up(answer, last_id=last_id)
            assert received == (200, b'', False), framing

    def test_a_second_run_that_brings_events_does_not_show_a_cut(self):
        second = RawAnswer(EVENTS, Framing.CHUNKED, goes_on=True)
        missing = b''.join(EVENTS[2:])
        size = len(missing)
        for framing in UNFRAMED:
            first = RawAnswer(
                EVENTS, framing, Ending.CLOSED, size, goes_on=True
            )
            # The only engine has the rest, and goes on with it.
            received = self.take_up(first, second)
            assert received == (200, missing, True), framing

"""Tests of answers of the platform's store that come slowly."""

import asyncio
import base64
import json

import pytest
import uvloop
from aiohttp import web

from mustardscale.exceptions import LogUnavailableError
from mustardscale.platform import store_client
from mustardscale.platform.names import NEWEST_PATH
from mustardscale.platform.store_client import StoreClient
from tests.platform_site import listen

TIMEOUT_S = 1.0
CHUNKS = 20
CHUNK_EACH_S = 0.1
VALUE = bytes(range(256)) * 400


class SlowStore:
    """A store whose answer comes in chunks.

    Attributes:
        chunks: chunks that it sends of CHUNKS; the rest never comes.
    """

    def __init__(self, chunks=CHUNKS):
        self.chunks = chunks

    async def answer(self, request):
        value = base64.b64encode(VALUE).decode()
        item = {'key': 'k', 'offset': 6, 'value': value}
        content = json.dumps({'items': [item], 'end': 7}).encode()
        response = web.StreamResponse()
        response.content_length = len(content)
        await response.prepare(request)
        size = -(-len(content) // CHUNKS)
        for number in range(self.chunks):
            await response.write(content[number * size : (number + 1) * size])
            await asyncio.sleep(CHUNK_EACH_S)
        if self.chunks < CHUNKS:
            await asyncio.sleep(60.0)
        return response


def read_newest(store):
    """Returns what a client reads, and the seconds since it began to come."""

    async def main():
        application = web.Application()
        application.router.add_get(NEWEST_PATH, store.answer)
        runner, address = await listen(application)
        client = StoreClient(address)
        try:
            page = await client.newest('keyed.config')
            now = asyncio.get_running_loop().time()
            return page, now - page.answered_at
        finally:
            await client.close()
            await runner.cleanup()

    return uvloop.run(main())


@pytest.fixture(autouse=True)
def short_timeout(monkeypatch):
    monkeypatch.setattr(store_client, 'CALL_TIMEOUT_S', TIMEOUT_S)


class TestSlowAnswers:
    """Answers that take longer than a call that brings nothing."""

    def test_large_value_never_comes_over_a_narrow_link(self):
        page, _ = read_newest(SlowStore())
        assert [record.value for record in page.records] == [VALUE]

    def test_slow_answer_looks_newer_than_it_is(self):
        _, age_s = read_newest(SlowStore())
        assert age_s >= (CHUNKS - 1) * CHUNK_EACH_S

    def test_answer_that_stops_is_given_up(self):
        with pytest.raises(LogUnavailableError):
            read_newest(SlowStore(chunks=3))

    def test_answer_that_goes_on_for_too_long_is_given_up(self, monkeypatch):
        monkeypatch.setattr(store_client, 'MAX_ANSWER_S', TIMEOUT_S)
        with pytest.raises(LogUnavailableError):
            read_newest(SlowStore())

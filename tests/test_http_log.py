"""Tests of the log's HTTP client against its stand-in on loopback."""

import asyncio
import random

import pytest

from mustardscale.exceptions import LogUnavailableError, LogUncertainError
from mustardscale.log.http_log import HttpLogClient
from standins.faults import Outage
from standins.log_model import LogConditions, LogModel
from standins.log_server import make_log_application
from standins.serving import Listener


def run(scenario, **conditions):
    async def with_server():
        model = LogModel(random.Random(5), LogConditions(**conditions))
        listener = Listener(make_log_application(model), '127.0.0.1', 0)
        await listener.open()
        address = f'127.0.0.1:{listener.port}'
        client = HttpLogClient(address, 'entry-1', call_timeout_s=0.3)
        try:
            await scenario(client, model, listener)
        finally:
            model.conditions.outage = Outage.NONE
            await client.close()
            await listener.close()

    asyncio.run(with_server())


class TestHttpLogClient:
    """The client maps each failure to what is known of the append."""

    def test_appends_and_reads_any_bytes(self):
        async def scenario(client, model, listener):
            assert await client.append('a/b c', [b'\x00\xff', b'']) == [1, 2]
            page = await client.read('a/b c', 0, wait_s=1)
            assert [r.payload for r in page.records] == [b'\x00\xff', b'']
            assert (page.first_offset, page.end_offset) == (1, 2)

        run(scenario)

    def test_refusal_is_unavailable(self):
        async def scenario(client, model, listener):
            with pytest.raises(LogUnavailableError):
                await client.append('s', [b'x'])
            with pytest.raises(LogUnavailableError):
                await client.read('s', 0)
            assert model.counters.appends == 0
            model.conditions.outage = Outage.NONE
            assert await client.append('s', [b'y']) == [1]
            model.conditions.cut_hosts = ['entry-1']
            with pytest.raises(LogUnavailableError):
                await client.append('s', [b'z'])
            assert model.counters.appends == 1

        run(scenario, outage=Outage.REFUSE)

    def test_lost_answer_is_uncertain_and_not_sent_again(self):
        async def scenario(client, model, listener):
            await client.append('s', [b'first'])
            model.conditions.lose_next_answers = 1
            with pytest.raises(LogUncertainError):
                await client.append('s', [b'x'])
            assert model.counters.appends == 2

        run(scenario)

    def test_hang_is_uncertain(self):
        async def scenario(client, model, listener):
            with pytest.raises(LogUncertainError):
                await client.append('s', [b'x'])
            with pytest.raises(LogUnavailableError):
                await client.read('s', 0)

        run(scenario, outage=Outage.HANG)

    def test_closed_port_is_unavailable(self):
        async def scenario(client, model, listener):
            await listener.close_socket()
            with pytest.raises(LogUnavailableError):
                await client.append('s', [b'x'])
            await listener.open()
            assert await client.append('s', [b'y']) == [1]

        run(scenario)

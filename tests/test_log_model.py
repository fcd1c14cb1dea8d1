"""Tests of the log's model and its in-process client."""

import asyncio
import random

import async_solipsism
import pytest

from mustardscale.exceptions import LogUnavailableError, LogUncertainError
from standins.faults import SUSPENDED_POLL_S, Gate, Outage, StandinRefusedError
from standins.log_model import LogConditions, LogModel
from standins.memory_log import MemoryLogClient
from standins.memory_network import MemoryNetwork


def run(coroutine):
    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        return runner.run(coroutine)


def make_model(**conditions):
    return LogModel(random.Random(5), LogConditions(**conditions))


class TestLogModel:
    """The model keeps offsets, retention, rate and long reads."""

    def test_offsets_are_not_reused_after_retention(self):
        async def scenario():
            model = make_model(retention_s=10, retention_records=3)
            assert await model.append('s', [b'a', b'b']) == [1, 2]
            assert await model.append('s', [b'c', b'd']) == [3, 4]
            page = await model.read('s', 0, 10, 0)
            assert [r.payload for r in page.records] == [b'b', b'c', b'd']
            assert (page.first_offset, page.end_offset) == (2, 4)
            await asyncio.sleep(11)
            page = await model.read('s', 0, 10, 0)
            assert page.records == ()
            assert (page.first_offset, page.end_offset) == (5, 4)
            assert await model.append('s', [b'e']) == [5]

        run(scenario())

    def test_append_rate_is_limited(self):
        async def scenario():
            model = make_model(appends_per_s=400)
            taken = 0
            for _ in range(2000):
                await asyncio.sleep(0.001)
                try:
                    await model.append('s', [b'x'])
                    taken += 1
                except StandinRefusedError as error:
                    assert 0 < error.retry_after_s <= 1 / 400
            assert 800 <= taken <= 900
            assert model.counters.appends_refused == 2000 - taken

        run(scenario())

    def test_read_waits_for_the_first_record(self):
        async def scenario():
            loop = asyncio.get_running_loop()
            model = make_model()
            read = asyncio.create_task(model.read('s', 0, 10, 5))
            await asyncio.sleep(2)
            await model.append('s', [b'x'])
            page = await read
            assert (len(page.records), loop.time()) == (1, 2)
            page = await model.read('s', 1, 10, 5)
            assert (len(page.records), loop.time()) == (0, 7)

        run(scenario())


class TestMemoryLogClient:
    """The client tells refused from uncertain appends."""

    def test_lost_answer_took_effect(self):
        async def scenario():
            model = make_model(lose_next_answers=1)
            client = MemoryLogClient(model)
            with pytest.raises(LogUncertainError):
                await client.append('s', [b'x'])
            assert await client.append('s', [b'y']) == [2]

        run(scenario())

    def test_cut_host_appends_nothing(self):
        async def scenario():
            model = make_model()
            cut = MemoryNetwork(reachable=lambda: False)
            with pytest.raises(LogUnavailableError):
                await MemoryLogClient(model, cut).append('s', [b'x'])
            with pytest.raises(LogUnavailableError):
                await MemoryLogClient(model, cut).read('s', 0)
            assert await MemoryLogClient(model).append('s', [b'y']) == [1]

        run(scenario())

    def test_cut_while_the_answer_is_under_way(self):
        async def scenario():
            model = make_model(delay_s=0.1)
            states = [True]
            network = MemoryNetwork(reachable=lambda: states[-1])
            append = asyncio.create_task(
                MemoryLogClient(model, network).append('s', [b'x'])
            )
            await asyncio.sleep(0.05)
            states.append(False)
            with pytest.raises(LogUncertainError):
                await append
            assert model.counters.appends == 1

        run(scenario())

    def test_hung_append_takes_effect_after_the_outage(self):
        async def scenario():
            model = make_model(outage=Outage.HANG)
            client = MemoryLogClient(model)
            with pytest.raises(LogUncertainError):
                await client.append('s', [b'x'])
            model.conditions.outage = Outage.REFUSE
            with pytest.raises(LogUnavailableError):
                await client.append('s', [b'y'])
            model.conditions.outage = Outage.HANG
            with pytest.raises(LogUncertainError):
                await client.append('s', [b'z'])
            model.conditions.outage = Outage.NONE
            await asyncio.sleep(1)
            page = await client.read('s', 0)
            assert [r.payload for r in page.records] == [b'z']

        run(scenario())


class TestGate:
    """Calls wait together, so that a long outage costs little."""

    def test_looks_do_not_grow_with_the_calls(self):
        async def scenario():
            states = [True]
            looks = []

            def closed():
                looks.append(states[-1])
                return states[-1]

            gate = Gate(closed)
            waits = [asyncio.create_task(gate.wait()) for _ in range(100)]
            await asyncio.sleep(10)
            states.append(False)
            await asyncio.gather(*waits)
            assert len(looks) <= 100 + 10 / SUSPENDED_POLL_S + 1 + 100

        run(scenario())

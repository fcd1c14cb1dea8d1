"""Tests of the weight store's stand-in."""

import asyncio

import aiohttp
import async_solipsism
import pytest

from standins.faults import StandinRefusedError
from standins.serving import Listener
from standins.weight_store_model import (
    WeightStoreConditions,
    WeightStoreModel,
)
from standins.weight_store_server import (
    load_weights,
    make_weight_store_application,
)


class TestWeightStoreModel:
    """Loads share the rate in order, and too many are refused."""

    def test_rate_and_limit(self):
        async def scenario():
            conditions = WeightStoreConditions(
                bytes_per_s=100, loads_at_once=2, weight_bytes=500
            )
            model = WeightStoreModel(conditions)
            loads = [
                asyncio.create_task(model.load('m', version))
                for version in ('1', '2')
            ]
            await asyncio.sleep(4)
            with pytest.raises(StandinRefusedError) as caught:
                await model.load('m', '3')
            assert caught.value.retry_after_s == 6
            durations = [(await load).duration_s for load in loads]
            assert durations == [5, 10]
            assert (await model.load('m', '3')).duration_s == 5
            assert model.counters.most_loading == 2

        with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
            runner.run(scenario())


class TestLoadWeights:
    """The HTTP server tells when a refused load may come back."""

    def test_loads_and_refusals(self):
        async def scenario():
            model = WeightStoreModel(
                WeightStoreConditions(loads_at_once=0, weight_bytes=1)
            )
            app = make_weight_store_application(model)
            listener = Listener(app, '127.0.0.1', 0)
            await listener.open()
            address = f'127.0.0.1:{listener.port}'
            async with aiohttp.ClientSession() as session:
                with pytest.raises(StandinRefusedError, match='429'):
                    await load_weights(session, address, 'm/x', '1')
                model.conditions.loads_at_once = 1
                load = await load_weights(session, address, 'm/x', '1')
                assert (load.model, load.bytes) == ('m/x', 1)
                await listener.close()
                with pytest.raises(StandinRefusedError):
                    await load_weights(session, address, 'm/x', '1')

        asyncio.run(scenario())

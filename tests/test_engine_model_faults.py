"""Tests of faults, orders and counters of standins.engine_model."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random

import pytest

from mustardscale.endpoints import engines
from mustardscale.endpoints.engines import (
    EngineOrder,
    EngineRole,
    PrefillCall,
    Prompt,
    StreamTag,
)
from mustardscale.exceptions import (
    EndpointFailedError,
    EndpointRefusedError,
    EndpointUnreachableError,
)
from standins.engine_inprocess import InProcessEngine
from tests.engine_pair import (
    LENGTH,
    EnginePair,
    read_all,
    refusal_reason,
)
from tests.virtual_time import virtual_time


class TestFaults:
    """The faults that can be switched."""

    @virtual_time
    async def test_a_prefill_done_just_before_a_crash_is_said_to_have_run(self):
        pair = EnginePair()
        marked = Prompt(10, (), 99)
        pair.prefill_model.faults.crash_fingerprints.add(marked.fingerprint)
        first, second = await asyncio.gather(
            pair.compute('a'),
            pair.prefill.prefill(
                PrefillCall(StreamTag('b', 1, 'h', 1), 'model', marked)
            ),
            return_exceptions=True,
        )
        for error in (first, second):
            assert isinstance(error, EndpointFailedError)
            assert error.crashed

    @virtual_time
    async def test_marked_prompt_crashes_all_streams(self):
        pair = EnginePair(length=1000)
        innocent = pair.decode.decode(await pair.compute('a'))
        await anext(innocent)
        marked = await pair.compute('b')
        faults = pair.decode_model.faults
        faults.crash_fingerprints.add(marked.prompt.fingerprint)
        for stream in (pair.decode.decode(marked), innocent):
            with pytest.raises(EndpointFailedError) as caught:
                await anext(stream)
                await read_all(stream)
            assert caught.value.crashed
        with pytest.raises(EndpointUnreachableError):
            await pair.decode.report()
        await asyncio.sleep(4)
        assert (await pair.decode.report()).start == 2
        assert pair.pieces_used() == 0

    @virtual_time
    async def test_marked_text_crashes_prefill_and_it_serves_again(self):
        pair = EnginePair()
        waiting = asyncio.create_task(pair.compute('w', tokens=50))
        with pytest.raises(EndpointFailedError):
            await pair.compute('c', text='CRASH-ENDPOINT', priority=-1)
        with pytest.raises(EndpointFailedError):
            await waiting
        await asyncio.sleep(2.1)
        texts, _ = await read_all(pair.decode.decode(await pair.compute('n')))
        assert len(texts) == LENGTH

    @virtual_time
    async def test_frozen_engine_goes_on_when_thawed(self):
        pair = EnginePair()
        call = await pair.compute('a')
        reader = asyncio.create_task(read_all(pair.decode.decode(call)))
        await asyncio.sleep(0.2)
        pair.decode_model.freeze()
        await asyncio.sleep(30)
        assert not reader.done()
        pair.decode_model.thaw()
        assert len((await reader)[0]) == LENGTH

    @virtual_time
    async def test_leaving_refuses_new_work_and_ends_the_old(self):
        pair = EnginePair()
        call = await pair.compute('a')
        reader = asyncio.create_task(read_all(pair.decode.decode(call)))
        await asyncio.sleep(0.2)
        pair.decode_model.faults.leaving = True
        call = dataclasses.replace(call, tag=StreamTag('b', 1, 'host', 1))
        reason = await refusal_reason(anext(pair.decode.decode(call)))
        assert reason == engines.REFUSED_LEAVING
        assert len((await reader)[0]) == LENGTH

    @virtual_time
    async def test_cut_host_sends_nothing(self):
        pair = EnginePair()
        cut = InProcessEngine(pair.prefill_model, reachable=lambda: False)
        with pytest.raises(EndpointUnreachableError):
            await cut.report()


class TestOrders:
    """Orders and load reports."""

    @virtual_time
    async def test_old_term_is_refused_only_where_terms_are_checked(self):
        newer = EngineOrder(9, EngineRole.DECODE, 'other', '2')
        older = EngineOrder(8, EngineRole.PREFILL, 'model', '1')
        for checks in (True, False):
            pair = EnginePair(checks_fencing=checks)
            await pair.prefill.order(newer)
            if checks:
                reason = await refusal_reason(pair.prefill.order(older))
                assert reason == engines.REFUSED_FENCED
            else:
                await pair.prefill.order(older)
            await asyncio.sleep(3)
            report = await pair.prefill.report()
            wanted = newer if checks else older
            assert report.order_term == wanted.term
            assert (report.role, report.model) == (wanted.role, wanted.model)

    @virtual_time
    async def test_load_report_lags(self):
        pair = EnginePair(length=1000)
        await asyncio.sleep(2)
        await anext(pair.decode.decode(await pair.compute('a')))
        assert (await pair.decode.report()).active == 0
        await asyncio.sleep(0.8)
        report = await pair.decode.report()
        assert report.active == 1
        assert report.age_s >= 0.5


class TestBookkeeping:
    """Memory and counts after random work and faults."""

    @pytest.mark.parametrize('seed', range(40))
    def test_everything_is_freed_in_the_end(self, seed):
        @virtual_time
        async def check(self):
            chance = random.Random(seed)
            pair = EnginePair(
                length=300,
                pieces_total=chance.choice((2, 4, 16)),
                tokens_per_event=chance.choice((1, 8)),
            )
            requests = [
                asyncio.create_task(_run_request(pair, str(number), chance))
                for number in range(20)
            ]
            faults = asyncio.create_task(_switch_faults(pair, chance))
            results = await asyncio.gather(*requests)
            await faults
            await asyncio.sleep(30)
            assert pair.pieces_used() == 0
            assert await pair.stage_by_request() == {}
            for model in (pair.prefill_model, pair.decode_model):
                assert model.memory.free == model.memory.total
                assert model.counters.prefill_tokens_wasted >= 0
            counters = pair.prefill_model.counters
            wasted = counters.prefill_tokens_wasted
            assert wasted <= counters.prefill_tokens_computed
            begun = pair.decode_model.counters.executions_by_request
            for name, result in enumerate(results):
                if result == 300:
                    assert begun[str(name)] == 1

        check(self)


async def _run_request(pair, name, chance) -> int:
    """Runs a request, perhaps cancels it, and counts its tokens."""
    await asyncio.sleep(chance.uniform(0, 3))
    count = 0
    leaves_at = chance.choice((0, 5, 10**6))
    try:
        call = await pair.compute(
            name, tokens=chance.randrange(1, 4000), priority=chance.randrange(3)
        )
        events = pair.decode.decode(call)
        async with contextlib.aclosing(events):
            async for event in events:
                count += len(event.texts)
                if count > leaves_at:
                    break
    except (
        EndpointFailedError,
        EndpointRefusedError,
        EndpointUnreachableError,
    ):
        pass
    if leaves_at < 10**6:
        pair.decode_model.faults.lose_cancel_answers = chance.random() < 0.2
        for engine in (pair.prefill, pair.decode):
            with contextlib.suppress(
                EndpointFailedError, EndpointUnreachableError
            ):
                await engine.cancel(name, 1)
    return count


async def _switch_faults(pair, chance) -> None:
    """Switches a few faults on and off again."""
    for _ in range(6):
        model = chance.choice((pair.prefill_model, pair.decode_model))
        await asyncio.sleep(chance.uniform(0, 1))
        fault = chance.choice(('kill', 'freeze', 'stall', 'slow'))
        if fault == 'kill':
            model.kill(chance.uniform(0, 1))
        if fault == 'freeze':
            model.freeze()
        if fault == 'slow':
            model.faults.slow_factor = 3.0
        model.stall_transfers(fault == 'stall')
        await asyncio.sleep(chance.uniform(0, 1))
        model.thaw()
        model.stall_transfers(False)
        model.faults.slow_factor = 1.0

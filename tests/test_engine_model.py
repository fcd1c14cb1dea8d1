"""Tests of standins.engine_model under virtual time."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from mustardscale.endpoints import engines
from mustardscale.endpoints.caller_requests import prompt_from_text
from mustardscale.endpoints.engines import (
    PrefillCall,
    StreamStage,
    StreamTag,
)
from mustardscale.endpoints.token_assembler import TokenAssembler
from mustardscale.exceptions import (
    EndpointFailedError,
)
from standins.expected_answers import expected_tokens
from tests.engine_pair import (
    LENGTH,
    EnginePair,
    read_all,
    refusal_reason,
)
from tests.virtual_time import virtual_time


class TestAnswers:
    """Tokens of a stream and how they reach readers."""

    @virtual_time
    async def test_whole_answer_and_memory_freed(self):
        pair = EnginePair()
        call = await pair.compute('a')
        texts, reason = await read_all(pair.decode.decode(call))
        wanted = expected_tokens(call.prompt.fingerprint, 0, LENGTH)
        assert (tuple(texts), reason) == (wanted, 'stop')
        assert pair.pieces_used() == 0
        assert pair.decode_model.counters.executions_by_request == {'a': 1}
        assert pair.prefill_model.counters.prefill_tokens_wasted == 0

    @virtual_time
    async def test_stream_goes_on_without_reader_and_is_resumed(self):
        pair = EnginePair()
        call = await pair.compute('a')
        events = pair.decode.decode(call)
        async with contextlib.aclosing(events):
            async for event in events:
                if event.index == 3:
                    break
        texts: list[str] = []
        async for event in pair.decode.resume('a', 1, 4):
            texts += event.texts
        wanted = expected_tokens(call.prompt.fingerprint, 4, LENGTH)
        assert tuple(texts) == wanted
        await asyncio.sleep(11)
        reason = await refusal_reason(anext(pair.decode.resume('a', 1, 4)))
        assert reason == engines.REFUSED_UNKNOWN_STREAM

    @virtual_time
    async def test_gathered_events_give_the_same_answer_and_end(self):
        durations = []
        for tokens_per_event in (1, 8):
            pair = EnginePair(tokens_per_event=tokens_per_event)
            call = await pair.compute('a')
            started_at = asyncio.get_running_loop().time()
            texts, _ = await read_all(pair.decode.decode(call))
            durations.append(asyncio.get_running_loop().time() - started_at)
            assert len(texts) == LENGTH
        assert durations[0] == pytest.approx(durations[1])

    @virtual_time
    async def test_events_are_doubled_crossed_and_lost(self):
        pair = EnginePair()
        faults = pair.decode_model.faults
        faults.duplicate_events = faults.reorder_events = 0.3
        assembler = TokenAssembler('a', 1)
        call = await pair.compute('a')
        texts: list[str] = []
        indices = []
        async for event in pair.decode.decode(call):
            indices.append(event.index)
            texts += assembler.add(event)
        assert len(indices) > len(set(indices))
        assert indices != sorted(indices)
        assert len(texts) == LENGTH
        faults.lose_events = 1.0
        with pytest.raises(EndpointFailedError):
            await read_all(pair.decode.resume('a', 1, 0))


class TestPrefill:
    """Order, keep time and cache of prefills."""

    @virtual_time
    async def test_priority_then_arrival(self):
        pair = EnginePair()
        finished = []

        async def compute(name, priority):
            await pair.compute(name, priority=priority)
            finished.append(name)

        first = asyncio.create_task(compute('a', 1))
        await asyncio.sleep(0.01)
        await asyncio.gather(first, compute('b', 1), compute('c', 0))
        assert finished == ['a', 'c', 'b']

    @virtual_time
    async def test_result_is_evicted_and_counted(self):
        pair = EnginePair()
        call = await pair.compute('a')
        await asyncio.sleep(0.9)
        reason = await refusal_reason(anext(pair.decode.decode(call)))
        assert reason == engines.REFUSED_KV_EVICTED
        counters = pair.prefill_model.counters
        assert counters.wasted_tokens_by_cause == {'evicted': 1000}
        assert pair.pieces_used() == 0
        assert pair.decode_model.counters.executions_by_request == {}

    @virtual_time
    async def test_computed_twice_is_counted(self):
        pair = EnginePair()
        await read_all(pair.decode.decode(await pair.compute('a')))
        await read_all(pair.decode.decode(await pair.compute('a', 2)))
        counters = pair.prefill_model.counters
        assert counters.wasted_tokens_by_cause == {'repeated': 1000}

    @virtual_time
    async def test_cached_prefix_is_not_computed(self):
        pair = EnginePair(cache_blocks=3)
        prompt = prompt_from_text('x' * 4096)
        tag = StreamTag('a', 1, 'host', 1)
        await pair.prefill.prefill(PrefillCall(tag, 'model', prompt))
        assert await pair.prefill.cache_events(0) == []
        await asyncio.sleep(1)
        events = await pair.prefill.cache_events(0)
        stored = {event.block_hash for event in events}
        assert stored == set(prompt.block_hashes)
        longer = prompt_from_text('x' * 4096 + 'y' * 4096)
        tag = StreamTag('b', 1, 'host', 1)
        result = await pair.prefill.prefill(PrefillCall(tag, 'model', longer))
        assert result.cached_tokens == 1024
        await asyncio.sleep(1)
        events = await pair.prefill.cache_events(events[-1].sequence)
        assert [event.stored for event in events] == [True]


class TestMemory:
    """Pieces of memory on the decode side."""

    @virtual_time
    async def test_import_waits_for_memory(self):
        pair = EnginePair(pieces_total=1)
        first = await pair.compute('a', tokens=900)
        reader = asyncio.create_task(read_all(pair.decode.decode(first)))
        await asyncio.sleep(0.1)
        second = await pair.compute('b', tokens=900)
        texts, _ = await read_all(pair.decode.decode(second))
        assert reader.done()
        assert len(texts) == LENGTH

    @virtual_time
    async def test_import_gives_up_when_the_result_must_be_gone(self):
        pair = EnginePair(pieces_total=1, length=1000)
        await anext(pair.decode.decode(await pair.compute('a')))
        second = await pair.compute('b')
        reason = await refusal_reason(anext(pair.decode.decode(second)))
        assert reason == engines.REFUSED_KV_EVICTED

    @virtual_time
    async def test_worst_stream_is_preempted(self):
        pair = EnginePair(pieces_total=2, length=50)
        kept = await pair.compute('a', tokens=1990, priority=0)
        keeping = asyncio.create_task(read_all(pair.decode.decode(kept)))
        lost = await pair.compute('b', tokens=100, priority=5)
        _, reason = await read_all(pair.decode.decode(lost))
        assert reason == 'preempted'
        texts, reason = await keeping
        assert (len(texts), reason) == (50, 'stop')
        assert pair.pieces_used() == 0

    @virtual_time
    async def test_steps_slow_down_as_the_batch_fills(self):
        async def duration_s(streams):
            pair = EnginePair()
            calls = [
                await pair.compute(str(number), tokens=9)
                for number in range(streams)
            ]
            started_at = asyncio.get_running_loop().time()
            readers = [read_all(pair.decode.decode(call)) for call in calls]
            await asyncio.gather(*readers)
            return asyncio.get_running_loop().time() - started_at

        assert await duration_s(9) > 1.3 * await duration_s(1)

    @virtual_time
    async def test_too_long_a_prompt_is_refused(self):
        pair = EnginePair(pieces_total=1)
        reason = await refusal_reason(pair.compute('a', tokens=2001))
        assert reason == engines.REFUSED_MEMORY


class TestCancel:
    """What a cancel frees and refuses afterwards."""

    @virtual_time
    async def test_frees_at_every_stage(self):
        pair = EnginePair(length=1000)
        first, second = await pair.compute('d'), await pair.compute('t')
        await anext(pair.decode.decode(first))
        pair.prefill_model.stall_transfers(True)
        transfer = asyncio.create_task(read_all(pair.decode.decode(second)))
        await pair.compute('k')
        work = [
            asyncio.create_task(pair.compute(name, tokens=9000))
            for name in ('p', 'q')
        ]
        await asyncio.sleep(0.2)
        assert await pair.stage_by_request() == {
            'd': StreamStage.DECODE,
            't': StreamStage.TRANSFER,
            'k': StreamStage.KEPT,
            'p': StreamStage.PREFILL,
            'q': StreamStage.QUEUED,
        }
        for name in 'dtkpq':
            await pair.prefill.cancel(name, 1)
            await pair.decode.cancel(name, 1)
        await asyncio.sleep(1)
        assert pair.pieces_used() == 0
        for task in work:
            assert await refusal_reason(task) == engines.REFUSED_STALE_ATTEMPT
        assert await transfer == ([], 'cancelled')
        assert pair.prefill_model.counters.prefill_tokens_wasted > 0

    @virtual_time
    async def test_late_call_of_a_cancelled_attempt_is_refused(self):
        pair = EnginePair()
        call = await pair.compute('a')
        await pair.decode.cancel('a', 1)
        reason = await refusal_reason(anext(pair.decode.decode(call)))
        assert reason == engines.REFUSED_STALE_ATTEMPT
        call = await pair.compute('a', 2)
        texts, _ = await read_all(pair.decode.decode(call))
        assert len(texts) == LENGTH

    @virtual_time
    async def test_higher_attempt_replaces_lower(self):
        pair = EnginePair(length=1000)
        await anext(pair.decode.decode(await pair.compute('a')))
        await anext(pair.decode.decode(await pair.compute('a', 2)))
        infos = await pair.decode.streams()
        running = [i for i in infos if i.stage is StreamStage.DECODE]
        assert [info.tag.attempt for info in running] == [2]
        reason = await refusal_reason(pair.compute('a', 1))
        assert reason == engines.REFUSED_STALE_ATTEMPT

    @virtual_time
    async def test_lost_answer_still_frees(self):
        pair = EnginePair(length=1000)
        await anext(pair.decode.decode(await pair.compute('a')))
        assert pair.pieces_used() == 1
        pair.decode_model.faults.lose_cancel_answers = True
        with pytest.raises(EndpointFailedError):
            await pair.decode.cancel('a', 1)
        assert pair.pieces_used() == 0

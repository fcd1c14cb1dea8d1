"""Tests of publishing on a log with failures, under virtual time."""

import asyncio
import random

import pytest

from mustardscale.configuration.config_records import (
    ConfigChange,
    ConfigKey,
    Profile,
    encode_record,
)
from mustardscale.configuration.publishing import (
    PublishStatus,
    publish,
    read_config,
)
from mustardscale.exceptions import LogUnavailableError
from mustardscale.log.log_client import CONFIG_STREAM
from standins.faults import Outage
from standins.log_model import LogModel
from standins.memory_log import MemoryLogClient
from tests.virtual_time import virtual_time

KEY = ConfigKey('profile', 'noon')
TIMEOUT_S = 6.0
PUBLISHERS = 40


def change(change_id='mine', base=0):
    return ConfigChange(KEY, base, change_id, 'ann', Profile())


def make_log(seed=1):
    model = LogModel(random.Random(seed))
    return model, MemoryLogClient(model)


class TestPublish:
    """Results that a publisher receives."""

    @virtual_time
    async def test_one_concurrent_change_is_accepted(self):
        model, log = make_log()
        model.conditions.lose_answer_probability = 0.3
        model.conditions.delay_s = 0.1
        states = [await read_config(log) for _ in range(PUBLISHERS)]
        results = await asyncio.gather(
            *(
                publish(log, state, change(f'c{number}'), TIMEOUT_S)
                for number, state in enumerate(states)
            )
        )
        won = [r.version for r in results if r.status is PublishStatus.ACCEPTED]
        lost = [r.version for r in results if r.status is PublishStatus.LOST]
        assert len(won) == 1
        assert lost == won * (PUBLISHERS - 1)
        assert (await read_config(log)).version(KEY) == won[0]

    @virtual_time
    async def test_an_append_whose_answer_was_lost_is_settled(self):
        model, log = make_log()
        model.conditions.lose_next_answers = 1
        result = await publish(log, await read_config(log), change(), 1)
        assert (result.status, result.version) == (PublishStatus.ACCEPTED, 1)

    @virtual_time
    async def test_an_outage_after_a_lost_answer_is_unknown(self):
        model, log = make_log()
        model.conditions.lose_next_answers = 1
        state = await read_config(log)
        append = log.append

        async def append_and_break(stream, payloads):
            try:
                return await append(stream, payloads)
            finally:
                model.conditions.outage = Outage.REFUSE

        log.append = append_and_break
        result = await publish(log, state, change(), TIMEOUT_S)
        assert result.status is PublishStatus.UNKNOWN
        assert 'change id mine' in result.detail
        assert 'profile history noon' in result.detail

    @virtual_time
    async def test_an_outage_before_the_append_publishes_nothing(self):
        model, log = make_log()
        state = await read_config(log)
        model.conditions.outage = Outage.REFUSE
        with pytest.raises(LogUnavailableError):
            await publish(log, state, change(), TIMEOUT_S)
        model.conditions.outage = Outage.NONE
        assert not (await read_config(log)).by_key

    @virtual_time
    async def test_a_change_after_lost_records_is_unknown(self):
        model, log = make_log()
        await model.append(CONFIG_STREAM, [encode_record(change('old'))] * 3)
        model.conditions.retention_records = 1
        state = await read_config(log)
        result = await publish(log, state, change(), TIMEOUT_S)
        assert result.status is PublishStatus.UNKNOWN
        assert 'the log has lost records' in result.detail

    @virtual_time
    async def test_status_found_from_snapshot_that_replaced_record(self):
        model, log = make_log()
        state = await read_config(log)
        other = await read_config(log)
        for winner, base in (('mine', 0), ('other', 0)):
            payload = encode_record(change(winner, base))
            other.apply(other.read_offset + 1, payload)
        state.merge(other.snapshot())
        assert (
            await publish_with_offset(model, state, 1)
        ).status is PublishStatus.ACCEPTED
        assert (
            await publish_with_offset(model, state, 2)
        ).status is PublishStatus.LOST


async def publish_with_offset(model, state, offset):
    """Publishes on a log that returns an offset that is already folded."""
    log = MemoryLogClient(model)

    async def append(stream, payloads):
        return [offset]

    log.append = append
    return await publish(log, state, change(), TIMEOUT_S)

"""A prefill and a decode engine for tests under virtual time."""

from __future__ import annotations

import pytest

from mustardscale.endpoints.engines import (
    DecodeCall,
    EngineRole,
    PrefillCall,
    Prompt,
    StreamStage,
    StreamTag,
)
from mustardscale.exceptions import EndpointRefusedError
from standins.engine_inprocess import InProcessEngine
from standins.engine_model import EngineModel
from standins.engine_parameters import EngineParameters
from standins.kv_source import InProcessKvSource
from standins.kv_store import PickupLedger

LENGTH = 30
PREFILL = 'http://prefill'
DECODE = 'http://decode'


class EnginePair:
    """A prefill and a decode engine whose answers have a fixed length."""

    def __init__(self, length: int = LENGTH, **settings):
        models: dict[str, EngineModel] = {}
        source = InProcessKvSource(models)
        ledger = PickupLedger()
        role_by_address = {
            PREFILL: EngineRole.PREFILL,
            DECODE: EngineRole.DECODE,
        }
        for address, role in role_by_address.items():
            parameters = EngineParameters(
                role=role, cache_event_loss=0.0, **settings
            )
            models[address] = EngineModel(
                parameters, source, lambda *_: length, ledger=ledger
            )
        self.prefill_model = models[PREFILL]
        self.decode_model = models[DECODE]
        self.prefill = InProcessEngine(models[PREFILL])
        self.decode = InProcessEngine(models[DECODE])

    async def compute(
        self, name, attempt=1, tokens=1000, priority=0, text=''
    ) -> DecodeCall:
        """Runs a prefill and returns the call that decodes from it."""
        prompt = Prompt(tokens, (), ord(name[0]), text)
        tag = StreamTag(name, attempt, 'host', 1)
        call = PrefillCall(tag, 'model', prompt, priority=priority)
        result = await self.prefill.prefill(call)
        return DecodeCall(
            tag, 'model', result.kv_id, PREFILL, prompt, 0, 10_000, priority
        )

    async def stage_by_request(self) -> dict[str, StreamStage]:
        """Returns the stage of each request; the decode engine's one wins."""
        infos = await self.prefill.streams() + await self.decode.streams()
        return {info.tag.request_id: info.stage for info in infos}

    def pieces_used(self) -> int:
        """Returns the KV blocks (pieces) held on both engines."""
        models = (self.prefill_model, self.decode_model)
        return sum(model.memory.total - model.memory.free for model in models)


async def read_all(events) -> tuple[list[str], str]:
    """Reads a stream from index 0; returns its tokens and finish reason."""
    texts: list[str] = []
    reason = ''
    async for event in events:
        assert event.index == len(texts)
        texts += event.texts
        reason = event.finish_reason
    return texts, reason


async def refusal_reason(awaitable) -> str:
    """Returns the reason with which an engine refuses a call."""
    with pytest.raises(EndpointRefusedError) as caught:
        await awaitable
    return caught.value.reason

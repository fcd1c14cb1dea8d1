"""The interface of model engines and the messages exchanged with them."""

from __future__ import annotations

import abc
import dataclasses
import enum
from collections.abc import AsyncGenerator

# Tokens of a prompt that one block hash covers.
BLOCK_TOKENS = 512
# Default number of tokens in a KV block (piece), for engines that do not report
# it.
PIECE_TOKENS = 2_000
# Default size of the KV cache of a token in bytes, for engines that do not
# report it.
KV_BYTES_PER_TOKEN = 100_000
# Bytes of text counted as one token before the engine has counted the tokens.
BYTES_PER_TOKEN = 4
# Priority of requests for which none is stated.
NO_PRIORITY = -1

REFUSED_LEAVING = 'leaving'
REFUSED_MEMORY = 'memory'
REFUSED_KV_EVICTED = 'kv_evicted'
REFUSED_MODEL = 'model'
REFUSED_FENCED = 'fenced'
REFUSED_STALE_ATTEMPT = 'stale_attempt'
REFUSED_UNKNOWN_STREAM = 'unknown_stream'


class EngineRole(enum.StrEnum):
    """The phase of inference that an engine serves."""

    PREFILL = 'prefill'
    DECODE = 'decode'


class StreamStage(enum.StrEnum):
    """The stage of a request on an engine."""

    QUEUED = 'queued'
    PREFILL = 'prefill'
    KEPT = 'kept'
    TRANSFER = 'transfer'
    DECODE = 'decode'
    FINISHED = 'finished'


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """A prompt, with its length and the hashes of its content.

    Attributes:
        tokens: length in tokens.
        block_hashes: 64-bit hash of each full block of BLOCK_TOKENS tokens;
            each hash also covers the blocks before.
        fingerprint: 64-bit hash of the whole prompt.
        text: the content; empty in replays, whose traces hold only hashes.
    """

    tokens: int
    block_hashes: tuple[int, ...]
    fingerprint: int
    text: str = dataclasses.field(default='', repr=False)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class StreamTag:
    """Identifies one attempt at a request on an endpoint.

    Attributes:
        request_id: the request's id.
        attempt: number of the attempt, from 1; a higher number replaces
            lower ones.
        host: id of the entry host that holds the caller's connection.
        incarnation: start number of that host's process.
    """

    request_id: str
    attempt: int
    host: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class SamplingOptions:
    """How an engine chooses tokens; None means the engine's default.

    Attributes:
        temperature: 0 (always the likeliest token) to 2.
        top_p: probability mass of the likeliest tokens that are sampled from,
            above 0 up to 1.
        top_k: number of the likeliest tokens that are sampled from.
        frequency_penalty: penalty on a token for each time it has occurred,
            -2 to 2.
        presence_penalty: penalty on tokens that have occurred, -2 to 2.
        stop: texts before which the answer ends.
        seed: seed of the random choice.
    """

    temperature: float | None = None
    top_p: float | None = None
    top_k: int | None = None
    frequency_penalty: float | None = None
    presence_penalty: float | None = None
    stop: tuple[str, ...] = ()
    seed: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PrefillCall:
    """Request to compute a prompt's KV cache.

    Attributes:
        tag: the attempt.
        model: name of the model.
        prompt: the prompt.
        emitted: tokens already delivered; the engine computes them after the
            prompt.
        priority: a lower number goes first in the engine's queue.
        sampling: how the first token is chosen.
    """

    tag: StreamTag
    model: str
    prompt: Prompt
    emitted: tuple[str, ...] = ()
    priority: int = 0
    sampling: SamplingOptions = SamplingOptions()


@dataclasses.dataclass(frozen=True, slots=True)
class PrefillResult:
    """A computed KV cache, kept by the engine for less than a second.

    Attributes:
        kv_id: handle by which a decode engine fetches the KV cache.
        prompt_tokens: tokens of the prompt as counted by the engine.
        cached_tokens: tokens taken from the prefix cache, not computed.
        kv_bytes: size of the KV cache to transfer, in bytes.
        keep_s: seconds for which the engine keeps the result.
    """

    kv_id: str
    prompt_tokens: int
    cached_tokens: int
    kv_bytes: int
    keep_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class DecodeCall:
    """Request to import a KV cache and decode from it.

    Attributes:
        tag: the attempt.
        model: name of the model.
        kv_id: handle of the prefill result.
        source: URL of the prefill engine that keeps the result.
        prompt: the prompt.
        first_index: index of the first token to emit.
        max_tokens: maximum number of tokens in the answer, including those
            before first_index.
        priority: the stream with the highest number is preempted first.
        sampling: how tokens are chosen.
    """

    tag: StreamTag
    model: str
    kv_id: str
    source: str
    prompt: Prompt
    first_index: int
    max_tokens: int
    priority: int = 0
    sampling: SamplingOptions = SamplingOptions()


@dataclasses.dataclass(frozen=True, slots=True)
class TokenEvent:
    """Consecutive tokens of one stream.

    Attributes:
        request_id: the request's id.
        attempt: number of the attempt.
        index: index in the answer of the first token in texts.
        texts: the tokens' texts.
        finish_reason: '' while more events follow, else 'stop', 'length',
            'cancelled' or 'preempted'.
    """

    request_id: str
    attempt: int
    index: int
    texts: tuple[str, ...]
    finish_reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class StreamInfo:
    """One stream that an engine holds.

    Attributes:
        tag: the attempt.
        stage: stage of the stream.
        pieces: KV blocks (pieces) held.
        next_index: index of the next token to emit.
    """

    tag: StreamTag
    stage: StreamStage
    pieces: int
    next_index: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """An engine's report of its own load, published with a delay.

    Attributes:
        role: current role.
        model: model loaded, or '' while it loads.
        model_version: version of that model.
        pieces_total: KV memory in blocks (pieces).
        pieces_free: free KV memory in blocks (pieces).
        active: streams in the decode batch.
        queued_tokens: prompt tokens queued or being computed.
        prefill_tokens_per_s: rate at which prompt tokens are computed, 0 if
            the engine does not report it.
        step_s: duration of the last decode step, seconds, 0 if the engine
            does not report it.
        age_s: age of this report, seconds.
        leaving: whether the engine refuses new work.
        start: start number of the engine process; a change means a crash.
        order_term: fencing number of the last order carried out, None if the
            engine does not report it.
        link_bytes_per_s: rate of the link for KV transfers.
        adapters: adapters loaded, None if the engine does not report them.
        piece_tokens: tokens in a KV block (piece).
        kv_bytes_per_token: size of the KV cache of a token, in bytes.
        reads_prompts: whether it can also compute prompts as a decode engine
            (local prefill), more slowly than a prefill engine.
        drains_itself: whether it lets running work end before it carries out
            an order, and refuses new work meanwhile.
        run_ids: ids of the requests that it runs, None if the engine does not
            report them.
        run_tokens: tokens that each of these has made, None if not known.
    """

    role: EngineRole
    model: str
    model_version: str
    pieces_total: int
    pieces_free: int
    active: int
    queued_tokens: int
    prefill_tokens_per_s: float
    step_s: float
    age_s: float
    leaving: bool
    start: int
    order_term: int | None
    link_bytes_per_s: float
    adapters: tuple[str, ...] | None = None
    piece_tokens: int = PIECE_TOKENS
    kv_bytes_per_token: int = KV_BYTES_PER_TOKEN
    reads_prompts: bool = False
    drains_itself: bool = False
    run_ids: tuple[str, ...] | None = None
    run_tokens: tuple[int, ...] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prefix block was stored in an engine's cache or evicted from it.

    Attributes:
        sequence: number of the event; a gap means that events were lost.
        block_hash: hash of the block.
        stored: True if the block was stored, False if it was evicted.
    """

    sequence: int
    block_hash: int
    stored: bool


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOrder:
    """The whole wanted state of an engine.

    Attributes:
        term: fencing number: the log offset of the record that states the
            engine change.
        role: wanted role.
        model: wanted model.
        model_version: wanted version.
        adapters: wanted adapters.
    """

    term: int
    role: EngineRole
    model: str
    model_version: str = ''
    adapters: tuple[str, ...] = ()


class EngineControl(abc.ABC):
    """Reads the load of a model engine and sends it orders.

    Methods raise EndpointUnreachableError when nothing was sent,
    EndpointRefusedError when the engine did not take the work, and
    EndpointFailedError when the call may have been sent and then failed.
    """

    @abc.abstractmethod
    async def report(self) -> LoadReport:
        """Reads the latest published load report."""

    @abc.abstractmethod
    async def order(self, order: EngineOrder) -> None:
        """Sends the wanted state; returns when the engine has accepted it."""

    async def cache_events(self, after: int) -> list[CacheEvent]:
        """Reads the cache events published after a sequence number.

        An engine that publishes no cache events returns an empty list.
        """
        return []

    async def close(self) -> None:
        """Releases connections."""
        return None


class Engine(EngineControl):
    """One model engine that computes prompts and decodes answers."""

    @abc.abstractmethod
    async def prefill(self, call: PrefillCall) -> PrefillResult:
        """Computes a prompt's KV cache and keeps it for a short time."""

    @abc.abstractmethod
    def decode(self, call: DecodeCall) -> AsyncGenerator[TokenEvent, None]:
        """Imports a KV cache and yields tokens.

        Closing the generator does not cancel the stream; cancel() does.
        """

    @abc.abstractmethod
    def resume(
        self, request_id: str, attempt: int, from_index: int
    ) -> AsyncGenerator[TokenEvent, None]:
        """Attaches to a running stream; yields its tokens from an index on."""

    @abc.abstractmethod
    async def cancel(self, request_id: str, attempt: int) -> None:
        """Frees what this attempt and earlier ones hold; idempotent."""

    @abc.abstractmethod
    async def streams(self) -> list[StreamInfo]:
        """Lists the streams that the engine holds, at all stages."""

    @abc.abstractmethod
    async def cache_events(self, after: int) -> list[CacheEvent]:
        """Reads the cache events published after a sequence number."""

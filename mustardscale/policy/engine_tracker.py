"""A pool owner's view of its engines' prefills, links, caches and memory."""

from __future__ import annotations

import dataclasses
import math

from mustardscale.endpoints.engines import (
    BLOCK_TOKENS,
    KV_BYTES_PER_TOKEN,
    CacheEvent,
    EngineRole,
    LoadReport,
    StreamStage,
)
from mustardscale.peers.peer_messages import AdmitRequest, Release
from mustardscale.policy.base import (
    EngineSpeeds,
    EngineState,
    PoolState,
    Reservation,
)
from mustardscale.policy.decode_capacity import DecodeCapacity
from mustardscale.policy.link_schedule import LinkSchedule
from mustardscale.policy.prefill_timeline import PrefillTimeline
from mustardscale.policy.prefix_index import PrefixIndex

# Assumed for an engine whose rate is neither reported nor learnt.
DEFAULT_PREFILL_TOKENS_PER_S = 16_000.0
# Part of a prefill's time that does not depend on the prompt, seconds.
PREFILL_BASE_S = 0.02
DEFAULT_LINK_BYTES_PER_S = 2e9
# Seconds between the end of a prefill and the start of its transfer.
HANDOVER_S = 0.004
# Weight of a new sample in the learnt rate of a prefill engine.
RATE_SAMPLE_WEIGHT = 0.2
# Prompts of fewer tokens say little about an engine's rate and are ignored.
RATE_SAMPLE_TOKENS = 1_000
# Rate of local prefills, in which a decode engine computes a prompt itself, as
# a share of a prefill engine's rate.
LOCAL_PREFILL_RATE_SHARE = 0.5
# Seconds for which the expected prefill times of a request are reused.
CACHE_LOOKUP_S = 0.25
# The look-ups are cleared when there are more than this.
MAX_LOOKUPS = 4_000


@dataclasses.dataclass(frozen=True, slots=True)
class PrefillLookup:
    """The expected prefill times of one request, given the prefix caches.

    Attributes:
        made_at: loop time of the look-up.
        engine_ids: the prefill engines that were looked up.
        seconds_by_id: expected time of the prefill on each engine, by its id.
    """

    made_at: float
    engine_ids: frozenset[str]
    seconds_by_id: dict[str, float]


class EngineTracker:
    """The work granted to the engines of a pool, and their learnt speeds.

    Attributes:
        capacities: the decode engines' memory and step times.
        links: the transfers booked on the engines' links.
        kv_bytes_per_token: size of the KV cache of a token, bytes.
    """

    def __init__(self, learns_speeds: bool = False):
        self.capacities = DecodeCapacity(learns_speeds)
        self._start_by_id: dict[str, int] = {}
        self.links = LinkSchedule(DEFAULT_LINK_BYTES_PER_S)
        self.kv_bytes_per_token = KV_BYTES_PER_TOKEN
        self._prefixes = PrefixIndex()
        self._timeline_by_id: dict[str, PrefillTimeline] = {}
        self._rate_by_id: dict[str, float] = {}
        # Engines that report their rate, so that it need not be learnt.
        self._engines_reporting_rate: set[str] = set()
        self._expected_blocks_by_request_id: dict[str, int] = {}
        self._lookup_by_request_id: dict[str, PrefillLookup] = {}
        self._local_prefill_began_at_by_id: dict[str, float] = {}

    def prefill_s_by_id(
        self, engine_ids: frozenset[str], request: AdmitRequest, now: float
    ) -> dict[str, float]:
        """Returns the expected time of a prefill on each engine."""
        request_id = request.tag.request_id
        known = self._lookup_by_request_id.get(request_id)
        if (
            known is not None
            and now - known.made_at <= CACHE_LOOKUP_S
            and known.engine_ids == engine_ids
        ):
            return known.seconds_by_id
        if len(self._lookup_by_request_id) > MAX_LOOKUPS:
            self._lookup_by_request_id.clear()
        seconds_by_id = {
            engine_id: self._prefill_s(engine_id, request)
            for engine_id in engine_ids
        }
        self._lookup_by_request_id[request_id] = PrefillLookup(
            now, engine_ids, seconds_by_id
        )
        return seconds_by_id

    def _prefill_s(self, engine_id: str, request: AdmitRequest) -> float:
        cached = self._prefixes.expected_cached_tokens(
            engine_id, request.block_hashes
        )
        tokens = max(1.0, request.prompt_tokens - cached)
        return PREFILL_BASE_S + tokens / self.rate(engine_id)

    def local_prefill_rate(self) -> float:
        """Returns a decode engine's rate of local prefill, tokens a second."""
        rates = list(self._rate_by_id.values())
        mean = (
            sum(rates) / len(rates) if rates else DEFAULT_PREFILL_TOKENS_PER_S
        )
        return LOCAL_PREFILL_RATE_SHARE * mean

    def local_prefill_s(self, prompt_tokens: int, engine_id: str = '') -> float:
        """Returns the expected time of a local prefill, seconds.

        Args:
            prompt_tokens: length of the prompt.
            engine_id: id of the decode engine, '' for the mean of the pool. An
                engine with slow steps is taken to compute prompts as slowly.
        """
        factor = self.capacities.speed_factor(engine_id)
        computing_s = prompt_tokens / self.local_prefill_rate()
        return PREFILL_BASE_S + computing_s * factor

    def local_prefill_began_at(self, engine_id: str) -> float:
        """Returns when a decode engine was last granted a local prefill.

        Returns:
            Loop time of the grant, -inf if there was none.
        """
        return self._local_prefill_began_at_by_id.get(engine_id, -math.inf)

    def min_prefill_s(self, engine_id: str, request: AdmitRequest) -> float:
        """Returns the time of a prefill if all expected blocks are cached."""
        prefixes = self._prefixes.endpoint(engine_id)
        blocks = prefixes.matched_blocks(request.block_hashes)
        tokens = max(1, request.prompt_tokens - blocks * BLOCK_TOKENS)
        return PREFILL_BASE_S + tokens / self.rate(engine_id)

    def free_at(self, engine_id: str, now: float) -> float:
        """Returns when an engine is expected to have done its prefills."""
        return self._timeline(engine_id).free_at(now)

    def rate(self, engine_id: str) -> float:
        """Returns a prefill engine's rate, tokens a second."""
        known = self._rate_by_id.get(engine_id)
        if known is not None:
            return known
        if not self.capacities.learns_speeds or not self._rate_by_id:
            return DEFAULT_PREFILL_TOKENS_PER_S
        # Other engines of the model say more than the default.
        return sum(self._rate_by_id.values()) / len(self._rate_by_id)

    def min_transfer_s(self, tokens: int) -> float:
        """Returns the time of a KV transfer on the fastest link, seconds."""
        return tokens * self.kv_bytes_per_token / self.links.max_bytes_per_s()

    def _timeline(self, engine_id: str) -> PrefillTimeline:
        timeline = self._timeline_by_id.get(engine_id)
        if timeline is None:
            timeline = self._timeline_by_id[engine_id] = PrefillTimeline()
        return timeline

    def observe_grant(self, reservation: Reservation, now: float) -> None:
        """Books the prefill on its engine, and the transfer on the links."""
        stream = reservation.stream
        request_id = reservation.request_id
        if stream.stage is StreamStage.DECODE:
            return
        ready = now
        if stream.prefill == stream.decode:
            self._local_prefill_began_at_by_id[stream.decode] = now
            self._timeline(stream.decode).add(
                request_id,
                self.local_prefill_s(stream.prompt_tokens, stream.decode),
                now,
            )
            return
        if stream.stage is not StreamStage.TRANSFER:
            hashes = reservation.block_hashes
            cached = self._prefixes.expected_cached_tokens(
                stream.prefill, hashes
            )
            tokens = max(1.0, stream.prompt_tokens - cached)
            seconds = PREFILL_BASE_S + tokens / self.rate(stream.prefill)
            timeline = self._timeline(stream.prefill)
            timeline.add(request_id, seconds, now)
            ready = timeline.free_at(now) + HANDOVER_S
            prefixes = self._prefixes.endpoint(stream.prefill)
            self._expected_blocks_by_request_id[request_id] = (
                prefixes.matched_blocks(hashes)
            )
            prefixes.record_sent(hashes, now)
        self.links.book(
            request_id,
            stream.prefill,
            stream.decode,
            stream.prompt_tokens * self.kv_bytes_per_token,
            ready,
            now,
        )

    def observe_stage(
        self, reservation: Reservation, stage: StreamStage, now: float
    ) -> None:
        """Records the end of a prefill or of a transfer."""
        stream = reservation.stream
        request_id = reservation.request_id
        if stage is StreamStage.TRANSFER:
            self._learn_from_prefill(reservation, now)
            self.links.mark_ready(request_id, now)
        elif stage is StreamStage.DECODE:
            self._timeline(stream.prefill).done(request_id, now)
            self.links.finish(request_id, now)

    def _learn_from_prefill(self, reservation: Reservation, now: float) -> None:
        """Learns an engine's rate and cache hits from a prefill's duration.

        The duration and the rate give the tokens that were computed; the rest
        of the prompt must have been cached.
        """
        stream = reservation.stream
        seconds = self._timeline(stream.prefill).done(
            reservation.request_id, now
        )
        if (
            seconds is not None
            and stream.prefill not in self._engines_reporting_rate
        ):
            self._learn_rate(stream.prefill, stream.prompt_tokens, seconds)
        hashes = reservation.block_hashes
        expected = self._expected_blocks_by_request_id.pop(
            reservation.request_id, 0
        )
        if seconds is None or not expected:
            return
        rate = self.rate(stream.prefill)
        computed = max(0.0, seconds - PREFILL_BASE_S) * rate
        cached = max(0, int(stream.prompt_tokens - computed))
        blocks = min(len(hashes), round(cached / BLOCK_TOKENS))
        self._prefixes.endpoint(stream.prefill).observe(
            expected, blocks * BLOCK_TOKENS
        )

    def _learn_rate(
        self, engine_id: str, prompt_tokens: int, seconds: float
    ) -> None:
        """Learns the rate of an engine that does not report it."""
        computing_s = seconds - PREFILL_BASE_S
        if prompt_tokens < RATE_SAMPLE_TOKENS or computing_s <= 0:
            return
        sample = prompt_tokens / computing_s
        known = self._rate_by_id.get(engine_id, sample)
        self._rate_by_id[engine_id] = known + RATE_SAMPLE_WEIGHT * (
            sample - known
        )

    def observe_release(
        self, reservation: Reservation, release: Release, now: float
    ) -> None:
        """Drops the prefill and the transfer, and learns the output length."""
        stream = reservation.stream
        self._timeline(stream.prefill).done(reservation.request_id, now)
        self._expected_blocks_by_request_id.pop(reservation.request_id, None)
        self.links.drop(reservation.request_id)
        if release.finished:
            self.capacities.lengths.record(
                stream.service, release.emitted, stream.hint_tokens
            )

    def observe_report(
        self,
        pool: PoolState,
        engine: EngineState,
        report: LoadReport,
        now: float,
    ) -> None:
        """Updates speeds and the memory in use by a load report."""
        self._forget_earlier_process(engine.id, report.start)
        self.links.set_rate(engine.id, report.link_bytes_per_s)
        self.kv_bytes_per_token = report.kv_bytes_per_token
        if engine.role is not EngineRole.PREFILL:
            self.capacities.observe_report(pool, engine.id, report, now)
        elif report.prefill_tokens_per_s > 0:
            self._engines_reporting_rate.add(engine.id)
            self._rate_by_id[engine.id] = report.prefill_tokens_per_s

    def describe_speeds(self) -> EngineSpeeds:
        """Returns what has been learnt of the engines' speeds."""
        return EngineSpeeds(
            dict(self._rate_by_id), self.capacities.describe_factors()
        )

    def _forget_earlier_process(self, engine_id: str, start: int) -> None:
        """Forgets the rate that an engine had before it was restarted."""
        if not self.capacities.learns_speeds:
            return
        if self._start_by_id.setdefault(engine_id, start) != start:
            self._start_by_id[engine_id] = start
            self._rate_by_id.pop(engine_id, None)

    def observe_cache(
        self, engine: EngineState, events: list[CacheEvent], now: float
    ) -> None:
        """Updates the content of a prefill engine's prefix cache."""
        self._prefixes.endpoint(engine.id).apply(events, now)

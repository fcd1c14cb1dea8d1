"""The state of a pool at its owner, and the base class of the policies."""

from __future__ import annotations

import abc
import collections
import dataclasses
import random
from collections.abc import Iterator, MutableMapping

from mustardscale.configuration.config_records import Profile
from mustardscale.endpoints.engines import (
    NO_PRIORITY,
    CacheEvent,
    EngineRole,
    LoadReport,
    StreamStage,
    StreamTag,
)
from mustardscale.outcomes import Outcome
from mustardscale.peers.held_set import HeldSet, stream_hash
from mustardscale.peers.peer_messages import AdmitRequest, HeldStream, Release
from mustardscale.policy.memory_booking import PIECE_TOKENS, pieces_for


@dataclasses.dataclass(slots=True)
class WaitingRequest:
    """A request whose admission is not decided yet.

    Attributes:
        request: the admission request of the entry host.
        arrived_at: loop time at which it arrived at this owner.
        first_token_at: loop time by which the first token is due.
        deadline_at: loop time of its deadline.
        suspect: whether it may crash an endpoint.
        is_trial: whether it may run although it is quarantined.
    """

    request: AdmitRequest
    arrived_at: float
    first_token_at: float
    deadline_at: float
    suspect: bool = False
    is_trial: bool = False


@dataclasses.dataclass(slots=True)
class Reservation:
    """A grant that is in use.

    Attributes:
        stream: its state as last reported by the entry host.
        fingerprint: hash of the prompt, 0 if unknown.
        granted_at: loop time of the grant.
        renewed_at: loop time at which its host last reported its progress.
        decoding_since: loop time of the first progress in decode, None before.
        suspect: whether the request may crash an endpoint.
        block_hashes: chained hashes of the prompt's blocks.
        named_at: loop time at which its host last confirmed it, in a report or
            by the digest of the streams that it holds.
        keys: the request's suspicion keys.
        priority: its priority, NO_PRIORITY if the owner does not know it.
        customer: name of its customer, '' if the owner knows none.
    """

    stream: HeldStream
    fingerprint: int
    granted_at: float
    renewed_at: float
    decoding_since: float | None = None
    suspect: bool = False
    block_hashes: tuple[int, ...] = ()
    named_at: float = dataclasses.field(default=0.0, compare=False)
    keys: tuple[str, ...] = dataclasses.field(default=(), compare=False)
    priority: int = dataclasses.field(default=NO_PRIORITY, compare=False)
    customer: str = dataclasses.field(default='', compare=False)

    @property
    def request_id(self) -> str:
        """Returns the request's id."""
        return self.stream.tag.request_id


@dataclasses.dataclass(slots=True)
class DecodeShare:
    """The reservations on one decode engine.

    Attributes:
        by_request_id: the reservations.
        largest_pieces: KV blocks (pieces) that they need together if each
            answer has its maximum length.
        copied_pieces: KV blocks that copies of streams on other engines take up
            by their last reports of progress.
    """

    by_request_id: dict[str, Reservation] = dataclasses.field(
        default_factory=dict
    )
    largest_pieces: int = 0
    copied_pieces: int = 0


@dataclasses.dataclass(slots=True)
class ProcessShare:
    """The reservations of one entry host's process.

    Attributes:
        by_request_id: the reservations.
        streams: the set of their streams, with its digest.
    """

    by_request_id: dict[str, Reservation] = dataclasses.field(
        default_factory=dict
    )
    streams: HeldSet = dataclasses.field(default_factory=HeldSet)


@dataclasses.dataclass(frozen=True, slots=True)
class _Contribution:
    """What a reservation adds to the sums of its engine and its process."""

    decode: str
    pieces: int
    process: tuple[str, int]
    key: int
    backup: str = ''
    copied_pieces: int = 0


class Reservations(MutableMapping[str, Reservation]):
    """The grants in use by request id, with sums by engine and by process.

    When the stream of a reservation was replaced, the reservation has to be
    set again under its request id, so that the sums stay right.

    Attributes:
        piece_tokens: tokens in a KV block (piece), the unit of the sums.
    """

    __slots__ = (
        '_by_request_id',
        '_contribution_by_id',
        '_share_by_decode',
        '_share_by_process',
        'piece_tokens',
    )

    def __init__(self):
        self.piece_tokens = PIECE_TOKENS
        self._by_request_id: dict[str, Reservation] = {}
        self._contribution_by_id: dict[str, _Contribution] = {}
        self._share_by_decode: dict[str, DecodeShare] = collections.defaultdict(
            DecodeShare
        )
        # By host id and incarnation.
        self._share_by_process: dict[tuple[str, int], ProcessShare] = (
            collections.defaultdict(ProcessShare)
        )

    def set_piece_tokens(self, piece_tokens: int) -> None:
        """Sets the size of a KV block and recomputes the sums."""
        if piece_tokens == self.piece_tokens:
            return
        self.piece_tokens = piece_tokens
        for request_id, held in list(self._by_request_id.items()):
            self[request_id] = held

    def decode_share(self, engine_id: str) -> DecodeShare:
        """Returns the reservations on a decode engine."""
        return self._share_by_decode.get(engine_id) or DecodeShare()

    def process_share(self, host: str, incarnation: int) -> ProcessShare:
        """Returns the reservations of one process of an entry host."""
        share = self._share_by_process.get((host, incarnation))
        return share or ProcessShare()

    def __getitem__(self, request_id: str) -> Reservation:
        """Returns the reservation of a request."""
        return self._by_request_id[request_id]

    def __setitem__(self, request_id: str, held: Reservation) -> None:
        """Adds a reservation or updates its contribution to the sums."""
        contribution = _compute_contribution(held, self.piece_tokens)
        if self._contribution_by_id.get(request_id) != contribution:
            self._remove_contribution(request_id)
            self._contribution_by_id[request_id] = contribution
            decode_share = self._share_by_decode[contribution.decode]
            decode_share.largest_pieces += contribution.pieces
            if contribution.backup:
                backup_share = self._share_by_decode[contribution.backup]
                backup_share.copied_pieces += contribution.copied_pieces
            self._share_by_process[contribution.process].streams.add(
                contribution.key
            )
        decode_share = self._share_by_decode[contribution.decode]
        decode_share.by_request_id[request_id] = held
        process_share = self._share_by_process[contribution.process]
        process_share.by_request_id[request_id] = held
        self._by_request_id[request_id] = held

    def __delitem__(self, request_id: str) -> None:
        """Removes a reservation."""
        del self._by_request_id[request_id]
        self._remove_contribution(request_id)

    def __iter__(self) -> Iterator[str]:
        """Yields the request ids."""
        return iter(self._by_request_id)

    def __len__(self) -> int:
        """Returns the number of reservations."""
        return len(self._by_request_id)

    def _remove_contribution(self, request_id: str) -> None:
        contribution = self._contribution_by_id.pop(request_id, None)
        if contribution is None:
            return
        decode_share = self._share_by_decode[contribution.decode]
        del decode_share.by_request_id[request_id]
        decode_share.largest_pieces -= contribution.pieces
        self._drop_if_empty(contribution.decode)
        if contribution.backup:
            backup_share = self._share_by_decode[contribution.backup]
            backup_share.copied_pieces -= contribution.copied_pieces
            self._drop_if_empty(contribution.backup)
        process_share = self._share_by_process[contribution.process]
        del process_share.by_request_id[request_id]
        process_share.streams.remove(contribution.key)
        if not process_share.by_request_id:
            del self._share_by_process[contribution.process]

    def _drop_if_empty(self, engine_id: str) -> None:
        """Drops the share of an engine without reservations and copies."""
        share = self._share_by_decode[engine_id]
        if not share.by_request_id and not share.copied_pieces:
            del self._share_by_decode[engine_id]


def _compute_contribution(
    held: Reservation, piece_tokens: int
) -> _Contribution:
    stream = held.stream
    longest = max(stream.max_tokens, stream.emitted + 1)
    return _Contribution(
        stream.decode,
        pieces_for(stream.prompt_tokens + longest, piece_tokens),
        (stream.tag.host, stream.tag.incarnation),
        stream_hash(stream.tag, stream.stage),
        stream.backup,
        pieces_for(stream.prompt_tokens + stream.emitted, piece_tokens)
        if stream.backup
        else 0,
    )


@dataclasses.dataclass(slots=True)
class EngineState:
    """An engine of the pool.

    Attributes:
        id: its id.
        role: its role.
        data_centre: its data centre.
        usable: whether new work may be placed there.
        report: its last load report.
        reported_at: loop time at which the report was read.
        version: version of its software.
    """

    id: str
    role: EngineRole
    data_centre: str
    usable: bool = True
    report: LoadReport | None = None
    reported_at: float = 0.0
    version: str = dataclasses.field(default='', compare=False)


@dataclasses.dataclass(slots=True)
class PoolState:
    """The state of a pool at its owner.

    Attributes:
        id: the pool's id.
        engines_by_id: its engines.
        waiting_by_request_id: requests whose admission is not decided yet.
        reservations_by_request_id: grants in use.
        profile_by_service: the profile of each language service.
        weight_by_customer: the weight of each customer in fair shares, if it
            is not 1.
    """

    id: str
    engines_by_id: dict[str, EngineState] = dataclasses.field(
        default_factory=dict
    )
    waiting_by_request_id: dict[str, WaitingRequest] = dataclasses.field(
        default_factory=dict
    )
    reservations_by_request_id: Reservations = dataclasses.field(
        default_factory=Reservations
    )
    profile_by_service: dict[str, Profile] = dataclasses.field(
        default_factory=dict
    )
    weight_by_customer: dict[str, float] = dataclasses.field(
        default_factory=dict
    )

    @property
    def piece_tokens(self) -> int:
        """Returns the tokens in a KV block (piece) of the engines' memory."""
        return self.reservations_by_request_id.piece_tokens

    def update_piece_tokens(self) -> None:
        """Sets the size of a KV block to that of the engines.

        All engines of a pool have the same one. Should the reports differ, the
        smallest is taken.
        """
        sizes = [
            engine.report.piece_tokens
            for engine in self.engines_by_id.values()
            if engine.report is not None
        ]
        if sizes:
            self.reservations_by_request_id.set_piece_tokens(min(sizes))

    def engines(self, role: EngineRole) -> list[EngineState]:
        """Returns the usable engines of a role, ordered by id."""
        engines = [
            engine
            for engine in self.engines_by_id.values()
            if engine.usable and engine.role is role
        ]
        return sorted(engines, key=lambda engine: engine.id)


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A decision to run a request on the given engines.

    Attributes:
        request_id: the request's id.
        prefill: id of the prefill engine.
        decode: id of the decode engine.
        priority: priority in the engines' queues; a lower number goes first.
        prefill_s: seconds that the prefill is expected to take, 0 if unknown.
    """

    request_id: str
    prefill: str
    decode: str
    priority: int = 0
    prefill_s: float = dataclasses.field(default=0.0, compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A decision not to run a request.

    Attributes:
        request_id: the request's id.
        outcome: a code of the class 'not run'.
        retry_after_s: seconds after which a retry may succeed.
    """

    request_id: str
    outcome: Outcome
    retry_after_s: float


Decision = Grant | Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpeeds:
    """What a policy has learnt of the speeds of engines.

    Attributes:
        prefill_tokens_per_s_by_id: rate of each prefill engine.
        step_factor_by_id: step time of each decode engine as a multiple of the
            pool's.
    """

    prefill_tokens_per_s_by_id: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    step_factor_by_id: dict[str, float] = dataclasses.field(
        default_factory=dict
    )


class PlacementPolicy(abc.ABC):
    """Decides which waiting requests run on which engines.

    Each pool has its own instance. decide() changes neither the pool nor what
    the policy has learnt about engines and streams, which only the observe
    methods update. It may record which requests wait, for arrival rates and
    fair shares.
    """

    def __init__(self, rng: random.Random):
        self.rng = rng

    @abc.abstractmethod
    def decide(self, pool: PoolState, now: float) -> list[Decision]:
        """Decides on waiting requests; the others keep waiting."""

    def describe_speeds(self) -> EngineSpeeds:
        """Returns what has been learnt of the engines' speeds."""
        return EngineSpeeds()

    def observe_grant(
        self, pool: PoolState, reservation: Reservation, now: float
    ) -> None:
        """Records that a grant was given."""
        return None

    def observe_stage(
        self,
        pool: PoolState,
        reservation: Reservation,
        stage: StreamStage,
        now: float,
    ) -> None:
        """Records that a stream has reached a stage."""
        return None

    def observe_release(
        self,
        pool: PoolState,
        reservation: Reservation,
        release: Release,
        now: float,
    ) -> None:
        """Records that a stream has ended."""
        return None

    def observe_report(
        self,
        pool: PoolState,
        engine: EngineState,
        report: LoadReport,
        now: float,
    ) -> None:
        """Records a load report of an engine."""
        return None

    def observe_cache(
        self,
        pool: PoolState,
        engine: EngineState,
        events: list[CacheEvent],
        now: float,
    ) -> None:
        """Records cache events of a prefill engine."""
        return None


def candidate_engines(
    pool: PoolState, role: EngineRole, request: AdmitRequest
) -> list[EngineState]:
    """Returns the usable engines of a role that a request doesn't exclude."""
    return [
        engine
        for engine in pool.engines(role)
        if engine.id not in request.excluded
    ]


def tag_key(tag: StreamTag) -> tuple[str, int]:
    """Returns request id and attempt, which identify an attempt."""
    return (tag.request_id, tag.attempt)

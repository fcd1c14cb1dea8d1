"""The messages between entry hosts; those of the directory stand apart.

Each request message is answered by the reply type named in REPLY_BY_REQUEST.
"""

from __future__ import annotations

import dataclasses

from mustardscale.endpoints.engines import (
    NO_PRIORITY,
    StreamStage,
    StreamTag,
)
from mustardscale.peers.config_messages import (
    ConfigFetch,
    ConfigFetchReply,
)
from mustardscale.peers.directory_messages import (
    DirectoryRegister,
    DirectoryRemove,
    DirectoryReply,
)
from mustardscale.peers.forward_messages import (
    ForwardCall,
    ForwardClose,
    ForwardPart,
    ForwardRead,
    ForwardReply,
)
from mustardscale.peers.load_messages import EndpointLoad
from mustardscale.peers.quota_messages import QuotaReply, QuotaRequest
from mustardscale.peers.rate_limit_messages import (
    PermitReply,
    PermitRequest,
    RateLimitStatement,
)
from mustardscale.peers.stream_messages import (
    StreamFetch,
    StreamFetchReply,
    StreamStatus,
)
from mustardscale.peers.suspicion_messages import Quarantine, SuspicionNotice
from mustardscale.peers.version_messages import (
    VersionLookup,
    VersionNotice,
    VersionReply,
)


@dataclasses.dataclass(frozen=True, slots=True)
class HeardHost:
    """A host that the sender of a heartbeat hears itself.

    Attributes:
        host: its id.
        incarnation: start number of its process.
        draining: whether it takes no new requests.
        age_s: seconds since the sender heard it.
    """

    host: str
    incarnation: int
    draining: bool
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sent to a peer at a fixed interval; the reply is the peer's own.

    One host of a pair begins the exchange; the other one learns by the next
    request whether its reply arrived.

    Attributes:
        host: id of the sender.
        incarnation: start number of the sender's process.
        data_centre: the sender's data centre.
        draining: whether the sender takes no new requests.
        config_offset: newest configuration offset folded.
        config_digest: hash over the folded state, to find differences.
        leaving: ids of endpoints known to be leaving.
        quarantined: what hosts of earlier versions keep off endpoints; empty.
        heard: of the hosts that the receiver does not hear, those that the
            sender hears itself.
        unheard: the hosts that the sender does not hear.
        sent_at: the sender's loop time.
        echo_at: sent_at of the last heartbeat that the sender has of the
            receiver.
        echo_incarnation: start number of the process that sent that one, 0 if
            there is none.
        address: 'ip:port' at which the sender serves its peers, '' where only
            the host list tells it.
        heard_digest: digest of the hosts that the sender hears as a hub, 0 if
            it is none.
        known_digest: digest of what the sender has of the receiver's word.
        quorum_age_s: seconds since a majority of the hosts answered a
            heartbeat of the sender, a hub; negative otherwise.
        relayed_leaving: ids of endpoints that are leaving by the word of the
            hosts that the sender hears as a hub.
        heard_since: digest of the hub's word that the receiver has, from which
            `heard` and `lost` tell the difference; 0 if `heard` has all.
        lost: the hosts of that word that the hub does not hear any more.
        capacity: the sender's processor in usual cores.
        streams: how far the sender, a hub, has read the platform's streams.
        rate_limits: rate limits of endpoints that the sender learnt lately, or
            all that it knows if it met the receiver lately.
        grants_permits: whether the sender answers a PermitRequest; hosts of
            earlier versions close the connection at it.
        keeps_versions: the same of a VersionNotice and a VersionLookup.
        forwards: the same of a ForwardCall; hosts of the own interface
            have no handler for it.
        grants_quotas: the same of a QuotaRequest.
        loads: calls that the sender has open at plain endpoints.
        summed_loads: calls that all hosts but the receiver have open there, by
            the word of those that the sender hears as a hub.
    """

    host: str
    incarnation: int
    data_centre: str
    draining: bool
    config_offset: int
    config_digest: int
    leaving: tuple[str, ...] = ()
    quarantined: tuple[Quarantine, ...] = ()
    heard: tuple[HeardHost, ...] = ()
    unheard: tuple[str, ...] = ()
    sent_at: float = 0.0
    echo_at: float = 0.0
    echo_incarnation: int = 0
    address: str = ''
    heard_digest: int = 0
    known_digest: int = 0
    quorum_age_s: float = -1.0
    relayed_leaving: tuple[str, ...] = ()
    heard_since: int = 0
    lost: tuple[str, ...] = ()
    capacity: float = 1.0
    streams: tuple[StreamStatus, ...] = ()
    rate_limits: tuple[RateLimitStatement, ...] = ()
    grants_permits: bool = True
    keeps_versions: bool = True
    forwards: bool = False
    grants_quotas: bool = True
    loads: tuple[EndpointLoad, ...] = ()
    summed_loads: tuple[EndpointLoad, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class AdmitRequest:
    """Asks a pool's owner for endpoints; answered once decided.

    Attributes:
        pool: id of the pool.
        tag: the attempt.
        service: the service that asks.
        prompt_tokens: prompt length including tokens already emitted.
        block_hashes: chained hashes of the prompt's blocks.
        fingerprint: hash of the whole prompt.
        max_tokens: tokens that may still be emitted.
        first_token_s: seconds left to the first-token target; may be negative.
        deadline_s: seconds left to the deadline.
        waited_s: seconds since the caller's request arrived.
        excluded: ids of endpoints that must not be used again.
        alone: whether to run it with no other request on the endpoint.
        hint_tokens: the caller's guess of the tokens emitted, 0 for none.
        turn_within_s: seconds within which the grant must come, 0 for as long
            as the caller stays.
        keys: the request's suspicion keys.
        priority: its priority, 0 is the most urgent; NO_PRIORITY where all
            requests of the pool's service have the same one, and from hosts
            of earlier releases.
        customer: name of its customer, '' if it has none.
        wants_backup: whether to name an engine for a copy of the KV cache.
    """

    pool: str
    tag: StreamTag
    service: str
    prompt_tokens: int
    block_hashes: tuple[int, ...]
    fingerprint: int
    max_tokens: int
    first_token_s: float
    deadline_s: float
    waited_s: float = 0.0
    excluded: tuple[str, ...] = ()
    alone: bool = False
    hint_tokens: int = 0
    turn_within_s: float = 0.0
    keys: tuple[str, ...] = ()
    priority: int = NO_PRIORITY
    customer: str = ''
    wants_backup: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AdmitReply:
    """The owner's decision.

    Attributes:
        outcome: COMPLETE for a grant, else a code of the class 'not run'.
        prefill: id of the prefill endpoint.
        decode: id of the decode endpoint.
        retry_after_s: when refused, seconds after which to come back.
        priority: priority for the engines' queues.
        prefill_s: seconds that the prefill is expected to take, 0 if unknown.
        missed_turn: whether the request was not refused, but got no grant
            within the time that it gave.
        is_trial: whether the request may run although it is quarantined.
        backup: id of the engine for a copy of the KV cache, '' for none.
        decode_version: software version of the decode endpoint by the owner's
            host list, '' if that states none.
        decode_began_anew: whether the decode endpoint's process was restarted
            since the owner's host list stated its version.
    """

    outcome: int
    prefill: str = ''
    decode: str = ''
    retry_after_s: float = 0.0
    priority: int = 0
    prefill_s: float = 0.0
    missed_turn: bool = False
    is_trial: bool = False
    backup: str = ''
    decode_version: str = ''
    decode_began_anew: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HeldStream:
    """A stream that an entry host holds against a pool.

    Attributes:
        tag: the attempt.
        service: the service that asked.
        prefill: id of the prefill endpoint.
        decode: id of the decode endpoint.
        stage: where it stands.
        prompt_tokens: prompt length in tokens.
        emitted: tokens emitted by this attempt so far.
        max_tokens: tokens that this attempt may emit.
        fingerprint: hash of the prompt, 0 when not known.
        hint_tokens: the caller's guess of the tokens emitted, 0 for none.
        keys: the request's suspicion keys, if the owner does not know them.
        backup: id of the engine that keeps a copy of the KV cache, '' if none.
    """

    tag: StreamTag
    service: str
    prefill: str
    decode: str
    stage: StreamStage
    prompt_tokens: int
    emitted: int
    max_tokens: int
    fingerprint: int = 0
    hint_tokens: int = 0
    keys: tuple[str, ...] = ()
    backup: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Streams that an entry host holds against a pool.

    Sent on change of owner or of a stream's stage, and when the owner knows
    others or has not had their progress for a while; it registers the streams
    with a new owner and renews them with the present one.

    Attributes:
        pool: id of the pool.
        host: id of the sender.
        incarnation: start number of the sender's process.
        streams: the streams.
        complete: whether these are all that the sender holds.
    """

    pool: str
    host: str
    incarnation: int
    streams: tuple[HeldStream, ...]
    complete: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class HeldDigest:
    """Names the streams that an entry host holds against a pool, in short.

    Sent at a fixed interval; the streams themselves follow in a Progress if
    the owner knows others.

    Attributes:
        pool: id of the pool.
        host: id of the sender.
        incarnation: start number of the sender's process.
        count: number of the streams.
        digest: exclusive or of the hashes of their attempts and stages.
    """

    pool: str
    host: str
    incarnation: int
    count: int
    digest: int


@dataclasses.dataclass(frozen=True, slots=True)
class HeldDigestReply:
    """Whether the owner knows just these streams, and has renewed them."""

    known: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Frees a reservation, with what was observed.

    Attributes:
        pool: id of the pool.
        tag: the attempt.
        outcome: how the attempt ended.
        computed_tokens: prompt tokens computed, not taken from the cache.
        emitted: tokens emitted by this attempt.
        finished: whether the stream ended by itself ('stop' or 'length').
    """

    pool: str
    tag: StreamTag
    outcome: int
    computed_tokens: int
    emitted: int
    finished: bool


@dataclasses.dataclass(frozen=True, slots=True)
class StreamLookup:
    """Asks a pool owner or host what is known of a request's stream."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class StreamLookupReply:
    """The streams known of a request, the newest attempt first."""

    streams: tuple[HeldStream, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StreamRelease:
    """Asks a host to stop serving a request that its caller took elsewhere.

    Attributes:
        request_id: the request's id.
        holder: host to which the receiver passes this on, '' for itself.
    """

    request_id: str
    holder: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class StreamReleaseReply:
    """Whether the host held the request and has let it go.

    Attributes:
        released: whether it was held here and is now let go.
        emitted: the tokens that this host had received.
        attempt: number of the attempt.
        prefill: id of the prefill endpoint.
        decode: id of the decode endpoint.
        done: whether it delivered the whole answer.
        first_index: index of the first token in emitted.
        finish_reason: why the whole answer ended; '' if it is not kept.
        age_s: seconds since the end of the whole answer was handed out.
    """

    released: bool
    emitted: tuple[str, ...] = ()
    attempt: int = 0
    prefill: str = ''
    decode: str = ''
    done: bool = False
    first_index: int = 0
    finish_reason: str = ''
    age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineDrain:
    """Asks a pool's owner whether an engine has become free of work.

    Attributes:
        pool: id of the pool.
        engine: id of the engine.
        number: fencing number of the engine's change.
    """

    pool: str
    engine: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineDrainReply:
    """Whether an engine gets no more work, and what it still has to do.

    Attributes:
        withdrawn: whether the owner knows of the change.
        streams: reservations that still need the engine.
    """

    withdrawn: bool
    streams: int


@dataclasses.dataclass(frozen=True, slots=True)
class HostListFetch:
    """Asks a host for the host list that it has.

    Attributes:
        version: version of the list that the sender has, 0 if it has none.
        takes_compressed: whether the content may be compressed.
    """

    version: int
    takes_compressed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class HostListFetchReply:
    """The host list that a host has.

    Attributes:
        version: its version.
        content: its entries as JSON; only the entry hosts if the asking
            host's list is as new.
        is_compressed: whether the content is compressed.
    """

    version: int
    content: bytes = b''
    is_compressed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Empty answer."""


PeerRequest = (
    Heartbeat
    | AdmitRequest
    | Progress
    | HeldDigest
    | Release
    | DirectoryRegister
    | DirectoryRemove
    | StreamLookup
    | StreamRelease
    | ConfigFetch
    | SuspicionNotice
    | EngineDrain
    | HostListFetch
    | StreamFetch
    | PermitRequest
    | VersionNotice
    | VersionLookup
    | ForwardCall
    | ForwardRead
    | ForwardClose
    | QuotaRequest
)
PeerReply = (
    Heartbeat
    | AdmitReply
    | Acknowledgement
    | HeldDigestReply
    | DirectoryReply
    | StreamLookupReply
    | StreamReleaseReply
    | ConfigFetchReply
    | EngineDrainReply
    | HostListFetchReply
    | StreamFetchReply
    | PermitReply
    | VersionReply
    | ForwardReply
    | ForwardPart
    | QuotaReply
)

REPLY_BY_REQUEST: dict[type, type] = {
    Heartbeat: Heartbeat,
    AdmitRequest: AdmitReply,
    Progress: Acknowledgement,
    HeldDigest: HeldDigestReply,
    Release: Acknowledgement,
    DirectoryRegister: DirectoryReply,
    DirectoryRemove: Acknowledgement,
    StreamLookup: StreamLookupReply,
    StreamRelease: StreamReleaseReply,
    ConfigFetch: ConfigFetchReply,
    SuspicionNotice: Acknowledgement,
    EngineDrain: EngineDrainReply,
    HostListFetch: HostListFetchReply,
    StreamFetch: StreamFetchReply,
    PermitRequest: PermitReply,
    VersionNotice: Acknowledgement,
    VersionLookup: VersionReply,
    ForwardCall: ForwardReply,
    ForwardRead: ForwardPart,
    ForwardClose: Acknowledgement,
    QuotaRequest: QuotaReply,
}

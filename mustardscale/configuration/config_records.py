"""Configuration entries and their records on the log."""

from __future__ import annotations

import dataclasses
import enum
from typing import Any

import msgspec
import xxhash

from mustardscale.configuration.routes import RouteTable
from mustardscale.configuration.wanted_state import (
    WantedEngine,
    WeightStoreLimits,
)
from mustardscale.exceptions import MustardscaleError
from mustardscale.json_content import decode_json

SCHEMA_VERSION = 1


class RecordError(MustardscaleError):
    """A record cannot be decoded; it is skipped."""


@dataclasses.dataclass(slots=True)
class Profile:
    """Targets, limits and weights for the requests of a service.

    Attributes:
        first_token_s: target time to first token, seconds.
        per_token_s: target time per output token, seconds.
        patience_s: maximum time in the queue, seconds; a value above
            first_token_s prefers a late answer to a refusal.
        weight: share of a contended pool relative to other services.
        goodput_weight: weight of goodput in scheduling decisions.
        waste_weight: weight of wasted prefill in scheduling decisions.
        overbook_probability: accepted probability that decode memory runs out.
        rate_per_s: request rate limit of each service, requests per second;
            0 for no limit.
        burst: number of requests that may arrive at once.
        max_prompt_tokens: maximum length of a prompt, tokens.
        max_output_tokens: maximum length of an answer, tokens.
        max_concurrent: maximum number of requests in progress for each
            service; 0 for no limit.
        floor_max_concurrent: maximum number of requests in progress on the
            floor, over all services; 0 for no limit. The smallest limit of
            the profiles in use applies.
        retry_share: permitted retries as a share of requests.
        timeout_s: deadline of a request that specifies none, seconds.
    """

    first_token_s: float = 0.9
    per_token_s: float = 0.03
    patience_s: float = 0.9
    weight: float = 1.0
    goodput_weight: float = 1.0
    waste_weight: float = 1.0
    overbook_probability: float = 0.01
    rate_per_s: float = 0.0
    burst: float = 20.0
    max_prompt_tokens: int = 60_000
    max_output_tokens: int = 4_000
    max_concurrent: int = 0
    floor_max_concurrent: int = 0
    retry_share: float = 0.1
    timeout_s: float = 120.0

    def __post_init__(self):
        """Checks the ranges."""
        for name in (
            'first_token_s',
            'per_token_s',
            'patience_s',
            'weight',
            'timeout_s',
            'max_prompt_tokens',
            'max_output_tokens',
            'burst',
        ):
            if getattr(self, name) <= 0:
                raise ValueError(f'{name} must be above 0')
        for name in (
            'goodput_weight',
            'waste_weight',
            'rate_per_s',
            'max_concurrent',
            'floor_max_concurrent',
        ):
            if getattr(self, name) < 0:
                raise ValueError(f'{name} must not be negative')
        for name in ('overbook_probability', 'retry_share'):
            if not 0 <= getattr(self, name) <= 1:
                raise ValueError(f'{name} must be from 0 to 1')


class ServiceKind(enum.StrEnum):
    """Type of the endpoints of a service."""

    LANGUAGE = 'language'
    PLAIN = 'plain'


@dataclasses.dataclass(slots=True)
class ServiceChoice:
    """The profile, endpoints and access of a service.

    Attributes:
        profile: name of the profile.
        kind: type of its endpoints.
        model: model of a language service.
        token_sha256: hexadecimal SHA-256 hashes of the bearer tokens that give
            access to it.
        idempotent_methods: HTTP methods whose requests may be sent again.
    """

    profile: str
    kind: ServiceKind = ServiceKind.LANGUAGE
    model: str = ''
    token_sha256: tuple[str, ...] = ()
    idempotent_methods: tuple[str, ...] = ('GET', 'HEAD')


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class ConfigKey:
    """Identifies one configuration entry.

    Attributes:
        kind: 'profile', 'service', 'engine', 'weights' or 'routes'.
        name: name of the entry within its kind.
    """

    kind: str
    name: str

    def __str__(self) -> str:
        """Returns the form used on the command line."""
        return f'{self.kind}/{self.name}'


ConfigContent = (
    Profile | ServiceChoice | WantedEngine | WeightStoreLimits | RouteTable
)


@dataclasses.dataclass(slots=True)
class ConfigChange:
    """A published change of one entry.

    Attributes:
        key: the entry.
        base: version (offset) of the entry that the change replaces; 0 if the
            entry is new.
        change_id: id chosen by the publisher.
        author: name of the publisher.
        profile: the new profile, if the key's kind is 'profile'.
        service: the new service choice, if the kind is 'service'.
        engine: the new wanted state, if the kind is 'engine'.
        weights: the new limits of a weight store, if the kind is 'weights'.
        routes: the new table of routes, if the kind is 'routes'.
    """

    key: ConfigKey
    base: int
    change_id: str
    author: str
    profile: Profile | None = None
    service: ServiceChoice | None = None
    engine: WantedEngine | None = None
    weights: WeightStoreLimits | None = None
    routes: RouteTable | None = None

    def __post_init__(self):
        """Checks that the content fits the key."""
        kinds = [
            kind for kind in TYPE_BY_KIND if getattr(self, kind) is not None
        ]
        if self.key.kind not in kinds:
            raise ValueError(f'{self.key} carries no matching content')
        if len(kinds) != 1:
            raise ValueError(f'{self.key} carries more than one content')

    @property
    def content(self) -> ConfigContent:
        """The new content, whatever its kind."""
        content: ConfigContent = getattr(self, self.key.kind)
        return content


# Content type of each kind. ConfigChange has a field named after each kind.
TYPE_BY_KIND: dict[str, type[ConfigContent]] = {
    'profile': Profile,
    'service': ServiceChoice,
    'engine': WantedEngine,
    'weights': WeightStoreLimits,
    'routes': RouteTable,
}


def make_change(
    key: ConfigKey, base: int, change_id: str, author: str, content: Any
) -> ConfigChange:
    """Returns the change that sets an entry to a content."""
    return ConfigChange(key, base, change_id, author, **{key.kind: content})


@dataclasses.dataclass(slots=True)
class VersionedChange:
    """A change that became current, and its version."""

    version: int
    change: ConfigChange


@dataclasses.dataclass(slots=True)
class ConfigSnapshot:
    """The current change of each key.

    It is appended to the log before the log's retention drops the records
    that it contains.

    Attributes:
        entries: the current changes with a version above after.
        folded_offset: offset up to which it contains the stream's records.
        after: entries whose version is not above this are left out.
        has_customers: whether tables of routes contain their customers. Earlier
            releases drop them when they pass a table on.
    """

    entries: tuple[VersionedChange, ...]
    folded_offset: int = 0
    after: int = 0
    has_customers: bool = False


@dataclasses.dataclass(slots=True)
class _Envelope:
    """A record on the log: schema version, checksum and encoded content."""

    schema: int
    checksum: int
    body: msgspec.Raw


@dataclasses.dataclass(slots=True)
class _Body:
    """The content of a record. Exactly one of its fields is set."""

    change: ConfigChange | None = None
    snapshot: ConfigSnapshot | None = None


def encode_record(content: ConfigChange | ConfigSnapshot) -> bytes:
    """Encodes a record for the log."""
    if isinstance(content, ConfigChange):
        body = msgspec.json.encode(_Body(change=content))
    else:
        body = msgspec.json.encode(_Body(snapshot=content))
    envelope = _Envelope(
        SCHEMA_VERSION, xxhash.xxh3_64_intdigest(body), msgspec.Raw(body)
    )
    return msgspec.json.encode(envelope)


def decode_record(payload: bytes) -> ConfigChange | ConfigSnapshot:
    """Decodes a record from the log.

    Raises:
        RecordError: the record is damaged or has another schema version.
    """
    try:
        envelope = decode_json(payload, _Envelope)
        if envelope.schema != SCHEMA_VERSION:
            raise RecordError(f'schema version {envelope.schema}')
        if xxhash.xxh3_64_intdigest(bytes(envelope.body)) != envelope.checksum:
            raise RecordError('checksum does not match')
        body = decode_json(envelope.body, _Body)
    except msgspec.MsgspecError as error:
        raise RecordError(str(error)) from error
    if body.change is not None and body.snapshot is None:
        return body.change
    if body.snapshot is not None and body.change is None:
        return body.snapshot
    raise RecordError('neither a change nor a snapshot')

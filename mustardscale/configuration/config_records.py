"""Profiles, service choices and the records that carry them on the log."""

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

SCHEMA_VERSION = 1


class RecordError(MustardscaleError):
    """A record cannot be decoded; it is skipped."""


@dataclasses.dataclass(slots=True)
class Profile:
    """How requests of a service are treated.

    Attributes:
        first_token_s: target time to first token, seconds.
        per_token_s: target time per output token, seconds.
        patience_s: seconds for which a request may be queued; above
            first_token_s the service prefers a late answer to a refusal.
        weight: share of a contended pool relative to other services.
        goodput_weight: how much goodput counts.
        waste_weight: how much wasted prefill counts.
        overbook_probability: accepted probability that decode memory runs out.
        rate_per_s: requests a second for each service; 0 is unlimited.
        burst: requests that may come at once.
        max_prompt_tokens: longest prompt accepted.
        max_output_tokens: longest answer given.
        max_concurrent: limit of work in progress for each service, 0 for none.
        floor_max_concurrent: limit of work on the floor, over all services
            (the smallest over the profiles in use counts), 0 for none.
        retry_share: retries permitted as a share of requests.
        timeout_s: deadline of a request that names none, seconds.
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
    """What stands behind a service."""

    LANGUAGE = 'language'
    PLAIN = 'plain'


@dataclasses.dataclass(slots=True)
class ServiceChoice:
    """A service and the profile that it runs under.

    Attributes:
        profile: name of the profile.
        kind: what stands behind it.
        model: model of a language service.
        token_sha256: hexadecimal hashes of the bearer tokens that reach it.
        idempotent_methods: HTTP methods that may be sent again.
    """

    profile: str
    kind: ServiceKind = ServiceKind.LANGUAGE
    model: str = ''
    token_sha256: tuple[str, ...] = ()
    idempotent_methods: tuple[str, ...] = ('GET', 'HEAD')


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class ConfigKey:
    """Names one configuration entry.

    Attributes:
        kind: 'profile', 'service', 'engine', 'weights' or 'routes'.
        name: its name.
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
        base: version (offset) that it was made from; 0 if there was none.
        change_id: id chosen by the publisher.
        author: who published it.
        profile: the new profile, when the key names one.
        service: the new choice, when the key names a service.
        engine: the new wanted state, when the key names engines.
        weights: the new limits, when the key names a weight store.
        routes: the new routes, when the key names a table of routes.
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
        """The new content, of whichever kind."""
        content: ConfigContent = getattr(self, self.key.kind)
        return content


# A change has a field of the same name for each kind.
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
    """Returns the change that sets an entry to a content of its kind."""
    return ConfigChange(key, base, change_id, author, **{key.kind: content})


@dataclasses.dataclass(slots=True)
class VersionedChange:
    """A change together with the version that it became."""

    version: int
    change: ConfigChange


@dataclasses.dataclass(slots=True)
class ConfigSnapshot:
    """The current change of each key, appended before retention ends.

    Attributes:
        entries: the current changes with a version above after.
        folded_offset: offset up to which the log is contained in it.
        after: keys whose version is not above this are left out.
    """

    entries: tuple[VersionedChange, ...]
    folded_offset: int = 0
    after: int = 0


@dataclasses.dataclass(slots=True)
class _Envelope:
    """A record on the log: schema version, checksum, content."""

    schema: int
    checksum: int
    body: msgspec.Raw


@dataclasses.dataclass(slots=True)
class _Body:
    """The content of a record: exactly one of the two is set."""

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
        RecordError: it is damaged or of another schema version.
    """
    try:
        envelope = msgspec.json.decode(payload, type=_Envelope)
        if envelope.schema != SCHEMA_VERSION:
            raise RecordError(f'schema version {envelope.schema}')
        if xxhash.xxh3_64_intdigest(bytes(envelope.body)) != envelope.checksum:
            raise RecordError('checksum does not match')
        body = msgspec.json.decode(envelope.body, type=_Body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise RecordError(str(error)) from error
    if body.change is not None and body.snapshot is None:
        return body.change
    if body.snapshot is not None and body.change is None:
        return body.snapshot
    raise RecordError('neither a change nor a snapshot')

"""Recorded arrivals: drawn with a seed, saved and loaded as JSON lines."""

from __future__ import annotations

import collections
import dataclasses
import math
import pathlib
import random
import uuid
from collections.abc import Iterable

import msgspec
import xxhash

from bench.deployments import Deployment, LanguageMix, PlainMix
from mustardscale.configuration.config_records import ServiceKind
from mustardscale.endpoints.engines import BLOCK_TOKENS, Prompt

# Files of a service that may be read again.
RECENT_FILES = 40
# Share of the prompts that begin with a template.
TEMPLATE_SHARE = 0.8
# Longest question after a file, tokens.
QUESTION_TOKENS = 120
# Shortest prompt content, tokens.
SHORTEST_TOKENS = 16
# Share of the outputs that are drawn out, and the exponent of their tail.
LONG_OUTPUT_SHARE = 0.04
LONG_OUTPUT_EXPONENT = 1.5
# Seconds within which one caller sends a batch.
BATCH_SPREAD_S = 1.0
# Mean seconds after which a cancelling caller cancels.
CANCEL_MEAN_S = 4.0
# Loop time 0 of a recording as a UUIDv7 time, milliseconds.
_EPOCH_MS = 1_790_000_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One recorded request.

    Attributes:
        time_s: arrival, seconds from the beginning of the recording.
        request_id: a UUIDv7.
        service: the service.
        kind: language or plain.
        prompt: the prompt; of no tokens for a plain request.
        output_tokens: true length of the output, hidden from policies.
        max_tokens: limit that the caller sets.
        idempotent: whether the request may be run again.
        cancel_after_s: seconds after which the caller cancels, or None.
        work_s: time that a plain endpoint works on it, seconds.
    """

    time_s: float
    request_id: str
    service: str
    kind: ServiceKind
    prompt: Prompt
    output_tokens: int = 0
    max_tokens: int = 0
    idempotent: bool = True
    cancel_after_s: float | None = None
    work_s: float = 0.0


NO_PROMPT = Prompt(0, (), 0)


def prompt_of(parts: Iterable[tuple[str, int]], unique: str) -> Prompt:
    """Makes a prompt of contents that other prompts may share.

    Args:
        parts: key and length in tokens of each content, in order. Contents
            other than the last should be whole blocks, else what follows
            is not shared.
        unique: key of the whole prompt.
    """
    key_by_block: dict[int, str] = collections.defaultdict(str)
    position = 0
    for key, tokens in parts:
        first = position // BLOCK_TOKENS
        last = (position + tokens - 1) // BLOCK_TOKENS
        for block in range(first, last + 1):
            key_by_block[block] += f'{key}@{block * BLOCK_TOKENS - position};'
        position += tokens
    hashes = []
    chain = 0
    for block in range(position // BLOCK_TOKENS):
        data = key_by_block[block].encode()
        chain = xxhash.xxh3_64_intdigest(data, seed=chain)
        hashes.append(chain)
    fingerprint = xxhash.xxh3_64_intdigest(unique.encode())
    return Prompt(position, tuple(hashes), fingerprint)


class ContentSource:
    """Draws the contents of one language service's requests."""

    __slots__ = ('_files', '_mix', '_number', '_rng')

    def __init__(self, mix: LanguageMix, rng: random.Random):
        self._mix = mix
        self._rng = rng
        self._files: collections.deque[tuple[str, int]] = collections.deque(
            maxlen=RECENT_FILES
        )
        self._number = 0

    def prompt(self) -> Prompt:
        """Draws a prompt: a template for most, a file and a question."""
        mix = self._mix
        self._number += 1
        unique = f'{mix.service}/question-{self._number}'
        parts = []
        if self._rng.random() < TEMPLATE_SHARE:
            number = self._rng.randrange(mix.templates)
            tokens = mix.template_blocks * BLOCK_TOKENS
            parts.append((f'{mix.service}/template-{number}', tokens))
        parts.append(self._file())
        parts.append((unique, self._rng.randrange(1, QUESTION_TOKENS)))
        return prompt_of(parts, unique)

    def output_tokens(self) -> int:
        """Draws an output's length, heavy-tailed up to the limit."""
        mix = self._mix
        log_median = math.log(mix.output_median)
        length = self._rng.lognormvariate(log_median, mix.output_log_sigma)
        if self._rng.random() < LONG_OUTPUT_SHARE:
            length *= self._rng.paretovariate(LONG_OUTPUT_EXPONENT)
        return max(1, min(mix.max_tokens, round(length)))

    def cancel_after_s(self) -> float | None:
        """Draws when the caller cancels, None for most."""
        if self._rng.random() >= self._mix.cancel_share:
            return None
        return self._rng.expovariate(1 / CANCEL_MEAN_S)

    def _file(self) -> tuple[str, int]:
        mix = self._mix
        if self._files and self._rng.random() < mix.reread_share:
            return self._rng.choice(self._files)
        log_median = math.log(mix.median_tokens)
        drawn = round(self._rng.lognormvariate(log_median, mix.log_sigma))
        used = mix.template_blocks * BLOCK_TOKENS + QUESTION_TOKENS
        tokens = max(SHORTEST_TOKENS, min(drawn, mix.longest_tokens - used))
        file = (f'{mix.service}/file-{self._number}', tokens)
        self._files.append(file)
        return file


def _request_id(time_s: float, rng: random.Random) -> str:
    milliseconds = _EPOCH_MS + int(time_s * 1000)
    value = milliseconds << 80 | 0x7 << 76 | rng.getrandbits(12) << 64
    value |= 0b10 << 62 | rng.getrandbits(62)
    return str(uuid.UUID(int=value))


def _generator(
    deployment: Deployment, service: str, seed: int, use: str
) -> random.Random:
    return random.Random(f'{deployment.name}/{service}/{seed}/{use}')


def _language_arrivals(
    mix: LanguageMix,
    deployment: Deployment,
    rate_per_s: float,
    duration_s: float,
    seed: int,
) -> list[Arrival]:
    """Draws one service's arrivals: a Poisson process of batches.

    Contents come from a generator of their own, so that recordings of the
    same seed at other rates hold the same requests in the same order.
    """
    clock = _generator(deployment, mix.service, seed, 'times')
    contents = _generator(deployment, mix.service, seed, 'contents')
    source = ContentSource(mix, contents)
    arrivals: list[Arrival] = []
    time_s = 0.0
    while True:
        time_s += clock.expovariate(rate_per_s / mix.batch)
        if time_s >= duration_s:
            return arrivals
        size = 1
        while clock.random() >= 1 / mix.batch:
            size += 1
        for number in range(size):
            delay = clock.uniform(0, BATCH_SPREAD_S) if number else 0.0
            arrivals.append(
                Arrival(
                    time_s=time_s + delay,
                    request_id=_request_id(time_s + delay, clock),
                    service=mix.service,
                    kind=ServiceKind.LANGUAGE,
                    prompt=source.prompt(),
                    output_tokens=source.output_tokens(),
                    max_tokens=mix.max_tokens,
                    cancel_after_s=source.cancel_after_s(),
                )
            )


def _plain_arrivals(
    mix: PlainMix, deployment: Deployment, duration_s: float, seed: int
) -> list[Arrival]:
    """Draws one service's arrivals: Poisson, with bursts by thinning."""
    rng = _generator(deployment, mix.service, seed, 'plain')
    arrivals: list[Arrival] = []
    time_s = 0.0
    while True:
        time_s += rng.expovariate(mix.rate_per_s * mix.burst_factor)
        if time_s >= duration_s:
            return arrivals
        # A burst ends each period.
        quiet_s = mix.burst_every_s - mix.burst_s
        in_burst = time_s % mix.burst_every_s >= quiet_s
        if not in_burst and rng.random() >= 1 / mix.burst_factor:
            continue
        arrivals.append(
            Arrival(
                time_s=time_s,
                request_id=_request_id(time_s, rng),
                service=mix.service,
                kind=ServiceKind.PLAIN,
                prompt=NO_PROMPT,
                idempotent=mix.idempotent,
                work_s=rng.expovariate(1 / mix.work_s),
            )
        )


def record_arrivals(
    deployment: Deployment,
    language_rate_per_s: float,
    duration_s: float,
    seed: int,
) -> list[Arrival]:
    """Draws a recording, in order of time.

    Args:
        deployment: whose requests.
        language_rate_per_s: language requests a second; plain requests keep
            the rate that the deployment states.
        duration_s: length of the recording, seconds.
        seed: seed of the generators.
    """
    arrivals: list[Arrival] = []
    for mix in deployment.language:
        rate = language_rate_per_s * mix.share
        arrivals += _language_arrivals(mix, deployment, rate, duration_s, seed)
    for plain in deployment.plain:
        arrivals += _plain_arrivals(plain, deployment, duration_s, seed)
    arrivals.sort(key=lambda arrival: (arrival.time_s, arrival.request_id))
    return arrivals


def save_arrivals(path: pathlib.Path, arrivals: Iterable[Arrival]) -> None:
    """Writes a recording, one JSON object a line."""
    encoder = msgspec.json.Encoder()
    path.write_bytes(encoder.encode_lines(arrivals))


def load_arrivals(path: pathlib.Path) -> list[Arrival]:
    """Reads a recording.

    Raises:
        msgspec.DecodeError: a line is not an arrival.
    """
    decoder = msgspec.json.Decoder(Arrival)
    return decoder.decode_lines(path.read_bytes())

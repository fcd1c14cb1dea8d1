"""Callers' requests, as the HTTP servers pass them to the router."""

from __future__ import annotations

import dataclasses

import xxhash

from mustardscale.endpoints.engines import (
    BLOCK_TOKENS,
    BYTES_PER_TOKEN,
    Prompt,
    SamplingOptions,
)

_BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN


@dataclasses.dataclass(slots=True)
class LanguageRequest:
    """A request to a language service.

    Attributes:
        id: the request's id: the one that the caller sent, or else a new
            UUIDv7.
        service: name of the service, found by the bearer token.
        prompt: the prompt.
        max_tokens: maximum number of tokens in the answer.
        timeout_s: seconds until the deadline; None means the profile's
            timeout.
        resume_after: index of the last token received, when the caller
            resumes a broken stream; -1 when it received none; None when the
            caller doesn't resume.
        sampling: how engines choose tokens.
        segments: names of the prompt's segments that other prompts may share.
    """

    id: str
    service: str
    prompt: Prompt
    max_tokens: int
    timeout_s: float | None = None
    resume_after: int | None = None
    sampling: SamplingOptions = dataclasses.field(
        default_factory=SamplingOptions
    )
    segments: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True)
class PlainRequest:
    """A request to a plain service.

    Attributes:
        id: the request's id.
        service: name of the service.
        method: HTTP method.
        path: path below the service's prefix, with the query.
        headers: end-to-end headers.
        body: the content.
        idempotent: whether it may be run more than once.
        timeout_s: seconds until the deadline; None means the profile's
            timeout.
    """

    id: str
    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    idempotent: bool
    timeout_s: float | None = None


def prompt_from_text(text: str) -> Prompt:
    """Estimates the number of tokens of a prompt and hashes its blocks.

    >>> prompt_from_text('x' * 4096).tokens
    1024
    >>> len(prompt_from_text('x' * 4097).block_hashes)
    2
    """
    data = text.encode()
    hashes = []
    chain = 0
    full_blocks = len(data) // _BLOCK_BYTES
    for number in range(full_blocks):
        block = data[number * _BLOCK_BYTES : (number + 1) * _BLOCK_BYTES]
        chain = xxhash.xxh3_64_intdigest(block, seed=chain)
        hashes.append(chain)
    tokens = max(1, -(-len(data) // BYTES_PER_TOKEN))
    fingerprint = xxhash.xxh3_64_intdigest(data)
    return Prompt(tokens, tuple(hashes), fingerprint, text)

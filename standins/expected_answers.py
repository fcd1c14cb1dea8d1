"""The deterministic answers of the model engine stand-in."""

from __future__ import annotations

import random

import xxhash

_CONSONANTS = 'bdfghjklmnprstvz'
_VOWELS = 'aeio'
_SYLLABLES = tuple(c + v for v in _VOWELS for c in _CONSONANTS)
_TOKENS = tuple(a + b + ' ' for b in _SYLLABLES for a in _SYLLABLES)
# Logarithms of the median and of the spread of output lengths in tokens.
_LENGTH_MU = 4.8
_LENGTH_SIGMA = 0.8


def expected_token(fingerprint: int, index: int) -> str:
    """Returns the token that every engine emits at an index.

    >>> expected_token(7, 0) == expected_token(7, 0)
    True
    >>> len(expected_token(7, 123))
    5
    """
    bits = xxhash.xxh3_64_intdigest(index.to_bytes(8, 'big'), seed=fingerprint)
    return _TOKENS[bits % len(_TOKENS)]


def expected_tokens(fingerprint: int, start: int, stop: int) -> tuple[str, ...]:
    """Returns the tokens from start up to but without stop."""
    return tuple(
        expected_token(fingerprint, index) for index in range(start, stop)
    )


def output_length(fingerprint: int, max_tokens: int) -> int:
    """Returns the length of the answer in tokens; its tail is heavy.

    >>> 1 <= output_length(7, 50) <= 50
    True
    """
    drawn = random.Random(fingerprint).lognormvariate(_LENGTH_MU, _LENGTH_SIGMA)
    return max(1, min(max_tokens, round(drawn)))

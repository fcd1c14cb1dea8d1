"""Names the properties of a request that may be the cause of a crash."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

# Segments of a prompt that count, from its beginning.
MAX_SEGMENTS = 64
# A longer segment id is replaced by its hash.
MAX_ID_CHARS = 48
_SCOPE_END = '|'


def make_keys(
    scope: str,
    request_id: str,
    fingerprint: int,
    segments: Iterable[str] = (),
) -> tuple[str, ...]:
    """Returns the keys of a request.

    Args:
        scope: service or model whose endpoints run the request. Endpoints of
            another one may bear what crashes these.
        request_id: its id; used only if the content is not known.
        fingerprint: hash of the whole content, 0 if not known.
        segments: ids of the prompt's segments that other requests may share.

    >>> make_keys('lm', 'r1', 255, ['5c1e'])
    ('lm|content 00000000000000ff', 'lm|segment 5c1e')
    >>> make_keys('lm', 'r1', 0)
    ('lm|request r1',)
    """
    whole = f'content {fingerprint:016x}'
    if not fingerprint:
        whole = f'request {_shorten(request_id)}'
    keys = [f'{scope}{_SCOPE_END}{whole}']
    for number, segment in enumerate(segments):
        if number == MAX_SEGMENTS:
            break
        keys.append(f'{scope}{_SCOPE_END}segment {_shorten(segment)}')
    return tuple(dict.fromkeys(keys))


def property_of(key: str) -> str:
    """Returns a key without its scope.

    >>> property_of('lm|segment 5c1e')
    'segment 5c1e'
    """
    return key.partition(_SCOPE_END)[2]


def _shorten(text: str) -> str:
    if len(text) <= MAX_ID_CHARS:
        return text
    return f'hash-{xxhash.xxh3_64_hexdigest(text.encode())}'

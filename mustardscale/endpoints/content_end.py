"""Tells by the content of an answer alone that it broke off.

It never shows that an answer is whole.
"""

from __future__ import annotations

import re

# A success that has no content, whatever frames it (RFC 9110, section 15.3.6).
_RESET_CONTENT = 205
_JSON_TYPE = re.compile(r'application/(?:[\w.+-]+\+)?json')
# A string, or one that is not at its end.
_JSON_STRING = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+\\?("|\Z)', re.DOTALL)
_JSON_BRACKETS = ((b'{', b'}'), (b'[', b']'))


def find_missing_end(status: int, content_type: str, content: bytes) -> str:
    """Returns why a success that its connection ends cannot be whole.

    Args:
        status: status of the answer.
        content_type: its Content-Type, '' if it states none.
        content: its content.

    Returns:
        '' if its content does not tell.
    """
    if not content and status != _RESET_CONTENT:
        return 'the connection ended before any content'
    media_type = content_type.partition(';')[0].strip().lower()
    if _JSON_TYPE.fullmatch(media_type) and is_json_open(content):
        return 'the connection ended inside a JSON value'
    return ''


def is_json_open(content: bytes) -> bool:
    """Returns whether a string, an object or an array of JSON is not closed.

    Nothing else is checked, since endpoints may write other than strict JSON.

    >>> is_json_open(b'{"a": [1, "}"'), is_json_open(b'{"a": [1, "}"]}')
    (True, False)
    >>> is_json_open(b'"abc'), is_json_open(b'{"a": NaN}')
    (True, False)
    """
    rest = _JSON_STRING.sub(lambda found: b'' if found[1] else b'"', content)
    return b'"' in rest or any(
        rest.count(opening) > rest.count(closing)
        for opening, closing in _JSON_BRACKETS
    )

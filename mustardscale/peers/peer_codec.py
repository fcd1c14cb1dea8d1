"""Frames between entry hosts: a fixed header and a Cap'n Proto envelope.

Header, big-endian, HEADER_BYTES long: magic (4 bytes), frame version (1),
kind (1), flags (2, zero), call id (8), length of the payload (4). The payload
of a cancel, ping or pong frame is empty; any other holds one Envelope.
"""

from __future__ import annotations

import dataclasses
import enum
import pathlib
import struct
import typing

import capnp

from mustardscale.exceptions import PeerFrameError
from mustardscale.outcomes import Outcome
from mustardscale.peers import peer_messages as peers
from mustardscale.peers.struct_mapping import (
    camel_case,
    read_struct,
    write_struct,
)

MAGIC = b'MSPF'
FRAME_VERSION = 1
# Payload bytes of a frame at most.
MAX_FRAME_BYTES = 1 << 20
HEADER_BYTES = 20

_HEADER = struct.Struct('!4sBBHQI')
_WORD_BYTES = 8
# Words that may be read beyond the payload's own, for empty elements.
_SPARE_WORDS = 64
_NESTING_LIMIT = 16

_schema = capnp.load(
    str(pathlib.Path(__file__).with_name('peer_messages.capnp'))
)


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """Opens a connection, in both directions.

    Attributes:
        host: id of the sender.
        incarnation: start number of the sender's process.
        nonce: random bytes of the sender.
        proof: proof that the sender holds the peer key, or empty.
        answers_pings: whether the sender answers pings; hosts of earlier
            releases do not.
        replaces: nonce of the caller on the silent connection in whose place
            it opens this one, empty for none.
    """

    host: str
    incarnation: int
    nonce: bytes = b''
    proof: bytes = b''
    answers_pings: bool = False
    replaces: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class CallFailure:
    """Answer to a call that the peer could not serve.

    Attributes:
        outcome: the code.
        detail: what happened.
    """

    outcome: int
    detail: str


class FrameKind(enum.IntEnum):
    """What a frame is for."""

    HELLO = 1
    REQUEST = 2
    REPLY = 3
    FAILURE = 4
    CANCEL = 5
    PING = 6
    PONG = 7


Message = peers.PeerRequest | peers.PeerReply | Hello | CallFailure

TYPES_BY_KIND: dict[FrameKind, tuple[type, ...]] = {
    FrameKind.HELLO: (Hello,),
    FrameKind.REQUEST: typing.get_args(peers.PeerRequest),
    FrameKind.REPLY: typing.get_args(peers.PeerReply),
    FrameKind.FAILURE: (CallFailure,),
    FrameKind.CANCEL: (),
    FrameKind.PING: (),
    FrameKind.PONG: (),
}
_TYPE_BY_FIELD: dict[str, type] = {
    camel_case(cls.__name__): cls
    for classes in TYPES_BY_KIND.values()
    for cls in classes
}
_FIELD_BY_TYPE = {cls: name for name, cls in _TYPE_BY_FIELD.items()}


@dataclasses.dataclass(frozen=True, slots=True)
class FrameHeader:
    """The fixed part of a frame.

    Attributes:
        kind: what the frame is for.
        call_id: number of the call on its connection, 0 for none.
        length: payload bytes.
    """

    kind: FrameKind
    call_id: int
    length: int


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """A whole frame.

    Attributes:
        kind: what the frame is for.
        call_id: number of the call on its connection, 0 for none.
        message: the content, None where the kind has none.
    """

    kind: FrameKind
    call_id: int
    message: Message | None = None


def encode_frame(frame: Frame) -> bytes:
    """Encodes a frame.

    Raises:
        PeerFrameError: the message does not fit the kind, a value is outside
            the schema's range, or the frame is too large.
    """
    payload = b''
    if frame.message is not None:
        payload = _encode_message(frame.message)
    _check_kind(frame.kind, frame.message)
    if len(payload) > MAX_FRAME_BYTES:
        raise _too_large(len(payload))
    header = _HEADER.pack(
        MAGIC, FRAME_VERSION, frame.kind, 0, frame.call_id, len(payload)
    )
    return header + payload


def decode_header(data: bytes) -> FrameHeader:
    """Decodes the first HEADER_BYTES of a frame.

    Raises:
        PeerFrameError: it is not a header of a version spoken here, or the
            payload would be too large.
    """
    if len(data) != HEADER_BYTES:
        raise _malformed(f'header of {len(data)} bytes')
    magic, version, kind, flags, call_id, length = _HEADER.unpack(data)
    if magic != MAGIC:
        raise _malformed('wrong magic')
    if version != FRAME_VERSION:
        raise PeerFrameError(
            Outcome.PEER_VERSION_UNSUPPORTED, f'frame version {version}'
        )
    if flags:
        raise _malformed(f'flags {flags:#x}')
    if length > MAX_FRAME_BYTES:
        raise _too_large(length)
    try:
        return FrameHeader(FrameKind(kind), call_id, length)
    except ValueError:
        raise _malformed(f'kind {kind}') from None


def decode_payload(header: FrameHeader, payload: bytes) -> Frame:
    """Decodes the payload that follows a header.

    Raises:
        PeerFrameError: the payload cannot be decoded.
    """
    if len(payload) != header.length:
        raise _malformed(f'{len(payload)} of {header.length} payload bytes')
    message = _decode_message(payload) if payload else None
    _check_kind(header.kind, message)
    return Frame(header.kind, header.call_id, message)


def decode_frame(data: bytes) -> Frame:
    """Decodes a whole frame.

    Raises:
        PeerFrameError: it cannot be decoded.
    """
    header = decode_header(data[:HEADER_BYTES])
    return decode_payload(header, data[HEADER_BYTES:])


def _encode_message(message: Message) -> bytes:
    envelope = _schema.Envelope.new_message()
    try:
        field = _FIELD_BY_TYPE[type(message)]
        write_struct(envelope.init(field), message)
        return envelope.to_bytes()
    except Exception as error:
        raise _malformed(f'{type(message).__name__}: {error}') from error


def _decode_message(payload: bytes) -> Message:
    # The library reports damage by several unrelated exception types.
    try:
        with _schema.Envelope.from_bytes(
            payload,
            traversal_limit_in_words=_traversal_words(payload),
            nesting_limit=_NESTING_LIMIT,
        ) as envelope:
            field = str(envelope.which())
            return read_struct(getattr(envelope, field), _TYPE_BY_FIELD[field])
    except Exception as error:
        raise _malformed(f'{type(error).__name__}: {error}') from error


def _traversal_words(payload: bytes) -> int:
    # Pointers that share a target could make a small payload decode to a
    # large message; a regular message is read once.
    return len(payload) // _WORD_BYTES + _SPARE_WORDS


def _check_kind(kind: FrameKind, message: Message | None) -> None:
    types = TYPES_BY_KIND[kind]
    if not types and message is None:
        return
    if type(message) not in types:
        raise _malformed(f'{type(message).__name__} in a {kind.name} frame')


def _malformed(detail: str) -> PeerFrameError:
    return PeerFrameError(Outcome.PEER_FRAME_MALFORMED, detail)


def _too_large(length: int) -> PeerFrameError:
    return PeerFrameError(
        Outcome.PEER_FRAME_TOO_LARGE, f'{length} payload bytes'
    )

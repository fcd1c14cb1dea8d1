"""Tests of the frames between entry hosts."""

import dataclasses
import pathlib
import typing

import capnp
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mustardscale.endpoints.engines import NO_PRIORITY, StreamTag
from mustardscale.exceptions import PeerFrameError
from mustardscale.outcomes import Outcome
from mustardscale.peers import peer_messages as peers
from mustardscale.peers.config_messages import (
    ConfigFetch,
    ConfigFetchReply,
    ConfigRecord,
)
from mustardscale.peers.forward_messages import (
    NO_POSITION,
    ForwardCall,
    ForwardedRequest,
    ForwardKind,
    ForwardPart,
    ForwardRead,
)
from mustardscale.peers.peer_codec import (
    HEADER_BYTES,
    MAX_FRAME_BYTES,
    TYPES_BY_KIND,
    Frame,
    FrameHeader,
    FrameKind,
    decode_frame,
    decode_header,
    decode_payload,
    encode_frame,
)

SCHEMA = pathlib.Path(peers.__file__).with_name('peer_messages.capnp')
UNSIGNED_FIELDS = {
    'incarnation',
    'config_digest',
    'digest',
    'echo_incarnation',
    'heard_digest',
    'heard_since',
    'known_digest',
    'fingerprint',
    'block_hashes',
}
UNSIGNED = st.integers(0, 2**64 - 1)
ADMIT = peers.AdmitRequest(
    'pool', StreamTag('id', 1, 'a', 1), 's', 9000, (1, 2), 3, 100, 0.9, 60.0
)


def _values(name: str, kind: typing.Any) -> st.SearchStrategy:
    if dataclasses.is_dataclass(kind):
        return _instances(typing.cast(type, kind))
    if typing.get_origin(kind) is tuple:
        items = _values(name, typing.get_args(kind)[0])
        return st.lists(items, max_size=3).map(tuple)
    if kind is int:
        signed = st.integers(-(2**31), 2**31 - 1)
        return UNSIGNED if name in UNSIGNED_FIELDS else signed
    if kind is float:
        return st.floats(allow_nan=False)
    return st.from_type(kind)


def _instances(cls: type) -> st.SearchStrategy:
    hints = typing.get_type_hints(cls)
    return st.builds(
        cls, **{name: _values(name, kind) for name, kind in hints.items()}
    )


FRAMES = st.one_of(
    [
        st.builds(Frame, st.just(kind), UNSIGNED, _instances(cls))
        for kind, classes in TYPES_BY_KIND.items()
        for cls in classes
    ]
    + [st.builds(Frame, st.just(FrameKind.CANCEL), UNSIGNED)]
)


def decode_message(kind, envelope):
    """Decodes a message that another schema has encoded."""
    payload = envelope.to_bytes()
    return decode_payload(FrameHeader(kind, 1, len(payload)), payload).message


def _code_of(data: bytes) -> Outcome | None:
    try:
        decode_frame(data)
    except PeerFrameError as error:
        return error.outcome
    return None


# Lines of the schema that earlier releases lack, of which the first had no
# positions of parts.
LATER_LINES = (
    '  position @1 :Int64 = -1;\n',
    '  position @5 :Int64 = -1;\n',
    '  linkClosed @6 :Bool;\n',
    '  priority @15 :Int64 = -1;\n',
    '  customer @16 :Text;\n',
    '  priority @8 :Int64 = -1;\n',
    '  wantsBackup @17 :Bool;\n',
    '  backup @8 :Text;\n',
    '  backup @9 :Text;\n',
    '  backup @11 :Text;\n',
    '  decodeVersion @9 :Text;\n',
    '  decodeBeganAnew @10 :Bool;\n',
)
SCHEMA_ID = '@0xb7d1c2f09a4e5831'
EARLIER_SCHEMA_ID = '@0xb7d1c2f09a4e5832'


@pytest.fixture(scope='module')
def earlier_schema(tmp_path_factory):
    """The schema of the release before parts had positions."""
    text = SCHEMA.read_text().replace(SCHEMA_ID, EARLIER_SCHEMA_ID)
    for line in LATER_LINES:
        assert text.count(line) == 1
        text = text.replace(line, '')
    path = tmp_path_factory.mktemp('schema') / 'earlier.capnp'
    path.write_text(text)
    return capnp.load(str(path))


class TestRoundTrip:
    """Decoding what was encoded."""

    @settings(max_examples=400, deadline=None, derandomize=True)
    @given(FRAMES)
    def test_decoding_gives_back_what_was_encoded(self, frame):
        assert decode_frame(encode_frame(frame)) == frame

    def test_every_message_of_the_contract_has_a_kind(self):
        requests = set(peers.REPLY_BY_REQUEST)
        assert requests == set(TYPES_BY_KIND[FrameKind.REQUEST])
        replies = set(peers.REPLY_BY_REQUEST.values())
        assert replies == set(TYPES_BY_KIND[FrameKind.REPLY])

    def test_integer_enumerations_travel_as_integers(self):
        reply = peers.AdmitReply(Outcome.POOL_SATURATED)
        frame = Frame(FrameKind.REPLY, 1, reply)
        assert decode_frame(encode_frame(frame)) == frame

    def test_null_character_in_text_is_kept(self):
        request = dataclasses.replace(ADMIT, pool='a\0b')
        frame = Frame(FrameKind.REQUEST, 1, request)
        assert decode_frame(encode_frame(frame)) == frame


class TestEarlierReleases:
    """Messages of hosts whose schema lacks later fields, and to them."""

    def test_their_messages_state_no_position_and_link(self, earlier_schema):
        envelope = earlier_schema.Envelope.new_message()
        envelope.init('forwardRead').stream = 7
        assert decode_message(FrameKind.REQUEST, envelope) == ForwardRead(
            7, NO_POSITION
        )
        envelope = earlier_schema.Envelope.new_message()
        envelope.init('forwardPart').data = b'x'
        assert decode_message(FrameKind.REPLY, envelope) == ForwardPart(
            b'x', position=NO_POSITION, link_closed=False
        )

    def test_they_read_messages_with_positions_and_links(self, earlier_schema):
        part = ForwardPart(b'x', crashed=True, position=12, link_closed=True)
        encoded = encode_frame(Frame(FrameKind.REPLY, 1, part))
        with earlier_schema.Envelope.from_bytes(
            encoded[HEADER_BYTES:]
        ) as envelope:
            assert envelope.forwardPart.data == b'x'
            assert envelope.forwardPart.crashed
        read = ForwardRead(7, 12)
        encoded = encode_frame(Frame(FrameKind.REQUEST, 1, read))
        with earlier_schema.Envelope.from_bytes(
            encoded[HEADER_BYTES:]
        ) as envelope:
            assert envelope.forwardRead.stream == 7

    def test_they_state_no_priority_and_no_customer(self, earlier_schema):
        envelope = earlier_schema.Envelope.new_message()
        envelope.init('admitRequest').pool = 'p'
        message = decode_message(FrameKind.REQUEST, envelope)
        assert (message.priority, message.customer) == (NO_PRIORITY, '')
        envelope = earlier_schema.Envelope.new_message()
        envelope.init('forwardCall').init('request').id = 'r'
        message = decode_message(FrameKind.REQUEST, envelope)
        assert message.request.priority == NO_PRIORITY

    def test_they_read_messages_with_priorities(self, earlier_schema):
        request = dataclasses.replace(ADMIT, priority=2, customer='north')
        encoded = encode_frame(Frame(FrameKind.REQUEST, 1, request))
        with earlier_schema.Envelope.from_bytes(
            encoded[HEADER_BYTES:]
        ) as envelope:
            assert envelope.admitRequest.promptTokens == ADMIT.prompt_tokens
        request = ForwardedRequest('r', deadline_s=2.0, priority=3)
        call = ForwardCall(ForwardKind.RUN, 'e', request)
        encoded = encode_frame(Frame(FrameKind.REQUEST, 1, call))
        with earlier_schema.Envelope.from_bytes(
            encoded[HEADER_BYTES:]
        ) as envelope:
            assert envelope.forwardCall.request.deadlineS == 2.0


class TestEncodingRefusals:
    """Messages that may not be sent."""

    def test_value_outside_the_range(self):
        frame = Frame(FrameKind.REQUEST, 1, ConfigFetch(2**63))
        with pytest.raises(PeerFrameError):
            encode_frame(frame)

    def test_message_that_does_not_fit_the_kind(self):
        with pytest.raises(PeerFrameError):
            encode_frame(Frame(FrameKind.REPLY, 1, ConfigFetch(1)))

    def test_frame_above_the_limit(self):
        record = ConfigRecord(1, bytes(MAX_FRAME_BYTES))
        reply = ConfigFetchReply((record,))
        with pytest.raises(PeerFrameError) as caught:
            encode_frame(Frame(FrameKind.REPLY, 1, reply))
        assert caught.value.outcome is Outcome.PEER_FRAME_TOO_LARGE


class TestDamagedFrames:
    """Bytes that are no frame."""

    @settings(max_examples=400, deadline=None, derandomize=True)
    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_raise_the_named_error(self, data):
        assert _code_of(data) is Outcome.PEER_FRAME_MALFORMED

    @settings(max_examples=400, deadline=None, derandomize=True)
    @given(st.binary(max_size=200), st.sampled_from(FrameKind))
    def test_arbitrary_payload_raises_nothing_else(self, payload, kind):
        cancel = encode_frame(Frame(FrameKind.CANCEL, 1))
        length = len(payload).to_bytes(4, 'big')
        header = cancel[:5] + bytes([kind]) + cancel[6:16] + length
        expected = (None, Outcome.PEER_FRAME_MALFORMED)
        assert _code_of(header + payload) in expected

    @settings(max_examples=600, deadline=None, derandomize=True)
    @given(FRAMES, st.data())
    def test_mutated_frames_raise_nothing_else(self, frame, data):
        encoded = bytearray(encode_frame(frame))
        for _ in range(data.draw(st.integers(1, 4))):
            position = data.draw(st.integers(0, len(encoded) - 1))
            encoded[position] = data.draw(st.integers(0, 255))
        _code_of(bytes(encoded))
        cut = data.draw(st.integers(0, len(encoded) - 1))
        assert _code_of(bytes(encoded[:cut])) is not None

    def test_small_payload_cannot_claim_many_elements(self):
        frame = Frame(FrameKind.REPLY, 1, ConfigFetchReply(()))
        encoded = bytearray(encode_frame(frame))
        # The last word is the list's pointer: 4096 elements without a size.
        encoded[-8:] = (1 | (4096 << 35)).to_bytes(8, 'little')
        assert _code_of(bytes(encoded)) is Outcome.PEER_FRAME_MALFORMED

    def test_codes_of_version_and_size(self):
        encoded = encode_frame(Frame(FrameKind.CANCEL, 7))
        version = encoded[:4] + b'\x02' + encoded[5:]
        assert _code_of(version) is Outcome.PEER_VERSION_UNSUPPORTED
        large = encoded[:16] + (MAX_FRAME_BYTES + 1).to_bytes(4, 'big')
        assert _code_of(large) is Outcome.PEER_FRAME_TOO_LARGE
        assert decode_header(encoded[:HEADER_BYTES]).call_id == 7

"""Tests of copies of streams that come in parts."""

import asyncio
import math
import random

import pytest

from mustardscale.blackboard import Blackboard
from mustardscale.exceptions import PeerUnavailableError
from mustardscale.hosts.copy_fetcher import CopyFetcher
from mustardscale.hosts.copy_parts import (
    KEPT_COPIES,
    MAX_RESTARTS,
    PART_BYTES,
    CopyReceiver,
    CopySender,
)
from mustardscale.log.copy_encoding import (
    MAX_COPY_BYTES,
    BaseMismatchError,
    CopyError,
    decode_copy,
    encode_copy,
)
from mustardscale.log.earlier_values import (
    MAX_KEPT_BYTES,
    MIN_VALUE_BYTES,
    EarlierValues,
)
from mustardscale.log.keyed_log import KeyedCopy, KeyedRecord
from mustardscale.log.keyed_tail import KeyedTail
from mustardscale.peers.stream_messages import StreamFetch, StreamFetchReply
from tests.test_keyed_tail import FakeLog

LARGE_BYTES = 10 * PART_BYTES


def noise(seed, size=LARGE_BYTES):
    """Returns bytes that can't be compressed."""
    return random.Random(seed).randbytes(size)


def find_nothing(key):
    return b''


def make_tail(*records):
    tail = KeyedTail(
        Blackboard('h', 1, 'dc', 'region'), FakeLog(), 's', random.Random(1)
    )
    if records:
        tail.copy(KeyedCopy(records, records[-1].offset, True))
    return tail


def fetch(sender, sending, receiver, is_lost=lambda number: False):
    """Fetches a copy; returns the sizes of its parts."""
    sizes = []
    number = 0
    while not receiver.is_complete:
        reply = sender.reply_to(sending, receiver.next_request())
        number += 1
        if is_lost(number):
            continue
        receiver.add(reply)
        sizes.append(len(reply.part))
    return sizes


class TestParts:
    """Copies from one host to another."""

    def test_copy_comes_in_small_parts(self):
        value = noise(1)
        sending = make_tail(KeyedRecord('k', value, 7))
        receiver = CopyReceiver(make_tail(), is_relative=False)
        sizes = fetch(CopySender(), sending, receiver)
        assert max(sizes) <= PART_BYTES
        assert receiver.result().records == (KeyedRecord('k', value, 7),)

    def test_part_that_was_lost_comes_again_without_the_others(self):
        sending = make_tail(KeyedRecord('k', noise(1), 7))
        receiver = CopyReceiver(make_tail(), is_relative=False)
        fetch(CopySender(), sending, receiver, lambda number: number % 2)
        assert receiver.received_bytes < LARGE_BYTES + PART_BYTES

    def test_change_of_a_large_value_is_small(self):
        first = noise(1)
        second = first[:1_000] + b'changed' + first[1_010:]
        receiving = make_tail(KeyedRecord('k', first, 7))
        sending = make_tail(KeyedRecord('k', first, 7))
        sending.copy(KeyedCopy((KeyedRecord('k', second, 8),), 8, False))
        receiver = CopyReceiver(receiving, is_relative=True)
        fetch(CopySender(), sending, receiver)
        assert receiver.received_bytes < 1_000
        assert receiving.copy(receiver.result())
        assert receiving.value_by_key == {'k': second}

    def test_other_values_are_told(self):
        sending = make_tail(KeyedRecord('k', noise(1), 7))
        sending.copy(KeyedCopy((KeyedRecord('k', noise(2), 9),), 9, False))
        receiving = make_tail(KeyedRecord('k', noise(3), 8))
        receiver = CopyReceiver(receiving, is_relative=True)
        fetch(CopySender(), sending, receiver)
        with pytest.raises(BaseMismatchError):
            receiver.result()

    def test_copy_goes_on_after_its_sender_has_read_more(self):
        value = noise(1)
        sending = make_tail(KeyedRecord('k', value, 7))
        receiver = CopyReceiver(make_tail(), is_relative=False)
        sender = CopySender()
        receiver.add(sender.reply_to(sending, receiver.next_request()))
        sending.copy(KeyedCopy((KeyedRecord('k', noise(2), 8),), 8, False))
        fetch(sender, sending, receiver)
        assert receiver.result().end_offset == 7

    def test_copy_that_is_no_longer_kept_begins_anew(self):
        sending = make_tail(KeyedRecord('k', noise(1), 7))
        sender = CopySender()
        receiver = CopyReceiver(make_tail(), is_relative=False)
        other = make_tail(KeyedRecord('o', noise(2), 50))
        number = 0
        while not receiver.is_complete:
            receiver.add(sender.reply_to(sending, receiver.next_request()))
            for _ in range(KEPT_COPIES):
                number += 1
                request = StreamFetch('o', number, PART_BYTES)
                sender.reply_to(other, request)
        assert receiver.received_bytes < LARGE_BYTES + PART_BYTES

    def test_copy_begins_anew_where_its_sender_has_restarted(self):
        sending = make_tail(KeyedRecord('k', noise(1), 7))
        receiver = CopyReceiver(make_tail(), is_relative=False)
        receiver.add(CopySender().reply_to(sending, receiver.next_request()))
        sending.copy(KeyedCopy((KeyedRecord('k', noise(2), 8),), 8, False))
        fetch(CopySender(), sending, receiver)
        assert receiver.result().records == (KeyedRecord('k', noise(2), 8),)

    def test_copy_that_always_begins_anew_ends(self):
        receiver = CopyReceiver(make_tail(), is_relative=False)
        tails = [
            make_tail(KeyedRecord('k', noise(seed), 7 + seed))
            for seed in range(MAX_RESTARTS + 2)
        ]
        with pytest.raises(CopyError):
            for tail in tails:
                receiver.add(
                    CopySender().reply_to(tail, receiver.next_request())
                )

    def test_many_small_records_come_in_parts(self):
        records = [
            KeyedRecord(f'{number:08x}' * 4, noise(number, 2), 1 + number)
            for number in range(4_000)
        ]
        sending = make_tail(*records)
        receiver = CopyReceiver(make_tail(), is_relative=False)
        assert len(fetch(CopySender(), sending, receiver)) > 1
        assert receiver.result().records == tuple(records)

    def test_copy_lacks_what_was_dropped_since_it_was_encoded(self):
        sending = make_tail(KeyedRecord('k', noise(1), 7))
        sending.dropped_offset = 0
        receiving = make_tail(KeyedRecord('gone', b'v', 3))
        sender = CopySender()
        fetch(sender, sending, CopyReceiver(receiving, is_relative=False))
        sending.dropped_offset = 7
        receiver = CopyReceiver(receiving, is_relative=False)
        fetch(sender, sending, receiver)
        assert receiving.copy(receiver.result())
        assert set(receiving.value_by_key) == {'k'}

    def test_sender_keeps_few_copies(self):
        sender = CopySender()
        sending = make_tail(KeyedRecord('k', noise(1), 100))
        digests = set()
        for after in range(KEPT_COPIES + 1):
            request = StreamFetch('s', after, PART_BYTES, is_relative=True)
            digests.add(sender.reply_to(sending, request).digest)
        assert len(digests) == 1
        assert len(sender._kept_by_key) == KEPT_COPIES

    def test_host_that_reads_nothing_offers_nothing(self):
        receiver = CopyReceiver(make_tail(), is_relative=False)
        reply = CopySender().reply_to(make_tail(), receiver.next_request())
        with pytest.raises(CopyError):
            receiver.add(reply)


class LossyCalls:
    """Calls to a reader, of which some get no reply."""

    def __init__(self, sending, lost=()):
        self._sending = sending
        self._sender = CopySender()
        self._lost = lost
        self.replies = []

    async def call(self, host, request, reply_type, timeout_s):
        reply = self._sender.reply_to(self._sending, request)
        self.replies.append(reply)
        if len(self.replies) in self._lost:
            raise PeerUnavailableError('no reply')
        return reply


class TestFetcher:
    """Copies that are fetched from a reader."""

    def fetch(self, calls):
        board = Blackboard('h', 1, 'dc', 'region')
        fetcher = CopyFetcher(board, calls)
        receiving = make_tail()

        async def main():
            await fetcher.fetch('reader', receiving, math.inf)

        asyncio.run(main())
        return fetcher, receiving

    def test_lost_part_discards_the_parts_before(self):
        calls = LossyCalls(make_tail(KeyedRecord('k', noise(1), 7)), (5, 6))
        _, receiving = self.fetch(calls)
        assert receiving.value_by_key == {'k': noise(1)}
        sent = sum(len(reply.part) for reply in calls.replies)
        assert sent < LARGE_BYTES + 3 * PART_BYTES

    def test_reader_that_does_not_answer_is_asked_again_and_again(self):
        calls = LossyCalls(make_tail(KeyedRecord('k', noise(1), 7)), (1,))
        self.fetch(calls)
        assert len(calls.replies) == 1

    def test_reader_that_has_nothing_counts_as_one_that_sends_parts(self):
        fetcher, receiving = self.fetch(LossyCalls(make_tail()))
        assert not receiving.is_whole
        assert fetcher.last_part_at == -math.inf


class TestOtherBuilds:
    """Hosts that know entries only."""

    def test_entries_go_to_hosts_that_take_no_parts(self):
        sending = make_tail(KeyedRecord('k', b'v', 7))
        reply = CopySender().reply_to(sending, StreamFetch('s', 0))
        assert [entry.value for entry in reply.entries] == [b'v']
        assert (reply.end_offset, reply.whole) == (7, True)

    def test_entries_are_taken_from_hosts_that_send_no_parts(self):
        receiver = CopyReceiver(make_tail(), is_relative=True)
        sending = make_tail(KeyedRecord('k', b'v', 7))
        receiver.add(CopySender().reply_to(sending, StreamFetch('s', 0)))
        assert receiver.is_complete
        assert receiver.result() == KeyedCopy(
            (KeyedRecord('k', b'v', 7),), 7, True
        )


class TestEncoding:
    """Encoded copies that are not as they should be."""

    @pytest.mark.parametrize('content', [b'', b'\x93', noise(1, 100)])
    def test_damage_is_told(self, content):
        with pytest.raises(CopyError):
            decode_copy(content, find_nothing)

    def test_each_truncation_is_told(self):
        copy = KeyedCopy((KeyedRecord('k', b'v' * 99, 7),), 7, True)
        content = encode_copy(copy, find_nothing)
        for end in range(len(content)):
            with pytest.raises(CopyError):
                decode_copy(content[:end], find_nothing)

    def test_copy_that_grows_too_large_is_refused(self):
        value = bytes(MAX_COPY_BYTES + 1)
        copy = KeyedCopy((KeyedRecord('k', value, 7),), 7, True)
        with pytest.raises(CopyError):
            decode_copy(encode_copy(copy, find_nothing), find_nothing)

    def test_part_of_another_place_is_refused(self):
        receiver = CopyReceiver(make_tail(), is_relative=False)
        with pytest.raises(CopyError):
            receiver.add(
                StreamFetchReply(
                    True, part=b'x', digest=1, position=5, copy_bytes=9
                )
            )


class TestEarlierValues:
    """Values that newer ones have replaced."""

    def test_value_of_an_offset_is_found(self):
        earlier = EarlierValues()
        values = [noise(seed, MIN_VALUE_BYTES) for seed in range(3)]
        for number, value in enumerate(values):
            earlier.add('k', 10 * (number + 1), value)
        assert earlier.find('k', 9) == b''
        assert earlier.find('k', 10) == values[0]
        assert earlier.find('k', 29) == values[1]
        assert earlier.find('other', 29) == b''

    def test_oldest_go_first(self):
        earlier = EarlierValues()
        size = MAX_KEPT_BYTES // 2
        for offset in range(1, 4):
            earlier.add('k', offset, noise(offset, size))
        assert earlier.find('k', 1) == b''
        assert earlier.find('k', 2) == noise(2, size)

    def test_small_values_are_not_kept(self):
        earlier = EarlierValues()
        earlier.add('k', 1, b'v')
        assert earlier.find('k', 1) == b''

    @pytest.mark.parametrize('size', [10, MAX_KEPT_BYTES + 1])
    def test_older_value_stands_for_one_that_is_not_kept(self, size):
        earlier = EarlierValues()
        earlier.add('k', 1, noise(1, MIN_VALUE_BYTES))
        earlier.add('k', 2, noise(2, size))
        assert earlier.find('k', 2) == b''

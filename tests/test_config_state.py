"""Tests of folding the configuration stream."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from mustardscale.configuration.config_copy import ConfigCopy, build_part
from mustardscale.configuration.config_records import (
    ConfigChange,
    ConfigKey,
    Profile,
    ServiceChoice,
    decode_record,
    encode_record,
)
from mustardscale.configuration.config_state import (
    PROFILE_KIND,
    ConfigState,
    RecordStatus,
)
from mustardscale.peers.config_messages import (
    ConfigFetch,
    ConfigFetchReply,
)

KEY = ConfigKey(PROFILE_KIND, 'noon')
OTHER = ConfigKey(PROFILE_KIND, 'night')
PUBLISHERS = 40


def change(base, change_id='c', key=KEY, weight=1.0):
    profile = Profile(weight=weight)
    return encode_record(ConfigChange(key, base, change_id, 'ann', profile))


def fold(payloads, first=1):
    state = ConfigState()
    for offset, payload in enumerate(payloads, first):
        state.apply(offset, payload)
    return state


def copy_state(peer, state, before_part=lambda: None):
    """Copies a peer's state in parts of one entry; returns their number."""
    copy = ConfigCopy(state.folded_offset)
    parts = 0
    while not copy.whole and copy.add_part(
        build_part(peer, copy.next_request(), 1)
    ):
        parts += 1
        before_part()
    if copy.whole:
        state.merge(copy.snapshot())
    return parts


def racing_log(seed, keys=(KEY, OTHER)):
    """Returns the log of concurrent publishers, and the snapshots they read.

    Each publisher reads the state and appends its change later, in random
    order. Snapshots, some of them old, and damaged records come in between.
    """
    rng = random.Random(seed)
    payloads, pending = [], []
    snapshots = [encode_record(ConfigState().snapshot())]
    state = ConfigState()
    left = [f'c{number}' for number in range(PUBLISHERS)]
    while left or pending:
        action = rng.random()
        if left and action < 0.4:
            key = rng.choice(keys)
            pending.append(change(state.version(key), left.pop(), key))
            snapshots.append(encode_record(state.snapshot()))
            continue
        if action < 0.5:
            payloads.append(rng.choice([rng.choice(snapshots), b'{broken']))
        elif pending:
            payloads.append(pending.pop(rng.randrange(len(pending))))
        else:
            continue
        state.apply(len(payloads), payloads[-1])
    return payloads, snapshots


class TestFold:
    """Concurrent changes on one stream."""

    @given(st.integers(0, 2**32))
    @settings(max_examples=50, deadline=None)
    def test_one_change_per_base_is_accepted(self, seed):
        payloads, _ = racing_log(seed)
        state = fold(payloads)
        assert len(state.history) == PUBLISHERS
        tried = {(e.change.key, e.change.base) for e in state.history}
        won = [
            (e.change.key, e.change.base)
            for e in state.history
            if e.status is RecordStatus.ACCEPTED
        ]
        assert sorted(won) == sorted(tried)
        assert fold(payloads).digest() == state.digest()

    def test_lost_change_reports_current_version(self):
        state = fold([change(0, 'first')])
        result = state.apply(2, change(0, 'second'))
        assert (result.status, result.version) == (RecordStatus.LOST, 1)
        assert state.apply(3, change(1)).status is RecordStatus.ACCEPTED

    def test_repeated_records_change_nothing(self):
        payloads, _ = racing_log(5)
        state = fold(payloads)
        before = state.digest()
        for offset, payload in reversed(list(enumerate(payloads, 1))):
            state.apply(offset, payload)
        assert state.digest() == before
        assert len(state.history) == PUBLISHERS

    def test_unreadable_records_are_skipped(self):
        state = fold([change(0)])
        assert state.apply(2, b'\xff').status is RecordStatus.UNREADABLE
        assert (
            state.apply(3, change(1, weight=3)).status is RecordStatus.ACCEPTED
        )
        assert state.profiles_by_name['noon'].profile.weight == 3


class TestSnapshots:
    """Snapshots read from the stream and copied from peers."""

    @given(st.integers(0, 2**32), st.randoms(use_true_random=False))
    @settings(max_examples=50, deadline=None)
    def test_old_snapshots_never_revert(self, seed, rng):
        payloads, snapshots = racing_log(seed)
        state = ConfigState()
        for offset, payload in enumerate(payloads, 1):
            before = state.version(KEY)
            state.apply(offset, payload)
            state.merge(decode_record(rng.choice(snapshots)))
            assert state.version(KEY) >= before
        assert state.digest() == fold(payloads).digest()

    @given(st.integers(0, 2**32), st.data())
    @settings(max_examples=80, deadline=None)
    def test_hosts_agree_after_records_were_lost(self, seed, data):
        payloads, _ = racing_log(seed)
        end = len(payloads)
        lost_from = data.draw(st.integers(0, end - 1))
        lost_to = data.draw(st.integers(lost_from, end))
        copied_at = data.draw(st.integers(lost_to, end))
        whole = fold(payloads)
        state = fold(payloads[:lost_from])
        for offset in range(lost_to + 1, end + 1):
            state.apply(offset, payloads[offset - 1])
            accepted = {
                e.offset
                for e in whole.history
                if e.status is RecordStatus.ACCEPTED
            }
            versions = {entry.version for entry in state.by_key.values()}
            assert versions <= accepted
        peer = fold(payloads[:copied_at])
        copy_state(peer, state)
        assert state.settled
        assert state.read_offset == max(end, copied_at)
        assert state.digest() == whole.digest()

    @given(st.integers(0, 2**32), st.data())
    @settings(max_examples=60, deadline=None)
    def test_peer_that_changes_during_copy_is_copied_completely(
        self, seed, data
    ):
        payloads, _ = racing_log(seed)
        first = data.draw(st.integers(1, len(payloads)))
        peer, state = fold(payloads[:first]), ConfigState()
        left = list(enumerate(payloads[first:], first + 1))

        def fold_on():
            for _ in range(data.draw(st.integers(0, 3))):
                if left:
                    peer.apply(*left.pop(0))

        copy_state(peer, state, fold_on)
        for offset in range(state.folded_offset + 1, len(payloads) + 1):
            state.apply(offset, payloads[offset - 1])
        assert state.digest() == fold(payloads).digest()

    def test_copy_stops_after_peer_restarted(self):
        state = fold([change(0), change(0, key=OTHER), change(1)])
        restarted = fold([change(0)])
        copy = ConfigCopy(0)
        assert copy.add_part(build_part(state, copy.next_request(), 1))
        assert not copy.whole
        assert not copy.add_part(build_part(restarted, copy.next_request(), 1))

    def test_change_after_gap_waits_for_snapshot(self):
        state = fold([change(0)])
        assert state.apply(3, change(1, 'stale')).status is RecordStatus.WAITING
        assert state.version(KEY) == 1
        peer = fold([change(0), change(1, 'unseen')])
        copy_state(peer, state)
        assert state.version(KEY) == 2
        assert state.history[-1].status is RecordStatus.LOST

    def test_settle_folds_records_after_unavailable_ones(self):
        state = fold([change(0, 'a'), change(1, 'b')], first=7)
        assert build_part(state, ConfigFetch(0)) == ConfigFetchReply(())
        assert state.settle().changed == (KEY,)
        assert state.version(KEY) == 7

    def test_snapshot_above_its_own_offset_is_refused(self):
        snapshot = fold([change(0), change(1)]).snapshot()
        state = ConfigState()
        result = state.apply(1, encode_record(snapshot))
        assert result.status is RecordStatus.UNREADABLE
        assert not state.by_key


class TestServices:
    """Token index and digest follow the current service choices."""

    def publish(self, state, offset, name, token, base=0):
        choice = ServiceChoice('noon', token_sha256=(token,))
        key = ConfigKey('service', name)
        record = ConfigChange(key, base, f'c{offset}', 'ann', service=choice)
        state.apply(offset, encode_record(record))

    def test_token_follows_current_service_choices(self):
        state = ConfigState()
        self.publish(state, 1, 'b', 'shared')
        self.publish(state, 2, 'a', 'shared')
        assert state.find_service_by_token('shared') == 'a'
        self.publish(state, 3, 'a', 'own', base=2)
        assert state.find_service_by_token('shared') == 'b'
        assert state.find_service_by_token('own') == 'a'
        self.publish(state, 4, 'b', 'other', base=1)
        assert state.find_service_by_token('shared') is None

    def test_digest_depends_only_on_current_versions(self):
        state, merged = ConfigState(), ConfigState()
        self.publish(state, 1, 'a', 'x')
        digests = {ConfigState().digest(), state.digest()}
        self.publish(state, 2, 'a', 'y', base=1)
        digests.add(state.digest())
        assert len(digests) == 3
        merged.merge(state.snapshot())
        assert merged.digest() == state.digest()

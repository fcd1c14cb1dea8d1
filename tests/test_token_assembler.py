"""Tests of mustardscale.endpoints.token_assembler."""

from __future__ import annotations

import itertools

from hypothesis import given
from hypothesis import strategies as st

from mustardscale.endpoints.engines import TokenEvent
from mustardscale.endpoints.token_assembler import TokenAssembler

ANSWER = tuple(f'w{index}' for index in range(40))


def _event(start: int, stop: int, reason: str = '') -> TokenEvent:
    return TokenEvent('a', 1, start, ANSWER[start:stop], reason)


@st.composite
def _disturbed_answers(draw) -> list[TokenEvent]:
    """Draws an answer's events, shuffled, with duplicate and foreign ones."""
    cuts = draw(st.sets(st.integers(1, len(ANSWER) - 1)))
    bounds = [0, *sorted(cuts), len(ANSWER)]
    events = [
        _event(start, stop, 'stop' if stop == len(ANSWER) else '')
        for start, stop in itertools.pairwise(bounds)
    ]
    events += draw(st.lists(st.sampled_from(events), max_size=5))
    foreign = st.builds(
        TokenEvent,
        st.sampled_from(['a', 'b']),
        st.sampled_from([2, 3]),
        st.integers(-5, 50),
        st.just(('x',)),
        st.sampled_from(['', 'stop']),
    )
    events += draw(st.lists(foreign, max_size=5))
    return draw(st.permutations(events))


class TestTokenAssembler:
    """Order and completeness of the tokens, and the bound of the buffer."""

    @given(_disturbed_answers(), st.integers(0, len(ANSWER)))
    def test_hands_out_each_token_once_in_order(self, events, first):
        assembler = TokenAssembler('a', 1, first)
        received = []
        for event in events:
            received += assembler.add(event)
        assert tuple(received) == ANSWER[first:]
        assert assembler.finish_reason == 'stop'
        foreign = sum(event.attempt != 1 for event in events)
        assert assembler.dropped == foreign

    @given(_disturbed_answers(), st.data())
    def test_a_lost_event_never_yields_a_whole_answer(self, events, data):
        lost = data.draw(st.sampled_from([e for e in events if e.attempt == 1]))
        assembler = TokenAssembler('a', 1)
        received = []
        for event in events:
            if event != lost:
                received += assembler.add(event)
        assert tuple(received) == ANSWER[: lost.index]
        assert assembler.finish_reason == ''

    def test_finish_waits_for_earlier_tokens(self):
        assembler = TokenAssembler('a', 1)
        assert assembler.add(_event(2, 4, 'stop')) == ()
        assert assembler.finish_reason == ''
        assert assembler.has_gap
        assert assembler.add(_event(0, 2)) == ANSWER[:4]
        assert assembler.finish_reason == 'stop'

    def test_buffer_is_bounded(self):
        assembler = TokenAssembler('a', 1, max_waiting=8)
        assert assembler.add(_event(7, 9)) == ()
        assert assembler.dropped == 1
        assert not assembler.has_gap

    def test_tokens_after_the_end_are_not_handed_out(self):
        assembler = TokenAssembler('a', 1)
        assembler.add(_event(0, 2, 'stop'))
        assert assembler.add(_event(2, 4)) == ()
        assert not assembler.has_gap

    def test_tokens_and_ends_of_another_request_are_dropped(self):
        assembler = TokenAssembler('a', 1)
        assembler.add(_event(0, 2))
        assert assembler.add(TokenEvent('b', 1, 2, ('x',), 'stop')) == ()
        assert assembler.finish_reason == ''
        assert assembler.dropped == 1
        assert assembler.add(_event(2, 4, 'stop')) == ANSWER[2:4]

    def test_tokens_before_the_first_are_dropped(self):
        assembler = TokenAssembler('a', 1)
        assert assembler.add(TokenEvent('a', 1, -1, ('x', 'y'))) == ()
        assert assembler.dropped == 1
        assert assembler.add(_event(0, 2)) == ANSWER[:2]

    def test_a_second_end_does_not_shorten_an_answer(self):
        assembler = TokenAssembler('a', 1)
        assert assembler.add(_event(6, 8, 'stop')) == ()
        assert assembler.add(_event(2, 3, 'stop')) == ()
        assert assembler.add(_event(0, 2)) == ANSWER[:3]
        assert assembler.finish_reason == ''
        assert assembler.add(_event(3, 6)) == ANSWER[3:8]
        assert assembler.finish_reason == 'stop'

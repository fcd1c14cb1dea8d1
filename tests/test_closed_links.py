"""Streams whose connection closes between two events; both ends run on."""

import pytest

from standins.raw_worker import Ending, Framing, RawAnswer
from tests.test_broken_answers import EVENT_BYTES, EVENTS, RawSite
from tests.test_forwarding_http import CutSite
from tests.two_workers import read_of_two

UNFRAMED = (Framing.NONE, Framing.OLD_PROTOCOL)
CLOSINGS = (Ending.CLOSED, Ending.LINK_CLOSED)
SITES = (RawSite, CutSite)
CONTENT = b''.join(EVENTS)
CUT_CONTENT = b''.join(EVENTS[:-1])


def whole(framing):
    """Returns an answer that goes on after the event that is named."""
    return RawAnswer(EVENTS, framing, goes_on=True)


def cut(framing, ending):
    """Returns an answer without its last event."""
    return RawAnswer(
        EVENTS, framing, ending, EVENT_BYTES, gap_s=0.1, goes_on=True
    )


def read(path, first, later, site_type=RawSite):
    """Returns what a caller gets of two engines, and their numbers of runs."""
    return read_of_two(('d1', 'd2'), path, first, later, site_type)


class TestResumableStreams:
    """Another run shows whether a stream ended before its last event."""

    @pytest.mark.parametrize('framing', UNFRAMED)
    @pytest.mark.parametrize('ending', CLOSINGS)
    @pytest.mark.parametrize('site_type', SITES)
    def test_closed_stream_goes_on(self, framing, ending, site_type):
        status, content, is_whole, _ = read(
            '/chat/x', cut(framing, ending), whole(Framing.CHUNKED), site_type
        )
        assert (status, content, is_whole) == (200, CONTENT, True)

    @pytest.mark.parametrize('framing', UNFRAMED)
    @pytest.mark.parametrize('site_type', SITES)
    def test_closed_stream_goes_on_without_a_length(self, framing, site_type):
        status, content, is_whole, _ = read(
            '/chat/x', cut(framing, Ending.CLOSED), whole(framing), site_type
        )
        assert (status, content, is_whole) == (200, CONTENT, True)

    @pytest.mark.parametrize('framing', UNFRAMED)
    @pytest.mark.parametrize('site_type', SITES)
    def test_whole_stream_is_run_again_by_the_same_engine(
        self, framing, site_type
    ):
        answer = whole(framing)
        received = read('/chat/x', answer, answer, site_type)
        assert received == (200, CONTENT, True, [0, 2])


class TestOtherStreams:
    """All connections of a link that close at once show that it was cut."""

    @pytest.mark.parametrize('framing', UNFRAMED)
    @pytest.mark.parametrize('site_type', SITES)
    def test_stream_of_a_closed_link_does_not_look_whole(
        self, framing, site_type
    ):
        first = cut(framing, Ending.LINK_CLOSED)
        received = read('/once/x', first, whole(framing), site_type)
        assert received == (200, CUT_CONTENT, False, [0, 1])

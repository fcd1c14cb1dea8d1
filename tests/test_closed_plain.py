"""Plain answers whose connection closes early while their worker runs on."""

import asyncio

import pytest
import uvloop

from mustardscale.endpoints.http_plain import HttpPlainEndpoint
from mustardscale.endpoints.plain_endpoints import PlainCall
from mustardscale.exceptions import EndpointFailedError
from standins.raw_worker import Ending, Framing, RawAnswer, RawWorker
from tests.platform_site import until
from tests.test_broken_answers import RawSite, ask
from tests.test_forwarding_http import CutSite
from tests.two_workers import read_of_two

SITES = (RawSite, CutSite)
UNFRAMED = (Framing.NONE, Framing.OLD_PROTOCOL)
# Turns of the event loop in which the host reads what has arrived at it.
READING_TURNS = 20
BODY = [b'whole', b' body']
CONTENT = b''.join(BODY)
JSON = [b'{"rooms": 1, "free": [2, 3],', b' "late": "]}"}']
JSON_TYPES = ('application/json; charset=utf-8', 'application/problem+json')


def read(path, first, later, site_type=RawSite):
    """Returns what a caller gets of two workers, and their sum of runs."""
    names = ('a1', 'a2')
    if first.ending is Ending.LINK_CLOSED and not first.in_one_burst:
        answer = read_of_two(names, path, first, later, site_type, is_watched)
    else:
        answer = read_of_two(names, path, first, later, site_type)
    *received, runs = answer
    return *received, sum(runs)


async def is_watched(workers):
    """Waits until the host has read what came so far, and watches the link.

    Otherwise a starved process sees the content and the end of its link at
    once, which are the bursts of test_unseen_closed_links.
    """
    await until(lambda: any(worker.open_connections > 1 for worker in workers))
    for _ in range(READING_TURNS):
        await asyncio.sleep(0)


def require_lost(received):
    """Requires that a request ran once and its caller got no part of it."""
    status, content, _, runs = received
    assert (status, runs) == (502, 1)
    assert not content.startswith((BODY[0], JSON[0]))


class TestClosedLinks:
    """All connections of a link that close at once show that it was cut."""

    @pytest.mark.parametrize('framing', UNFRAMED)
    @pytest.mark.parametrize('site_type', SITES)
    def test_answer_is_lost(self, framing, site_type):
        missing = len(BODY[-1])
        first = RawAnswer(BODY, framing, Ending.LINK_CLOSED, missing)
        later = RawAnswer(BODY, framing)
        require_lost(read('/book/x', first, later, site_type))

    @pytest.mark.parametrize('framing', UNFRAMED)
    @pytest.mark.parametrize('site_type', SITES)
    def test_repeatable_request_runs_again(self, framing, site_type):
        missing = len(BODY[-1])
        first = RawAnswer(BODY, framing, Ending.LINK_CLOSED, missing)
        later = RawAnswer(BODY, Framing.LENGTH)
        received = read('/read/x', first, later, site_type)
        assert received == (200, CONTENT, True, 2)


class TestEmptyAnswers:
    """An answer that is lost behind its head: the connection closes."""

    @pytest.mark.parametrize('framing', UNFRAMED)
    @pytest.mark.parametrize('site_type', SITES)
    def test_answer_is_lost(self, framing, site_type):
        first = RawAnswer(BODY, framing, Ending.CLOSED, len(CONTENT))
        later = RawAnswer(BODY, framing)
        require_lost(read('/book/x', first, later, site_type))

    @pytest.mark.parametrize('framing', UNFRAMED)
    @pytest.mark.parametrize('site_type', SITES)
    def test_repeatable_request_runs_again(self, framing, site_type):
        first = RawAnswer(BODY, framing, Ending.CLOSED, len(CONTENT))
        later = RawAnswer(BODY, Framing.LENGTH)
        received = read('/read/x', first, later, site_type)
        assert received == (200, CONTENT, True, 2)

    @pytest.mark.parametrize('framing', [Framing.LENGTH, Framing.CHUNKED])
    def test_answer_with_an_end_arrives(self, framing):
        assert ask(RawAnswer([], framing), '/book/x') == (200, b'', True)

    @pytest.mark.parametrize('framing', UNFRAMED)
    @pytest.mark.parametrize('status', [204, 205, 304])
    def test_answer_whose_status_has_no_content_arrives(self, framing, status):
        answer = RawAnswer([], framing, status=status)
        assert ask(answer, '/book/x') == (status, b'', True)


class TestJson:
    """Content that shows whether it is at its end."""

    @pytest.mark.parametrize('framing', UNFRAMED)
    @pytest.mark.parametrize('media_type', JSON_TYPES)
    @pytest.mark.parametrize('in_one_burst', [False, True])
    def test_cut_answer_is_lost(self, framing, media_type, in_one_burst):
        for missing in (1, 2, len(JSON[-1])):
            first = RawAnswer(
                JSON,
                framing,
                Ending.CLOSED,
                missing,
                in_one_burst=in_one_burst,
                media_type=media_type,
            )
            require_lost(read('/book/x', first, first))

    @pytest.mark.parametrize('framing', UNFRAMED)
    @pytest.mark.parametrize('media_type', JSON_TYPES)
    def test_whole_answer_arrives(self, framing, media_type):
        for content in (JSON, [b'{"free": NaN,}\n'], [b'"\\"["'], [b'7']):
            answer = RawAnswer(content, framing, media_type=media_type)
            received = ask(answer, '/book/x')
            assert received == (200, b''.join(content), True)


class TestSecondAnswers:
    """A repeatable request runs once more where nothing shows the end."""

    @pytest.mark.parametrize('framing', UNFRAMED)
    @pytest.mark.parametrize('site_type', SITES)
    @pytest.mark.parametrize('ending', [Ending.CLOSED, Ending.LINK_CLOSED])
    @pytest.mark.parametrize('later_framing', [Framing.NONE, Framing.CHUNKED])
    def test_cut_answer_is_not_passed_on(
        self, framing, site_type, ending, later_framing
    ):
        first = RawAnswer(
            BODY, framing, ending, len(BODY[-1]), in_one_burst=True
        )
        later = RawAnswer(BODY, later_framing)
        received = read('/read/x', first, later, site_type)
        assert received == (200, CONTENT, True, 2)

    @pytest.mark.parametrize('framing', UNFRAMED)
    @pytest.mark.parametrize('site_type', SITES)
    @pytest.mark.parametrize('content', [BODY, []])
    def test_two_that_are_the_same_show_that_it_is_whole(
        self, framing, site_type, content
    ):
        answer = RawAnswer(content, framing)
        received = read('/read/x', answer, answer, site_type)
        assert received == (200, b''.join(content), True, 2)

    @pytest.mark.parametrize('framing', UNFRAMED)
    @pytest.mark.parametrize(
        'second',
        [
            RawAnswer([b'another body']),
            RawAnswer(BODY, missing=len(BODY[-1])),
            RawAnswer([b'failed'], Framing.LENGTH, status=500),
            RawAnswer(BODY, Framing.LENGTH, Ending.RESET, 2),
            RawAnswer(BODY, Framing.NONE, Ending.RESET, 2),
        ],
    )
    def test_second_that_shows_nothing_loses_no_answer(self, framing, second):
        received = read('/read/x', RawAnswer(BODY, framing), second)
        assert received == (200, CONTENT, True, 2)

    def test_request_that_may_run_once_is_not_repeated(self):
        answer = RawAnswer(BODY)
        received = read('/book/x', answer, answer)
        assert received == (200, CONTENT, True, 1)


class TestOwnEndpoints:
    """Plain endpoints of the own interface."""

    def call(self, answer):
        """Returns the body of an answer."""

        async def main():
            worker = RawWorker('e1', [answer])
            endpoint = HttpPlainEndpoint(await worker.start())
            headers = (('X-Request-Id', 'r1'),)
            call = PlainCall('r1', 'GET', '/x', headers, b'', 5.0)
            try:
                return (await endpoint.call(call)).body
            finally:
                await endpoint.close()
                worker.end()

        return uvloop.run(main())

    @pytest.mark.parametrize('framing', UNFRAMED)
    def test_answer_of_a_closed_link_is_no_answer(self, framing):
        missing = len(BODY[-1])
        answer = RawAnswer(BODY, framing, Ending.LINK_CLOSED, missing, 0.1)
        with pytest.raises(EndpointFailedError):
            self.call(answer)

    @pytest.mark.parametrize('framing', UNFRAMED)
    def test_empty_answer_is_no_answer(self, framing):
        with pytest.raises(EndpointFailedError):
            self.call(RawAnswer(BODY, framing, Ending.CLOSED, len(CONTENT)))

    @pytest.mark.parametrize('framing', UNFRAMED)
    @pytest.mark.parametrize('media_type', JSON_TYPES)
    def test_cut_json_is_no_answer(self, framing, media_type):
        for missing in (1, len(JSON[-1])):
            answer = RawAnswer(
                JSON, framing, Ending.CLOSED, missing, media_type=media_type
            )
            with pytest.raises(EndpointFailedError):
                self.call(answer)

    @pytest.mark.parametrize('framing', Framing)
    @pytest.mark.parametrize('media_type', JSON_TYPES)
    def test_whole_answer_arrives(self, framing, media_type):
        answer = RawAnswer(JSON, framing, media_type=media_type)
        assert self.call(answer) == b''.join(JSON)

    @pytest.mark.parametrize('framing', UNFRAMED)
    def test_whole_answer_with_little_content_arrives(self, framing):
        answer = RawAnswer([], framing, status=204)
        assert self.call(answer) == b''

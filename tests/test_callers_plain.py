"""Tests of callers' HTTP to plain services."""

import pytest

from mustardscale.endpoints.plain_endpoints import PlainAnswer
from mustardscale.outcomes import Outcome
from tests.callers_client import (
    BOOKING_ID,
    code,
    served,
)


class TestPlainServices:
    """Requests to plain services."""

    def test_passes_the_request_and_the_answer_on(self):
        async def test(client):
            status, headers, body = await client.send(
                'POST',
                '/services/ledger/lots/a%2Fb?x=1&y',
                'ledger-token',
                {
                    'Idempotency-Key': BOOKING_ID.upper(),
                    'X-Deadline-Seconds': '2.5',
                    'X-Seen': 'yes',
                    'X-Hop': 'no',
                    'Connection': 'X-Hop',
                },
                data=b'book',
            )
            request = client.service.plain_requests[0]
            assert (status, body) == (200, b'lot 7')
            assert headers['X-Kept'] == '1'
            assert (request.id, request.idempotent) == (BOOKING_ID, False)
            assert request.path == '/lots/a%2Fb?x=1&y'
            assert (request.body, request.timeout_s) == (b'book', 2.5)
            passed = dict(request.headers)
            assert passed['X-Seen'] == 'yes'
            assert not {'X-Hop', 'Authorization', 'Host'} & set(passed)

        served(test)

    @pytest.mark.parametrize('key', ['', 'mine', BOOKING_ID[:-1], '0' * 36])
    def test_a_booking_needs_an_id_that_carries_its_time(self, key):
        async def test(client):
            headers = {'Idempotency-Key': key} if key else {}
            _, _, body = await client.send(
                'POST', '/services/ledger/lots', 'ledger-token', headers
            )
            assert code(body) == Outcome.INVALID_REQUEST_ID
            assert not client.service.plain_requests

        served(test)

    def test_a_lookup_gets_an_id(self):
        async def test(client):
            path = '/services/ledger/lots'
            _, headers, _ = await client.send('GET', path, 'ledger-token')
            request = client.service.plain_requests[0]
            assert request.idempotent
            assert headers['X-Request-Id'] == request.id

        served(test)

    def test_a_status_that_is_no_answer(self):
        async def test(client):
            client.service.plain_answer = PlainAnswer(101, (), b'')
            path = '/services/ledger/lots'
            status, _, body = await client.send('GET', path, 'ledger-token')
            assert (status, code(body)) == (502, Outcome.PLAIN_SERVICE_FAILED)

        served(test)

"""Tests of operators' HTTP over loopback sockets."""

import asyncio

import aiohttp
import pytest

from mustardscale.operators.operators_http import OperatorsServer
from tests.fake_service import FakeService

TOKEN = 'operators'


def call(method, path, authorization=f'Bearer {TOKEN}', ready=True):
    """Returns the status, the body, and how often a drain was asked for."""
    drains = []

    async def run():
        service = FakeService()
        service.ready = ready
        server = OperatorsServer(
            service, TOKEN, lambda: 'requests 5\n', lambda: drains.append(1)
        )
        port = await server.start('127.0.0.1', 0)
        headers = {'Authorization': authorization} if authorization else {}
        url = f'http://127.0.0.1:{port}{path}'
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.request(method, url, headers=headers) as answer,
            ):
                return answer.status, await answer.text(), len(drains)
        finally:
            await server.stop()

    return asyncio.run(run())


class TestOperatorsServer:
    """What operators and the balancer get."""

    @pytest.mark.parametrize(
        ('path', 'expected'),
        [
            ('/metrics', 'requests 5'),
            ('/status', '"profile/noon": 3'),
            ('/dump', '"pools": {}'),
        ],
    )
    def test_state(self, path, expected):
        status, text, _ = call('GET', path)
        assert status == 200
        assert expected in text

    @pytest.mark.parametrize('ready', [True, False])
    def test_health_needs_no_token(self, ready):
        assert call('GET', '/livez', None, ready)[0] == 200
        assert call('GET', '/readyz', None, ready)[0] == (200 if ready else 503)

    def test_drain(self):
        assert call('POST', '/drain')[::2] == (202, 1)
        assert call('GET', '/drain')[::2] == (405, 0)

    @pytest.mark.parametrize(
        'authorization',
        [None, 'Bearer wrong', 'Bearer ', TOKEN, 'Bearer operators\xff'],
    )
    @pytest.mark.parametrize(
        ('method', 'path'),
        [
            ('GET', '/metrics'),
            ('GET', '/status'),
            ('GET', '/dump'),
            ('POST', '/drain'),
            ('GET', '/no-such-path'),
        ],
    )
    def test_other_paths_need_the_token(self, method, path, authorization):
        assert call(method, path, authorization)[::2] == (401, 0)

    def test_an_empty_token_is_refused(self):
        with pytest.raises(ValueError, match='empty'):
            OperatorsServer(FakeService(), '', str, print)

"""Keys of customers: who may send requests, and what endpoints are told."""

import asyncio
import copy
import dataclasses
import json

import pytest
import uvloop

from mustardscale.configuration.config_copy import ConfigCopy, build_part
from mustardscale.configuration.config_records import (
    ConfigKey,
    ConfigSnapshot,
    VersionedChange,
    encode_record,
    make_change,
)
from mustardscale.configuration.config_state import ROUTES_KIND, ConfigState
from mustardscale.configuration.customers import (
    Customer,
    CustomerQuota,
    QuotaUnit,
)
from mustardscale.configuration.route_index import RouteIndex
from mustardscale.configuration.route_source import RouteSource
from mustardscale.configuration.routes import RequestKind, Route, RouteTable
from mustardscale.exceptions import OutcomeError
from mustardscale.operators.state_dump import dump_state
from mustardscale.outcomes import Outcome
from mustardscale.peers.config_messages import ConfigFetchReply, ConfigRecord
from mustardscale.platform.store_routes import decode_table
from mustardscale.relay.caller_identity import CallerIdentities
from mustardscale.relay.relay_messages import RelayRequest
from standins.platform_plan import CONFIG, route
from tests.platform_site import PlatformSite, until

KEY, SECOND_KEY, OTHER_KEY = 'banfqasnmg', 'k9m68k7b2e', 'q3w1zz81ab'
TENANTS = [
    {'name': 'north', 'api_keys': [KEY, SECOND_KEY], 'priority': 0},
    {'name': 'south', 'api_keys': [OTHER_KEY]},
]
QUOTA = {
    'unit': 'tokens',
    'plain_tokens': 200,
    'rate_per_s': 147_385,
    'burst_size': 147_385,
}


def with_customers(version=4, tenants=TENANTS):
    """Returns the stand-ins' configuration with customers."""
    config = copy.deepcopy(CONFIG) | {'version': version, 'tenants': tenants}
    config['routes'].append(
        route('open', 'app', 'idempotent', auth_exempt=True)
    )
    return config


def run(scenario, config, hosts=1):
    """Runs a scenario with a site whose hosts have a configuration."""

    async def main():
        async with PlatformSite() as site:
            site.configure(config)
            for number in range(hosts):
                await site.add_host(f'h{number}')
            table = [r.blackboard.config for r in site.routers]
            await until(
                lambda: all(
                    c.routes.table.version == config['version'] for c in table
                )
            )
            await scenario(site)

    uvloop.run(main())


def headers_at_worker(site, request_id):
    """Returns the headers with which a request reached a worker."""
    (seen,) = [
        worker.headers[request_id]
        for worker in site.workers.values()
        if request_id in worker.headers
        and 'X-Serving-Phase' not in worker.headers[request_id]
    ]
    return seen


class TestKeys:
    """Requests run only under a key that the configuration has."""

    @pytest.mark.parametrize('path', ['/book/x', '/chat/x'])
    @pytest.mark.parametrize('key', [KEY, SECOND_KEY])
    def test_worker_is_told_the_customer_and_not_the_key(self, path, key):
        async def scenario(site):
            status, _, _ = await site.ask(
                path,
                'r1',
                headers={'X-Credential': key, 'X-Tenant-Id': 'south'},
            )
            assert status == 200
            seen = headers_at_worker(site, 'r1')
            assert seen.getall('X-Tenant-Id') == ['north']
            assert 'X-Credential' not in seen

        run(scenario, with_customers())

    @pytest.mark.parametrize(
        'headers',
        [{}, {'X-Credential': 'unknown'}, {'X-Tenant-Id': 'north'}],
        ids=str,
    )
    def test_unknown_key_is_refused_and_does_not_run(self, headers):
        async def scenario(site):
            status, answer, _ = await site.ask('/book/x', 'r1', headers=headers)
            assert status == 401
            assert 'Retry-After' not in answer
            assert not any(worker.ran for worker in site.workers.values())

        run(scenario, with_customers())

    def test_two_keys_are_refused(self):
        async def scenario(site):
            headers = [
                ('Host', 'shop.example'),
                ('X-Request-Id', 'r1'),
                ('X-Credential', KEY),
                ('X-Credential', OTHER_KEY),
            ]
            url = site.url('/book/x')
            async with site.session.post(url, headers=headers) as response:
                assert response.status == 401

        run(scenario, with_customers())

    def test_public_route_needs_no_key_and_forwards_no_claim(self):
        async def scenario(site):
            claim = {'X-Tenant-Id': 'north', 'X-Credential': 'unknown'}
            status, _, _ = await site.ask('/open/x', 'r1', headers=claim)
            assert status == 200
            seen = headers_at_worker(site, 'r1')
            assert 'X-Tenant-Id' not in seen
            assert 'X-Credential' not in seen
            known = {'X-Credential': KEY}
            status, _, _ = await site.ask('/open/x', 'r2', headers=known)
            assert status == 200
            assert headers_at_worker(site, 'r2')['X-Tenant-Id'] == 'north'

        run(scenario, with_customers())

    def test_without_customers_the_headers_pass_unchanged(self):
        async def scenario(site):
            stated = {'X-Tenant-Id': 'any', 'X-Credential': 'any key'}
            status, _, _ = await site.ask('/book/x', 'r1', headers=stated)
            assert status == 200
            seen = headers_at_worker(site, 'r1')
            assert seen['X-Tenant-Id'] == 'any'
            assert seen['X-Credential'] == 'any key'

        run(scenario, copy.deepcopy(CONFIG))

    def test_keys_come_and_go_with_versions(self):
        async def scenario(site):
            tenants = copy.deepcopy(TENANTS)
            tenants[0]['api_keys'] = [SECOND_KEY, 'new-key']
            site.configure(with_customers(9, tenants))
            config = site.routers[0].blackboard.config
            await until(lambda: config.routes.table.version == 9)
            for key, expected in ((KEY, 401), ('new-key', 200)):
                status, _, _ = await site.ask(
                    '/book/x', key, headers={'X-Credential': key}
                )
                assert status == expected

        run(scenario, with_customers())

    def test_each_host_learns_the_customers(self):
        async def scenario(site):
            for host in (0, 1):
                status, _, _ = await site.ask(
                    '/book/x',
                    f'r{host}',
                    host=host,
                    headers={'X-Credential': KEY},
                )
                assert status == 200

        run(scenario, with_customers(), hosts=2)


class TestSecrecy:
    """Keys do not show in what operators and logs see."""

    def test_no_key_in_texts_of_the_configuration(self):
        table = decode_table(json.dumps(with_customers()).encode())
        request = RelayRequest(
            'r1', 'h', 'GET', '/x', (), b'', 0.0, credential=KEY
        )
        texts = repr(table) + repr(request)
        assert KEY not in texts
        assert table.customers[0].keys == (KEY, SECOND_KEY)

    def test_no_key_in_the_state_dump(self):
        async def scenario(site):
            await site.ask('/book/x', 'r1', headers={'X-Credential': KEY})
            router = site.routers[0]
            dump = str(dump_state(router.blackboard, router.pool_owner))
            assert KEY not in dump

        run(scenario, with_customers())


class TestTable:
    """The operator's configuration of customers."""

    def test_customers_are_read(self):
        tenants = [TENANTS[0] | QUOTA, TENANTS[1]]
        config = with_customers(tenants=tenants)
        table = decode_table(json.dumps(config).encode())
        north, south = table.customers
        assert north == Customer(
            'north',
            (KEY, SECOND_KEY),
            0,
            CustomerQuota(147_385, 147_385, QuotaUnit.TOKENS, 200),
        )
        assert south == Customer('south', (OTHER_KEY,))
        assert not south.quota.is_limited
        assert [r.is_public for r in table.routes][-1]


class FixedSource(RouteSource):
    """A source that was confirmed at a given time."""

    def __init__(self, confirmed_at):
        self._confirmed_at = confirmed_at

    async def next_table(self):
        raise NotImplementedError

    def confirmed_at(self):
        return self._confirmed_at


class TestUnconfirmedConfiguration:
    """A host that cannot confirm its configuration may refuse keys."""

    ROUTE = Route('a', 'h', '/a/', RequestKind.ONCE, (), 1.0, 1.0)
    PUBLIC = dataclasses.replace(ROUTE, is_public=True)
    ROUTES = RouteIndex(RouteTable(1, customers=(Customer('north', (KEY,)),)))

    def identify(self, route, age_s, max_age_s):
        async def main():
            now = asyncio.get_running_loop().time()
            identities = CallerIdentities(
                FixedSource(now - age_s), 'X-Customer', max_age_s
            )
            request = RelayRequest(
                'r1', 'h', 'GET', '/a/', (), b'', now, credential=KEY
            )
            identities.identify(request, route, self.ROUTES)
            return request.headers

        return asyncio.run(main())

    def test_old_configuration_refuses_keys_where_that_is_set(self):
        with pytest.raises(OutcomeError) as caught:
            self.identify(self.ROUTE, age_s=5.1, max_age_s=5.0)
        assert caught.value.outcome is Outcome.CONFIG_UNAVAILABLE
        assert caught.value.retry_after_s > 0

    @pytest.mark.parametrize('max_age_s', [0.0, 6.0])
    def test_otherwise_the_newest_known_one_holds(self, max_age_s):
        headers = self.identify(self.ROUTE, age_s=5.1, max_age_s=max_age_s)
        assert headers == (('X-Customer', 'north'),)

    def test_public_routes_are_open(self):
        assert self.identify(self.PUBLIC, age_s=5.1, max_age_s=5.0)


class TestOldBuilds:
    """A build that does not know customers cannot remove them."""

    def table_state(self, customers):
        state = ConfigState()
        key = ConfigKey(ROUTES_KIND, 'all')
        table = RouteTable(7, customers=customers)
        entry = VersionedChange(7, make_change(key, 0, 'c', 'a', table))
        state.merge(ConfigSnapshot((entry,), 7))
        return state

    def test_new_build_passes_customers_on(self):
        customers = (Customer('north', (KEY,)),)
        copying = ConfigCopy(0)
        reply = build_part(self.table_state(customers), copying.next_request())
        assert copying.add_part(reply)
        (entry,) = copying.snapshot().entries
        assert entry.change.routes.customers == customers

    def test_table_of_an_old_build_is_not_copied(self):
        entries = tuple(self.table_state(()).entries_after(0))
        payload = encode_record(ConfigSnapshot(entries, 7))
        payload = payload.replace(b'"has_customers":false,', b'')
        copying = ConfigCopy(0)
        reply = ConfigFetchReply((ConfigRecord(7, payload),))
        assert not copying.add_part(reply)
        assert not copying.snapshot().entries

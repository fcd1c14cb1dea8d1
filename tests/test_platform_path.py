"""End-to-end tests of requests against the platform's stand-ins."""

import asyncio
import copy
import json

import aiohttp
import pytest
import uvloop

from standins.platform_plan import HOST
from standins.platform_store import WORKERS_TOPIC
from standins.platform_worker import WorkerFaults
from tests.host_refusals import PersistentCaller
from tests.platform_site import CONFIG, PlatformSite, until

EVENTS = b''.join(b'id: %d\ndata: %d\n\n' % (n, n) for n in (1, 2, 3))
USAGE = {'X-Token-Usage': '1000,500', 'X-Length-Hint': '300'}


def run(scenario, hosts=1):
    """Runs a scenario with a site whose hosts are ready."""

    async def main():
        async with PlatformSite() as site:
            for number in range(hosts):
                await site.add_host(f'h{number}')
            await scenario(site)

    uvloop.run(main())


class TestPlain:
    """Requests to plain services."""

    def test_passes_unchanged_both_ways(self):
        async def scenario(site):
            path = '/book/a%2Fb//c/../d?q=%20&&r'
            status, headers, body = await site.ask(
                path,
                'r1',
                headers={
                    'X-Own': 'kept',
                    'X-Kv-Hold': 'forged',
                    'X-Expect-Instance': 'forged',
                    'Connection': 'X-Request-Id, X-Hop',
                    'X-Hop': 'dropped',
                },
            )
            assert (status, body) == (200, b'whole body')
            assert headers['X-Request-Id'] == 'r1'
            (worker,) = [w for w in site.workers.values() if w.ran]
            signature = f'{worker.instance}.r1'
            assert headers['X-Response-Signature'] == signature
            seen = worker.headers['r1']
            assert seen['X-Own'] == 'kept'
            assert seen['X-Expect-Instance'] == worker.instance
            assert 0 < int(seen['X-Request-Deadline']) <= 5000
            assert 'X-Kv-Hold' not in seen
            assert 'X-Hop' not in seen
            assert worker.targets['r1'][2] == b'body'

        run(scenario)

    def test_a_header_that_is_not_ascii_passes_as_the_same_bytes(self):
        async def scenario(site):
            name = {'X-Model-Name': 'modèle-1'}
            status, _, _ = await site.ask('/book/x', 'r1', headers=name)
            assert status == 200
            (worker,) = [w for w in site.workers.values() if w.ran]
            assert worker.headers['r1']['X-Model-Name'] == 'modèle-1'

        run(scenario)

    @pytest.mark.parametrize('field', ['X-Model-Name', 'Last-Event-Id'])
    def test_a_header_that_is_not_utf_8_is_refused_by_its_name(self, field):
        async def scenario(site):
            ip, _, port = site.fronts[0].address.rpartition(':')
            reader, writer = await asyncio.open_connection(ip, int(port))
            lines = [
                b'POST /book/x HTTP/1.1',
                b'Host: ' + HOST.encode(),
                b'X-Request-Id: r1',
                field.encode() + b': ' + 'modèle-1'.encode('latin-1'),
                b'Connection: close',
                b'Content-Length: 0',
            ]
            writer.write(b'\r\n'.join([*lines, b'', b'']))
            answer = await reader.read(-1)
            writer.close()
            assert answer.startswith(b'HTTP/1.1 400 ')
            assert f'header {field} is not UTF-8'.encode() in answer
            assert not any(w.ran for w in site.workers.values())

        run(scenario)

    @pytest.mark.parametrize('field', ['X-Expect-Version', 'X-Hop'])
    def test_a_header_that_is_not_forwarded_may_be_any(self, field):
        async def scenario(site):
            ip, _, port = site.fronts[0].address.rpartition(':')
            reader, writer = await asyncio.open_connection(ip, int(port))
            lines = [
                b'POST /book/x HTTP/1.1',
                b'Host: ' + HOST.encode(),
                b'X-Request-Id: r1',
                field.encode() + b': \xe9',
                b'Connection: close, X-Hop',
                b'Content-Length: 0',
            ]
            writer.write(b'\r\n'.join([*lines, b'', b'']))
            answer = await reader.read(-1)
            writer.close()
            assert answer.startswith(b'HTTP/1.1 200 ')

        run(scenario)

    def test_non_idempotent_request_runs_once_when_the_answer_is_lost(self):
        async def scenario(site):
            for name in ('a1', 'a2'):
                site.workers[name].faults.loses_answers = True
            status, headers, _ = await site.ask('/book/x', 'r1')
            assert status == 502
            assert 'X-Response-Signature' not in headers
            ran = [w.ran for w in site.workers.values() if w.ran]
            assert ran == [['r1']]

        run(scenario)

    def test_full_endpoints_are_refused_with_a_time(self):
        async def scenario(site):
            for name in ('a1', 'a2'):
                site.workers[name].faults.full = True
            status, headers, _ = await site.ask('/book/x', 'r1')
            assert status in (429, 503)
            assert 0 < float(headers['Retry-After']) < 5

        run(scenario)

    @pytest.mark.parametrize(
        'fault', [{'other_id': 'r0'}, {'unsigned': True}], ids=str
    )
    def test_answer_of_another_request_or_unsigned_is_not_passed_on(
        self, fault
    ):
        async def scenario(site):
            for name in ('a1', 'a2'):
                for key, value in fault.items():
                    setattr(site.workers[name].faults, key, value)
            status, _, body = await site.ask('/book/x', 'r1')
            assert status == 502
            assert b'whole' not in body

        run(scenario)


class TestHarmfulParts:
    """A part of prompts on which each worker crashes that writes on it."""

    def test_workers_stop_crashing_and_sound_requests_go_on(self):
        async def scenario(site):
            crashes = []

            def restart(worker):
                crashes.append(worker.instance)
                name = f'{worker.instance}-{len(crashes)}'
                site.restart_worker(worker.instance, name)

            for worker in site.workers.values():
                worker.faults = WorkerFaults(harmful_part='bad0')
                worker.on_crash = restart
            statuses = []
            for number in range(24):
                prefix = f'a1:200,bad0:50,{number:08x}:10'
                status, _ = await ask_harmful(site, number, prefix)
                statuses.append(status)
                prefix = f'a1:200,c3:50,{number:08x}:10'
                status, body = await ask_harmful(site, 500 + number, prefix)
                if number > 12:
                    assert (status, body) == (200, EVENTS)
            assert len(crashes) <= 5
            assert statuses[-10:] == [503] * 10

        run(scenario)


async def ask_harmful(site, number, prefix):
    """Sends a request with a prompt's parts; returns status and body."""
    headers = USAGE | {'X-Prompt-Prefix': prefix}
    try:
        status, _, body = await site.ask(
            '/chat/x', f'r{number}', headers=headers
        )
    except aiohttp.ClientError:
        return 0, b''
    await asyncio.sleep(0.1)
    return status, body


class TestStreams:
    """Requests to engines."""

    def test_prefill_then_decode(self):
        async def scenario(site):
            # The prompt is too long for a local prefill on a decode engine.
            status, headers, body = await site.ask(
                '/once/x', 'r1', headers=USAGE | {'X-Token-Usage': '8000,500'}
            )
            assert (status, body) == (200, EVENTS)
            assert headers['Content-Type'].startswith('text/event-stream')
            (decode,) = [w for w in site.workers.values() if w.ran]
            source = decode.headers['r1']['X-Kv-Source']
            address, _, handle = source.rpartition('/')
            assert address == site.address_by_worker['p1']
            assert handle in site.workers['p1'].handles

        run(scenario)

    def test_idle_decode_engine_does_a_local_prefill(self):
        async def scenario(site):
            pool_owner = site.routers[0].pool_owner
            await until(lambda: pool_owner.owned_by_id)
            (owned,) = pool_owner.owned_by_id.values()
            engines = owned.state.engines_by_id
            await until(
                lambda: (
                    len(engines) == 3
                    and all(engine.report for engine in engines.values())
                )
            )
            status, _, body = await site.ask('/once/x', 'r1', headers=USAGE)
            assert (status, body) == (200, EVENTS)
            (decode,) = [w for w in site.workers.values() if w.ran]
            assert 'X-Kv-Source' not in decode.headers['r1']
            assert not site.workers['p1'].headers

        run(scenario)

    def test_resumable_stream_continues_within_one_answer(self):
        async def scenario(site):
            # The engine that runs the stream first breaks it off.
            site.workers['d1'].faults = site.workers['d2'].faults
            site.workers['d1'].faults.breaks_after = 1
            for name in ('d1', 'd2'):
                site.workers[name].gap_s = 0.05
            status, headers, body = await site.ask(
                '/chat/x', 'r1', headers=USAGE
            )
            assert (status, body) == (200, EVENTS)
            engines = [site.workers[name] for name in ('d1', 'd2')]
            assert [w.ran for w in engines] == [['r1'], ['r1']]
            (second,) = [
                w for w in engines if 'Last-Event-Id' in w.headers['r1']
            ]
            assert second.headers['r1']['Last-Event-Id'] == '1'
            assert second.instance not in headers['X-Response-Signature']

        run(scenario)

    def test_broken_stream_that_is_not_resumable_is_cut_off(self):
        async def scenario(site):
            for name in ('d1', 'd2'):
                site.workers[name].faults.breaks_after = 1
            with pytest.raises(aiohttp.ClientPayloadError):
                await site.ask('/once/x', 'r1', headers=USAGE)
            ran = [w.ran for w in site.workers.values() if w.ran]
            assert ran == [['r1']]

        run(scenario)

    def test_decode_engines_serve_alone_while_the_prefill_engine_is_gone(self):
        async def scenario(site):
            board = site.routers[0].blackboard
            await until(lambda: set(site.workers) <= set(board.endpoints_by_id))
            site.store.put(WORKERS_TOPIC, 'p1', b'')
            await until(lambda: 'p1' not in board.endpoints_by_id)
            status, _, body = await site.ask('/once/x', 'r1', headers=USAGE)
            assert (status, body) == (200, EVENTS)

        run(scenario)


class TestBadInput:
    """Each bad input gets its status, and reaches no worker."""

    @pytest.mark.parametrize(
        ('path', 'headers', 'status'),
        [
            ('/none/x', {}, 404),
            ('/book', {}, 404),
            ('/book/x', {'Host': 'other.example'}, 404),
            ('/book/x', {'X-Big': 'x' * 20_000}, 413),
        ],
    )
    def test_status(self, path, headers, status):
        async def scenario(site):
            found, _, _ = await site.ask(path, 'r1', headers=headers)
            assert found == status
            assert not any(w.headers for w in site.workers.values())

        run(scenario)

    def test_no_id(self):
        async def scenario(site):
            async with site.session.post(
                site.url('/book/x'), headers={'Host': 'shop.example'}
            ) as response:
                assert response.status == 400

        run(scenario)


class TestConfiguration:
    """Versions of the configuration, and how they arrive."""

    def test_newer_version_applies_and_older_one_is_ignored(self):
        async def scenario(site):
            board = site.routers[0].blackboard
            newer = copy.deepcopy(CONFIG)
            newer['version'] = 9
            newer['routes'][2]['path_prefix'] = '/moved/'
            site.configure(newer)
            await until(lambda: board.config.routes.table.version == 9)
            site.configure(CONFIG)
            assert (await site.ask('/moved/x', 'r1'))[0] == 200
            assert (await site.ask('/book/x', 'r2'))[0] == 404

        run(scenario)

    def test_host_refused_by_the_store_gets_configuration_from_a_seed(self):
        async def scenario(site):
            seed = site.routers[0].blackboard.address
            site.store.faults.refuses = True
            late = await site.add_host('late', seeds=[seed])
            assert late.blackboard.config.routes.table.version == 3
            status, _, body = await site.ask('/book/x', 'r1', host=1)
            assert (status, body) == (200, b'whole body')

        run(scenario)

    def test_unreadable_worker_entries_are_ignored(self):
        async def scenario(site):
            board = site.routers[0].blackboard
            for number, value in enumerate(
                (b'{', b'[]', b'{"service":1}', b'\xff\xfe')
            ):
                site.store.put(WORKERS_TOPIC, f'bad{number}', value)
            strange = {'service': 'app', 'address': 'x', 'zone': 'z'}
            strange['state'] = 'ready'
            site.store.put(WORKERS_TOPIC, 'bad9', json.dumps(strange).encode())
            site.list_worker('a1', state='draining')
            now = asyncio.get_running_loop().time
            await until(lambda: board.endpoints_by_id['a1'].leaving(now()))
            assert set(board.endpoints_by_id) == set(site.workers)

        run(scenario)


class TestHosts:
    """Several hosts."""

    def test_hosts_find_each_other_and_all_serve(self):
        async def scenario(site):
            boards = [router.blackboard for router in site.routers]
            await until(
                lambda: all(len(board.live_hosts()) == 3 for board in boards)
            )
            assert site.store.keys('keyed.hosts') == {'h0', 'h1', 'h2'}
            caller = PersistentCaller(site)
            for number in range(6):

                async def send(send_id, host=number % 3):
                    status, _, body = await site.ask(
                        '/once/x', send_id, host=host, headers=USAGE
                    )
                    return status, body, True

                answer = await caller.ask(f'r{number}', send)
                assert answer == (200, EVENTS, True)
            caller.require_no_other_run()

        run(scenario, hosts=3)

    def test_surplus_prefill_engines_are_ordered_to_decode(self):
        async def scenario(site):
            worker = site.workers['d1']
            worker.phase = 'prefill'
            site.list_worker('d1')
            await until(lambda: worker.orders or site.workers['p1'].orders)
            (order,) = worker.orders or site.workers['p1'].orders
            assert order['opcode'] == 'phase'
            assert (order['phase'], order['holder']) == ('decode', 'h0')
            assert order['fencing_token'] >= 1

        run(scenario)

    def test_draining_host_finishes_open_requests(self):
        async def scenario(site):
            for name in ('d1', 'd2'):
                site.workers[name].gap_s = 0.2
            reading = asyncio.create_task(
                site.ask('/once/x', 'r1', headers=USAGE)
            )
            engines = [site.workers[name] for name in ('d1', 'd2')]
            await until(lambda: any(w.ran for w in engines))
            draining = asyncio.create_task(site.routers[0].drain(0.05, 10.0))
            status, _, body = await reading
            assert (status, body) == (200, EVENTS)
            assert await draining
            assert not site.routers[0].is_ready()
            status, headers, _ = await site.ask('/book/x', 'r2')
            assert status == 503
            assert headers['Connection'].lower() == 'close'

        run(scenario)

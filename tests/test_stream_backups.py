"""Tests of streams that go on from a copy of their KV cache."""

import asyncio
import copy
import dataclasses

import aiohttp
import pytest
import uvloop

from mustardscale.configuration.routes import RequestKind
from mustardscale.endpoints.answer_framing import AnswerFraming
from mustardscale.endpoints.engines import StreamStage
from mustardscale.exceptions import EndpointRefusedError
from mustardscale.outcomes import Outcome
from mustardscale.platform.store_routes import decode_table
from mustardscale.relay.stream_backups import BackupScope
from mustardscale.relay.stream_relay import StreamRelay
from mustardscale.reporting.event_log import EventKind
from standins.platform_worker import RunCopy
from tests.platform_site import CONFIG, PlatformSite, until
from tests.relay_fakes import (
    ENGINE,
    SERVICE,
    STREAM,
    FakeAnswer,
    event,
    request_of,
    route_of,
)
from tests.stream_bench import LOST, RESUMABLE, StreamBench
from tests.virtual_time import virtual_time

EVENTS = b''.join(b'id: %d\ndata: %d\n\n' % (n, n) for n in (1, 2, 3))
USAGE = {'X-Token-Usage': '1000,500', 'X-Length-Hint': '300'}
COPYING = dataclasses.replace(
    SERVICE, engine=dataclasses.replace(ENGINE, backups=True)
)
NO_COPY = EndpointRefusedError('full: 503')


class StallingEvent(bytes):
    """An event that does not come."""


class StallingAnswer(FakeAnswer):
    """An answer that may stop for good."""

    async def chunks(self):
        async for chunk in super().chunks():
            if isinstance(chunk, StallingEvent):
                await asyncio.sleep(60.0)
            yield chunk


class CopyBench(StreamBench):
    """Engines that keep copies of each other's runs."""

    def __init__(self, *grants, scope=BackupScope.ONCE, **fields):
        super().__init__(*grants, **fields)
        self.context.backups = scope
        self.relay = StreamRelay(self.context, self.admission)

    async def read(self, kind=STREAM, request=None, **fields):
        fields.setdefault('max_attempts', 2)
        request = request or request_of()
        self.got = b''
        route = route_of(kind, **fields)
        async with self.relay.serve(request, route, COPYING) as stream:
            async for part in stream.events():
                self.got += part
        return self.got

    def kinds(self):
        return [kind for kind, *_ in self.events.recorded]


class TestContinuing:
    """What the engine with the copy is sent, and what the caller gets."""

    @virtual_time
    async def test_same_request_goes_to_the_engine_with_the_copy(self):
        bench = CopyBench(('p', 'd', 'e'))
        first = FakeAnswer([event(1), event(2) + event(3)[:6], LOST])
        bench.endpoint('d').run_script = [first]
        bench.endpoint('d').alive = False
        second = FakeAnswer([event(3), event(4)], gap_s=0.1)
        bench.endpoint('e').run_script = [second]
        assert await bench.read() == b''.join(map(event, range(1, 5)))
        (begun,), (call,) = bench.endpoint('d').runs, bench.endpoint('e').runs
        assert (begun.backup, begun.request) == ('e:1', call.request)
        assert (call.prefill.source, call.prefill.key) == ('e:1', 'r')
        assert (call.resume_after, call.backup) == ('2', '')
        assert first.closed
        # The former grant is released before the stream counts at the other.
        assert bench.admission.releases[0][:2] == (1, Outcome.ENDPOINT_FAILED)
        assert bench.admission.moves == [(2, 'e')]
        assert EventKind.BACKUP_TRIED in bench.kinds()

    @virtual_time
    async def test_engine_before_is_left_before_the_copy_is_used(self):
        bench = CopyBench(('p', 'd', 'e'))
        first = FakeAnswer([event(1), LOST])
        closed = []
        second = bench.endpoint('e')
        run = second.run

        async def record(call):
            closed.append(first.closed)
            return await run(call)

        second.run = record
        bench.endpoint('d').run_script = [first]
        second.run_script = [[event(2)]]
        await bench.read()
        assert closed == [True]

    @virtual_time
    async def test_owner_learns_of_the_crash_before_the_move(self):
        # A report of the second attempt would make the release void.
        bench = CopyBench(('p', 'd', 'e'))
        bench.endpoint('d').run_script = [[event(1), LOST]]
        bench.endpoint('d').read_start = _time_out
        bench.endpoint('e').run_script = [
            FakeAnswer([event(2), event(3)], gap_s=0.8)
        ]
        assert await bench.read() == event(1) + event(2) + event(3)
        assert bench.admission.stages.count(StreamStage.DECODE) == 1
        assert bench.admission.releases[0][:2] == (1, Outcome.ENDPOINT_FAILED)
        assert bench.admission.moves == [(2, 'e')]

    @pytest.mark.parametrize(
        ('rest', 'framing'),
        [
            # It stalls; it ends inside an event; an event comes again.
            ([StallingEvent()], AnswerFraming.LENGTH),
            ([event(2)[:6]], AnswerFraming.CONNECTION),
            ([event(1)], AnswerFraming.LENGTH),
        ],
    )
    @virtual_time
    async def test_other_ways_to_break_off(self, rest, framing):
        bench = CopyBench(('p', 'd', 'e'))
        first = StallingAnswer([event(1), *rest], framing=framing)
        bench.endpoint('d').run_script = [first]
        bench.endpoint('e').run_script = [[event(2)]]
        assert await bench.read() == event(1) + event(2)
        assert first.closed

    @virtual_time
    async def test_run_lost_before_its_head_goes_on(self):
        bench = CopyBench(('p', 'd', 'e'))
        bench.endpoint('d').run_script = [LOST]
        bench.endpoint('e').run_script = [[event(1)]]
        assert await bench.read() == event(1)
        (call,) = bench.endpoint('e').runs
        assert call.prefill.key == 'r'

    @pytest.mark.parametrize('found', [event(3), event(1), b'data: x\n\n'])
    @virtual_time
    async def test_any_but_the_next_event_is_refused(self, found):
        bench = CopyBench(('p', 'd', 'e'))
        bench.endpoint('d').run_script = [[event(1), LOST]]
        bench.endpoint('e').run_script = [[found, event(4)]]
        assert await bench.fail() is Outcome.ENDPOINT_FAILED
        assert bench.got == event(1)

    @virtual_time
    async def test_numbers_that_skip_may_skip_from_the_copy_on(self):
        bench = CopyBench(('p', 'd', 'e'))
        bench.endpoint('d').run_script = [[event(2), event(4), LOST]]
        bench.endpoint('e').run_script = [[event(6)]]
        assert await bench.read() == event(2) + event(4) + event(6)


class TestNotContinuing:
    """Answers that break off, as they do without copies."""

    @pytest.mark.parametrize('answer', [NO_COPY, LOST, FakeAnswer([], 500)])
    @virtual_time
    async def test_request_is_not_sent_a_third_time(self, answer):
        bench = CopyBench(('p', 'd', 'e'), ('p', 'f'))
        bench.endpoint('d').run_script = [[event(1), LOST]]
        bench.endpoint('e').run_script = [answer]
        assert await bench.fail(max_attempts=5) is Outcome.ENDPOINT_FAILED
        assert bench.got == event(1)
        assert len(bench.admission.admit_calls) == 1

    @virtual_time
    async def test_copy_is_used_once(self):
        bench = CopyBench(('p', 'd', 'e'), ('p', 'f'))
        bench.endpoint('d').run_script = [[event(1), LOST]]
        bench.endpoint('e').run_script = [[event(2), LOST]]
        assert await bench.fail(max_attempts=5) is Outcome.ENDPOINT_FAILED
        assert bench.got == event(1) + event(2)
        assert len(bench.endpoint('e').runs) == 1
        assert len(bench.admission.admit_calls) == 1

    @virtual_time
    async def test_engine_with_older_weights_is_not_sent_to(self):
        bench = CopyBench(('p', 'd', 'e'))
        bench.context.engine_weights.record('e', 1, bench.context.now())
        bench.endpoint('d').run_script = [
            FakeAnswer([event(1), LOST], weights='2')
        ]
        assert await bench.fail() is Outcome.ENDPOINT_FAILED
        assert not bench.endpoint('e').runs

    @virtual_time
    async def test_engine_at_another_address_is_not_sent_to(self):
        bench = CopyBench(('p', 'd', 'e'))
        first = FakeAnswer([])
        first.chunks = _moving(bench.board.endpoints_by_id['e'])
        bench.endpoint('d').run_script = [first]
        assert await bench.fail() is Outcome.ENDPOINT_FAILED
        assert not bench.endpoint('e').runs

    @virtual_time
    async def test_engine_of_another_version_gets_no_copy(self):
        bench = CopyBench(('p', 'd', 'e'))
        bench.board.endpoints_by_id['e'].version = 'v2'
        await bench.read()
        (call,) = bench.endpoint('d').runs
        assert not call.backup


async def _time_out():
    """Does not answer, as an engine whose machine is gone."""
    await asyncio.sleep(10.0)


def _moving(entry):
    """Returns chunks during which the engine with the copy is replaced."""

    async def chunks():
        yield event(1)
        entry.address = 'e:2'
        raise LOST

    return chunks


class TestScope:
    """Which streams get a copy."""

    @pytest.mark.parametrize(
        ('scope', 'kind', 'copied'),
        [
            (BackupScope.OFF, STREAM, False),
            (BackupScope.ONCE, STREAM, True),
            (BackupScope.ONCE, RESUMABLE, False),
            (BackupScope.ALL, RESUMABLE, True),
            (BackupScope.ALL, RequestKind.ONCE, False),
        ],
    )
    @virtual_time
    async def test_scope(self, scope, kind, copied):
        bench = CopyBench(('p', 'd', 'e'), scope=scope)
        await bench.read(kind=kind)
        (call,) = bench.endpoint('d').runs
        assert bool(call.backup) is copied

    @virtual_time
    async def test_stream_that_may_be_resumed_prefers_its_copy(self):
        bench = CopyBench(('p', 'd', 'e'), scope=BackupScope.ALL)
        bench.endpoint('d').run_script = [[event(1), LOST]]
        bench.endpoint('e').run_script = [[event(2)]]
        assert await bench.read(kind=RESUMABLE) == event(1) + event(2)
        assert len(bench.admission.admit_calls) == 1

    @virtual_time
    async def test_stream_that_may_be_resumed_does_without_its_copy(self):
        bench = CopyBench(('p', 'd', 'e'), ('p', 'e'), scope=BackupScope.ALL)
        bench.endpoint('d').run_script = [[event(1), LOST]]
        bench.endpoint('e').run_script = [NO_COPY, [event(2)]]
        assert await bench.read(kind=RESUMABLE) == event(1) + event(2)
        prefills = [call.prefill for call in bench.endpoint('e').runs]
        assert [p is not None and p.key for p in prefills] == ['r', 'key']

    @virtual_time
    async def test_engines_that_run_it_stay_limited(self):
        bench = CopyBench(('p', 'd', 'e'), scope=BackupScope.ALL)
        bench.endpoint('d').run_script = [[event(1), LOST]]
        found = await bench.fail(kind=RESUMABLE, max_attempts=1)
        assert found is Outcome.ENDPOINT_FAILED
        assert not bench.endpoint('e').runs


class CopySite(PlatformSite):
    """A site whose engines keep copies of each other's runs."""

    async def begin(self, backups=True, **settings):
        """Starts a host; its pool's owner knows the room of all engines."""
        config = copy.deepcopy(CONFIG) | {'version': 4}
        config['services'][0]['engine']['backups'] = backups
        self.configure(config)
        settings.setdefault('stream_backups', 'once')
        router = await self.add_host('h0', **settings)
        await until(lambda: router.pool_owner.owned_by_id)
        (owned,) = router.pool_owner.owned_by_id.values()
        engines = owned.state.engines_by_id
        await until(
            lambda: (
                len(engines) == 3
                and all(engine.report for engine in engines.values())
            )
        )
        return router

    def break_once(self, after=1):
        """Lets the next stream break off at whichever engine runs it."""
        for name in ('d1', 'd2'):
            self.workers[name].gap_s = 0.02
            self.workers[name].faults.breaks_after = after

    def engines(self, request_id):
        """Returns the engine that ran a request, and the other one."""
        engines = [self.workers['d1'], self.workers['d2']]
        return sorted(engines, key=lambda w: request_id not in w.ran)


def run(scenario):
    async def main():
        async with CopySite() as site:
            await scenario(site)

    uvloop.run(main())


async def ask_broken(site):
    """Asks for a stream that breaks off after the first event."""
    site.break_once()
    with pytest.raises(aiohttp.ClientPayloadError):
        await site.ask('/once/x', 'r1', headers=USAGE)
    return site.engines('r1')


class TestSite:
    """A stream that may not be resumed, from the caller to the engines."""

    def test_caller_gets_the_whole_stream_once(self):
        async def scenario(site):
            router = await site.begin()
            site.workers['d2'].faults = site.workers['d1'].faults
            site.break_once()
            status, headers, body = await site.ask(
                '/once/x', 'r1', headers=USAGE
            )
            assert (status, body) == (200, EVENTS)
            first, second = site.engines('r1')
            assert (first.ran, second.ran) == (['r1'], [])
            assert (first.continued, second.continued) == ([], ['r1'])
            assert first.headers['r1']['X-Kv-Backup'] == second.address
            sent = second.headers['r1']
            assert sent['X-Kv-Source'] == f'{second.address}/r1'
            assert sent['Last-Event-Id'] == '1'
            assert 'X-Kv-Backup' not in sent
            assert first.instance in headers['X-Response-Signature']
            assert second.targets['r1'] == first.targets['r1']
            (owned,) = router.pool_owner.owned_by_id.values()
            await until(lambda: not owned.state.reservations_by_request_id)

        run(scenario)

    def test_reservation_moves_to_the_engine_with_the_copy(self):
        async def scenario(site):
            router = await site.begin()
            site.workers['d2'].faults = site.workers['d1'].faults
            site.break_once()
            for name in ('d1', 'd2'):
                site.workers[name].gap_s = 0.1
                site.workers[name].events = 8
            asking = asyncio.create_task(
                site.ask('/once/x', 'r1', headers=USAGE)
            )
            (owned,) = router.pool_owner.owned_by_id.values()
            held = owned.state.reservations_by_request_id
            await until(lambda: 'r1' in held)
            begun = held['r1'].stream
            assert {begun.decode, begun.backup} == {'d1', 'd2'}
            assert held.decode_share(begun.backup).copied_pieces
            await until(lambda: held['r1'].stream.tag.attempt == 2)
            moved = held['r1'].stream
            assert (moved.decode, moved.backup) == (begun.backup, '')
            assert not held.decode_share(begun.decode).by_request_id
            assert not held.decode_share(moved.decode).copied_pieces
            status, _, body = await asking
            assert (status, body.count(b'id: ')) == (200, 8)

        run(scenario)

    def test_without_a_copy_the_answer_breaks_off(self):
        async def scenario(site):
            await site.begin()
            for name in ('d1', 'd2'):
                site.workers[name].faults.keeps_no_copies = True
            first, second = await ask_broken(site)
            assert (first.ran, second.ran) == (['r1'], [])
            assert not second.continued
            assert 'X-Kv-Source' in second.headers['r1']

        run(scenario)

    def test_copy_of_another_request_is_never_used(self):
        async def scenario(site):
            await site.begin()
            now = asyncio.get_running_loop().time()
            for name in ('d1', 'd2'):
                site.workers[name].faults.keeps_no_copies = True
                site.workers[name].copies_by_id['r0'] = RunCopy(1, now)
            _, second = await ask_broken(site)
            assert second.copies_by_id.keys() == {'r0'}
            assert not second.continued

        run(scenario)

    @pytest.mark.parametrize(
        'begin', [{'stream_backups': 'off'}, {'backups': False}]
    )
    def test_off_sends_nothing_new(self, begin):
        async def scenario(site):
            await site.begin(**begin)
            first, second = await ask_broken(site)
            assert 'X-Kv-Backup' not in first.headers['r1']
            assert not second.headers

        run(scenario)

    def test_harmful_prompts_are_kept_off_the_engines_with_copies(self):
        async def scenario(site):
            crashes = []

            def restart(worker):
                crashes.append(worker.instance)
                name = f'{worker.instance}-{len(crashes)}'
                site.restart_worker(worker.instance, name)

            await site.begin()
            for name in ('d1', 'd2'):
                site.workers[name].faults.harmful_part = 'bad0'
                site.workers[name].on_crash = restart
            statuses = []
            for number in range(12):
                prefix = f'a1:200,bad0:50,{number:08x}:10'
                headers = USAGE | {'X-Prompt-Prefix': prefix}
                try:
                    status, *_ = await site.ask(
                        '/once/x', f'r{number}', headers=headers
                    )
                except aiohttp.ClientError:
                    status = 0
                statuses.append(status)
                await asyncio.sleep(0.1)
            assert len(crashes) <= 5
            assert statuses[-4:] == [503] * 4

        run(scenario)

    def test_spent_retry_budget_breaks_the_answer_off(self):
        async def scenario(site):
            await site.begin(retry_ratio=0.0, retry_slack=0.0)
            first, second = await ask_broken(site)
            assert 'X-Kv-Backup' in first.headers['r1']
            assert not second.headers

        run(scenario)


class TestConfiguration:
    """What the operator's configuration says of a service's engines."""

    def test_backups_and_moves(self):
        service = b'{"name":"s","engine":{"backups":true,"moves":true}}'
        table = decode_table(b'{"version":1,"services":[%b]}' % service)
        assert table.services[0].engine.backups
        assert table.services[0].engine.moves

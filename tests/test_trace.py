"""Recording of traces and what a replay states of them."""

import asyncio
import dataclasses
import io
import json
import pathlib

import pytest

from mustardscale.commands.command_replay import replay_trace
from mustardscale.commands.exit_codes import ExitCode
from mustardscale.exceptions import SettingError
from mustardscale.outcomes import Outcome
from mustardscale.replay.trace_checks import check_trace, sends_by_id
from mustardscale.traces.trace import FileTrace, TraceEvent, TraceKind
from tests.test_memory_site import answer, booking, language, run

LIMIT = 10_000_000
TRACES = pathlib.Path(__file__).parent / 'traces'


def record(path):
    """Records a whole answer, a booking sent twice and a caller who leaves."""

    async def scenario(site):
        site.trace = FileTrace(path, LIMIT)
        host = await site.start_host('entry-7')
        await asyncio.sleep(5)
        await answer(host, language(1))
        request = booking()
        await host.serve_plain(request)
        await asyncio.sleep(1)
        with pytest.raises(Exception, match='answered'):
            await host.serve_plain(request)
        events = host.serve_language(language(2, 4000))
        await anext(events)
        await events.aclose()
        await asyncio.sleep(10)
        await answer(host, language(3))

    run(scenario)


def replay(path):
    """Returns the exit code and the outcomes that a replay states."""
    out = io.StringIO()
    code = replay_trace(str(path), True, out)
    content = json.loads(out.getvalue())
    return code, [send['outcome'] for send in content['sends']]


def event(kind, at=0.0, **fields):
    """Returns an event of one request at one host."""
    return TraceEvent(at, 'entry-1', 1, kind, 'r', **fields)


def promises_broken(*events):
    """Returns the numbers of the promises that events show broken."""
    sends = sends_by_id(events)
    return [item.promise for item in check_trace(sends, events[-1].at)]


class TestRecording:
    """What a host writes."""

    def test_outcomes_are_stated(self, tmp_path):
        record(tmp_path / 'trace')
        assert replay(tmp_path / 'trace') == (
            ExitCode.DONE,
            [
                '0 COMPLETE',
                '0 COMPLETE',
                '4010 ALREADY_COMPLETED',
                '2003 CALLER_LEFT',
                '0 COMPLETE',
            ],
        )

    def test_prompts_are_not_recorded(self, tmp_path):
        record(tmp_path / 'trace')
        assert 'request 1 request 1' not in (tmp_path / 'trace').read_text()


class TestStoredTraces:
    """Traces kept with the outcome that a replay must state."""

    @pytest.mark.parametrize(
        ('name', 'code'),
        [
            ('caller_left', ExitCode.DONE),
            ('booking_sent_twice', ExitCode.PROMISE_BROKEN),
        ],
    )
    def test_replay(self, name, code):
        expected = json.loads((TRACES / f'{name}.outcome.json').read_text())
        assert replay(TRACES / f'{name}.jsonl') == (code, expected)

    def test_a_file_that_is_no_trace_is_named(self):
        with pytest.raises(SettingError, match='--record-file'):
            replay_trace(__file__, False, io.StringIO())


class TestChecks:
    """The promises that a trace can show broken."""

    arrived = event(TraceKind.ARRIVED)
    once = dataclasses.replace(arrived, once=True)
    sent = event(TraceKind.SENT, endpoint='e', attempt=1)
    unsent = event(TraceKind.UNSENT, endpoint='e', attempt=1)
    refused = event(TraceKind.ENDED, code=Outcome.NO_ENDPOINT)
    whole = event(TraceKind.ENDED, code=Outcome.COMPLETE)
    left = event(TraceKind.ENDED, code=Outcome.CALLER_LEFT)
    late = event(TraceKind.GRANTED, at=60.0)

    def test_not_run_after_work_was_sent(self):
        assert promises_broken(self.arrived, self.sent, self.refused) == [4]

    def test_not_run_after_an_endpoint_refused(self):
        events = (self.arrived, self.sent, self.unsent, self.refused)
        assert promises_broken(*events) == []

    def test_two_whole_answers(self):
        events = (self.arrived, self.whole) * 2
        assert promises_broken(*events) == [2]

    def test_two_dispatches(self):
        events = (self.once, self.sent, self.left) * 2
        assert promises_broken(*events) == [5]

    def test_work_that_is_never_cancelled(self):
        events = (self.arrived, self.sent, self.left, self.late)
        assert promises_broken(*events) == [1]

    def test_work_that_is_cancelled_in_time(self):
        cancelled = event(TraceKind.CANCELLED, 4.0, endpoint='e', attempt=1)
        events = (self.arrived, self.sent, self.left, cancelled, self.late)
        assert promises_broken(*events) == []

"""Decisions of a trace are run again by today's code."""

import io
import json

import pytest

from mustardscale.claims.claim_state import ClaimState, HeldClaim
from mustardscale.commands.command_replay import replay_trace
from mustardscale.commands.exit_codes import ExitCode
from mustardscale.outcomes import Outcome
from mustardscale.policy import reserving
from mustardscale.pools.pool_lines import OrphanLine
from mustardscale.replay import trace_replay
from mustardscale.replay.trace_reader import read_trace
from mustardscale.replay.trace_replay import DecisionReplay
from mustardscale.traces.trace import (
    DecisionKind,
    FileTrace,
    TraceEvent,
    TraceKind,
)
from standins.fault_runs import run_seed
from tests import violating_traces

# A run in which hosts, engines and the log fail.
SEED = 2


@pytest.fixture(scope='module')
def recorded(tmp_path_factory):
    """The trace of a whole site under faults."""
    path = tmp_path_factory.mktemp('trace') / 'trace.jsonl'
    run_seed(SEED, record=path)
    return path


def replay(path):
    """Returns the exit code and what a replay states."""
    out = io.StringIO()
    code = replay_trace(str(path), True, out)
    return code, json.loads(out.getvalue())


def last_claim_wins(state, offset, record, now):
    """Folds claims in a wrong way."""
    state.held_by_id[record.request_id] = HeldClaim(offset, record)


class TestDecisions:
    """What hosts decided is decided again."""

    def test_today_decides_alike(self, recorded):
        code, content = replay(recorded)
        assert code is ExitCode.DONE
        assert content['decisions'] > 0
        assert content['differences'] == []
        assert content['left_out'] == 0

    @pytest.mark.parametrize(
        ('owner', 'name', 'changed', 'kind'),
        [
            (reserving, 'PATIENT_PRIORITY', 7, 'policy'),
            (ClaimState, '_apply', last_claim_wins, 'claims'),
            (trace_replay, 'may_replace', lambda _: True, 'directory'),
        ],
    )
    def test_changed_code_is_named(
        self, recorded, monkeypatch, owner, name, changed, kind
    ):
        monkeypatch.setattr(owner, name, changed)
        code, content = replay(recorded)
        assert code is ExitCode.DECIDED_ANEW
        assert {found['decision'] for found in content['differences']} == {kind}

    @pytest.mark.parametrize(('unnamed_s', 'differs'), [(2.5, 1), (3.5, 0)])
    def test_orphans_are_judged_again(self, unnamed_s, differs):
        judged = OrphanLine(
            9.0,
            'entry-1',
            1,
            DecisionKind.ORPHAN_JUDGED,
            'r',
            1,
            'e',
            unnamed_s,
            host_live=False,
            resume_grace_s=3.0,
        )
        replayed = DecisionReplay()
        replayed.run([judged])
        assert len(replayed.differences) == differs

    def test_nothing_is_claimed_after_a_gap(self, recorded, tmp_path):
        lines = recorded.read_bytes().splitlines(keepends=True)
        cut = [
            line
            for number, line in enumerate(lines)
            if number % 50 or b'"policy_' not in line
        ]
        path = tmp_path / 'cut.jsonl'
        path.write_bytes(b''.join(cut))
        _, content = replay(path)
        assert content['left_out'] > 0
        assert content['differences'] == []


class TestStoredRuns:
    """Runs that broke a promise without its mechanism, and with it."""

    @pytest.mark.parametrize('name', violating_traces.NAMES)
    def test_without_the_mechanism(self, name):
        path = violating_traces.TRACES / f'without_{name}.jsonl'
        stated = violating_traces.state(path)
        assert stated == json.loads(
            path.with_suffix('.stated.json').read_text()
        )
        promises = {int(text.split(' ')[0]) for text in stated['broken']}
        assert promises == {violating_traces.CASES[name].promise}

    @pytest.mark.parametrize('name', violating_traces.NAMES)
    def test_with_the_mechanism(self, name):
        path = violating_traces.TRACES / f'with_{name}.jsonl'
        stated = violating_traces.state(path)
        assert stated == json.loads(
            path.with_suffix('.stated.json').read_text()
        )
        assert stated['exit_code'] == ExitCode.DONE
        assert stated['outcomes']


class TestLines:
    """Reading and writing of lines."""

    event = TraceEvent(0.0, 'entry-1', 1, TraceKind.ARRIVED, 'r')

    def test_unreadable_lines_are_skipped_with_a_code(self, tmp_path):
        path = tmp_path / 'trace.jsonl'
        FileTrace(path, 1000).close()
        unreadable = b'{"kind":"later"}\n[]\n{"kind":"arrived"}\nno json\n'
        path.write_bytes(path.read_bytes() + unreadable)
        trace = FileTrace(path, 1000)
        trace.record(self.event)
        trace.close()
        out = io.StringIO()
        assert replay_trace(str(path), False, out) is ExitCode.DONE
        code = Outcome.TRACE_LINE_UNREADABLE
        lines = out.getvalue().splitlines()
        skipped = [line for line in lines if line.startswith(str(int(code)))]
        assert len(skipped) == 4
        assert read_trace(path).lines == [self.event]

    def test_a_file_does_not_outgrow_its_size(self, tmp_path):
        path = tmp_path / 'trace.jsonl'
        trace = FileTrace(path, 1000)
        for _ in range(100):
            trace.record(self.event)
        trace.close()
        assert not trace.takes_lines
        assert 500 < path.stat().st_size <= 1000
        assert read_trace(path).unreadable == []

"""Makes the stored traces of runs that break a promise without a mechanism.

`python -m tests.violating_traces` records each case without its mechanism and
with it, cuts both traces to the requests concerned and writes them, with what
a replay must state, to tests/traces. Traces of a seed that no longer breaks its
promise are left as they are.
"""

import collections
import dataclasses
import io
import json
import logging
import pathlib
import tempfile

import pytest

from mustardscale.commands.command_replay import replay_trace
from mustardscale.directory.directory_lines import DirectoryLine
from mustardscale.pools.pool_lines import OrphanLine
from mustardscale.replay.trace_reader import read_trace
from mustardscale.traces.trace import FileTrace, TraceEvent
from standins.fault_runs import run_seed
from tests.mechanisms import CASE_BY_NAME, SEED_CASE_BY_NAME

TRACES = pathlib.Path(__file__).parent / 'traces'
# Cases whose violation a trace can show.
NAMES = (
    'cancel',
    'directory',
    'sign_of_life',
    'words_of_peers',
    'truth_after_start',
    'claims',
)
CASES = CASE_BY_NAME | SEED_CASE_BY_NAME
LIMIT_BYTES = 1_000_000
# Requests kept of one run.
MOST_REQUESTS = 3


def state(path):
    """Returns what a replay of a trace must go on to state."""
    out = io.StringIO()
    code = replay_trace(str(path), True, out)
    content = json.loads(out.getvalue())
    return {
        'exit_code': int(code),
        'outcomes': [send['outcome'] for send in content['sends']],
        'broken': sorted(
            f'{item["promise"]} {item["request_id"]}'
            for item in content['violations']
        ),
        'decisions': content['decisions'],
    }


def request_of(line):
    """Returns the request that a line is about, '' if there is not one."""
    if isinstance(line, TraceEvent | OrphanLine):
        return line.request_id
    if isinstance(line, DirectoryLine):
        return line.registration.new.request_id
    return ''


def cut(source, target, request_ids):
    """Keeps the lines that are about some requests, and the last moment."""
    lines = read_trace(source).lines
    kept = [line for line in lines if request_of(line) in request_ids]
    target.unlink(missing_ok=True)
    trace = FileTrace(target, LIMIT_BYTES)
    for line in kept:
        trace.record(line)
    events = [line for line in lines if isinstance(line, TraceEvent)]
    trace.record(dataclasses.replace(events[-1], request_id='end-of-trace'))
    trace.close()


def ids_that_break(path, promise):
    """Returns requests that break a promise and no other one."""
    promises_by_id = collections.defaultdict(set)
    for text in state(path)['broken']:
        number, request_id = text.split(' ')
        promises_by_id[request_id].add(int(number))
    ids = [id_ for id_, found in promises_by_id.items() if found == {promise}]
    return sorted(ids)[:MOST_REQUESTS]


def ids_sent_twice(path):
    """Returns bookings that were sent more than once."""
    sends = collections.Counter(
        line.request_id
        for line in read_trace(path).lines
        if isinstance(line, TraceEvent) and line.once
    )
    return [id_ for id_, number in sends.items() if number > 1][:MOST_REQUESTS]


def make(name, directory):
    """Makes the two traces of a case."""
    case = CASES[name]
    broken, kept = directory / 'broken.jsonl', directory / 'kept.jsonl'
    with pytest.MonkeyPatch.context() as monkeypatch:
        case.set_up(monkeypatch)
        run_seed(case.seed, case.faults, kept)
        case.switch_off(monkeypatch)
        run_seed(case.seed, case.faults, broken)
    broken_ids = ids_that_break(broken, case.promise)
    known = {request_of(line) for line in read_trace(kept).lines}
    if not broken_ids:
        return
    kept_ids = [id_ for id_ in broken_ids if id_ in known]
    kept_ids = kept_ids or ids_sent_twice(kept)
    for source, end, request_ids in (
        (broken, 'without', broken_ids),
        (kept, 'with', kept_ids),
    ):
        target = TRACES / f'{end}_{name}.jsonl'
        cut(source, target, request_ids)
        text = json.dumps(state(target), indent=1) + '\n'
        target.with_suffix('.stated.json').write_text(text)


def main():
    """Makes all traces."""
    logging.disable(logging.CRITICAL)
    for name in NAMES:
        with tempfile.TemporaryDirectory() as directory:
            make(name, pathlib.Path(directory))


if __name__ == '__main__':
    main()

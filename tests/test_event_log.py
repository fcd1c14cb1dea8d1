"""Tests of the events: one JSON line for each decision."""

import io
import json
import pathlib
import threading

from mustardscale.reporting.event_log import (
    RULE_BY_KIND,
    EventKind,
    JsonEvents,
    event_table,
)
from mustardscale.reporting.json_logging import JsonFormatter, LogOutput

ROOT = pathlib.Path(__file__).parents[1]


class Clock:
    """A wall clock that a test moves."""

    def __init__(self):
        self.now = 1_000.0

    def __call__(self):
        return self.now


class TestLines:
    """What is written."""

    def test_a_line_carries_id_code_and_inputs(self):
        lines = []
        events = JsonEvents('h1', lines.append, Clock())
        events.emit(EventKind.REQUEST_REFUSED, 'r1', 1002, age_s=0.5)
        assert json.loads(lines[0]) == {
            'time': 1000.0,
            'event': 'request_refused',
            'host': 'h1',
            'code': 1002,
            'request_id': 'r1',
            'age_s': 0.5,
        }

    def test_every_kind_has_a_rule_and_the_page_shows_it(self):
        assert set(RULE_BY_KIND) == set(EventKind)
        page = (ROOT / 'docs/user/events.md').read_text()
        assert event_table() in page


class TestBounds:
    """Volume and time."""

    def test_a_kind_is_bounded_and_what_was_left_out_is_told(self):
        lines, clock = [], Clock()
        events = JsonEvents('h1', lines.append, clock)
        rule = RULE_BY_KIND[EventKind.REQUEST_SERVED]
        for _ in range(10_000):
            events.emit(EventKind.REQUEST_SERVED)
        assert len(lines) == rule.burst
        clock.now += 1.0
        events.emit(EventKind.REQUEST_SERVED)
        assert json.loads(lines[-1])['left_out'] == 10_000 - rule.burst
        assert events.left_out == 10_000 - rule.burst

    def test_refusals_are_kept_while_served_requests_are_left_out(self):
        lines = []
        events = JsonEvents('h1', lines.append, Clock())
        for _ in range(1_000):
            events.emit(EventKind.REQUEST_SERVED)
        events.emit(EventKind.REQUEST_REFUSED, 'r1', 1002)
        assert json.loads(lines[-1])['request_id'] == 'r1'

    def test_a_reader_that_stops_delays_nobody(self):
        stopped = threading.Event()

        class Stopped(io.StringIO):
            def write(self, text):
                stopped.wait()
                return len(text)

        output = LogOutput(JsonFormatter(), Stopped())
        try:
            for number in range(12_000):
                output.write_line(f'line {number}')
            assert output.dropped >= 1_999
        finally:
            stopped.set()
            output.close()

"""Tests of comparing policies on the users' bench, without it."""

import pytest

from bench.platform_days import DayResult, read_report, table

REPORT = """built in 0.1 s
day                  own/srv  score  worth served refused failed  weakest part
trouble-2    7/15   0.00 -0.336  0.740   0.004  0.059  x  BROKEN: MIXED 1

worth -0.336 = whole day
"""


class TestReport:
    """What is read of a report."""

    def test_figures_and_broken_rules(self):
        result = read_report(REPORT, 'site', 'round_robin')
        assert result == DayResult(
            'site',
            'trouble-2',
            'round_robin',
            -0.336,
            0.740,
            0.004,
            0.059,
            'MIXED 1',
        )

    def test_a_report_without_a_day(self):
        with pytest.raises(ValueError, match='no row'):
            read_report('could not build', 'site', 'round_robin')

    def test_the_table_is_in_order(self):
        results = [
            DayResult('b', 'd', 'p', 0.1, 0.2, 0.3, 0.4),
            DayResult('a', 'd', 'p', 0.5, 0.6, 0.7, 0.8, 'ORDER 1'),
        ]
        rows = table(results).splitlines()[2:]
        assert rows[0].startswith('| a')
        assert 'ORDER 1' in rows[0]

"""Tests of the process for which the host list's version of an engine holds.

They guard against a stream that goes on at an engine of another version, since
its process began anew and the list still names the version of the former one.
"""

from __future__ import annotations

import pytest

from mustardscale.blackboard import EndpointEntry
from mustardscale.endpoints.engines import EngineRole, LoadReport
from mustardscale.hosts.host_list import ListedKind


def make_report(start):
    """Returns the report of an idle engine."""
    return LoadReport(
        role=EngineRole.DECODE,
        model='lm',
        model_version='1',
        pieces_total=100,
        pieces_free=100,
        active=0,
        queued_tokens=0,
        prefill_tokens_per_s=0.0,
        step_s=0.0,
        age_s=0.0,
        leaving=False,
        start=start,
        order_term=None,
        link_bytes_per_s=1e9,
    )


def make_entry(listed_start=0, *starts):
    """Returns an entry after reports at the loop times 1, 2, ..."""
    entry = EndpointEntry(
        'e1',
        ListedKind.ENGINE,
        '127.0.0.1:1',
        'dc1',
        'dk',
        version='v1',
        version_start=listed_start,
    )
    for number, start in enumerate(starts):
        entry.note_report(make_report(start), 1.0 + number)
    return entry


class TestListWithoutStartNumbers:
    """The first process that reports is the one that the list names."""

    def test_version_is_known_until_the_process_begins_anew(self):
        assert make_entry(0).is_version_known
        assert make_entry(0, 5, 5).is_version_known
        assert not make_entry(0, 5, 6).is_version_known

    def test_version_stays_unknown_at_further_reports_of_the_new_process(self):
        assert not make_entry(0, 5, 6, 6, 6).is_version_known

    def test_list_that_is_read_afterwards_names_the_new_process(self):
        entry = make_entry(0, 5, 6)
        entry.confirm_version(2.0)
        assert entry.is_version_known

    def test_reading_that_began_before_does_not_name_the_new_process(self):
        entry = make_entry(0, 5, 6, 6)
        entry.confirm_version(1.9)
        assert not entry.is_version_known

    def test_list_that_is_read_before_any_report_names_no_process(self):
        entry = make_entry(0)
        entry.confirm_version(0.5)
        assert entry.version_start == 0


class TestListWithStartNumbers:
    """The list names the process."""

    @pytest.mark.parametrize(
        ('start', 'is_known'), [(5, True), (6, False), (0, True)]
    )
    def test_version_holds_for_the_process_that_the_list_names(
        self, start, is_known
    ):
        assert make_entry(5, start).is_version_known is is_known

"""Converts evidence to messages and records, whose times are ages."""

from __future__ import annotations

from mustardscale.peers.suspicion_messages import (
    CrashKey,
    CrashReport,
    SurvivalReport,
    SuspicionNotice,
    TrialReport,
)
from mustardscale.quarantine.crash_evidence import (
    Crash,
    ProcessId,
    Survival,
    Trial,
)
from mustardscale.quarantine.suspicions import (
    MAX_CRASH_KEYS,
    MAX_CRASHES,
    EvidenceChanges,
)


def encode_evidence(changes: EvidenceChanges, now: float) -> SuspicionNotice:
    """Returns evidence as a message.

    Args:
        changes: the evidence.
        now: loop time.
    """
    return SuspicionNotice(
        crashes=tuple(encode_crash(crash, now) for crash in changes.crashes),
        survivals=tuple(
            SurvivalReport(key, now - survival.at)
            for key, survival in changes.survival_by_key.items()
        ),
        trials=tuple(
            TrialReport(key, now - trial.at, trial.count)
            for key, trial in changes.trial_by_key.items()
        ),
    )


def decode_evidence(notice: SuspicionNotice, now: float) -> EvidenceChanges:
    """Returns the evidence in a message.

    Args:
        notice: the message.
        now: loop time.
    """
    return EvidenceChanges(
        [decode_crash(report, now) for report in notice.crashes[:MAX_CRASHES]],
        {
            report.key: Survival(_time_of(report.age_s, now))
            for report in notice.survivals
        },
        {
            report.key: Trial(_time_of(report.age_s, now), report.count)
            for report in notice.trials
        },
    )


def encode_crash(crash: Crash, now: float) -> CrashReport:
    """Returns a crash as a report."""
    return CrashReport(
        crash.process.endpoint_id,
        crash.process.start,
        now - crash.at,
        crash.was_alive,
        tuple(
            CrashKey(key, now - sent_at)
            for key, sent_at in crash.sent_at_by_key.items()
        ),
    )


def decode_crash(report: CrashReport, now: float) -> Crash:
    """Returns the crash in a report."""
    return Crash(
        ProcessId(report.endpoint, report.start),
        _time_of(report.age_s, now),
        {
            item.key: _time_of(item.sent_age_s, now)
            for item in report.keys[:MAX_CRASH_KEYS]
        },
        report.was_alive,
    )


def _time_of(age_s: float, now: float) -> float:
    """Returns a loop time, never one that is yet to come or no number."""
    return now - max(0.0, age_s)

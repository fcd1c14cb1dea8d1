"""Keeps what is harmful on the platform's log, where all hosts may be lost.

One host writes a record for each set of harmful keys; all hosts read them, also
those that are cut off from their peers.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

import msgspec
import xxhash

from mustardscale.blackboard import Blackboard
from mustardscale.controller import Controller
from mustardscale.exceptions import LogUnavailableError, LogUncertainError
from mustardscale.hosts.duties import choose_host
from mustardscale.json_content import decode_json
from mustardscale.log.keyed_log import KeyedLogClient
from mustardscale.log.keyed_tail import KeyedTail
from mustardscale.outcomes import Outcome
from mustardscale.quarantine.crash_evidence import (
    Crash,
    HarmfulKeys,
    ProcessId,
    Trial,
)
from mustardscale.quarantine.suspicions import (
    MAX_CRASH_KEYS,
    MAX_CRASHES,
    EvidenceChanges,
    Suspicions,
)

log = logging.getLogger(__name__)

# Interval at which records are compared with what is known, seconds.
CHECK_INTERVAL_S = 1.0
# Crashes in one record at most; the last ones are kept.
MAX_RECORD_CRASHES = 8
# Records that are read and written at most.
MAX_RECORDS = 64


class CrashRecord(msgspec.Struct, frozen=True):
    """A crash that the keys of a record explain.

    Attributes:
        endpoint: id of the endpoint.
        start: start number of the process.
        at: Unix time in seconds.
    """

    endpoint: str
    start: int
    at: float


class QuarantineRecord(msgspec.Struct, frozen=True):
    """Keys of which a request must have all to be kept off endpoints.

    Attributes:
        keys: the keys.
        crashes: the crashes that they explain, oldest first.
        trials: number of trials.
        tried_at: Unix time of the last trial in seconds, 0 if there was none.
    """

    keys: tuple[str, ...]
    crashes: tuple[CrashRecord, ...]
    trials: int = 0
    tried_at: float = 0.0


class QuarantineLog(Controller):
    """Reads and writes the records."""

    def __init__(
        self,
        blackboard: Blackboard,
        client: KeyedLogClient,
        tail: KeyedTail,
        suspicions: Suspicions,
        wall_clock: Callable[[], float],
    ):
        """Prepares to follow the records.

        Args:
            blackboard: the state of this host.
            client: writes records.
            tail: follows the records' stream.
            suspicions: the evidence of this host.
            wall_clock: returns the Unix time in seconds.
        """
        self._blackboard = blackboard
        self._client = client
        self._tail = tail
        self._suspicions = suspicions
        self._wall_clock = wall_clock
        self._revision = -1
        self._unreadable: set[tuple[str, bytes]] = set()
        suspicions.listeners.append(self._tail.changed.notify)

    async def run(self) -> None:
        """Merges records as they come, and writes what they lack."""
        while True:
            if self._tail.revision != self._revision:
                self._revision = self._tail.revision
                self._merge()
            if self._tail.end_offset or self._tail.current:
                await self._write()
            await self._tail.changed.wait(CHECK_INTERVAL_S)

    def _records(self) -> dict[str, QuarantineRecord]:
        """Returns the records that can be read, by their names."""
        records = {}
        values = self._tail.present_values()
        for name, value in sorted(values.items())[:MAX_RECORDS]:
            try:
                records[name] = decode_json(value, QuarantineRecord)
            except msgspec.MsgspecError as error:
                if (name, value) not in self._unreadable:
                    self._unreadable.add((name, value))
                    log.warning(
                        'quarantine record %r is unreadable: %s',
                        name,
                        error,
                        extra={'code': int(Outcome.RECORD_UNREADABLE)},
                    )
        return records

    def _merge(self) -> None:
        changes = EvidenceChanges()
        now = asyncio.get_running_loop().time()
        # The clocks of hosts differ: no time is taken for one yet to come.
        offset_s = now - self._wall_clock()
        for record in self._records().values():
            keys = record.keys[:MAX_CRASH_KEYS]
            for crash in record.crashes[-MAX_RECORD_CRASHES:]:
                at = min(now, crash.at + offset_s)
                changes.crashes.append(
                    Crash(
                        ProcessId(crash.endpoint, crash.start),
                        at,
                        dict.fromkeys(keys, at),
                    )
                )
            if record.trials:
                tried_at = min(now, record.tried_at + offset_s)
                trial = Trial(tried_at, record.trials)
                changes.trial_by_key |= dict.fromkeys(keys, trial)
        del changes.crashes[:-MAX_CRASHES]
        self._suspicions.merge(changes)

    async def _write(self) -> None:
        """Writes missing records and drops those that do not hold any more."""
        board = self._blackboard
        if choose_host(board, 'quarantine log') != board.host:
            return
        harmful = {name_of(found): found for found in self._suspicions.harmful}
        records = self._records()
        for name, found in list(harmful.items())[:MAX_RECORDS]:
            record = self._make_record(found)
            if not _says_the_same(records.get(name), record):
                await self._put(name, msgspec.json.encode(record))
        for name in records.keys() - harmful.keys():
            await self._put(name, b'')

    def _make_record(self, found: HarmfulKeys) -> QuarantineRecord:
        offset_s = self._wall_clock() - asyncio.get_running_loop().time()
        evidence = self._blackboard.crash_evidence
        explained = set(found.crashes)
        crashes = sorted(
            (
                crash
                for crash in evidence.crashes
                if crash.process in explained and not crash.was_alive
            ),
            key=lambda crash: crash.at,
        )
        trials = [
            trial
            for key in found.keys
            if (trial := evidence.trial_by_key.get(key)) is not None
        ]
        last_trial = max(trials, key=lambda trial: trial.count, default=None)
        return QuarantineRecord(
            tuple(sorted(found.keys)),
            tuple(
                CrashRecord(
                    crash.process.endpoint_id,
                    crash.process.start,
                    round(crash.at + offset_s, 3),
                )
                for crash in crashes[-MAX_RECORD_CRASHES:]
            ),
            last_trial.count if last_trial else 0,
            round(last_trial.at + offset_s, 3) if last_trial else 0.0,
        )

    async def _put(self, name: str, value: bytes) -> None:
        try:
            await self._client.put(self._tail.stream, name, value)
        except (LogUnavailableError, LogUncertainError) as error:
            log.warning('quarantine record %s not written: %s', name, error)


def name_of(found: HarmfulKeys) -> str:
    """Returns the name of the record of harmful keys."""
    return xxhash.xxh3_64_hexdigest('\n'.join(sorted(found.keys)).encode())


def _says_the_same(
    known: QuarantineRecord | None, record: QuarantineRecord
) -> bool:
    """Returns whether a record has the same crashes and trials as another."""
    if known is None:
        return False
    processes = {(crash.endpoint, crash.start) for crash in known.crashes}
    return known.trials == record.trials and processes >= {
        (crash.endpoint, crash.start) for crash in record.crashes
    }

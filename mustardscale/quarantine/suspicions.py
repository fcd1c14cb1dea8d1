"""Keeps the evidence of one host, and what follows from it.

After a crash, what the requests in flight have in common with no survivor is
suspected. A pool's owner runs at most one suspect on an engine at a time, so
that the next crash tells suspects apart. What survives is cleared, also if it
was harmful before.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from collections.abc import Callable, Iterable, Mapping, Sequence

from mustardscale.blackboard import Blackboard, Signal
from mustardscale.controller import Controller
from mustardscale.outcomes import Outcome
from mustardscale.quarantine.crash_evidence import (
    NEVER,
    Crash,
    HarmfulKeys,
    ProcessId,
    Survival,
    Trial,
)
from mustardscale.quarantine.own_survivals import (
    SURVIVAL_STEP_S,
    OwnSurvivals,
)
from mustardscale.quarantine.suspicion_keys import property_of
from mustardscale.quarantine.verdicts import judge
from mustardscale.reporting.event_log import EventKind
from mustardscale.reporting.metrics import Metrics

log = logging.getLogger(__name__)

# Crashes are forgotten after this time, seconds; those that show that a key is
# harmful after the longer one.
CRASH_MEMORY_S = 600.0
HARMFUL_MEMORY_S = 3600.0
EXPIRY_INTERVAL_S = 30.0
# Maximum number of remembered crashes, and of keys of one crash.
MAX_CRASHES = 32
MAX_CRASH_KEYS = 256
# Time after a crash or a trial in which no request with a harmful key is tried,
# seconds; it grows by TRIAL_FACTOR with each trial.
TRIAL_DELAY_S = 30.0
TRIAL_FACTOR = 3.0
MAX_TRIAL_DELAY_S = 810.0
# Time after the end of a request in which a crash may still be its doing,
# seconds.
AFTERMATH_S = 0.5
# Names in one line of the log at most.
MAX_LOGGED = 16


@dataclasses.dataclass(slots=True)
class EvidenceChanges:
    """Part of the evidence.

    Attributes:
        crashes: crashes.
        survival_by_key: survivals of suspected keys.
        trial_by_key: trials of harmful keys.
        last_change: number of the last change among them.
    """

    crashes: list[Crash] = dataclasses.field(default_factory=list)
    survival_by_key: dict[str, Survival] = dataclasses.field(
        default_factory=dict
    )
    trial_by_key: dict[str, Trial] = dataclasses.field(default_factory=dict)
    last_change: int = 0

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing in it."""
        return not (self.crashes or self.survival_by_key or self.trial_by_key)


class Suspicions:
    """The evidence on the blackboard, and the judgement on it.

    Attributes:
        changes: number of changes so far.
        changed: notified at each change.
        listeners: called at each change of the judgement.
    """

    def __init__(self, blackboard: Blackboard):
        self._blackboard = blackboard
        self._evidence = blackboard.crash_evidence
        self._own_survivals = OwnSurvivals()
        self.changes = 0
        self._own_change = 0
        self.changed = Signal()
        self.listeners: list[Callable[[], None]] = []

    @property
    def own_change(self) -> int:
        """Number of the last change that this host observed itself."""
        return self._own_change

    @property
    def harmful(self) -> tuple[HarmfulKeys, ...]:
        """The keys of requests that are kept off endpoints."""
        return self._evidence.judgement.harmful

    def find_harmful(self, keys: Iterable[str]) -> HarmfulKeys | None:
        """Returns why a request with these keys must not run, or None."""
        harmful = self._evidence.judgement.harmful
        if not harmful:
            return None
        key_set = frozenset(keys)
        for found in harmful:
            if found.match(key_set):
                return found
        return None

    def is_quarantined(self, keys: Iterable[str]) -> bool:
        """Returns whether a request with these keys must not run."""
        return self.find_harmful(keys) is not None

    def is_suspect(self, keys: Iterable[str]) -> bool:
        """Returns whether a request with these keys may be harmful."""
        judgement = self._evidence.judgement
        if not judgement.suspected and not judgement.harmful:
            return False
        harmful = {
            property_of(key)
            for found in judgement.harmful
            for key in found.keys
        }
        return any(
            key in judgement.suspected or property_of(key) in harmful
            for key in keys
        )

    def crashes(self, keys: Iterable[str]) -> int:
        """Returns how many crashes a request with these keys was part of.

        Crashes before the last survival of a key do not count against it.
        """
        return max(map(self._count_crashes, keys), default=0)

    def _count_crashes(self, key: str) -> int:
        survival = self._evidence.survival_by_key.get(key)
        survived_at = survival.at if survival is not None else NEVER
        return sum(
            key in crash.sent_at_by_key
            and not crash.was_alive
            and crash.at > survived_at
            for crash in self._evidence.crashes
        )

    def trial_at(self, harmful: HarmfulKeys) -> float:
        """Returns the loop time at which a request with harmful keys may run.

        One request a time tells whether the cause was mended.
        """
        trials = [
            trial
            for key in harmful.keys
            if (trial := self._evidence.trial_by_key.get(key)) is not None
        ]
        count = max((trial.count for trial in trials), default=0)
        last_at = max([harmful.last_at, *(trial.at for trial in trials)])
        delay_s = TRIAL_DELAY_S * TRIAL_FACTOR**count
        return last_at + min(MAX_TRIAL_DELAY_S, delay_s)

    def may_try(self, harmful: HarmfulKeys) -> bool:
        """Returns whether a request with harmful keys may be tried now."""
        return asyncio.get_running_loop().time() >= self.trial_at(harmful)

    def record_trial(self, harmful: HarmfulKeys, request_id: str) -> None:
        """Records that a request with harmful keys is tried."""
        now = asyncio.get_running_loop().time()
        change = self._next_change(is_own=True)
        for key in harmful.keys:
            known = self._evidence.trial_by_key.get(key)
            count = known.count if known is not None else 0
            self._evidence.trial_by_key[key] = Trial(
                now, count + 1, change, is_own=True
            )
        self._emit('tried', harmful, request_id)
        self.changed.notify()

    def record_crash(
        self,
        process: ProcessId,
        sent_at_by_keys: Sequence[tuple[tuple[str, ...], float]],
        request_ids: Sequence[str] = (),
    ) -> None:
        """Records that a process ended with requests in flight.

        Args:
            process: the process.
            sent_at_by_keys: the keys of each request in flight, and the loop
                time at which it was sent.
            request_ids: ids of these requests.
        """
        now = asyncio.get_running_loop().time()
        newest_first = sorted(sent_at_by_keys, key=lambda item: -item[1])
        sent_at_by_key: dict[str, float] = {}
        for keys, sent_at in newest_first:
            for key in keys:
                if len(sent_at_by_key) < MAX_CRASH_KEYS:
                    sent_at_by_key.setdefault(key, sent_at)
        self._blackboard.events.emit(
            EventKind.ENDPOINT_CRASHED,
            code=Outcome.ENDPOINT_CRASH_SUSPECTED,
            endpoint=process.endpoint_id,
            start=process.start,
            requests=list(request_ids)[:MAX_LOGGED],
            keys=list(sent_at_by_key)[:MAX_LOGGED],
        )
        self._merge_crash(Crash(process, now, sent_at_by_key), is_own=True)
        for key, at in self._unshared_survivals():
            self._share_survival(key, at, is_own=True)
        self._judge()

    def record_alive(self, process: ProcessId, since: float) -> None:
        """Records that a process answered to what was sent after a crash.

        Args:
            process: the process.
            since: loop time at which that was sent.
        """
        for crash in self._evidence.crashes:
            if (
                crash.process == process
                and crash.at < since
                and not crash.was_alive
            ):
                crash.was_alive = True
                crash.is_own = True
                crash.change = self._next_change(is_own=True)
                log.info(
                    'endpoint %s did not crash: it answers',
                    process.endpoint_id,
                )
                self._judge()

    def record_survival(self, keys: Iterable[str]) -> None:
        """Records that a request with these keys did its endpoint no harm."""
        now = asyncio.get_running_loop().time()
        changed = False
        for key in keys:
            self._own_survivals.add(key, now)
            if self._count_crashes(key):
                self._share_survival(key, now, is_own=True)
                changed = True
        if changed:
            self._judge()

    def record_end(self, process: ProcessId, keys: tuple[str, ...]) -> None:
        """Records that a process has completed a request.

        It counts as a survival if the process does not crash soon after.
        """
        asyncio.get_running_loop().call_later(
            AFTERMATH_S, self._confirm_survival, process, keys
        )

    def _confirm_survival(
        self, process: ProcessId, keys: tuple[str, ...]
    ) -> None:
        if not self.has_crash(process, AFTERMATH_S):
            self.record_survival(keys)

    def has_crash(self, process: ProcessId, within_s: float) -> bool:
        """Returns whether a crash of a process is known.

        Args:
            process: the process.
            within_s: seconds; earlier crashes count only if the process is
                known to be the same one.
        """
        since = asyncio.get_running_loop().time() - within_s
        return any(
            crash.process == process
            and not crash.was_alive
            and (process.start > 0 or crash.at >= since)
            for crash in self._evidence.crashes
        )

    def share_survivals(self) -> None:
        """Shares what this host knows to have survived before a crash."""
        changed = False
        for key, at in self._unshared_survivals():
            self._share_survival(key, at, is_own=True)
            changed = True
        if changed:
            self._judge()

    def has_unshared_survivals(self) -> bool:
        """Returns whether share_survivals() would share any."""
        return bool(self._unshared_survivals())

    def _unshared_survivals(self) -> list[tuple[str, float]]:
        return self._own_survivals.find_unshared(self._evidence.survival_by_key)

    def merge(self, changes: EvidenceChanges) -> None:
        """Merges the evidence of a peer, or of the platform's log."""
        changed = False
        for crash in changes.crashes:
            changed |= self._merge_crash(crash, is_own=False)
        for key, survival in changes.survival_by_key.items():
            known = self._evidence.survival_by_key.get(key)
            if known is None or survival.at > known.at + SURVIVAL_STEP_S / 2:
                self._share_survival(key, survival.at, is_own=False)
                changed = True
        for key, trial in changes.trial_by_key.items():
            known_trial = self._evidence.trial_by_key.get(key)
            if known_trial is None or trial.count > known_trial.count:
                self._evidence.trial_by_key[key] = Trial(
                    trial.at, trial.count, self._next_change(is_own=False)
                )
                changed = True
        if changed:
            self._judge()

    def changed_after(
        self, change: int, own_only: bool, limit: int
    ) -> EvidenceChanges:
        """Returns what changed after a change, oldest first.

        Args:
            change: number of a change, 0 for all.
            own_only: whether to return only what this host observed itself.
            limit: maximum number of changes returned.
        """
        evidence = self._evidence

        def is_wanted(item: Crash | Survival | Trial) -> bool:
            return item.change > change and (item.is_own or not own_only)

        found = EvidenceChanges(
            [crash for crash in evidence.crashes if is_wanted(crash)],
            self._survivals_after(change, own_only),
            _select(evidence.trial_by_key, is_wanted),
            self.changes,
        )
        return _limit(found, limit)

    def _survivals_after(
        self, change: int, own_only: bool
    ) -> dict[str, Survival]:
        """Returns the survivals that are newer than a change, oldest first."""
        newest_first = []
        for item in reversed(self._evidence.survival_by_key.items()):
            if item[1].change <= change:
                break
            newest_first.append(item)
        return {
            key: survival
            for key, survival in reversed(newest_first)
            if survival.is_own or not own_only
        }

    def expire(self) -> None:
        """Forgets old crashes, and what is known only of their keys."""
        now = asyncio.get_running_loop().time()
        evidence = self._evidence
        supporting = {
            process
            for found in evidence.judgement.harmful
            for process in found.crashes
        }

        def is_kept(crash: Crash) -> bool:
            memory_s = CRASH_MEMORY_S
            if crash.process in supporting:
                memory_s = HARMFUL_MEMORY_S
            return now - crash.at < memory_s

        kept = [crash for crash in evidence.crashes if is_kept(crash)]
        kept.sort(key=lambda crash: (crash.process in supporting, crash.at))
        evidence.crashes[:] = kept[-MAX_CRASHES:]
        keys = {
            key for crash in evidence.crashes for key in crash.sent_at_by_key
        }
        self._own_survivals.keep_crash_keys(keys)
        _keep_only(evidence.survival_by_key, keys)
        _keep_only(evidence.trial_by_key, keys)
        self._judge()

    def _merge_crash(self, crash: Crash, is_own: bool) -> bool:
        for known in self._evidence.crashes:
            if known.is_same(crash.process, crash.at):
                if known.merge(crash):
                    self._own_survivals.add_crash_keys(crash.sent_at_by_key)
                    known.change = self._next_change(is_own)
                    known.is_own |= is_own
                    return True
                return False
        added = dataclasses.replace(
            crash,
            sent_at_by_key=dict(crash.sent_at_by_key),
            change=self._next_change(is_own),
            is_own=is_own,
        )
        self._evidence.crashes.append(added)
        self._own_survivals.add_crash_keys(added.sent_at_by_key)
        if len(self._evidence.crashes) > MAX_CRASHES:
            self.expire()
        return True

    def _share_survival(self, key: str, at: float, is_own: bool) -> None:
        # Removed first, so that the survivals stay in the order of changes.
        self._evidence.survival_by_key.pop(key, None)
        self._evidence.survival_by_key[key] = Survival(
            at, self._next_change(is_own), is_own
        )

    def _next_change(self, is_own: bool) -> int:
        self.changes += 1
        if is_own:
            self._own_change = self.changes
        return self.changes

    def _judge(self) -> None:
        """Judges anew, and tells what has changed."""
        evidence = self._evidence
        before = evidence.judgement
        after = judge(evidence.crashes, evidence.survival_by_key)
        evidence.judgement = after
        self.changed.notify()
        if after == before:
            return
        keys_before = {found.keys for found in before.harmful}
        keys_after = {found.keys for found in after.harmful}
        for found in after.harmful:
            if found.keys not in keys_before:
                self._emit('quarantined', found)
        for found in before.harmful:
            if found.keys not in keys_after:
                self._emit(self._reason_of_end(found), found)
        if after.suspected != before.suspected:
            self._emit_suspected(before.suspected, after.suspected)
        for listener in self.listeners:
            listener()

    def _reason_of_end(self, found: HarmfulKeys) -> str:
        survivals = self._evidence.survival_by_key
        if any(
            key in survivals and survivals[key].at >= found.last_at
            for key in found.keys
        ):
            return 'cleared'
        return 'narrowed' if self.harmful else 'expired'

    def _emit(
        self, change: str, found: HarmfulKeys, request_id: str = ''
    ) -> None:
        now = asyncio.get_running_loop().time()
        self._blackboard.events.emit(
            EventKind.QUARANTINE_CHANGED,
            request_id,
            Outcome.QUARANTINED if change == 'quarantined' else 0,
            change=change,
            keys=sorted(found.keys)[:MAX_LOGGED],
            crashed=[process.endpoint_id for process in found.crashes][
                -MAX_LOGGED:
            ],
            last_crash_s=round(now - found.last_at, 3),
            trial_in_s=round(max(0.0, self.trial_at(found) - now), 1),
        )

    def _emit_suspected(
        self, before: frozenset[str], after: frozenset[str]
    ) -> None:
        for change, keys in (
            ('suspected', after - before),
            ('not suspected', before - after),
        ):
            if keys:
                self._blackboard.events.emit(
                    EventKind.QUARANTINE_CHANGED,
                    change=change,
                    keys=sorted(keys)[:MAX_LOGGED],
                )


class SuspicionExpiry(Controller):
    """Forgets old evidence at a fixed interval."""

    def __init__(self, suspicions: Suspicions):
        self._suspicions = suspicions

    async def run(self) -> None:
        """Forgets old evidence every EXPIRY_INTERVAL_S."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self._suspicions.expire()


def add_quarantine_gauges(board: Blackboard, metrics: Metrics) -> None:
    """Shows as gauges what is suspected, quarantined and known of crashes."""
    evidence = board.crash_evidence
    metrics.add_gauge(
        'quarantined_properties', lambda: len(evidence.judgement.harmful)
    )
    metrics.add_gauge(
        'suspected_properties', lambda: len(evidence.judgement.suspected)
    )
    metrics.add_gauge('remembered_crashes', lambda: len(evidence.crashes))


def _keep_only(item_by_key: dict, keys: set[str]) -> None:
    for key in list(item_by_key):
        if key not in keys:
            del item_by_key[key]


def _limit(found: EvidenceChanges, limit: int) -> EvidenceChanges:
    """Returns the oldest changes of those found."""
    items: list[Crash | Survival | Trial] = [
        *found.crashes,
        *found.survival_by_key.values(),
        *found.trial_by_key.values(),
    ]
    if len(items) <= limit:
        return found
    last_change = sorted(item.change for item in items)[limit - 1]

    def is_within(item: Crash | Survival | Trial) -> bool:
        return item.change <= last_change

    return EvidenceChanges(
        [crash for crash in found.crashes if is_within(crash)],
        _select(found.survival_by_key, is_within),
        _select(found.trial_by_key, is_within),
        last_change,
    )


def _select(item_by_key: Mapping, is_wanted: Callable) -> dict:
    return {key: item for key, item in item_by_key.items() if is_wanted(item)}


def describe(found: HarmfulKeys) -> str:
    """Returns why requests with harmful keys are refused, for people."""
    keys = ', '.join(sorted(map(property_of, found.keys)))
    ended = ', '.join(process.endpoint_id for process in found.crashes)
    return f'{len(found.crashes)} endpoints crashed on {keys}: {ended}'

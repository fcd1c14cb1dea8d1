"""Decides from the crashes which property of requests is harmful.

A harmful property crashes each endpoint that begins to write an answer to a
request with it. So it was in flight at each of its crashes, and no request with
it has survived since. A property that explains more crashes is preferred, and
what one property explains is not held against another.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from mustardscale.quarantine.crash_evidence import (
    NEVER,
    Crash,
    HarmfulKeys,
    Judgement,
    Survival,
)
from mustardscale.quarantine.suspicion_keys import property_of

# Crashes, one after the other, that make a key harmful: one that was never seen
# to survive, and one that has survived before.
CRASHES_OF_NEW_KEY = 2
CRASHES_OF_PROVEN_KEY = 4
# Crashes that suffice if the same property is harmful to another service.
CRASHES_OF_KEY_KNOWN_ELSEWHERE = 1
# Crashes at which a key is harmful though another one explains as many.
CRASHES_DESPITE_RIVALS = 3
# Crashes at which a request with a proven key runs apart from others.
CRASHES_TO_SUSPECT_PROVEN_KEY = 3


@dataclasses.dataclass(slots=True)
class _Count:
    """Crashes that count against a key.

    Attributes:
        key: the key.
        is_proven: whether a request with it has survived before.
        crashes: the crashes, oldest first.
        sequence: number of crashes of which each request was sent after the
            crash before. Endpoints that end together count once.
        last_at: loop time of the last one in that sequence.
    """

    key: str
    is_proven: bool
    crashes: list[Crash] = dataclasses.field(default_factory=list)
    sequence: int = 0
    last_at: float = NEVER

    def add(self, crash: Crash) -> None:
        """Adds a crash, which is not older than those before."""
        self.crashes.append(crash)
        if crash.sent_at_by_key[self.key] > self.last_at:
            self.sequence += 1
            self.last_at = crash.at

    def is_threshold_met(self, known_elsewhere: frozenset[str]) -> bool:
        """Returns whether the crashes suffice."""
        if self.is_proven:
            return self.sequence >= CRASHES_OF_PROVEN_KEY
        if property_of(self.key) in known_elsewhere:
            return self.sequence >= CRASHES_OF_KEY_KNOWN_ELSEWHERE
        return self.sequence >= CRASHES_OF_NEW_KEY

    def is_suspected(self) -> bool:
        """Returns whether requests with the key run apart from each other."""
        if self.is_proven:
            return self.sequence >= CRASHES_TO_SUSPECT_PROVEN_KEY
        return self.sequence > 0

    def rank(self) -> tuple[bool, int, int]:
        """Returns what orders keys by how likely they are harmful."""
        return (not self.is_proven, self.sequence, len(self.crashes))

    def crash_ids(self) -> frozenset[int]:
        """Returns what identifies the crashes within one judgement."""
        return frozenset(map(id, self.crashes))


def judge(
    crashes: Iterable[Crash], survival_by_key: Mapping[str, Survival]
) -> Judgement:
    """Returns what the evidence says.

    Args:
        crashes: the crashes.
        survival_by_key: the last survival of each key.
    """
    unexplained = sorted(
        (crash for crash in crashes if not crash.was_alive),
        key=lambda crash: (crash.at, crash.process),
    )
    harmful: list[HarmfulKeys] = []
    while True:
        counts = _count(unexplained, survival_by_key)
        found = _find_harmful(counts, _properties(harmful))
        if found is None:
            break
        keys, explained = found
        harmful.append(
            HarmfulKeys(
                keys,
                tuple(crash.process for crash in explained),
                explained[-1].at,
            )
        )
        unexplained = [
            crash
            for crash in unexplained
            if not any(crash is other for other in explained)
        ]
    suspected = {count.key for count in counts if count.is_suspected()}
    for several in harmful:
        if len(several.keys) > 1:
            suspected |= several.keys
    return Judgement(tuple(harmful), frozenset(suspected))


def _properties(harmful: Iterable[HarmfulKeys]) -> frozenset[str]:
    return frozenset(
        property_of(key)
        for found in harmful
        if len(found.keys) == 1
        for key in found.keys
    )


def _count(
    crashes: Sequence[Crash], survival_by_key: Mapping[str, Survival]
) -> list[_Count]:
    count_by_key: dict[str, _Count] = {}
    for crash in crashes:
        for key in crash.sent_at_by_key:
            survival = survival_by_key.get(key)
            if survival is not None and survival.at >= crash.at:
                continue
            count = count_by_key.get(key)
            if count is None:
                count = _Count(key, is_proven=survival is not None)
                count_by_key[key] = count
            count.add(crash)
    return list(count_by_key.values())


def _find_harmful(
    counts: Sequence[_Count], known_elsewhere: frozenset[str]
) -> tuple[frozenset[str], list[Crash]] | None:
    """Returns the keys that are most likely harmful, and their crashes.

    Keys with the same crashes can't be told apart and are returned together.
    """
    found = [
        count for count in counts if count.is_threshold_met(known_elsewhere)
    ]
    for best in sorted(found, key=_rank_with_name, reverse=True):
        if best.sequence >= CRASHES_DESPITE_RIVALS or not _has_rival(
            best, found
        ):
            crash_ids = best.crash_ids()
            keys = frozenset(
                count.key
                for count in found
                if count.is_proven == best.is_proven
                and count.crash_ids() == crash_ids
            )
            return keys, best.crashes
    return None


def _rank_with_name(count: _Count) -> tuple[tuple[bool, int, int], str]:
    return count.rank(), count.key


def _has_rival(best: _Count, found: Iterable[_Count]) -> bool:
    """Returns whether another key explains other crashes as well as this."""
    crash_ids = best.crash_ids()
    return any(
        count.rank() >= best.rank()
        and count.crash_ids() != crash_ids
        and count.crash_ids() & crash_ids
        for count in found
    )

"""Judges whether accepted configuration changes are in force everywhere."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Iterator

from mustardscale.configuration.config_records import (
    ConfigChange,
    ConfigKey,
    RecordError,
    decode_record,
)
from mustardscale.log.log_client import CONFIG_STREAM, LogRecord
from standins.fault_actions import FaultActions
from standins.faults import Outage
from standins.memory_site import MemorySite

# An accepted change must be in force after this time, seconds.
IN_FORCE_S = 6.0


class ConfigChecks:
    """Folds the log by itself and compares the hosts with it.

    Attributes:
        accepted: offset and append time of the accepted changes, by key.
    """

    def __init__(self, site: MemorySite, actions: FaultActions):
        self._site = site
        self._actions = actions
        self._read_offset = 0
        self._informed_since: dict[tuple[str, int], float] = {}
        self._version_by_host: dict[tuple[str, int, ConfigKey], int] = {}
        self._reported: set[object] = set()
        self.accepted: dict[ConfigKey, list[tuple[int, float]]] = {}

    def sample(self) -> list[str]:
        """Looks at all hosts once; returns what is wrong."""
        now = asyncio.get_running_loop().time()
        self._fold(now)
        problems = []
        self._note_informed(now)
        for host, router in self._site.routers_by_host.items():
            process = self._actions.process(host)
            config = router.blackboard.config
            for key, changes in self.accepted.items():
                version = config.version(key)
                seen = self._version_by_host.get((*process, key), 0)
                if version < seen:
                    problems.append(f'{host} went back from {seen} of {key}')
                self._version_by_host[(*process, key)] = version
                since = self._informed_since.get(process)
                if since is None:
                    continue
                due = [
                    offset
                    for offset, at in changes
                    if now - max(at, since) > IN_FORCE_S
                ]
                late = (process, due[-1]) if due else None
                if due and version < due[-1] and late not in self._reported:
                    self._reported.add(late)
                    problems.append(
                        f'{host} has {version} of {key}, not {due[-1]}'
                    )
                if version not in (0, *(offset for offset, _ in changes)):
                    problems.append(
                        f'{host} has {version} of {key}, which lost'
                    )
        return problems

    def judge(self) -> list[str]:
        """Compares all hosts at the end of a run."""
        digests = {
            router.blackboard.config.digest()
            for router in self._site.routers_by_host.values()
        }
        if len(digests) > 1:
            return ['hosts differ in their configuration at the end']
        return []

    def _fold(self, now: float) -> None:
        """Applies the rule that a change counts only on the current version."""
        page = self._site.log.peek(CONFIG_STREAM, self._read_offset)
        for offset, change in _changes(page.records):
            changes = self.accepted.setdefault(change.key, [])
            current = changes[-1][0] if changes else 0
            if change.base == current:
                changes.append((offset, now))
        if page.records:
            self._read_offset = page.records[-1].offset

    def _note_informed(self, now: float) -> None:
        """Notes since when each host can learn of changes."""
        hosts = sorted(self._site.routers_by_host)
        readers = {host for host in hosts if self._reads_log(host)}
        for host in hosts:
            process = self._actions.process(host)
            informed = host in readers or any(
                self._site.peers.passes(host, other)
                for other in readers
                if host not in self._actions.frozen_hosts
            )
            if informed:
                self._informed_since.setdefault(process, now)
            else:
                self._informed_since.pop(process, None)

    def _reads_log(self, host: str) -> bool:
        if host in self._actions.frozen_hosts:
            return False
        if self._site.log.conditions.outage is not Outage.NONE:
            return False
        return (host, 'log') not in self._site.cut_pairs


def fold_accepted(records: Iterable[LogRecord]) -> set[str]:
    """Returns the ids of the changes that count, by the stated rule."""
    version_by_key: dict[ConfigKey, int] = {}
    accepted = set()
    for offset, change in _changes(records):
        if change.base == version_by_key.get(change.key, 0):
            version_by_key[change.key] = offset
            accepted.add(change.change_id)
    return accepted


def _changes(
    records: Iterable[LogRecord],
) -> Iterator[tuple[int, ConfigChange]]:
    for record in records:
        try:
            content = decode_record(record.payload)
        except RecordError:
            continue
        if isinstance(content, ConfigChange):
            yield record.offset, content

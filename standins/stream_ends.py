"""Counts how hosts found out whether streams came to their end."""

from __future__ import annotations

import collections
import dataclasses
import statistics
from collections.abc import Mapping

from standins.lost_answers import HostLogs


@dataclasses.dataclass(slots=True)
class StreamEnds:
    """The ends of streams that only their connection delimits.

    Attributes:
        counts: number of ends, by route and by what decided on them.
        held_s: seconds for which ends that were believed were held back, by
            route and by what decided on them.
    """

    counts: collections.Counter[tuple[str, str]] = dataclasses.field(
        default_factory=collections.Counter
    )
    held_s: dict[tuple[str, str], list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )

    def add_logs(
        self, logs: HostLogs, route_by_send: Mapping[str, str]
    ) -> None:
        """Adds the ends that the logs of a run tell of.

        Args:
            logs: the logs.
            route_by_send: routes of the streams, by id of the send.
        """
        for request, route in route_by_send.items():
            for entry in logs.find(request, 'end_repeated'):
                # Older builds ask no second time.
                decided = route, f'second run {entry["found"]}'
                self.counts[decided] += 1
                if entry['found'] == 'same':
                    self.held_s[decided].append(entry['took_s'])
            for entry in logs.find(request, 'answer_ended'):
                reason = entry.get('unrepeated', 'not known')
                if not reason:
                    # The end of a second run.
                    continue
                decided = route, f'process {entry["process"]} ({reason})'
                self.counts[decided] += 1
                if entry['process'] == 'runs' and 'checked_s' in entry:
                    self.held_s[decided].append(entry['checked_s'])

    def add(self, other: StreamEnds) -> None:
        """Adds the ends of another run."""
        self.counts.update(other.counts)
        for decided, held_s in other.held_s.items():
            self.held_s[decided] += held_s

    def describe(self) -> list[str]:
        """Returns a line for each route and what decided, the most first."""
        lines = []
        for decided, count in self.counts.most_common():
            route, what = decided
            line = f'{count} ends without length and chunks, {route}: {what}'
            if self.held_s.get(decided):
                held_s = statistics.median(self.held_s[decided])
                line += f', held back for {held_s:.3f} s in the median'
            lines.append(line)
        return lines

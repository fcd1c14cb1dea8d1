"""Judges whose prefill each run of the drawn streams goes on from."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Mapping

from standins.stream_judge import StreamPromise, StreamViolation, WorkerRun


@dataclasses.dataclass(frozen=True, slots=True)
class Prefill:
    """A prefill, as its worker said.

    Attributes:
        worker: the worker.
        request: id of the send.
        handle: handle that the worker gave; a new process begins anew.
        at: Unix time at which it was done, seconds.
    """

    worker: str
    request: str
    handle: str
    at: float


class HandleJudge:
    """Compares the handles of runs with the prefills that made them.

    Workers do not check whose handle it is that a run goes on from.
    """

    def __init__(
        self, prefills: Iterable[Prefill], worker_by_address: Mapping[str, str]
    ):
        """Prepares the comparison.

        Args:
            prefills: the prefills.
            worker_by_address: workers by each address at which a host reaches
                them.
        """
        self._worker_by_address = worker_by_address
        self._prefills: dict[tuple[str, str], list[Prefill]] = (
            collections.defaultdict(list)
        )
        for prefill in sorted(prefills, key=lambda prefill: prefill.at):
            self._prefills[prefill.worker, prefill.handle].append(prefill)

    def judge(self, runs: Iterable[WorkerRun]) -> list[StreamViolation]:
        """Returns the runs that go on from the prefill of another request."""
        violations = []
        for run in runs:
            found = self._find(run)
            if found is not None and found.request != run.request:
                violations.append(
                    StreamViolation(
                        StreamPromise.HANDLE, run.request, '', f'{found}, {run}'
                    )
                )
        return violations

    def _find(self, run: WorkerRun) -> Prefill | None:
        """Returns the last prefill that a run's handle stood for."""
        address, _, handle = run.source.rpartition('/')
        worker = self._worker_by_address.get(address, '')
        made = [
            prefill
            for prefill in self._prefills.get((worker, handle), [])
            if prefill.at <= run.at
        ]
        return made[-1] if made else None

"""Which short answers of the drawn run nothing can tell from whole ones."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from standins.stream_callers import Call, Send
from standins.stream_judge import StreamPromise, StreamViolation, WorkerRun
from standins.stream_worker_plan import UNFRAMED, Cut

# Ends by a worker that runs on, without a reset.
_CLOSED = (Cut.CLOSED_FIRST, Cut.CLOSED_BETWEEN)
# A stream of this route may be resumed, so that a second run tells its end.
RESUMABLE = 'chat'


class UntoldEnds:
    """Tells violations of COMPLETE apart for which a host has no sign.

    An answer without length and chunks ends with its connection. Where the
    connection closes between two events, or anywhere in a plain answer, without
    a reset, and its worker runs on, a whole answer brings the same bytes.
    """

    def __init__(
        self,
        calls: Iterable[Call],
        runs: Iterable[WorkerRun],
        closed_requests: Collection[str],
    ):
        """Prepares the comparison.

        Args:
            calls: the calls that were judged.
            runs: the runs of the workers.
            closed_requests: requests whose connection to a worker was closed
                on the way, without a reset.
        """
        self._send_by_id: dict[str, tuple[Call, Send]] = {
            send.id: (call, send) for call in calls for send in call.sends
        }
        self._run_by_name = {run.name: run for run in runs}
        self._closed_requests = closed_requests

    def holds(self, violation: StreamViolation) -> bool:
        """Returns whether nothing tells the answer from a whole one."""
        if violation.promise is not StreamPromise.COMPLETE:
            return False
        call, send = self._send_by_id[violation.send]
        # Another worker may run the request later, unasked for its answer.
        signature = send.headers.get('x-response-signature', '')
        run = self._run_by_name.get(signature)
        if call.route == RESUMABLE or run is None:
            return False
        if run.framing not in UNFRAMED:
            return False
        if run.is_cut or run.stop:
            return run.is_cut and run.cut in _CLOSED
        return violation.send in self._closed_requests

"""What a worker of the drawn streams is, and how its answers may end."""

from __future__ import annotations

import enum

import msgspec

from standins.worker_replies import ReplyShares


class Framing(enum.StrEnum):
    """What marks the end of an answer."""

    CHUNKED = 'chunked'
    LENGTH = 'length'
    CONNECTION = 'connection'
    OLD_PROTOCOL = 'http/1.0'


# Framings in which only the end of the connection marks that of the answer.
UNFRAMED = (Framing.CONNECTION, Framing.OLD_PROTOCOL)


class Cut(enum.StrEnum):
    """How an answer ends early.

    Attributes:
        CLOSED_FIRST: the connection closes behind the head.
        CLOSED_BETWEEN: the connection closes between two events.
        CLOSED_INSIDE: it closes inside an event.
        RESET_BETWEEN: it is reset between two events.
        RESET_INSIDE: it is reset inside an event.
        IN_CHUNK: it closes inside a chunk.
        KILLED_BETWEEN: the process is killed between two events.
        KILLED_INSIDE: the process is killed inside an event.
    """

    CLOSED_FIRST = 'closed first'
    CLOSED_BETWEEN = 'closed between'
    CLOSED_INSIDE = 'closed inside'
    RESET_BETWEEN = 'reset between'
    RESET_INSIDE = 'reset inside'
    IN_CHUNK = 'in chunk'
    KILLED_BETWEEN = 'killed between'
    KILLED_INSIDE = 'killed inside'


class Stop(enum.StrEnum):
    """Why a worker that runs ends an answer between two of its parts.

    Attributes:
        DEADLINE: the deadline that the worker received has passed.
        SHUTDOWN: the worker shuts down.
    """

    DEADLINE = 'deadline'
    SHUTDOWN = 'shutdown'


class Extra(enum.StrEnum):
    """Bytes after a whole answer.

    Attributes:
        AGAIN: the same answer.
        EARLIER: the answer before it.
        NO_ID: the same answer without the id of its request.
        PART: half of the same answer.
        NOISE: bytes that are no answer.
    """

    AGAIN = 'again'
    EARLIER = 'earlier'
    NO_ID = 'no id'
    PART = 'part'
    NOISE = 'noise'


class OddRun(enum.StrEnum):
    """What a worker does that does not go on after Last-Event-Id.

    Attributes:
        ANEW: it begins with the first event.
        REPEATED: it begins with the event that is named.
        FAILED: it answers 500.
        MISSING: it answers 404.
        NO_CONTENT: it answers 204.
        PARTIAL: it answers 206.
        FULL: it answers 503, without saying that it has not run.
        UNSIGNED: it answers 200 without a signature.
    """

    ANEW = 'anew'
    REPEATED = 'repeated'
    FAILED = '500 Failed'
    MISSING = '404 Missing'
    NO_CONTENT = '204 No Content'
    PARTIAL = '206 Partial'
    FULL = '503 Full'
    UNSIGNED = 'unsigned'


# A worker's own answer to a caller who takes a stream up is passed on, so that
# the others are drawn only for streams that hosts resume.
ODD_RUNS_FOR_CALLERS = (OddRun.ANEW, OddRun.REPEATED)
# An answer whose end only its connection marks is whole by the protocol when
# its worker closes between two events and runs on; `closed_share` draws that.
CUTS_WITHOUT_CHUNKS = (
    Cut.CLOSED_FIRST,
    Cut.CLOSED_INSIDE,
    Cut.RESET_BETWEEN,
    Cut.RESET_INSIDE,
    Cut.KILLED_BETWEEN,
    Cut.KILLED_BETWEEN,
    Cut.KILLED_INSIDE,
)
CUTS_WITH_LENGTH = tuple(cut for cut in Cut if cut is not Cut.IN_CHUNK)
CUTS_OF_PLAIN = (Cut.RESET_BETWEEN, Cut.KILLED_BETWEEN)


class WorkerPlan(msgspec.Struct, frozen=True):
    """What a worker is.

    Attributes:
        name: its id.
        phase: stage of an engine, '' for a plain worker.
        born: start of the process, Unix milliseconds.
        seed: seed of what it draws.
        cut_share: share of the answers that end early.
        closed_share: share of the others that it closes early and runs on, in
            ways that cuts do not have.
        grouped_share: share of the runs whose events hold several positions.
        unframed_share: share of the answers without length and chunks.
        extra_share: share of the framed answers that bytes come after.
        odd_share: share of the runs that do not go on where they are asked to.
        states_start: whether it states the start of its process.
        gap_s: seconds before each event or half of a plain answer.
        shares: how often it does something else than to answer soundly.
    """

    name: str
    phase: str = ''
    born: int = 0
    seed: int = 0
    cut_share: float = 0.1
    unframed_share: float = 0.4
    extra_share: float = 0.1
    odd_share: float = 0.2
    states_start: bool = True
    gap_s: float = 0.03
    closed_share: float = 0.0
    grouped_share: float = 0.0
    shares: ReplyShares = ReplyShares()

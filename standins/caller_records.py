"""What callers sent and saw, for judging."""

from __future__ import annotations

import dataclasses

from mustardscale.endpoints.caller_requests import LanguageRequest, PlainRequest
from mustardscale.outcomes import Outcome, OutcomeClass, outcome_class


@dataclasses.dataclass(slots=True)
class Send:
    """One send of a request to one host.

    Attributes:
        host: the entry host.
        started_at: loop time of the send.
        ended_at: loop time of its end, None while it is open.
        outcome: how it ended, None if it was cut off.
        first_index: index of the first token asked for.
        tokens: tokens received.
        finished: whether the last token came.
        left: whether the caller closed it.
        lost: whether its host died.
    """

    host: str
    started_at: float
    ended_at: float | None = None
    outcome: Outcome | None = None
    first_index: int = 0
    tokens: int = 0
    finished: bool = False
    left: bool = False
    lost: bool = False

    @property
    def not_run(self) -> bool:
        """Whether the caller was told that nothing was run."""
        if self.outcome is None:
            return False
        return outcome_class(self.outcome) is OutcomeClass.NOT_RUN


@dataclasses.dataclass(slots=True)
class CallerRecord:
    """One request and all its sends.

    Attributes:
        request: the request.
        sends: its sends.
        texts: the answer's tokens as the caller has them.
        answers: whole answers received.
        unwanted_at: loop time at which the caller was gone or done.
        lingering: connections not closed yet though the caller is gone.
        host_lost: whether a host was lost, or paused, on the way.
        problems: tokens that do not belong to the answer.
        false_refusals: refusals as not run of what had run.
    """

    request: LanguageRequest | PlainRequest
    sends: list[Send] = dataclasses.field(default_factory=list)
    texts: list[str] = dataclasses.field(default_factory=list)
    answers: int = 0
    unwanted_at: float | None = None
    lingering: int = 0
    host_lost: bool = False
    problems: list[str] = dataclasses.field(default_factory=list)
    false_refusals: list[str] = dataclasses.field(default_factory=list)

"""The exceptions that cross module boundaries."""

from __future__ import annotations

from mustardscale.outcomes import TEXT_BY_OUTCOME, Outcome


class MustardscaleError(Exception):
    """Base class of the package's exceptions."""


class SettingError(MustardscaleError):
    """One setting is wrong; the message names it and the remedy."""


class OutcomeError(MustardscaleError):
    """A request ended with an outcome other than complete.

    Attributes:
        outcome: the result code.
        detail: what happened, for the caller.
        retry_after_s: seconds after which a new send may succeed, or None.
    """

    def __init__(
        self,
        outcome: Outcome,
        detail: str = '',
        retry_after_s: float | None = None,
    ):
        super().__init__(detail or TEXT_BY_OUTCOME[outcome].cause)
        self.outcome = outcome
        self.detail = detail or TEXT_BY_OUTCOME[outcome].cause
        self.retry_after_s = retry_after_s


class EndpointUnreachableError(MustardscaleError):
    """No connection was made, so no byte of the request left this host."""


class EndpointGoneError(EndpointUnreachableError):
    """The connection was refused: nothing listens at the address."""


class EndpointOutOfReachError(EndpointUnreachableError):
    """No host that was asked has links to the endpoints.

    This shows nothing of the endpoint's own state.
    """


class EndpointFailedError(MustardscaleError):
    """The connection was lost after bytes of the request may have left.

    Attributes:
        crashed: whether the endpoint closed the connection without an answer.
    """

    def __init__(self, detail: str, crashed: bool = False):
        super().__init__(detail)
        self.crashed = crashed


class EndpointHasRestError(EndpointFailedError):
    """An answer was cut short, and the endpoint that gave it has the rest."""


class EndpointRefusedError(MustardscaleError):
    """The endpoint answered that it did not take the work.

    Attributes:
        reason: a REFUSED_* constant of mustardscale.endpoints.engines.
    """

    def __init__(self, reason: str):
        super().__init__(f'endpoint refused: {reason}')
        self.reason = reason


class LogUnavailableError(MustardscaleError):
    """The log refused or could not be reached; nothing took effect."""


class LogUncertainError(MustardscaleError):
    """An append may have taken effect although its answer was lost."""


class PeerUnavailableError(MustardscaleError):
    """A peer could not be reached or did not answer in time."""


class PeerNotReachedError(PeerUnavailableError):
    """No connection to the peer was made, so nothing was sent to it."""


class PeerGoneError(PeerNotReachedError):
    """Nothing listens at the peer's address: its process has ended."""


class PeerCallError(PeerUnavailableError):
    """The peer answered that it could not serve the call.

    Attributes:
        outcome: the code in the answer.
    """

    def __init__(self, outcome: Outcome, detail: str):
        super().__init__(f'{outcome.value} {outcome.name}: {detail}')
        self.outcome = outcome


class PeerFrameError(MustardscaleError):
    """A frame between entry hosts cannot be encoded or decoded.

    Attributes:
        outcome: PEER_FRAME_MALFORMED, PEER_FRAME_TOO_LARGE or
            PEER_VERSION_UNSUPPORTED.
    """

    def __init__(self, outcome: Outcome, detail: str):
        super().__init__(f'{outcome.value} {outcome.name}: {detail}')
        self.outcome = outcome

"""Decides from pings whether an open connection still carries anything.

A path may accept and acknowledge bytes that it no longer delivers, so neither
TCP nor its keep-alive probes show that a connection is dead.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Callable


class Liveness(enum.Enum):
    """What is known of a connection.

    Attributes:
        LIVE: it carries bytes, or nothing is known.
        PING_DUE: nothing came for a time, and the peer is to be pinged.
        SILENT: a ping was not answered in time.
    """

    LIVE = 'live'
    PING_DUE = 'ping due'
    SILENT = 'silent'


@dataclasses.dataclass(frozen=True, slots=True)
class Transfer:
    """What has passed on a connection so far.

    Attributes:
        received_at: loop time at which bytes last came.
        sent_bytes: bytes handed to the connection.
        unsent_bytes: those of them that the other machine has not got.
    """

    received_at: float
    sent_bytes: int
    unsent_bytes: int

    @property
    def arrived_bytes(self) -> int:
        """Bytes that the other machine has got."""
        return self.sent_bytes - self.unsent_bytes


class ConnectionLiveness:
    """Decides when to ping and when the connection counts as silent."""

    __slots__ = (
        '_arrived_bytes',
        '_asked_at',
        '_asked_bytes',
        '_ping_after_s',
        '_timeout_s',
    )

    def __init__(self, ping_after_s: float, timeout_s: float):
        """Prepares the decisions.

        Args:
            ping_after_s: seconds without bytes, while calls wait for them,
                after which the peer is pinged.
            timeout_s: seconds after which a ping counts as unanswered.
        """
        self._ping_after_s = ping_after_s
        self._timeout_s = timeout_s
        # Loop time from which the time-out of the ping counts, None for none.
        self._asked_at: float | None = None
        # Bytes sent up to the ping, and those that had arrived when last seen.
        self._asked_bytes = 0
        self._arrived_bytes = 0

    def judge(
        self,
        now: float,
        waiting_since: float | None,
        measure: Callable[[], Transfer],
    ) -> Liveness:
        """Returns what is known now; PING_DUE once for each ping.

        Args:
            now: loop time.
            waiting_since: loop time at which the oldest call began that is in
                flight or was given up unheard, None if there is none.
            measure: returns what has passed on the connection.
        """
        if waiting_since is None:
            self._asked_at = None
            return Liveness.LIVE
        transfer = measure()
        asked_at = self._asked_at
        if asked_at is not None and transfer.received_at >= asked_at:
            self._asked_at = None
        if self._asked_at is None:
            quiet_since = max(transfer.received_at, waiting_since)
            if now - quiet_since < self._ping_after_s:
                return Liveness.LIVE
            self._asked_at = now
            self._asked_bytes = transfer.sent_bytes
            self._arrived_bytes = transfer.arrived_bytes
            return Liveness.PING_DUE
        self._extend_while_sending(now, transfer)
        if now - self._asked_at < self._timeout_s:
            return Liveness.LIVE
        return Liveness.SILENT

    def restart(self) -> None:
        """Forgets an unanswered ping, so that another one is due."""
        self._asked_at = None

    def _extend_while_sending(self, now: float, transfer: Transfer) -> None:
        """Restarts the time-out while bytes before the ping still arrive.

        On a narrow link a ping waits behind them.
        """
        is_under_way = self._arrived_bytes <= self._asked_bytes
        if is_under_way and transfer.arrived_bytes > self._arrived_bytes:
            self._arrived_bytes = transfer.arrived_bytes
            self._asked_at = now

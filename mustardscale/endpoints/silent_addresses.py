"""Remembers addresses at which a request got no byte of an answer.

A path that no longer delivers the bytes of one connection has often lost the
others too, while new ones work. Idle connections that are kept would then each
cost a request its whole timeout.
"""

from __future__ import annotations

from typing import Any

# Time without a byte from which a request shows something, seconds.
UNANSWERED_S = 0.5


class SilentAddresses:
    """Knows since when each address may have lost its connections."""

    __slots__ = ('_kept_s', '_silent_since')

    def __init__(self, kept_s: float):
        """Starts without a silent address.

        Args:
            kept_s: seconds for which an idle connection is kept.
        """
        self._kept_s = kept_s
        # Loop time by address at which the last unanswered request was sent.
        self._silent_since: dict[Any, float] = {}

    def record(self, address: Any, sent_at: float, now: float) -> None:
        """Records that a request was given up without an answer.

        Args:
            address: where it was sent to.
            sent_at: loop time at which it was sent.
            now: loop time.
        """
        if now - sent_at < UNANSWERED_S:
            return
        oldest = now - self._kept_s
        self._silent_since = {
            known: since
            for known, since in self._silent_since.items()
            if since > oldest
        }
        self._silent_since[address] = sent_at

    def may_be_silent(self, address: Any, received_at: float) -> bool:
        """Returns whether an idle connection may be lost.

        Args:
            address: the other side.
            received_at: loop time at which it last received bytes.
        """
        silent_since = self._silent_since.get(address)
        return silent_since is not None and received_at <= silent_since

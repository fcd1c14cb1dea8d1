"""Asks the hosts that may keep the software version of a stream."""

from __future__ import annotations

import asyncio
import logging

from mustardscale.blackboard import Blackboard
from mustardscale.exceptions import PeerUnavailableError
from mustardscale.hosts.rendezvous import rank
from mustardscale.peers.peer_calls import PeerCalls
from mustardscale.peers.version_messages import VersionLookup, VersionReply
from mustardscale.reporting.metrics import Metrics
from mustardscale.versions.version_records import CONTESTED

log = logging.getLogger(__name__)

# Hosts that are asked for a version: more than keep it, since hosts may have
# come meanwhile.
ASKED_HOSTS = 8
LOOKUP_TIMEOUT_S = 0.3


class VersionKeepers:
    """The other hosts that may keep the version of a stream.

    Attributes:
        answers: questions that were answered.
    """

    def __init__(
        self, blackboard: Blackboard, calls: PeerCalls, metrics: Metrics
    ):
        self._blackboard = blackboard
        self._calls = calls
        self._metrics = metrics
        self.answers = 0

    async def ask(self, first_id: str) -> str | None:
        """Asks the hosts that may keep a stream for its version.

        Returns:
            The version; CONTESTED if a host says so or two that answer at the
            same time differ, None if none knows it.
        """
        lookup = VersionLookup(first_id)
        asking = {
            asyncio.create_task(self._ask_one(host, lookup))
            for host in rank_keepers(self._blackboard, first_id)[:ASKED_HOSTS]
        }
        waiting = asking
        try:
            while waiting:
                done, waiting = await asyncio.wait(
                    waiting, return_when=asyncio.FIRST_COMPLETED
                )
                versions = {question.result() for question in done} - {None}
                if versions:
                    return versions.pop() if len(versions) == 1 else CONTESTED
        finally:
            for question in asking:
                question.cancel()
        return None

    async def _ask_one(self, host: str, lookup: VersionLookup) -> str | None:
        self._metrics.count('stream_version_lookups')
        try:
            reply = await self._calls.call(
                host, lookup, VersionReply, LOOKUP_TIMEOUT_S
            )
        except PeerUnavailableError as error:
            log.debug('version not learnt from %s: %s', host, error)
            return None
        self.answers += 1
        return reply.version if reply.found else None


def rank_keepers(board: Blackboard, request_id: str) -> list[str]:
    """Returns the other hosts by preference for a stream."""
    hosts = [
        host.id
        for host in board.hosts_by_id.values()
        if not host.silent and host.keeps_versions
    ]
    return rank(request_id, hosts)

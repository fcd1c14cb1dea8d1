"""Registers this host's requests with the homes of their ids."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import random

from mustardscale.background_tasks import BackgroundTasks
from mustardscale.blackboard import Blackboard, ServedRequest
from mustardscale.controller import Controller, pause
from mustardscale.directory.directory_home import (
    CALL_TIMEOUT_S,
    REBUILD_PAUSE_S,
    REBUILD_TIMEOUT_S,
    REBUILD_TRIES,
)
from mustardscale.exceptions import OutcomeError, PeerUnavailableError
from mustardscale.hosts.rendezvous import owner, rank
from mustardscale.outcomes import Outcome
from mustardscale.peers.directory_messages import (
    NOT_HOME,
    DirectoryEntry,
    DirectoryRegister,
    DirectoryRemove,
    DirectoryReply,
)
from mustardscale.peers.peer_calls import PeerCalls
from mustardscale.peers.peer_messages import Acknowledgement

log = logging.getLogger(__name__)

# Interval at which a host registers again the requests that it still serves,
# seconds.
RENEWAL_S = 10.0
RETRY_AFTER_S = 2.0
# Maximum time for which a registration is retried, seconds. In this time the
# death of a home is detected and the next home settles. It applies to callers
# that resume and to those whose profile has a long patience.
MAX_PATIENCE_S = 7.0
# Minimum time for which any registration is retried, since its home may be
# leaving, seconds.
HANDOVER_PATIENCE_S = 1.0
REGISTER_RETRY_S = 0.1


class _HomeMovedError(OutcomeError):
    """The host that was asked answered that another one is the home."""


class DirectoryClient(Controller):
    """Registers the requests that this host serves with their homes."""

    def __init__(
        self, blackboard: Blackboard, calls: PeerCalls, rng: random.Random
    ):
        self._blackboard = blackboard
        self._calls = calls
        self._rng = rng
        self._background = BackgroundTasks()

    async def run(self) -> None:
        """Registers the requests still served again every RENEWAL_S."""
        while True:
            await pause(RENEWAL_S, self._rng)
            for served in list(self._blackboard.served_by_id.values()):
                if served.home and not served.taken_over:
                    self._background.start(self._rebuild(served))

    async def register(
        self,
        served: ServedRequest,
        patience_s: float = HANDOVER_PATIENCE_S,
        takeover: bool = False,
    ) -> DirectoryReply:
        """Registers a request before anything is done for it.

        The home may be leaving, so the call is retried, and then goes to the
        next home. The retries last longer for a caller that resumes: the host
        of its stream may have failed, and may have been the home too. The time
        that a host took to answer that another one is the home does not count:
        it settled, and the patience is left for the next home.

        Args:
            served: the request.
            patience_s: seconds for which the caller would rather wait than be
                refused.
            takeover: whether the caller resumes a stream that another host
                may hold.

        Raises:
            OutcomeError: DIRECTORY_UNAVAILABLE when no home answered.
        """
        loop = asyncio.get_running_loop()
        if takeover:
            patience_s = MAX_PATIENCE_S
        patience_s = min(patience_s, MAX_PATIENCE_S)
        began_at = loop.time()
        latest_at = began_at + MAX_PATIENCE_S
        give_up_at = began_at + max(patience_s, HANDOVER_PATIENCE_S)
        try:
            while True:
                asked_at = loop.time()
                try:
                    return await self._ask_home(served, takeover)
                except OutcomeError as error:
                    now = loop.time()
                    if isinstance(error, _HomeMovedError):
                        give_up_at = min(give_up_at + now - asked_at, latest_at)
                    if now >= give_up_at:
                        raise
                await asyncio.sleep(REGISTER_RETRY_S)
        except BaseException:
            self.remove(served, done=False)
            raise

    async def _ask_home(
        self, served: ServedRequest, takeover: bool
    ) -> DirectoryReply:
        home = owner(served.id, self._blackboard.serving_hosts())
        # remove() must know the home: it may have registered the request
        # although its reply was lost.
        served.home = home
        request = DirectoryRegister(self._entry(served), takeover)
        try:
            reply = await self._calls.call(
                home, request, DirectoryReply, CALL_TIMEOUT_S * 2
            )
        except PeerUnavailableError as error:
            raise OutcomeError(
                Outcome.DIRECTORY_UNAVAILABLE, str(error), RETRY_AFTER_S
            ) from error
        if not reply.accepted and not reply.found:
            moved = reply.known_s == NOT_HOME
            refusal = _HomeMovedError if moved else OutcomeError
            raise refusal(
                Outcome.DIRECTORY_UNAVAILABLE, retry_after_s=RETRY_AFTER_S
            )
        return reply

    def update(self, served: ServedRequest) -> None:
        """Registers a new attempt or endpoint in the background."""
        self._background.start(self._rebuild(served))

    def remove(self, served: ServedRequest, done: bool) -> None:
        """Ends a registration in the background.

        The record that an id was answered must survive the loss of its home.
        So it is also kept by this host and by the two hosts that rank first for
        the id, of which the second would be the next home.
        """
        if not served.home:
            return
        self._background.start(self._remove(served, done))
        if done:
            ranked = rank(served.id, self._blackboard.serving_hosts())
            hosts = {*ranked[:2], self._blackboard.host} - {served.home}
            for host in sorted(hosts):
                self._background.start(self._copy(served, host))

    async def _copy(self, served: ServedRequest, host: str) -> None:
        entry = dataclasses.replace(self._entry(served), done=True)
        request = DirectoryRegister(entry, rebuild=True)
        try:
            await self._calls.call(
                host, request, DirectoryReply, CALL_TIMEOUT_S
            )
        except PeerUnavailableError as error:
            log.debug('end of %s not copied to %s: %s', served.id, host, error)

    def follow_membership(self) -> None:
        """Registers the requests whose home has changed with the new home."""
        hosts = self._blackboard.serving_hosts()
        for served in list(self._blackboard.served_by_id.values()):
            home = owner(served.id, hosts)
            if served.home and served.home != home and not served.taken_over:
                served.home = home
                self._background.start(self._rebuild(served))

    async def confirm(self, served: ServedRequest) -> bool:
        """Asks the home whether this host still holds a request.

        This is called after a pause of this process, before more tokens are
        sent to the caller.
        """
        request = DirectoryRegister(self._entry(served))
        try:
            home = owner(served.id, self._blackboard.serving_hosts())
            reply = await self._calls.call(
                home, request, DirectoryReply, CALL_TIMEOUT_S * 2
            )
        except PeerUnavailableError:
            return False
        return reply.accepted

    def _entry(self, served: ServedRequest) -> DirectoryEntry:
        return DirectoryEntry(
            request_id=served.id,
            fingerprint=served.fingerprint,
            host=self._blackboard.host,
            incarnation=self._blackboard.incarnation,
            attempt=served.tag.attempt if served.tag else 0,
            decode=served.decode,
            done=served.answered,
        )

    async def _rebuild(self, served: ServedRequest) -> None:
        """Registers a request again with its home, with retries."""
        home = served.home
        for _ in range(REBUILD_TRIES):
            held = self._blackboard.served_by_id.get(served.id) is served
            if not held or served.home != home:
                return
            request = DirectoryRegister(self._entry(served), rebuild=True)
            try:
                await self._calls.call(
                    home, request, DirectoryReply, REBUILD_TIMEOUT_S
                )
            except PeerUnavailableError as error:
                log.debug('request %s not registered: %s', served.id, error)
                await pause(REBUILD_PAUSE_S, self._rng)
            else:
                return

    async def _remove(self, served: ServedRequest, done: bool) -> None:
        request = DirectoryRemove(
            served.id,
            self._blackboard.host,
            self._blackboard.incarnation,
            served.tag.attempt if served.tag else 0,
            done,
        )
        try:
            await self._calls.call(
                served.home, request, Acknowledgement, CALL_TIMEOUT_S
            )
        except PeerUnavailableError as error:
            log.debug('request %s not removed: %s', served.id, error)


def check_reply(reply: DirectoryReply, served: ServedRequest) -> None:
    """Raises the outcome that the caller gets if the home refused.

    Raises:
        OutcomeError: the id is being served or was answered, or was used for
            another request.
    """
    if reply.accepted:
        return
    found = reply.found[0]
    if found.fingerprint != served.fingerprint:
        raise OutcomeError(Outcome.REQUEST_ID_REUSED)
    if found.done:
        raise OutcomeError(Outcome.ALREADY_COMPLETED)
    raise OutcomeError(Outcome.ALREADY_IN_PROGRESS)

"""Finds out whether a failed connection is the endpoint's or this host's."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from mustardscale.background_tasks import BackgroundTasks
from mustardscale.blackboard import Blackboard
from mustardscale.exceptions import (
    EndpointFailedError,
    EndpointRefusedError,
    EndpointUnreachableError,
    MustardscaleError,
)
from mustardscale.forwarding.endpoint_links import EndpointLinks
from mustardscale.forwarding.forwarders import Forwarders
from mustardscale.peers.forward_messages import (
    ForwardCall,
    ForwardKind,
    ForwardOutcome,
)
from mustardscale.reporting.event_log import EventKind

# Time after which an endpoint that was asked for its start number is given up,
# seconds.
LIVENESS_TIMEOUT_S = 0.4
# Other endpoints that are asked whether this host has links to any.
MAX_OTHERS = 2
# Time for which a call waits to learn whether another host reaches its
# endpoint, seconds.
QUICK_CHECK_S = 0.1

ReadStart = Callable[[], Awaitable[int]]
FindDirect = Callable[[str], ReadStart | None]


class LinkMonitor:
    """Checks this host's links to endpoints when they fail.

    Attributes:
        links: what is known of the links.
        forwarders: the other hosts, which are asked.
        find_direct: returns what asks an endpoint directly, by its id.
    """

    def __init__(
        self, board: Blackboard, forwarders: Forwarders, rng: random.Random
    ):
        self.links = EndpointLinks()
        self.forwarders = forwarders
        self.find_direct: FindDirect = lambda _: None
        self._board = board
        self._rng = rng
        self._background = BackgroundTasks()
        self._check_by_endpoint: dict[str, asyncio.Task[bool]] = {}
        self._trying: set[str] = set()
        # Checks of links over which a connection was lost.
        self._link_checks: set[asyncio.Task[object]] = set()

    def record_reached(self, endpoint_id: str) -> None:
        """Records that an endpoint answered this host directly."""
        now = asyncio.get_running_loop().time()
        link = self.links.lost_by_id.get(endpoint_id)
        if self.links.record_reached(endpoint_id, now) and link is not None:
            self._log(endpoint_id, 'restored', now - link.lost_at)

    async def is_forwarded_after(self, endpoint_id: str) -> bool:
        """Returns whether another host reaches an endpoint that failed here.

        Waits for QUICK_CHECK_S at most.
        """
        check = self.start_check(endpoint_id)
        await asyncio.wait([check], timeout=QUICK_CHECK_S)
        return check.done() and not check.cancelled() and check.result()

    def start_check(self, endpoint_id: str) -> asyncio.Task[bool]:
        """Asks other hosts whether they reach an endpoint that failed here."""
        now = asyncio.get_running_loop().time()
        is_new = endpoint_id not in self.links.lost_by_id
        self.links.record_lost(endpoint_id, now)
        if is_new:
            self._log(endpoint_id, 'lost', 0.0)
        check = self._check_by_endpoint.get(endpoint_id)
        if check is None:
            check = asyncio.create_task(self._check(endpoint_id))
            self._check_by_endpoint[endpoint_id] = check
            check.add_done_callback(
                lambda _: self._check_by_endpoint.pop(endpoint_id, None)
            )
        return check

    async def _check(self, endpoint_id: str) -> bool:
        entry = self._board.endpoints_by_id.get(endpoint_id)
        if entry is None:
            return False
        call = ForwardCall(ForwardKind.START, endpoint_id)
        try:
            forwarded = await self.forwarders.call(
                entry, call, 2 * LIVENESS_TIMEOUT_S
            )
            reached = forwarded.reply.outcome is ForwardOutcome.DONE
        except (EndpointUnreachableError, EndpointFailedError):
            reached = False
        link = self.links.lost_by_id.get(endpoint_id)
        if link is None:
            return False
        now = asyncio.get_running_loop().time()
        if reached and not link.is_forwarded:
            self._log(endpoint_id, 'forwarded', now - link.lost_at)
        link.is_forwarded = reached
        if not reached:
            link.unreached_at = now
        elif not self.links.is_cut_off:
            # The endpoint runs, so this host may have lost other links, too.
            self._start_link_check(self._try_others(endpoint_id))
        return reached

    def _start_link_check(self, check: Coroutine[Any, Any, None]) -> None:
        task = self._background.start(check)
        self._link_checks.add(task)
        task.add_done_callback(self._link_checks.discard)

    async def wait_for_link_checks(self) -> None:
        """Waits shortly for the checks that a lost connection has started.

        A repeat over another link would be lost, too, if this host is cut off.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(QUICK_CHECK_S):
                while self._link_checks:
                    await asyncio.wait(self._link_checks)

    async def _try_others(self, endpoint_id: str) -> None:
        """Tries the links to some other endpoints, and checks those lost."""
        names = self._draw_others(endpoint_id)
        await asyncio.gather(
            *(self._try(name) for name in names if name not in self._trying)
        )

    def _draw_others(self, endpoint_id: str) -> list[str]:
        """Returns some endpoints other than one that are not leaving."""
        now = asyncio.get_running_loop().time()
        others = [
            entry.id
            for entry in self._board.endpoints_by_id.values()
            if entry.id != endpoint_id and not entry.leaving(now)
        ]
        return self._rng.sample(others, min(MAX_OTHERS, len(others)))

    def check_lost_connection(self, endpoint_id: str) -> None:
        """Checks a link after a connection over it was lost."""
        if endpoint_id not in self._trying:
            self._start_link_check(self._try(endpoint_id))

    def try_directly(self, endpoint_id: str) -> None:
        """Tries a lost link again in the background, at intervals."""
        now = asyncio.get_running_loop().time()
        due = self.links.needs_direct_try(endpoint_id, now)
        if due and endpoint_id not in self._trying:
            self._background.start(self._try(endpoint_id))

    async def _try(self, endpoint_id: str) -> None:
        self._trying.add(endpoint_id)
        try:
            if await self._answers_directly(endpoint_id):
                return
            link = self.links.lost_by_id.get(endpoint_id)
            if link is None or not link.is_forwarded:
                await self.start_check(endpoint_id)
            else:
                link.tried_at = asyncio.get_running_loop().time()
        finally:
            self._trying.discard(endpoint_id)

    async def _answers_directly(self, endpoint_id: str) -> bool:
        """Asks an endpoint directly and records whether it answers."""
        read_start = self.find_direct(endpoint_id)
        if read_start is None:
            return False
        try:
            async with asyncio.timeout(LIVENESS_TIMEOUT_S):
                await read_start()
        except EndpointRefusedError:
            return True
        except (MustardscaleError, TimeoutError):
            return False
        return True

    async def reaches_others(self, endpoint_id: str, since: float) -> bool:
        """Returns whether this host has links to endpoints other than one.

        Only then its failure to reach that one shows something of it. Without
        any other endpoint to ask, the answer is yes.

        Args:
            endpoint_id: the endpoint that it does not reach.
            since: loop time before the failure; what answered earlier may have
                been reached over links that are lost since.
        """
        if self.links.reached_at > since:
            return True
        others = self._draw_others(endpoint_id)
        if not others:
            return True
        answers = await asyncio.gather(
            *(self._answers_directly(name) for name in others)
        )
        return any(answers)

    def _log(self, endpoint_id: str, change: str, lost_s: float) -> None:
        self._board.events.emit(
            EventKind.LINK_CHANGED,
            endpoint=endpoint_id,
            change=change,
            lost_s=round(lost_s, 3),
            lost=len(self.links.lost_by_id),
            cut_off=self.links.is_cut_off,
        )

"""Finds out whether a connection was lost because the endpoint crashed."""

from __future__ import annotations

import asyncio
import collections
import dataclasses

from mustardscale.background_tasks import BackgroundTasks
from mustardscale.blackboard import Blackboard
from mustardscale.exceptions import (
    EndpointOutOfReachError,
    MustardscaleError,
)
from mustardscale.quarantine.crash_evidence import ProcessId
from mustardscale.quarantine.suspicions import AFTERMATH_S, Suspicions
from mustardscale.relay.relay_endpoint import RelayClients

ALIVE_CHECK_TIMEOUT_S = 1.2
# Time after which an endpoint that seemed to have crashed is checked once more,
# seconds. A process that crashed has no successor yet.
SECOND_CHECK_AFTER_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class OpenCall:
    """A call in flight.

    Attributes:
        keys: the request's suspicion keys.
        sent_at: loop time at which it was sent.
    """

    keys: tuple[str, ...]
    sent_at: float


class CrashWatch:
    """Records the requests that were in flight when an endpoint crashed.

    An endpoint that answers or accepts a connection has not crashed.
    """

    __slots__ = (
        '_background',
        '_blackboard',
        '_check_by_endpoint',
        '_clients',
        '_open_calls',
        'suspicions',
    )

    def __init__(
        self,
        blackboard: Blackboard,
        clients: RelayClients,
        suspicions: Suspicions,
    ):
        self._blackboard = blackboard
        self._clients = clients
        self.suspicions = suspicions
        self._background = BackgroundTasks()
        # The open calls, by endpoint and request id.
        self._open_calls: dict[str, dict[str, OpenCall]] = (
            collections.defaultdict(dict)
        )
        # Crash checks that run, by endpoint.
        self._check_by_endpoint: dict[str, asyncio.Task[bool]] = {}

    def begin(
        self, endpoint_id: str, request_id: str, keys: tuple[str, ...]
    ) -> None:
        """Records the start of a call."""
        now = asyncio.get_running_loop().time()
        self._open_calls[endpoint_id][request_id] = OpenCall(keys, now)

    def end(
        self, endpoint_id: str, request_id: str, is_success: bool = False
    ) -> None:
        """Records the end of a call.

        Args:
            endpoint_id: the endpoint.
            request_id: id of the request.
            is_success: whether the endpoint has completed the request. The call
                then counts as in flight for some time: the endpoint may crash
                after its end.
        """
        call = self._open_calls.get(endpoint_id, {}).get(request_id)
        if call is None:
            return
        if not is_success:
            self._forget(endpoint_id, request_id, call)
            return
        process = self._process(endpoint_id)
        self.suspicions.record_end(process, call.keys)
        if process.start:
            self.suspicions.record_alive(process, call.sent_at)
        asyncio.get_running_loop().call_later(
            AFTERMATH_S, self._forget, endpoint_id, request_id, call
        )

    def _forget(
        self, endpoint_id: str, request_id: str, call: OpenCall
    ) -> None:
        calls = self._open_calls.get(endpoint_id, {})
        if calls.get(request_id) is call:
            del calls[request_id]
        if not calls:
            self._open_calls.pop(endpoint_id, None)

    def record_survival(self, endpoint_id: str, request_id: str) -> None:
        """Records that a call has done its endpoint no harm for long."""
        call = self._open_calls.get(endpoint_id, {}).get(request_id)
        if call is not None:
            self.suspicions.record_survival(call.keys)

    def check_for_crash(self, endpoint_id: str) -> None:
        """Starts a crash check after a call lost its connection.

        The call must not have been ended yet, so that it is among the suspects.
        """
        self._start_check(endpoint_id)

    async def has_crashed(self, endpoint_id: str) -> bool:
        """Returns whether the endpoint of a lost connection has crashed.

        The call must not have been ended yet, so that it is among the suspects.
        """
        return await asyncio.shield(self._start_check(endpoint_id))

    def _start_check(self, endpoint_id: str) -> asyncio.Task[bool]:
        check = self._check_by_endpoint.get(endpoint_id)
        in_flight = dict(self._open_calls.get(endpoint_id, {}))
        if check is None:
            check = asyncio.create_task(self._check(endpoint_id, in_flight))
            self._check_by_endpoint[endpoint_id] = check
        return check

    async def _check(
        self, endpoint_id: str, in_flight: dict[str, OpenCall]
    ) -> bool:
        """Records a crash with the calls in flight, if there was one.

        Args:
            endpoint_id: the endpoint.
            in_flight: the calls at the time of the lost connection.
        """
        process = self._process(endpoint_id)
        try:
            if await self._is_alive(endpoint_id):
                return False
        finally:
            del self._check_by_endpoint[endpoint_id]
        in_flight |= self._open_calls.get(endpoint_id, {})
        if in_flight:
            self.suspicions.record_crash(
                process,
                [(call.keys, call.sent_at) for call in in_flight.values()],
                list(in_flight),
            )
            self._background.start(self._check_again(process))
        return True

    async def _check_again(self, process: ProcessId) -> None:
        """Takes a crash back if the endpoint answers after all."""
        await asyncio.sleep(SECOND_CHECK_AFTER_S)
        now = asyncio.get_running_loop().time()
        if await self._is_alive(process.endpoint_id):
            self.suspicions.record_alive(process, now)

    def _process(self, endpoint_id: str) -> ProcessId:
        entry = self._blackboard.endpoints_by_id.get(endpoint_id)
        return ProcessId(endpoint_id, entry.notice.start if entry else 0)

    async def _is_alive(self, endpoint_id: str) -> bool:
        """Returns whether an endpoint's process is still running.

        Lost links of this host count for nothing: without a host that has links
        the process is taken as running.
        """
        client = self._clients.relay(endpoint_id)
        if client is None:
            return False
        try:
            async with asyncio.timeout(ALIVE_CHECK_TIMEOUT_S):
                await client.read_start()
        except EndpointOutOfReachError:
            return True
        except (MustardscaleError, TimeoutError):
            return False
        return True

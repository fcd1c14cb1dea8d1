"""Model of endpoints that limit the rate of requests from all hosts."""

from __future__ import annotations

import asyncio
import dataclasses
import math
from collections.abc import AsyncIterator, Callable

from mustardscale.blackboard import EndpointEntry
from mustardscale.endpoints.engines import EngineControl
from mustardscale.relay.endpoint_listener import EndpointListener
from mustardscale.relay.relay_endpoint import (
    EndpointAnswer,
    PrefillHandle,
    RelayCall,
    RelayConnector,
    RelayEndpoint,
)
from mustardscale.relay.relay_messages import AnswerHead

# What the platform's rule allows an endpoint to get while it states a limit:
# this multiple of the limit in any window of this length, and some requests
# more. It binds some seconds after the limit was stated first.
ALLOWED_FACTOR = 1.5
ALLOWED_MORE = 5.0
WINDOW_S = 4.0
STABLE_S = 3.0
# One-way delay between a host and an endpoint, seconds.
TRAVEL_S = 0.0015
WORK_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached an endpoint.

    Attributes:
        at: loop time.
        host: the host that sent it.
    """

    at: float
    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class LimitPhase:
    """A time in which an endpoint states one limit.

    Attributes:
        began_at: loop time at which it was stated first.
        per_s: requests a second, None for no limit.
    """

    began_at: float
    per_s: float | None


class LimitedEndpoint:
    """One endpoint, which all hosts send to.

    Attributes:
        name: its id.
        arrivals: the requests that reached it, in order.
        phases: the limits that it has stated, in order.
    """

    def __init__(self, name: str):
        self.name = name
        self.arrivals: list[Arrival] = []
        self.phases: list[LimitPhase] = []

    @property
    def limit_per_s(self) -> float | None:
        """The limit that its answers state, None for none."""
        return self.phases[-1].per_s if self.phases else None

    def state_limit(self, per_s: float | None) -> None:
        """States another limit from now on, None for none."""
        now = asyncio.get_running_loop().time()
        self.phases.append(LimitPhase(now, per_s))

    def violations(self) -> list[str]:
        """Returns the first window of each limit with too many requests.

        Requests of all hosts count, whether or not a host was told.
        """
        found = []
        ends_at = math.inf
        for phase in reversed(self.phases):
            if phase.per_s is not None:
                found += self._violations_of(phase, ends_at)
            ends_at = phase.began_at
        return found

    def _violations_of(self, phase: LimitPhase, ends_at: float) -> list[str]:
        assert phase.per_s is not None
        begins_at = phase.began_at + STABLE_S
        times = [a.at for a in self.arrivals if begins_at <= a.at < ends_at]
        allowed = ALLOWED_FACTOR * phase.per_s * WINDOW_S + ALLOWED_MORE
        first = 0
        for index, at in enumerate(times):
            while times[first] <= at - WINDOW_S:
                first += 1
            count = index - first + 1
            if count > allowed:
                return [
                    f'{self.name}: {count} requests in {WINDOW_S} s until '
                    f'{at:.3f}; {phase.per_s} a second allow {allowed:.1f}'
                ]
        return []

    def count_between(self, begins_at: float, ends_at: float) -> int:
        """Returns how many requests arrived in a time."""
        return sum(begins_at <= a.at < ends_at for a in self.arrivals)


class _WholeAnswer(EndpointAnswer):
    def __init__(self) -> None:
        self.head = AnswerHead(200, ())

    async def chunks(self) -> AsyncIterator[bytes]:
        """See the base class."""
        yield b'ok'

    def close(self) -> None:
        """See the base class."""


class _LimitedClient(RelayEndpoint):
    """The client of a limited endpoint on one host."""

    def __init__(
        self,
        model: LimitedEndpoint,
        host: str,
        listener: EndpointListener,
        reaches: Callable[[], bool],
    ):
        self._model = model
        self._host = host
        self._listener = listener
        self._reaches = reaches

    async def run(self, call: RelayCall) -> EndpointAnswer:
        """See the base class."""
        await self._travel()
        now = asyncio.get_running_loop().time()
        self._model.arrivals.append(Arrival(now, self._host))
        await asyncio.sleep(WORK_S)
        limit_per_s = self._model.limit_per_s
        await self._travel()
        self._listener.record_rate_limit(limit_per_s)
        return _WholeAnswer()

    async def _travel(self) -> None:
        """Waits until a message has arrived, without end if it is lost."""
        if not self._reaches():
            await asyncio.Event().wait()
        await asyncio.sleep(TRAVEL_S)

    async def prefill(self, call: RelayCall) -> PrefillHandle:
        """See the base class."""
        raise NotImplementedError

    async def free(self, handle: PrefillHandle) -> None:
        """See the base class."""
        raise NotImplementedError

    async def is_alive(self) -> bool:
        """See the base class."""
        return True


class LimitedConnector(RelayConnector):
    """Makes one host's clients of limited endpoints."""

    def __init__(
        self,
        host: str,
        model_by_id: dict[str, LimitedEndpoint],
        reaches: Callable[[str, str], bool],
    ):
        self._host = host
        self._model_by_id = model_by_id
        self._reaches = reaches

    def control(self, endpoint: EndpointEntry) -> EngineControl:
        """See the base class."""
        raise NotImplementedError

    def relay(
        self, endpoint: EndpointEntry, listener: EndpointListener
    ) -> RelayEndpoint:
        """See the base class."""
        return _LimitedClient(
            self._model_by_id[endpoint.id],
            self._host,
            listener,
            lambda: self._reaches(self._host, endpoint.id),
        )

"""Model of engines that end when they begin to write on a harmful segment.

An ended engine loses all that it runs. A new process under another id starts at
its address some seconds later.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
from collections.abc import AsyncGenerator, Callable

from mustardscale.blackboard import EndpointEntry
from mustardscale.endpoints.answer_framing import AnswerFraming
from mustardscale.endpoints.engines import (
    EngineControl,
    EngineOrder,
    EngineRole,
    LoadReport,
)
from mustardscale.exceptions import (
    EndpointFailedError,
    EndpointRefusedError,
    EndpointUnreachableError,
)
from mustardscale.relay.endpoint_listener import EndpointListener
from mustardscale.relay.relay_endpoint import (
    REFUSED_MOVED,
    EndpointAnswer,
    PrefillHandle,
    RelayCall,
    RelayConnector,
    RelayEndpoint,
)
from mustardscale.relay.relay_messages import AnswerHead

# One-way delay between a host and an engine, seconds.
TRAVEL_S = 0.0015
PREFILL_S = 0.05
# Time from the arrival of a request to its first event, seconds.
FIRST_EVENT_S = 0.08
EVENTS = 7
EVENT_GAP_S = 0.05
# Bounds of the time between the first event on a harmful segment and the end of
# the engine, seconds.
CRASH_AFTER_S = (0.0, 0.2)


@dataclasses.dataclass(frozen=True, slots=True)
class EngineArrival:
    """A request that reached an engine, to prefill or to run.

    Attributes:
        at: loop time.
        host: the host that sent it.
        request_id: its id.
        segments: the shared segments of its prompt.
    """

    at: float
    host: str
    request_id: str
    segments: tuple[str, ...]


@dataclasses.dataclass(slots=True)
class EngineLog:
    """What the engines of a fleet saw.

    Attributes:
        arrivals: the requests that reached engines.
        crashed_at_by_segment: loop times at which a segment ended an engine.
    """

    arrivals: list[EngineArrival] = dataclasses.field(default_factory=list)
    crashed_at_by_segment: dict[str, list[float]] = dataclasses.field(
        default_factory=dict
    )


class CrashEngine:
    """One process of an engine.

    Attributes:
        id: its id.
        address: 'ip:port'.
        role: what it does.
        service: the service that it belongs to.
        start: start number of the process.
        alive: whether the process runs.
        running: number of requests that it runs.
        harmful: the segments that end it.
        unreachable_hosts: hosts whose connections it refuses, though it runs.
        version: version of its software, which it writes into each event.
    """

    def __init__(
        self,
        engine_id: str,
        address: str,
        role: EngineRole,
        service: str,
        start: int,
        harmful: set[str],
        log: EngineLog,
        rng: random.Random,
        on_crash: Callable[[CrashEngine], None],
        version: str = '',
    ):
        self.id = engine_id
        self.address = address
        self.role = role
        self.service = service
        self.start = start
        self.alive = True
        self.running = 0
        self.harmful = harmful
        self.unreachable_hosts: set[str] = set()
        self.version = version
        self.log = log
        self._rng = rng
        self._on_crash = on_crash
        # Set when connections may have been lost.
        self._interrupted = asyncio.Event()

    def crash(self) -> None:
        """Ends the process with all that it runs; another takes its place."""
        if self.alive:
            self.end()
            self._on_crash(self)

    def end(self) -> None:
        """Ends the process with all that it runs."""
        self.alive = False
        self._interrupted.set()

    def refuse_host(self, host: str) -> None:
        """Resets a host's connections and refuses new ones."""
        self.unreachable_hosts.add(host)
        self._interrupted.set()
        self._interrupted = asyncio.Event()

    async def work(self, seconds: float, host: str) -> None:
        """Works for a host for some time.

        Raises:
            EndpointFailedError: the connection was lost meanwhile.
        """
        ends_at = asyncio.get_running_loop().time() + seconds
        while self.alive and host not in self.unreachable_hosts:
            interrupted = self._interrupted
            try:
                async with asyncio.timeout_at(ends_at):
                    await interrupted.wait()
            except TimeoutError:
                return
        raise EndpointFailedError('connection reset', crashed=True)

    def begin_to_write(self, segments: tuple[str, ...]) -> None:
        """Starts the end of the process if one of the segments is harmful."""
        for segment in segments:
            if segment in self.harmful and self.alive:
                delay_s = self._rng.uniform(*CRASH_AFTER_S)
                asyncio.get_running_loop().call_later(
                    delay_s, self._crash_by, segment
                )

    def _crash_by(self, segment: str) -> None:
        if self.alive:
            now = asyncio.get_running_loop().time()
            self.log.crashed_at_by_segment.setdefault(segment, []).append(now)
            self.crash()

    def report(self) -> LoadReport:
        """Returns its load."""
        return LoadReport(
            role=self.role,
            model=self.service,
            model_version='1',
            pieces_total=6_000,
            pieces_free=6_000 - 100 * self.running,
            active=self.running,
            queued_tokens=0,
            prefill_tokens_per_s=0.0,
            step_s=0.0,
            age_s=0.3,
            leaving=False,
            start=self.start,
            order_term=None,
            link_bytes_per_s=5e11,
            piece_tokens=16,
            reads_prompts=True,
            drains_itself=True,
        )


class _EventAnswer(EndpointAnswer):
    """A stream of events that has begun."""

    framing = AnswerFraming.CHUNKED

    def __init__(self, engine: CrashEngine, call: RelayCall, host: str):
        self.head = AnswerHead(200, ())
        self._engine = engine
        self._host = host
        self._first = int(call.resume_after or 0) + 1
        self._segments = call.request.segments
        self._closed = False
        engine.running += 1

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """See the base class."""
        self._engine.begin_to_write(self._segments)
        for number in range(self._first, EVENTS + 1):
            await self._engine.work(EVENT_GAP_S, self._host)
            text = self._engine.version or 'x'
            yield f'id: {number}\ndata: {text}\n\n'.encode()
        await asyncio.sleep(TRAVEL_S)

    def close(self) -> None:
        """See the base class."""
        if not self._closed:
            self._closed = True
            self._engine.running -= 1


EngineFinder = Callable[[str], CrashEngine | None]


class _EngineClient(RelayEndpoint, EngineControl):
    """A host's client of one process at an address."""

    def __init__(
        self, endpoint: EndpointEntry, host: str, find_engine: EngineFinder
    ):
        self._id = endpoint.id
        self._address = endpoint.address
        self._host = host
        self._find_engine = find_engine

    async def _connect(self) -> CrashEngine:
        await asyncio.sleep(TRAVEL_S)
        engine = self._find_engine(self._address)
        if engine is None or self._host in engine.unreachable_hosts:
            raise EndpointUnreachableError('connection refused')
        if engine.id != self._id:
            raise EndpointRefusedError(REFUSED_MOVED)
        return engine

    async def _arrive(self, call: RelayCall) -> CrashEngine:
        engine = await self._connect()
        request = call.request
        now = asyncio.get_running_loop().time()
        engine.log.arrivals.append(
            EngineArrival(now, self._host, request.id, request.segments)
        )
        return engine

    async def run(self, call: RelayCall) -> EndpointAnswer:
        """See the base class."""
        engine = await self._arrive(call)
        await engine.work(FIRST_EVENT_S, self._host)
        return _EventAnswer(engine, call, self._host)

    async def prefill(self, call: RelayCall) -> PrefillHandle:
        """See the base class."""
        engine = await self._arrive(call)
        await engine.work(PREFILL_S, self._host)
        kept_until = asyncio.get_running_loop().time() + 0.5
        return PrefillHandle(self._id, self._address, 'kv', kept_until)

    async def free(self, handle: PrefillHandle) -> None:
        """See the base class."""

    async def read_start(self) -> int:
        """See the base class."""
        return (await self._connect()).start

    async def report(self) -> LoadReport:
        """See the base class."""
        return (await self._connect()).report()

    async def order(self, order: EngineOrder) -> None:
        """See the base class."""
        (await self._connect()).role = order.role


class CrashConnector(RelayConnector):
    """Makes one host's clients of engines."""

    def __init__(self, host: str, find_engine: EngineFinder):
        self._host = host
        self._find_engine = find_engine

    def control(self, endpoint: EndpointEntry) -> EngineControl:
        """See the base class."""
        return _EngineClient(endpoint, self._host, self._find_engine)

    def relay(
        self, endpoint: EndpointEntry, listener: EndpointListener
    ) -> RelayEndpoint:
        """See the base class."""
        return _EngineClient(endpoint, self._host, self._find_engine)

"""A fleet whose endpoints mark the end of an answer by its connection only.

An endpoint's process that ends closes its connections as a whole answer does.
"""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import AsyncGenerator

from mustardscale.blackboard import EndpointEntry
from mustardscale.endpoints.answer_framing import AnswerFraming
from mustardscale.endpoints.engines import EngineControl
from mustardscale.exceptions import EndpointFailedError, OutcomeError
from mustardscale.hosts.host_list import ListedHost, ListedKind
from mustardscale.outcomes import Outcome
from mustardscale.relay.endpoint_listener import EndpointListener
from mustardscale.relay.relay_endpoint import (
    EndpointAnswer,
    PrefillHandle,
    RelayCall,
    RelayConnector,
    RelayEndpoint,
)
from mustardscale.relay.relay_messages import RelayRequest, WholeAnswer
from mustardscale.relay.stream_relay import RelayedStream
from standins.crash_engines import EVENTS, CrashEngine
from standins.crash_fleet import (
    LAPSE_S,
    RESTART_S,
    SERVICE,
    SIZE,
    TIMEOUT_S,
)
from standins.cut_fleet import LEDGER_TIMEOUT_S, CutFleet, FirstTry, PlainModel

# The two halves of a plain answer, and the time between them, seconds.
PLAIN_BODY = (b'one', b'two')
PLAIN_GAP_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class ShortAnswer:
    """An answer that its caller took for whole and that is not.

    Attributes:
        request_id: id of its request.
        host: the host that was asked.
        route: its route.
        content: what the caller got.
    """

    request_id: str
    host: str
    route: str
    content: bytes


class _UnframedStream(EndpointAnswer):
    """An engine's stream, which ends like a whole one with its process."""

    framing = AnswerFraming.CONNECTION

    def __init__(
        self,
        fleet: UnframedFleet,
        engine: CrashEngine | None,
        answer: EndpointAnswer,
    ):
        self.head = answer.head
        self._fleet = fleet
        self._engine = engine
        self._answer = answer

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """See the base class."""
        try:
            async for data in self._answer.chunks():
                yield data
        except EndpointFailedError:
            if self._engine is None or self._engine.alive:
                raise
            self._fleet.cut_short += 1

    def close(self) -> None:
        """See the base class."""
        self._answer.close()


class _UnframedPlainAnswer(EndpointAnswer):
    """A plain answer in two halves, the second one only of a live process."""

    framing = AnswerFraming.CONNECTION

    def __init__(
        self,
        fleet: UnframedFleet,
        model: PlainModel,
        answer: EndpointAnswer,
    ):
        self.head = answer.head
        self._fleet = fleet
        self._model = model
        self._answer = answer

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """See the base class."""
        first, second = PLAIN_BODY
        yield first
        await asyncio.sleep(PLAIN_GAP_S)
        if self._model.alive:
            yield second
        else:
            self._fleet.cut_short += 1

    def close(self) -> None:
        """See the base class."""
        self._answer.close()


class _UnframedClient(RelayEndpoint):
    """A host's client of an endpoint."""

    def __init__(
        self,
        fleet: UnframedFleet,
        endpoint: EndpointEntry,
        inner: RelayEndpoint,
    ):
        self._fleet = fleet
        self._endpoint = endpoint
        self._inner = inner

    async def run(self, call: RelayCall) -> EndpointAnswer:
        """See the base class."""
        fleet = self._fleet
        answer = await self._inner.run(call)
        if self._endpoint.kind is ListedKind.PLAIN:
            model = fleet.plain_by_id[self._endpoint.id]
            return _UnframedPlainAnswer(fleet, model, answer)
        engine = fleet.engine_by_id.get(self._endpoint.id)
        return _UnframedStream(fleet, engine, answer)

    async def prefill(self, call: RelayCall) -> PrefillHandle:
        """See the base class."""
        return await self._inner.prefill(call)

    async def free(self, handle: PrefillHandle) -> None:
        """See the base class."""
        await self._inner.free(handle)

    async def read_start(self) -> int:
        """See the base class."""
        return await self._inner.read_start()


class _UnframedConnector(RelayConnector):
    """Makes one host's clients."""

    def __init__(self, fleet: UnframedFleet, inner: RelayConnector):
        self._fleet = fleet
        self._inner = inner

    def control(self, endpoint: EndpointEntry) -> EngineControl:
        """See the base class."""
        return self._inner.control(endpoint)

    def relay(
        self, endpoint: EndpointEntry, listener: EndpointListener
    ) -> RelayEndpoint:
        """See the base class."""
        inner = self._inner.relay(endpoint, listener)
        return _UnframedClient(self._fleet, endpoint, inner)


class UnframedFleet(CutFleet):
    """Hosts before endpoints whose answers have no length and no chunks.

    Attributes:
        engine_by_id: the engines that ever ran, by id.
        cut_short: answers that ended early with their process.
        short: answers that are short and looked whole to their callers.
    """

    def __init__(
        self,
        hosts: int,
        decode_engines: int = 12,
        plain_endpoints: int = 8,
        seed: int = 0,
    ):
        self.engine_by_id: dict[str, CrashEngine] = {}
        self.cut_short = 0
        self.short: list[ShortAnswer] = []
        super().__init__(hosts, decode_engines, plain_endpoints, seed)

    def connector(self, host: str) -> RelayConnector:
        """See the base class."""
        return _UnframedConnector(self, super().connector(host))

    def _start_engine(self, address: str, *args: object) -> None:
        super()._start_engine(address, *args)  # type: ignore[arg-type]
        engine = self.engine_by_address[address]
        self.engine_by_id[engine.id] = engine

    async def end_processes(self, interval_s: float, seconds: float) -> None:
        """Ends an engine and a plain endpoint at each interval."""
        for _ in range(int(seconds / interval_s)):
            await asyncio.sleep(interval_s)
            self.rng.choice(self.decode_engines()).crash()
            alive = [m for m in self.plain_by_id.values() if m.alive]
            self.end_plain(self.rng.choice(alive))

    def end_plain(self, model: PlainModel) -> None:
        """Ends a plain endpoint, whose successor has another id."""
        model.alive = False
        loop = asyncio.get_running_loop()
        loop.call_later(LAPSE_S, self._unlist, model.id)
        name = f'e{len(self.plain_by_id) + 1}'
        successor = PlainModel(name, alive=False)
        self.plain_by_id[name] = successor
        loop.call_later(
            RESTART_S, self._start_plain, self.listed[model.id], successor
        )

    def _start_plain(self, before: ListedHost, model: PlainModel) -> None:
        model.alive = True
        self.listed[model.id] = dataclasses.replace(
            before, id=model.id, address=f'{model.id}:1'
        )
        self.list_changed.notify()

    async def try_once(self, host: str, route: str) -> FirstTry:
        """Sends one request, records its end and looks at its content."""
        loop = asyncio.get_running_loop()
        name = f'r{next(self._request_ids)}'
        is_stream = route == SERVICE
        request = RelayRequest(
            name,
            'host',
            'POST',
            f'/{route}/x',
            (),
            name.encode(),
            loop.time(),
            TIMEOUT_S if is_stream else LEDGER_TIMEOUT_S,
            SIZE if is_stream else None,
        )
        content, outcome = b'', Outcome.COMPLETE
        try:
            async with self.router_by_host[host].serve(request) as answer:
                if isinstance(answer, RelayedStream):
                    async for data in answer.events():
                        content += data
                elif isinstance(answer, WholeAnswer):
                    content = answer.body
        except OutcomeError as error:
            outcome = error.outcome
        first_try = FirstTry(
            name, host, route, request.arrived_at, loop.time(), outcome
        )
        self.tries.append(first_try)
        whole = _whole_stream() if is_stream else b''.join(PLAIN_BODY)
        if outcome is Outcome.COMPLETE and content != whole:
            self.short.append(ShortAnswer(name, host, route, content))
        return first_try


def _whole_stream() -> bytes:
    """Returns the content of a whole stream."""
    return b''.join(
        b'id: %d\ndata: x\n\n' % number for number in range(1, EVENTS + 1)
    )

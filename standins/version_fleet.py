"""A fleet of hosts before engines of several software versions."""

from __future__ import annotations

import asyncio
import dataclasses
import math
from collections.abc import Awaitable, Callable, Sequence

from mustardscale.endpoints.engines import EngineRole
from mustardscale.exceptions import OutcomeError
from mustardscale.outcomes import Outcome
from mustardscale.relay.relay_messages import RelayRequest
from mustardscale.relay.stream_relay import RelayedStream
from standins.crash_engines import EVENTS
from standins.crash_fleet import SERVICE, SIZE, TIMEOUT_S, CrashFleet

# Engines of a version that must serve for its streams to have to go on.
LEAST_ENGINES = 2
# Share of the streams taken up that must go on then.
GOES_ON_SHARE = 0.9


@dataclasses.dataclass(slots=True)
class Take:
    """One time that a caller took a stream up.

    Attributes:
        host: the host that it asked.
        at: loop time at which it did.
        outcome: how that ended.
        went_on: whether events came.
        must_go_on: whether enough engines of the stream's version served.
        is_excused: whether a fault of the host excuses it.
    """

    host: str
    at: float
    outcome: Outcome = Outcome.COMPLETE
    went_on: bool = False
    must_go_on: bool = False
    is_excused: bool = False


@dataclasses.dataclass(slots=True)
class StreamRecord:
    """What a caller got of one stream.

    Attributes:
        versions: the versions that wrote its events, each once.
        numbers: the numbers of its events, in order.
        takes: the times that it was taken up.
        first_id: id of the send that brought the first event.
        last_id: id of the last event.
        begun_at: loop time of its first event, 0 before it.
        begun_host: the host that brought it.
    """

    versions: set[str] = dataclasses.field(default_factory=set)
    numbers: list[int] = dataclasses.field(default_factory=list)
    takes: list[Take] = dataclasses.field(default_factory=list)
    first_id: str = ''
    last_id: str = ''
    begun_at: float = 0.0
    begun_host: str = ''

    @property
    def is_mixed(self) -> bool:
        """Whether events of two versions stand in it."""
        return len(self.versions) > 1

    @property
    def is_in_order(self) -> bool:
        """Whether no event is missing or came twice."""
        return self.numbers == list(range(1, len(self.numbers) + 1))


Between = Callable[[StreamRecord], Awaitable[object]]


class VersionFleet(CrashFleet):
    """Hosts before decode engines whose versions take turns.

    Attributes:
        streams_played: what the callers got.
        sends: sends of new streams to hosts that no fault excuses.
        begun: those of them that brought events.
    """

    def __init__(
        self,
        hosts: int,
        decode_engines: int = 8,
        seed: int = 0,
        versions: Sequence[str] = ('v1', 'v2'),
    ):
        super().__init__(
            hosts, decode_engines, seed=seed, versions=list(versions)
        )
        self.sends = 0
        self.begun = 0
        self.streams_played: list[StreamRecord] = []

    def engines_of(self, version: str) -> int:
        """Returns the number of decode engines that run a version."""
        return sum(
            engine.version == version
            for engine in self.engine_by_address.values()
            if engine.role is EngineRole.DECODE
        )

    def is_harmed(self, host: str) -> bool:
        """Returns whether a fault of a host has not ended."""
        faults = self.faults_by_host.get(host, [])
        return any(ends_at == math.inf for _, ends_at in faults)

    async def play_stream(
        self,
        hosts: Sequence[str],
        reads: Sequence[int],
        between: Between | None = None,
        names_first: bool = True,
    ) -> StreamRecord:
        """Reads a stream at one host after the other.

        Args:
            hosts: the hosts, in order.
            reads: events that the caller reads at each before its connection
                ends; at the last host it reads to the end.
            between: called before each time that it takes the stream up.
            names_first: whether it names the send that brought the first event.
        """
        record = StreamRecord()
        self.streams_played.append(record)
        for number, host in enumerate(hosts):
            if number and between is not None:
                await between(record)
            most = reads[number] if number < len(reads) else EVENTS
            if not self.is_up(host):
                continue
            await self._read(record, host, most, names_first)
            if record.numbers and record.numbers[-1] == EVENTS:
                break
        return record

    async def _read(
        self, record: StreamRecord, host: str, most: int, names_first: bool
    ) -> None:
        """Reads some events at a host."""
        name = f's{next(self._request_ids)}'
        loop = asyncio.get_running_loop()
        request = RelayRequest(
            name,
            'host',
            'POST',
            f'/{SERVICE}/x',
            (),
            name.encode(),
            loop.time(),
            TIMEOUT_S,
            SIZE,
            resume_after=record.last_id,
            resumes=record.first_id if names_first else '',
        )
        take = Take(host, loop.time())
        is_new = not record.numbers
        is_excused = self.is_excused(host, loop.time())
        if record.numbers:
            (version,) = list(record.versions)[:1]
            take.must_go_on = self.engines_of(version) >= LEAST_ENGINES
            take.is_excused = is_excused
            record.takes.append(take)
        try:
            async with self.router_by_host[host].serve(request) as answer:
                assert isinstance(answer, RelayedStream)
                async for data in answer.events():
                    if not record.numbers:
                        record.begun_at = loop.time()
                        record.begun_host = host
                    self._take_events(record, data, name)
                    take.went_on = True
                    most -= 1
                    if most <= 0:
                        break
        except OutcomeError as error:
            take.outcome = error.outcome
        if is_new and not is_excused:
            self.sends += 1
            self.begun += bool(record.numbers)

    def _take_events(
        self, record: StreamRecord, data: bytes, name: str
    ) -> None:
        for event in data.decode().split('\n\n')[:-1]:
            number, text = event.split('\n')
            record.last_id = number.removeprefix('id: ')
            record.numbers.append(int(record.last_id))
            record.versions.add(text.removeprefix('data: '))
        record.first_id = record.first_id or name

    def mixed(self) -> list[StreamRecord]:
        """Returns the streams that hold events of two versions."""
        return [r for r in self.streams_played if r.is_mixed]

    def goes_on_share(self) -> float:
        """Returns the share of the streams taken up that went on.

        Those count whose version enough engines ran.
        """
        takes = [
            take
            for record in self.streams_played
            for take in record.takes
            if take.must_go_on
        ]
        return sum(take.went_on for take in takes) / max(1, len(takes))

    def begun_share(self) -> float:
        """Returns the share of the sends of new streams that began."""
        return self.begun / max(1, self.sends)

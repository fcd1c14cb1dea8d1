"""A fleet of hosts before engines that harmful segments of prompts end."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import math
from collections.abc import Iterable, Mapping, Sequence

from mustardscale.configuration.routes import (
    EngineSpec,
    RequestKind,
    Route,
    RouteTable,
    RouteTarget,
    ServiceSpec,
)
from mustardscale.endpoints.engines import EngineRole
from mustardscale.exceptions import OutcomeError
from mustardscale.hosts.host_list import ListedHost, ListedKind
from mustardscale.outcomes import Outcome, OutcomeClass, outcome_class
from mustardscale.relay.relay_endpoint import RelayConnector
from mustardscale.relay.relay_messages import RelayRequest, SizeEstimate
from mustardscale.relay_router import RelayedAnswer
from standins.crash_engines import (
    EVENTS,
    CrashConnector,
    CrashEngine,
    EngineLog,
)
from standins.host_fleet import DATA_CENTRES, REGION, HostFleet

SERVICE = 'lm'
ENGINE = EngineSpec(48, 100_000, 131_072, 5e11, event_tokens=10)
TIMEOUT_S = 14.0
# Time between the end of an engine and the start of its successor, and the end
# of its entry on the host list, seconds.
RESTART_S = 3.0
LAPSE_S = 1.2
# The first segment of all prompts, and the number of second ones.
FIRST_SEGMENT = 'system'
TOPICS = 12
# Crashes under one segment that hosts may need, and the requests with it that
# may reach engines later than STABLE_S after the last of these crashes.
CRASHES_ALLOWED = 5
REQUESTS_ALLOWED = 3
STABLE_S = 3.0
# Share of the usual number of sound requests that must begin to be answered.
SOUND_SHARE = 0.5
# Sound requests below which their share is not judged.
LEAST_SOUND = 20
# A caller must hear of a refusal within this time, seconds.
REFUSED_WITHIN_S = 0.2
SIZE = SizeEstimate(1_000, 100, 70)


def service_route(service: str) -> Route:
    """Returns the route to a service."""
    return Route(
        service,
        'host',
        f'/{service}/',
        RequestKind.RESUMABLE,
        (RouteTarget(service),),
        TIMEOUT_S,
        0.9,
        max_attempts=2,
        gap_s=0.3,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRecord:
    """One send of a caller's request, and how it ended.

    Attributes:
        service: the service that was asked.
        segments: the shared segments of the prompt.
        host: the host that took it.
        sent_at: loop time at which the caller sent it.
        ended_at: loop time of its end.
        outcome: how it ended.
        began: whether events reached the caller.
        is_first: whether it was not sent before under another id.
    """

    service: str
    segments: tuple[str, ...]
    host: str
    sent_at: float
    ended_at: float
    outcome: Outcome
    began: bool
    is_first: bool


class CrashFleet(HostFleet):
    """Hosts before the engines of one or more services.

    Attributes:
        harmful_by_service: the segments that end the engines of a service.
        engine_by_address: the processes that run, by address.
        log: what the engines saw.
        records: the requests that have ended.
        faults_by_host: loop times between which faults excuse a host.
        version_by_address: software version that an engine starts with.
    """

    def __init__(
        self,
        hosts: int,
        decode_engines: int = 6,
        services: Iterable[str] = (SERVICE,),
        seed: int = 0,
        versions: Sequence[str] = ('',),
    ):
        names = list(services)
        table = RouteTable(
            1,
            tuple(service_route(name) for name in names),
            tuple(ServiceSpec(name, engine=ENGINE) for name in names),
        )
        super().__init__(hosts, table, seed)
        self.harmful_by_service: dict[str, set[str]] = {
            name: set() for name in names
        }
        self.engine_by_address: dict[str, CrashEngine] = {}
        self.log = EngineLog()
        self.records: list[CallerRecord] = []
        self.faults_by_host: dict[str, list[tuple[float, float]]] = {}
        self.version_by_address: dict[str, str] = {}
        self._starts = 0
        for service in names:
            self.version_by_address[f'{service}-p1'] = versions[0]
            self._start_engine(f'{service}-p1', EngineRole.PREFILL, service)
            for number in range(1, decode_engines + 1):
                name = f'{service}-d{number}'
                version = versions[number % len(versions)]
                self.version_by_address[name] = version
                self._start_engine(name, EngineRole.DECODE, service)

    def connector(self, host: str) -> RelayConnector:
        """See the base class."""
        return CrashConnector(host, self.engine_by_address.get)

    def _start_engine(
        self,
        address: str,
        role: EngineRole,
        service: str,
        engine_id: str = '',
        list_lag_s: float = 0.0,
    ) -> None:
        """Starts an engine, under a new id unless one is given."""
        self._starts += 1
        engine = CrashEngine(
            engine_id or f'{address}/{self._starts}',
            address,
            role,
            service,
            self._starts,
            self.harmful_by_service[service],
            self.log,
            self.rng,
            self._replace_engine,
            self.version_by_address.get(address, ''),
        )
        self.engine_by_address[address] = engine
        if list_lag_s:
            loop = asyncio.get_running_loop()
            loop.call_later(list_lag_s, self._list_living, engine)
        else:
            self._list(engine)

    def _list_living(self, engine: CrashEngine) -> None:
        if engine.alive:
            self._list(engine)

    def _list(self, engine: CrashEngine) -> None:
        """Writes the entry of an engine."""
        self.listed[engine.id] = ListedHost(
            engine.id,
            ListedKind.ENGINE,
            engine.address,
            DATA_CENTRES[0],
            REGION,
            service=engine.service,
            model=engine.service,
            role=engine.role,
            start=engine.start,
            version=engine.version,
        )
        self.list_changed.notify()

    def _replace_engine(self, ended: CrashEngine) -> None:
        """Takes an ended engine from the list and starts its successor."""
        del self.engine_by_address[ended.address]
        loop = asyncio.get_running_loop()
        loop.call_later(LAPSE_S, self._unlist, ended.id)
        loop.call_later(
            RESTART_S,
            self._start_engine,
            ended.address,
            EngineRole.DECODE,
            ended.service,
        )

    def add_engine(self, address: str, version: str) -> CrashEngine:
        """Starts another decode engine of a version."""
        self.version_by_address[address] = version
        self._start_engine(address, EngineRole.DECODE, SERVICE)
        return self.engine_by_address[address]

    def restart_in_place(
        self, engine: CrashEngine, version: str, list_lag_s: float = 0.0
    ) -> None:
        """Starts an engine again at once, under its id and address.

        Args:
            engine: the process that ends.
            version: software version of its successor.
            list_lag_s: seconds after which the list knows of that.
        """
        self.version_by_address[engine.address] = version
        engine.end()
        self._start_engine(
            engine.address, engine.role, engine.service, engine.id, list_lag_s
        )

    def remove_engine(self, engine: CrashEngine) -> None:
        """Ends an engine for good, with its entry."""
        engine.end()
        del self.engine_by_address[engine.address]
        self._unlist(engine.id)

    def _unlist(self, engine_id: str) -> None:
        self.listed.pop(engine_id, None)
        self.list_changed.notify()

    def decode_engines(self) -> list[CrashEngine]:
        """Returns the processes that run as decode engines."""
        return [
            engine
            for engine in self.engine_by_address.values()
            if engine.role is EngineRole.DECODE
        ]

    def begin_fault(self, host: str) -> None:
        """Excuses what a host sends from now on."""
        now = asyncio.get_running_loop().time()
        self.faults_by_host.setdefault(host, []).append((now, math.inf))

    def end_fault(self, host: str) -> None:
        """Excuses a host until STABLE_S from now, and no longer."""
        now = asyncio.get_running_loop().time()
        began_at, _ = self.faults_by_host[host].pop()
        self.faults_by_host[host].append((began_at, now + STABLE_S))

    def is_excused(self, host: str, at: float) -> bool:
        """Returns whether a fault excuses what a host sent."""
        faults = self.faults_by_host.get(host, [])
        return any(began_at <= at < ends_at for began_at, ends_at in faults)

    async def load(
        self,
        rate_per_s: float,
        seconds: float,
        hosts: Mapping[str, float] | None = None,
        harmful: tuple[str, ...] = (),
        service: str = SERVICE,
    ) -> None:
        """Sends requests at random times and to random hosts.

        Args:
            rate_per_s: requests a second to all hosts.
            seconds: how long.
            hosts: share of each host; even if not given.
            harmful: segments of which each request has one, beside a topic;
                none for sound requests.
            service: the service that is asked.
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        while True:
            await asyncio.sleep(self.rng.expovariate(rate_per_s))
            if loop.time() >= ends_at:
                return
            topic = f'topic{self.rng.randrange(TOPICS)}'
            segments: tuple[str, ...] = (FIRST_SEGMENT, topic)
            if harmful:
                segments = (FIRST_SEGMENT, self.rng.choice(harmful), topic)
            self._spawn(self._ask_twice(hosts, service, segments))

    def _spawn(self, coroutine: collections.abc.Coroutine) -> None:
        call = asyncio.get_running_loop().create_task(coroutine)
        self._calls.add(call)
        call.add_done_callback(self._calls.discard)

    def _choose(self, hosts: Mapping[str, float] | None) -> str | None:
        up = [host for host in hosts or self.router_by_host if self.is_up(host)]
        if not up:
            return None
        weights = [hosts[host] if hosts else 1.0 for host in up]
        return self.rng.choices(up, weights)[0]

    async def _ask_twice(
        self,
        hosts: Mapping[str, float] | None,
        service: str,
        segments: tuple[str, ...],
    ) -> None:
        """Sends a request, and once more if it was not answered."""
        for is_first in (True, False):
            host = self._choose(hosts)
            if host is None:
                return
            record = await self.ask(host, service, segments, is_first)
            if record.outcome is Outcome.COMPLETE:
                return
            await asyncio.sleep(0.05)

    async def ask(
        self,
        host: str,
        service: str,
        segments: tuple[str, ...],
        is_first: bool = True,
    ) -> CallerRecord:
        """Sends a request whose content is like no other."""
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        name = f'r{next(self._request_ids)}'
        request = RelayRequest(
            name,
            'host',
            'POST',
            f'/{service}/x',
            (),
            name.encode(),
            sent_at,
            TIMEOUT_S,
            SIZE,
            segments=segments,
        )
        outcome, events = Outcome.COMPLETE, 0
        try:
            async with self.router_by_host[host].serve(request) as answer:
                async for _ in _events(answer):
                    events += 1
        except OutcomeError as error:
            outcome = error.outcome
        record = CallerRecord(
            service,
            segments,
            host,
            sent_at,
            loop.time(),
            outcome,
            events > 0,
            is_first,
        )
        self.records.append(record)
        return record

    def arrivals_of(self, segment: str, after: float) -> set[str]:
        """Returns the requests with a segment that reached engines.

        Args:
            segment: the segment.
            after: loop time after which they arrived, from hosts that no
                fault excuses.
        """
        return {
            arrival.request_id
            for arrival in self.log.arrivals
            if segment in arrival.segments
            and arrival.at > after
            and not self.is_excused(arrival.host, arrival.at)
        }

    def crashes_of(self, segment: str) -> list[float]:
        """Returns the loop times at which a segment ended engines."""
        return self.log.crashed_at_by_segment.get(segment, [])

    def violations(self) -> list[str]:
        """Returns the bounds that were broken, and how."""
        broken = []
        for segment in self.log.crashed_at_by_segment:
            broken += self._budget_violations(segment)
        return broken + self._late_refusals() + self._false_outcomes()

    def _budget_violations(self, segment: str) -> list[str]:
        crashes = self.crashes_of(segment)
        if len(crashes) < CRASHES_ALLOWED:
            return []
        known_at = crashes[CRASHES_ALLOWED - 1] + STABLE_S
        late = self.arrivals_of(segment, known_at)
        if len(late) <= REQUESTS_ALLOWED:
            return []
        return [
            f'{len(late)} requests with {segment} reached engines after '
            f'{known_at:.1f} s; {len(crashes)} engines ended'
        ]

    def _late_refusals(self) -> list[str]:
        return [
            f'refused as harmful after {record.ended_at - record.sent_at:.2f} s'
            for record in self.records
            if record.outcome is Outcome.QUARANTINED
            and record.ended_at - record.sent_at > TIMEOUT_S / 2
        ]

    def _false_outcomes(self) -> list[str]:
        """Returns answers that began and end as if they had not run."""
        return [
            f'{record.outcome.name} after events'
            for record in self.records
            if record.began
            and outcome_class(record.outcome)
            in (OutcomeClass.NOT_RUN, OutcomeClass.REQUEST_WRONG)
        ]

    def sound_share(
        self, begin: float, end: float, service: str = SERVICE
    ) -> float:
        """Returns the share of sound first sends that began to be answered.

        Args:
            begin: loop time of the first send that counts.
            end: loop time of the last one.
            service: the service that was asked.

        Raises:
            ValueError: there are fewer than LEAST_SOUND.
        """
        sound = [
            record
            for record in self.records
            if record.service == service
            and record.is_first
            and begin <= record.sent_at < end
            and not self.harmful_by_service[service] & set(record.segments)
            and not self.is_excused(record.host, record.sent_at)
        ]
        if len(sound) < LEAST_SOUND:
            raise ValueError(f'{len(sound)} sound requests')
        return sum(record.began for record in sound) / len(sound)

    def refused_as_harmful(self, begin: float) -> int:
        """Returns how many sound requests were refused as harmful."""
        return sum(
            record.outcome is Outcome.QUARANTINED
            and record.sent_at >= begin
            and not self.harmful_by_service[record.service]
            & set(record.segments)
            for record in self.records
        )


async def _events(answer: RelayedAnswer) -> collections.abc.AsyncIterator:
    """Yields the events of an answer, which must be all of them."""
    number = 0
    async for data in answer.events():  # type: ignore[union-attr]
        for _ in range(data.count(b'data: x')):
            number += 1
            yield number
    if number != EVENTS:
        raise AssertionError(f'{number} events of {EVENTS} in a whole answer')

"""Model of many hosts that choose among a few plain endpoints, no network.

Each host sees a few requests a second and, where it exchanges heartbeats, what
a hub has summed up; both are old by several answer times. Endpoints have slots
and a queue, refuse at once when full, and are slow for moments. Arrivals swing
in waves and come in bursts.
"""

from __future__ import annotations

import abc
import collections
import dataclasses
import heapq
import itertools
import math
import random
from collections.abc import Callable, Sequence

from mustardscale.hosts.endpoint_loads import EndpointLoads
from mustardscale.hosts.heartbeat_hubs import HUB_COUNT
from mustardscale.relay.endpoint_health import HealthTable


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChoiceLoad:
    """The load and the endpoints of a run.

    Attributes:
        hosts: number of hosts that choose.
        calls_per_s: mean arrivals of a host.
        speeds: speed of each endpoint; 1 takes `work_s` for a mean call.
        slots: calls that an endpoint runs at once.
        queue: calls that wait at an endpoint at most.
        work_s: seconds of a mean call at speed 1.
        wave_share: how far arrivals swing about their mean.
        wave_s: period of that.
        burst_factor: arrivals in a burst, in multiples of the usual ones.
        burst_s: length of a burst.
        burst_every_s: seconds from one burst to the next.
        slow_share: share of the time for which an endpoint is slow.
        slow_s: length of a slow spell.
        slow_factors: bounds of the factor by which it is slower.
        heartbeat_s: interval of heartbeats.
        attempts: endpoints that a call is sent to at most.
        duration_s: length of the run.
    """

    hosts: int = 65
    calls_per_s: float = 2.5
    speeds: tuple[float, ...] = (1.0, 0.8, 1.25, 1.0)
    slots: int = 6
    queue: int = 24
    work_s: float = 0.07
    wave_share: float = 0.4
    wave_s: float = 9.0
    burst_factor: float = 2.0
    burst_s: float = 0.7
    burst_every_s: float = 5.0
    slow_share: float = 0.2
    slow_s: float = 1.5
    slow_factors: tuple[float, float] = (1.6, 2.5)
    heartbeat_s: float = 0.4
    attempts: int = 2
    duration_s: float = 60.0


@dataclasses.dataclass(slots=True)
class ChoiceResult:
    """What a run measured.

    Attributes:
        calls: calls that arrived.
        refusals: attempts that a full endpoint refused.
        avoidable: those of them while another endpoint had a free slot.
        lost: calls that no attempt served.
        waited_s: seconds that served calls waited in queues, mean.
        waited_p99_s: the 99th percentile of that.
        unevenness: largest load of an endpoint over the mean, load being the
            seconds of work ahead there by its speed; weighted by the mean.
        largest_share: largest share of arrivals over the endpoint's share of
            the speed, over the whole run.
    """

    calls: int
    refusals: int
    avoidable: int
    lost: int
    waited_s: float
    waited_p99_s: float
    unevenness: float
    largest_share: float


class Chooser(abc.ABC):
    """The choice of one host."""

    @abc.abstractmethod
    def choose(
        self, names: Sequence[str], excluded: Sequence[str], now: float
    ) -> str:
        """Returns the endpoint that a call is sent to."""

    @abc.abstractmethod
    def begin(self, name: str, call: str, now: float) -> None:
        """Records the start of a call."""

    @abc.abstractmethod
    def answer(self, name: str, call: str, began_at: float, now: float) -> None:
        """Records an answer."""

    @abc.abstractmethod
    def refuse(self, name: str, call: str, now: float) -> None:
        """Records that an endpoint was full."""


class HealthChooser(Chooser):
    """Chooses by what the host has seen itself.

    Attributes:
        health: the health of the endpoints.
        rng: the generator of random choices.
    """

    def __init__(self, decide: Callable[..., str | None], rng: random.Random):
        self.health = HealthTable()
        self.rng = rng
        self._decide = decide

    def choose(self, names, excluded, now):
        """See the base class."""
        found = self._decide(self.health.by_id, names, excluded, now, self.rng)
        assert found is not None
        return found

    def begin(self, name, call, now):
        """See the base class."""
        self.health.get_or_create(name).begin(call, now)

    def answer(self, name, call, began_at, now):
        """See the base class."""
        health = self.health.get_or_create(name)
        health.end(call)
        health.record_answer(now - began_at, now)

    def refuse(self, name, call, now):
        """See the base class."""
        self.health.get_or_create(name).end(call)


class LoadChooser(HealthChooser):
    """Also knows what hosts tell each other.

    Attributes:
        loads: the calls of all hosts.
    """

    def __init__(self, decide: Callable[..., str | None], rng: random.Random):
        super().__init__(decide, rng)
        self.loads = EndpointLoads()

    def choose(self, names, excluded, now):
        """See the base class."""
        found = self._decide(
            self.health.by_id,
            self.loads.count_open(names, now),
            names,
            excluded,
            now,
            self.rng,
        )
        assert found is not None
        return found

    def begin(self, name, call, now):
        """See the base class."""
        super().begin(name, call, now)
        self.loads.begin(name)

    def answer(self, name, call, began_at, now):
        """See the base class."""
        super().answer(name, call, began_at, now)
        self.loads.end(name)

    def refuse(self, name, call, now):
        """See the base class."""
        super().refuse(name, call, now)
        self.loads.end(name)


@dataclasses.dataclass(slots=True)
class _Call:
    id: str
    host: int
    work: float
    tried: list[str]
    began_at: float = 0.0
    queued_at: float = 0.0


@dataclasses.dataclass(slots=True)
class _Server:
    name: str
    speed: float
    slow: float = 1.0
    running: int = 0
    work_left: float = 0.0
    taken: float = 0.0
    queue: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )


class ChoiceModel:
    """One run of the model."""

    def __init__(
        self, load: ChoiceLoad, choosers: Sequence[Chooser], seed: int
    ):
        self.load = load
        self.choosers = choosers
        # Separate generators: all choices meet the same calls and slow spells.
        self._arrival_rng = random.Random(f'{seed} arrivals')
        self._spell_rng = random.Random(f'{seed} spells')
        self._beat_rng = random.Random(f'{seed} heartbeats')
        self._hubs = frozenset(
            self._beat_rng.sample(range(load.hosts), min(HUB_COUNT, load.hosts))
        )
        self.names = [f'worker-{n}' for n in range(len(load.speeds))]
        self.servers = {
            name: _Server(name, speed)
            for name, speed in zip(self.names, load.speeds, strict=True)
        }
        self._events: list = []
        self._numbers = itertools.count()
        self._waits: list[float] = []
        self._calls = self._refusals = self._avoidable = self._lost = 0
        self._largest = self._mean = 0.0

    def run(self) -> ChoiceResult:
        """Runs the model to its end."""
        load = self.load
        self._at(self._next_arrival(0.0), self._arrive)
        for name in self.names:
            self._at(self._spell_rng.random() * load.slow_s, self._turn, name)
        for host in range(load.hosts):
            first_at = self._beat_rng.random() * load.heartbeat_s
            self._at(first_at, self._beat, host)
        self._at(1.0, self._sample)
        while self._events and self._events[0][0] <= load.duration_s:
            now, _, act, args = heapq.heappop(self._events)
            act(now, *args)
        taken = sum(server.taken for server in self.servers.values())
        speed = sum(load.speeds)
        waits = sorted(self._waits)
        return ChoiceResult(
            self._calls,
            self._refusals,
            self._avoidable,
            self._lost,
            sum(waits) / len(waits),
            waits[int(0.99 * len(waits))],
            self._largest / self._mean,
            max(
                server.taken / taken / (server.speed / speed)
                for server in self.servers.values()
            ),
        )

    def _at(self, when, act, *args):
        heapq.heappush(self._events, (when, next(self._numbers), act, args))

    def _next_arrival(self, now: float) -> float:
        load = self.load
        rate = load.hosts * load.calls_per_s
        rate *= 1.0 + load.wave_share * math.sin(
            2 * math.pi * now / load.wave_s
        )
        if now % load.burst_every_s < load.burst_s:
            rate *= load.burst_factor
        return now + self._arrival_rng.expovariate(rate)

    def _arrive(self, now):
        self._at(self._next_arrival(now), self._arrive)
        self._calls += 1
        host = self._arrival_rng.randrange(self.load.hosts)
        work = self.load.work_s * self._arrival_rng.uniform(0.5, 1.5)
        self._send(now, _Call(f'r{self._calls}', host, work, []))

    def _send(self, now, call):
        chooser = self.choosers[call.host]
        name = chooser.choose(self.names, call.tried, now)
        server = self.servers[name]
        call.tried.append(name)
        call.began_at = call.queued_at = now
        chooser.begin(name, call.id, now)
        if server.running < self.load.slots:
            self._start(now, server, call)
        elif len(server.queue) < self.load.queue:
            server.queue.append(call)
            server.work_left += call.work
            server.taken += call.work
        else:
            self._refuse(now, name, call)

    def _refuse(self, now, name, call):
        self._refusals += 1
        self._avoidable += any(
            server.running < self.load.slots for server in self.servers.values()
        )
        self.choosers[call.host].refuse(name, call.id, now)
        if len(call.tried) < min(self.load.attempts, len(self.names)):
            self._send(now, call)
        else:
            self._lost += 1

    def _start(self, now, server, call, was_queued=False):
        self._waits.append(now - call.queued_at)
        server.running += 1
        if not was_queued:
            server.work_left += call.work
            server.taken += call.work
        seconds = call.work * server.slow / server.speed
        self._at(now + seconds, self._finish, server, call)

    def _finish(self, now, server, call):
        server.running -= 1
        server.work_left -= call.work
        self.choosers[call.host].answer(
            server.name, call.id, call.began_at, now
        )
        if server.queue:
            self._start(now, server, server.queue.popleft(), True)

    def _turn(self, now, name):
        load = self.load
        is_slow = self._spell_rng.random() < load.slow_share
        self.servers[name].slow = (
            self._spell_rng.uniform(*load.slow_factors) if is_slow else 1.0
        )
        self._at(now + load.slow_s, self._turn, name)

    def _beat(self, now, host):
        """Exchanges the heartbeats that a host starts."""
        for other in range(host + 1, self.load.hosts):
            if host in self._hubs or other in self._hubs:
                self._exchange(now, host, other)
                self._exchange(now, other, host)
        pause_s = self.load.heartbeat_s * self._beat_rng.uniform(0.9, 1.1)
        self._at(now + pause_s, self._beat, host)

    def _exchange(self, now, sender, receiver):
        sending, receiving = self.choosers[sender], self.choosers[receiver]
        if not isinstance(sending, LoadChooser) or not isinstance(
            receiving, LoadChooser
        ):
            return
        loads = sending.loads
        is_hub = sender in self._hubs
        receiving.loads.merge(
            str(sender),
            loads.list_own(),
            loads.list_sum(str(receiver), now) if is_hub else (),
            now,
        )

    def _sample(self, now):
        loads = [
            server.work_left * server.slow / server.speed
            for server in self.servers.values()
        ]
        self._largest += max(loads)
        self._mean += sum(loads) / len(loads)
        self._at(now + 0.05, self._sample)

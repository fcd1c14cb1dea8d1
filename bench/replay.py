"""Replays a recording through a whole site on a paused clock."""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
import random
import uuid
from collections.abc import Sequence

import async_solipsism

from bench.bench_faults import FAULT_BY_NAME, FaultScene
from bench.callers import Callers, CallRecord
from bench.deployments import DEPLOYMENT_BY_NAME, Deployment
from bench.workloads import Arrival
from mustardscale.configuration.config_records import ConfigKey, ServiceKind
from standins.engine_model import EngineModel
from standins.memory_site import MemorySite, SiteLayout, token_of

# Seconds from the start of the hosts to the first arrival.
START_S = 5.0
# Seconds after the last answer until leftovers are looked for.
SETTLE_S = 15.0
# Seconds at the beginning that are replayed and not measured.
WARM_UP_S = 20.0
# Bits of a UUIDv7 below its time.
UUID_TIME_SHIFT = 80
MS = 1_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class PrefillWork:
    """Prompt tokens that engines computed.

    Attributes:
        computed: all tokens computed.
        wasted: those whose result was of no use.
    """

    computed: int
    wasted: int


@dataclasses.dataclass(slots=True)
class ReplayResult:
    """What a replay left.

    Attributes:
        records: one for each request, in the order of sending.
        prefill: prefill work after the time to warm up.
        wasted_by_cause: wasted tokens by cause, the whole run.
        language_runs_by_request: prefills and decodes begun.
        plain_runs_by_request: executions begun.
        pieces_left: memory pieces held at the end.
        preempted: streams that were preempted.
        end_s: seconds from the first arrival to the last answer.
    """

    records: list[CallRecord]
    prefill: PrefillWork
    wasted_by_cause: dict[str, int]
    language_runs_by_request: dict[str, int]
    plain_runs_by_request: dict[str, int]
    pieces_left: int
    preempted: int
    end_s: float


def replay(
    deployment_name: str,
    arrivals: Sequence[Arrival],
    policy: str,
    seed: int,
    fault: str = '',
) -> ReplayResult:
    """Replays a recording.

    Args:
        deployment_name: whose hosts and endpoints.
        arrivals: the recording.
        policy: name of the placement policy.
        seed: seed of the site and of its callers.
        fault: name of a fault, '' for none.
    """
    deployment = DEPLOYMENT_BY_NAME[deployment_name]
    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        return runner.run(_replay(deployment, arrivals, policy, seed, fault))


def make_site(
    deployment: Deployment, lengths: dict[int, int], policy: str, seed: int
) -> MemorySite:
    """Makes a deployment's site; its hosts are not started yet."""
    plain = [mix.service for mix in deployment.plain]
    layout = SiteLayout(
        region=deployment.data_centres[0].rpartition('-')[0],
        data_centres=deployment.data_centres,
        entry_hosts=deployment.entry_hosts,
        language_service=deployment.model,
        prefill_engines=deployment.prefill_engines,
        decode_engines=deployment.decode_engines,
        plain_service=plain[0],
        plain_endpoints=deployment.plain_endpoints,
        other_plain_services=tuple(plain[1:]),
    )
    site = MemorySite(
        layout,
        seed,
        policy,
        deployment.parameters,
        lambda fingerprint, limit: min(limit, lengths.get(fingerprint, 1)),
    )
    work_s = max(mix.work_s for mix in deployment.plain)
    for endpoint in site.plains_by_id.values():
        endpoint.conditions.latency_s = work_s
    return site


async def publish_config(site: MemorySite, deployment: Deployment) -> None:
    """Publishes a deployment's profiles and services."""
    for name, profile in deployment.profile_by_name.items():
        await site.publish(ConfigKey('profile', name), profile)
    for service, choice in deployment.choice_by_service.items():
        digest = hashlib.sha256(token_of(service).encode()).hexdigest()
        await site.publish(
            ConfigKey('service', service),
            dataclasses.replace(choice, token_sha256=(digest,)),
        )


async def _replay(
    deployment: Deployment,
    arrivals: Sequence[Arrival],
    policy: str,
    seed: int,
    fault: str,
) -> ReplayResult:
    lengths = {
        arrival.prompt.fingerprint: arrival.output_tokens
        for arrival in arrivals
        if arrival.kind is ServiceKind.LANGUAGE
    }
    site = make_site(deployment, lengths, policy, seed)
    await site.start()
    await publish_config(site, deployment)
    await asyncio.sleep(START_S)
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    rng = random.Random(seed)
    callers = Callers(site, rng)
    engines = list(site.engines_by_id.values())
    before: list[PrefillWork] = []
    loop.call_later(WARM_UP_S, lambda: before.append(_prefill_work(engines)))
    beside: list[asyncio.Task] = []
    if fault:
        scene = FaultScene(site, callers, deployment.language[0].service, rng)
        beside.append(asyncio.create_task(FAULT_BY_NAME[fault]().run(scene)))
    calls = []
    for arrival in arrivals:
        await asyncio.sleep(started_at + arrival.time_s - loop.time())
        sent = dataclasses.replace(
            arrival, request_id=id_at(arrival.request_id, site.wall_clock())
        )
        calls.append(asyncio.create_task(callers.call(sent)))
    await asyncio.gather(*calls, *beside)
    end_s = loop.time() - started_at
    await asyncio.sleep(SETTLE_S)
    result = _result(site, callers, before[0], end_s)
    await site.stop()
    return result


def id_at(request_id: str, wall_clock_s: float) -> str:
    """Returns a UUIDv7 with another time, as if it were made then."""
    random_bits = uuid.UUID(request_id).int & ((1 << UUID_TIME_SHIFT) - 1)
    milliseconds = int(wall_clock_s * MS)
    return str(uuid.UUID(int=milliseconds << UUID_TIME_SHIFT | random_bits))


def _prefill_work(engines: Sequence[EngineModel]) -> PrefillWork:
    counters = [engine.counters for engine in engines]
    return PrefillWork(
        sum(item.prefill_tokens_computed for item in counters),
        sum(item.prefill_tokens_wasted for item in counters),
    )


def _result(
    site: MemorySite, callers: Callers, before: PrefillWork, end_s: float
) -> ReplayResult:
    engines = list(site.engines_by_id.values())
    after = _prefill_work(engines)
    wasted: dict[str, int] = {}
    language: dict[str, int] = {}
    for engine in engines:
        counters = engine.counters
        _add(wasted, counters.wasted_tokens_by_cause)
        _add(language, counters.prefills_by_request)
        _add(language, counters.executions_by_request)
    plain: dict[str, int] = {}
    for model in {
        id(item): item for item in site.plains_by_id.values()
    }.values():
        _add(plain, model.counters.executions_by_id)
    return ReplayResult(
        records=callers.records,
        prefill=PrefillWork(
            after.computed - before.computed, after.wasted - before.wasted
        ),
        wasted_by_cause=wasted,
        language_runs_by_request=language,
        plain_runs_by_request=plain,
        pieces_left=sum(
            engine.memory.total - engine.memory.free for engine in engines
        ),
        preempted=sum(engine.counters.preempted for engine in engines),
        end_s=end_s,
    )


def _add(total: dict[str, int], counts: dict[str, int]) -> None:
    for key, count in counts.items():
        total[key] = total.get(key, 0) + count

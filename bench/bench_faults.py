"""The faults of the bench, each as a coroutine beside a replay."""

from __future__ import annotations

import abc
import asyncio
import dataclasses
import random
import uuid

from bench.callers import Callers
from bench.workloads import Arrival, prompt_of
from mustardscale.configuration.config_records import ServiceKind
from mustardscale.endpoints.engines import EngineRole
from standins.engine_model import EngineModel
from standins.faults import Outage
from standins.memory_site import MemorySite

# Seconds from the beginning of the recording to the fault.
FAULT_AT_S = 45.0
ENGINE_DOWN_S = 10.0
SLOW_LINK_FACTOR = 0.25
STALE_REPORT_LAG_S = 2.0
LOG_OUTAGE_S = 45.0
POISON_SENDS = 6
POISON_INTERVAL_S = 5.0
POISON_TOKENS = 900


@dataclasses.dataclass(frozen=True, slots=True)
class FaultScene:
    """What a fault acts on.

    Attributes:
        site: the site.
        callers: its callers.
        service: a language service.
        rng: source of random choices.
    """

    site: MemorySite
    callers: Callers
    service: str
    rng: random.Random

    def engine(self, role: EngineRole) -> EngineModel:
        """Returns the first engine of a role."""
        return next(
            engine
            for engine in self.site.engines_by_id.values()
            if engine.parameters.role is role
        )


class Fault(abc.ABC):
    """A fault."""

    @abc.abstractmethod
    async def run(self, scene: FaultScene) -> None:
        """Injects the fault; starts with the recording."""


class EngineKilled(Fault):
    """A decode engine dies and comes back."""

    async def run(self, scene: FaultScene) -> None:
        """See the base class."""
        await asyncio.sleep(FAULT_AT_S)
        scene.engine(EngineRole.DECODE).kill(ENGINE_DOWN_S)


class EntryHostKilled(Fault):
    """An entry host dies; its callers go on at other hosts."""

    async def run(self, scene: FaultScene) -> None:
        """See the base class."""
        await asyncio.sleep(FAULT_AT_S)
        owners = [
            host
            for host, router in sorted(scene.site.routers_by_host.items())
            if router.pool_owner.owned_by_id
        ]
        await scene.callers.kill_host(owners[0])


class SlowLink(Fault):
    """The link of one prefill engine loses most of its rate."""

    async def run(self, scene: FaultScene) -> None:
        """See the base class."""
        await asyncio.sleep(FAULT_AT_S)
        engine = scene.engine(EngineRole.PREFILL)
        rate = engine.parameters.link_bytes_per_s
        engine.set_link_rate(rate * SLOW_LINK_FACTOR)


class StaleReports(Fault):
    """All load reports are older than usual."""

    async def run(self, scene: FaultScene) -> None:
        """See the base class."""
        for engine in scene.site.engines_by_id.values():
            engine.set_report_lag(STALE_REPORT_LAG_S)


class LogOutage(Fault):
    """The log answers nobody for a while."""

    async def run(self, scene: FaultScene) -> None:
        """See the base class."""
        await asyncio.sleep(FAULT_AT_S)
        scene.site.log.conditions.outage = Outage.REFUSE
        await asyncio.sleep(LOG_OUTAGE_S)
        scene.site.log.conditions.outage = Outage.NONE


class PoisonRequest(Fault):
    """A prompt that crashes its engine, sent again by its caller."""

    async def run(self, scene: FaultScene) -> None:
        """See the base class."""
        await asyncio.sleep(FAULT_AT_S)
        prompt = prompt_of([('poison', POISON_TOKENS)], 'poison')
        for engine in scene.site.engines_by_id.values():
            engine.faults.crash_fingerprints.add(prompt.fingerprint)
        for _ in range(POISON_SENDS):
            request_id = str(uuid.UUID(int=scene.rng.getrandbits(128)))
            arrival = Arrival(
                FAULT_AT_S,
                request_id,
                scene.service,
                ServiceKind.LANGUAGE,
                prompt,
                output_tokens=1,
                max_tokens=100,
            )
            record = await scene.callers.call(arrival)
            scene.callers.records.remove(record)
            await asyncio.sleep(POISON_INTERVAL_S)


FAULT_BY_NAME: dict[str, type[Fault]] = {
    'engine_killed': EngineKilled,
    'entry_host_killed': EntryHostKilled,
    'slow_link': SlowLink,
    'stale_reports': StaleReports,
    'log_outage': LogOutage,
    'poison_request': PoisonRequest,
}

"""Wanted states of engines, and limits on loading weights."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping

from mustardscale.endpoints.engines import EngineRole, LoadReport

# Prefix of the name of an entry for all engines that the host list assigns to
# a model; the model's name follows.
MODEL_PREFIX = 'model/'


@dataclasses.dataclass(slots=True)
class WantedEngine:
    """The whole wanted state of one engine or of a model's engines.

    Attributes:
        model: model that the engine must serve.
        model_version: version of that model.
        role: role that it must have; None for the role on the host list.
        adapters: adapters that it must have loaded, and no others.
        fencing: whether it refuses orders with an old term; None for the value
            on the host list.
        allow_outage: whether the last engine of a role may be taken out of
            service for a change.
    """

    model: str
    model_version: str
    role: EngineRole | None = None
    adapters: tuple[str, ...] = ()
    fencing: bool | None = None
    allow_outage: bool = False

    def __post_init__(self):
        """Checks that the state is complete."""
        for name in ('model', 'model_version'):
            if not getattr(self, name):
                raise ValueError(f'{name} must not be empty')
        if '' in self.adapters or len(set(self.adapters)) < len(self.adapters):
            raise ValueError('adapters must be named, each once')


@dataclasses.dataclass(slots=True)
class WeightStoreLimits:
    """Load limits of the weight store of a region.

    Attributes:
        loads_at_once: maximum number of loads in progress.
        bytes_per_s: rate that all loads share, bytes per second; 0 for no
            limit.
        weight_bytes: size of the largest load, bytes; divided by bytes_per_s
            it is the minimum time from one load to the next.
    """

    loads_at_once: int = 1
    bytes_per_s: float = 0.0
    weight_bytes: float = 0.0

    def __post_init__(self):
        """Checks the ranges."""
        if self.loads_at_once < 1:
            raise ValueError('loads_at_once must be at least 1')
        if self.bytes_per_s < 0 or self.weight_bytes < 0:
            raise ValueError('rates and sizes must not be negative')

    @property
    def load_s(self) -> float:
        """Minimum time between the starts of two loads, seconds."""
        if not self.bytes_per_s:
            return 0.0
        return self.weight_bytes / self.bytes_per_s


@dataclasses.dataclass(frozen=True, slots=True)
class EngineTarget:
    """The state that one engine must reach.

    Attributes:
        role: the engine's role.
        model: the engine's model.
        model_version: version of that model.
        adapters: its adapters, sorted by name.
    """

    role: EngineRole
    model: str
    model_version: str
    adapters: tuple[str, ...] = ()

    def reached(self, report: LoadReport) -> bool:
        """Returns whether a report shows this state.

        Adapters are not compared if the engine does not report them.
        """
        reported = (report.role, report.model, report.model_version)
        if reported != (self.role, self.model, self.model_version):
            return False
        if report.adapters is None:
            return True
        return tuple(sorted(report.adapters)) == self.adapters


@dataclasses.dataclass(frozen=True, slots=True)
class ListedEngine:
    """An engine as listed in the host list.

    Attributes:
        id: the engine's id.
        model: the engine's model on the host list.
        role: its role on the host list, or None.
        fencing: whether it is listed as refusing orders with an old term.
    """

    id: str
    model: str
    role: EngineRole | None
    fencing: bool


def find_wanted_state(
    engine: ListedEngine, wanted_by_name: Mapping[str, WantedEngine]
) -> WantedEngine | None:
    """Returns an engine's own entry, or else the entry of its model."""
    own_entry = wanted_by_name.get(engine.id)
    return own_entry or wanted_by_name.get(MODEL_PREFIX + engine.model)


def compute_target(engine: ListedEngine, wanted: WantedEngine) -> EngineTarget:
    """Returns the state that an engine must reach."""
    role = wanted.role or engine.role or EngineRole.DECODE
    adapters = tuple(sorted(wanted.adapters))
    return EngineTarget(role, wanted.model, wanted.model_version, adapters)


def checks_fencing(engine: ListedEngine, wanted: WantedEngine) -> bool:
    """Returns whether an engine refuses orders with an old term."""
    return engine.fencing if wanted.fencing is None else wanted.fencing


def check_wanted(
    name: str,
    engines: Iterable[ListedEngine],
    wanted_by_name: Mapping[str, WantedEngine],
    served_models: Iterable[str],
) -> None:
    """Checks an entry against the host list before it is published.

    Args:
        name: name of the entry, which wanted_by_name must already contain.
        engines: the engines on the host list.
        wanted_by_name: all entries, including the new one.
        served_models: models that language services use.

    Raises:
        ValueError: the entry applies to no engine on the host list, or it
            removes the last engine of a role from a model that a service uses.
    """
    engines = list(engines)
    names = {engine.id for engine in engines}
    names |= {MODEL_PREFIX + engine.model for engine in engines}
    if name not in names:
        raise ValueError(f'the host list names no engine {name!r}')
    before = {(engine.model, engine.role) for engine in engines}
    after = set()
    for engine in engines:
        wanted = find_wanted_state(engine, wanted_by_name)
        if wanted is None:
            after.add((engine.model, engine.role))
        else:
            target = compute_target(engine, wanted)
            after.add((target.model, target.role))
    for model in sorted(set(served_models)):
        for role in EngineRole:
            if (model, role) in before - after:
                raise ValueError(f'no {role} engine would serve {model!r}')

"""The faults of a soak: series that overlap, drawn from a seed."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Sequence

import msgspec

# Faults begin and end within these, seconds from the start of the load.
FIRST_AT_S = 0.5
LAST_END_S = 9.0
LONGEST_S = 3.0
SHORTEST_S = 0.4
HOST_KINDS = (
    'host_killed',
    'host_paused',
    'host_stopped',
    'store_silent',
    'store_cut',
)
WORKER_KINDS = (
    'link_delayed',
    'link_silent',
    'link_one_way',
    'link_reset',
    'link_refused',
    'worker_full',
    'worker_loses_answers',
    'worker_breaks_streams',
    'worker_leaves',
    'worker_limits',
    'worker_unframed',
    'worker_ends',
)
SITE_KINDS = ('store_refuses', 'store_set_back', 'config_changed')
ALL_KINDS = (*HOST_KINDS, *WORKER_KINDS, *SITE_KINDS)


@dataclasses.dataclass(frozen=True, slots=True)
class SoakFault:
    """One fault.

    Attributes:
        kind: one of ALL_KINDS.
        target: the host or worker, '' for the whole site.
        at: seconds from the start of the load.
        for_s: seconds that it lasts.
    """

    kind: str
    target: str
    at: float
    for_s: float


def draw_faults(
    seed: int, hosts: Sequence[str], workers: Sequence[str]
) -> list[SoakFault]:
    """Draws several series of faults; each one is of one kind and target."""
    rng = random.Random(seed)
    faults: list[SoakFault] = []
    for _ in range(rng.randint(3, 7)):
        kind = rng.choice(ALL_KINDS)
        target = ''
        if kind in HOST_KINDS:
            target = rng.choice(hosts)
        elif kind in WORKER_KINDS:
            target = rng.choice(workers)
        at = FIRST_AT_S + rng.random() * 2
        while at < LAST_END_S - SHORTEST_S:
            longest_s = min(LONGEST_S, LAST_END_S - at)
            for_s = rng.uniform(SHORTEST_S, longest_s)
            if kind == 'worker_limits':
                # A limit binds only after a while.
                for_s = LAST_END_S - at
            faults.append(
                SoakFault(kind, target, round(at, 2), round(for_s, 2))
            )
            at += for_s + rng.uniform(0.5, 4.0)
    return sorted(faults, key=lambda fault: fault.at)


def encode_plan(seed: int, faults: Sequence[SoakFault]) -> bytes:
    """Returns a plan as a file that `--replay` reads."""
    return msgspec.json.format(
        msgspec.json.encode({'seed': seed, 'faults': list(faults)})
    )


def decode_plan(data: bytes) -> tuple[int, list[SoakFault]]:
    """Reads a plan.

    Raises:
        msgspec.MsgspecError: it is none.
    """
    plan = msgspec.json.decode(data, type=_Plan)
    return plan.seed, plan.faults


class _Plan(msgspec.Struct):
    seed: int
    faults: list[SoakFault]

"""Draws random combinations of faults and of callers from a seed."""

from __future__ import annotations

import dataclasses
import enum
import random

# Faults begin and end within these loop times, seconds.
FIRST_FAULT_S = 6.0
LAST_FAULT_S = 16.0
FAULTS_END_S = 26.0
# Faults in one run.
FEWEST_FAULTS = 2
MOST_FAULTS = 4


class FaultKind(enum.StrEnum):
    """What goes wrong."""

    HOST_KILLED = 'host_killed'
    OWNER_KILLED = 'owner_killed'
    HOST_FROZEN = 'host_frozen'
    HOST_DRAINED = 'host_drained'
    PEERS_CUT = 'peers_cut'
    PEERS_CUT_ONE_WAY = 'peers_cut_one_way'
    PEER_REPLIES_LOST = 'peer_replies_lost'
    HOST_CUT_FROM_LOG = 'host_cut_from_log'
    HOST_CUT_FROM_LIST = 'host_cut_from_list'
    HOST_CUT_FROM_ENDPOINT = 'host_cut_from_endpoint'
    LOG_REFUSES = 'log_refuses'
    LOG_HANGS = 'log_hangs'
    LOG_ANSWERS_LOST = 'log_answers_lost'
    LOG_SLOW = 'log_slow'
    LIST_LAGS = 'list_lags'
    LIST_OUT = 'list_out'
    ENGINE_KILLED = 'engine_killed'
    ENGINE_FROZEN = 'engine_frozen'
    ENGINE_SLOW = 'engine_slow'
    TRANSFERS_STALLED = 'transfers_stalled'
    TOKEN_EVENTS_DISTURBED = 'token_events_disturbed'
    CANCEL_ANSWERS_LOST = 'cancel_answers_lost'
    ENGINE_LEAVING = 'engine_leaving'
    PLAIN_KILLED = 'plain_killed'
    PLAIN_FROZEN = 'plain_frozen'
    PLAIN_ANSWERS_LOST = 'plain_answers_lost'
    PLAIN_LEAVING = 'plain_leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    Attributes:
        kind: what goes wrong.
        at: loop time at which it begins, seconds.
        lasts_s: seconds until it ends.
        target: number of the host or endpoint that it hits.
        other: number of the second one, of the kinds that have two.
    """

    kind: FaultKind
    at: float
    lasts_s: float
    target: int
    other: int

    def __str__(self) -> str:
        """Returns the form that is printed with a violation."""
        return f'{self.kind}({self.target}) at {self.at:.2f}+{self.lasts_s:.2f}'


def draw_faults(rng: random.Random) -> list[Fault]:
    """Draws the faults of one run; some begin at the same moment."""
    number = rng.randint(FEWEST_FAULTS, MOST_FAULTS)
    kinds = rng.sample(list(FaultKind), number)
    together_at = rng.uniform(FIRST_FAULT_S, LAST_FAULT_S)
    faults = []
    for kind in kinds:
        at = rng.uniform(FIRST_FAULT_S, LAST_FAULT_S)
        if rng.random() < 0.5:
            at = together_at + rng.uniform(0.0, 0.5)
        lasts_s = min(rng.choice((0.5, 2.0, 4.0, 10.0)), FAULTS_END_S - at)
        faults.append(
            Fault(kind, at, lasts_s, rng.randrange(1 << 16), rng.randrange(4))
        )
    return sorted(faults, key=lambda fault: fault.at)

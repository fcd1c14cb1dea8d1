"""The troubles of a run of streams, drawn from a seed."""

from __future__ import annotations

import dataclasses
import enum
import random
from collections.abc import Sequence

from standins.peer_links import Silence
from standins.route_changes import RouteChange
from standins.store_troubles import StoreTrouble
from standins.worker_links import LinkCut

FIRST_AT_S = 1.0
# Time at the end without new troubles, seconds.
CALM_S = 3.0
# Time between two troubles, and between two of the further kinds, seconds.
GAP_S = (0.3, 2.5)
FURTHER_GAP_S = (1.0, 5.0)
# Time between two closings of connections, seconds.
CLOSING_GAP_S = (0.3, 1.5)
# Time for which such a closing counts as going on, seconds.
CLOSING_S = 0.1
# Time between two troubles for all hosts, and the time that one lasts, seconds.
FOR_ALL_GAP_S = (2.0, 6.0)
FOR_ALL_S = (0.5, 4.0)
# Time between two cuts between hosts, and the time that one lasts, seconds.
PEER_CUT_GAP_S = (1.0, 5.0)
PEER_CUT_S = (0.3, 5.0)
# Time between two silences of connections between hosts, and the time in which
# the hosts should notice, seconds.
SILENCE_GAP_S = (0.5, 6.0)
SILENCE_NOTICED_S = 3.0
# Time from the notice of a worker to its shutdown, seconds.
NOTICE_S = (0.1, 1.5)
# Time from the stop of a host that is replaced to its next start, seconds.
REPLACED_S = 1.0


class TroubleKind(enum.StrEnum):
    """What happens."""

    WORKER_KILLED = 'worker killed'
    WORKER_FROZEN = 'worker frozen'
    WORKER_STOPPED = 'worker stopped'
    HOST_KILLED = 'host killed'
    HOST_STOPPED = 'host stopped'
    HOST_FROZEN = 'host frozen'
    HOSTS_CUT_OFF = 'hosts cut off'
    WORKER_FROZEN_LONG = 'worker frozen for long'
    ENTRY_CHANGED = 'entry changed'
    STORE_TROUBLED = 'store troubled'
    HOSTS_KILLED = 'several hosts killed'
    HOSTS_STOPPED = 'several hosts stopped'
    LINK_CLOSED = 'link closed'
    CONNECTION_CLOSED = 'connection closed'
    ROUTE_CHANGED = 'route changed'
    STORE_SET_BACK = 'store set back'
    PEERS_CUT = 'peers cut'
    PEERS_CUT_ONE_WAY = 'peers cut one way'
    PEERS_SILENT = 'peers silent'


HOST_KILLS = (TroubleKind.HOST_KILLED, TroubleKind.HOSTS_KILLED)
HOST_STOPS = (TroubleKind.HOST_STOPPED, TroubleKind.HOSTS_STOPPED)
SEVERAL_HOSTS = (TroubleKind.HOSTS_KILLED, TroubleKind.HOSTS_STOPPED)
FURTHER_KINDS = (
    TroubleKind.WORKER_FROZEN_LONG,
    TroubleKind.ENTRY_CHANGED,
    TroubleKind.STORE_TROUBLED,
    *SEVERAL_HOSTS,
)
# Connections between a host and a worker are closed without a reset, and both
# run on: all of them, or the oldest one.
CLOSINGS = (TroubleKind.LINK_CLOSED, TroubleKind.CONNECTION_CLOSED)
# What the operator and its store do to all hosts at once.
FOR_ALL_HOSTS = (TroubleKind.ROUTE_CHANGED, TroubleKind.STORE_SET_BACK)
# What one of two hosts sends to the other one is lost, or what either sends.
PEER_CUTS = (TroubleKind.PEERS_CUT, TroubleKind.PEERS_CUT_ONE_WAY)
ROUTES = ('chat', 'once', 'read', 'book')
WORKER_FREEZES = (TroubleKind.WORKER_FROZEN, TroubleKind.WORKER_FROZEN_LONG)


class EntryChange(enum.StrEnum):
    """What becomes of the entry of a worker that runs on.

    Attributes:
        EXPIRED: it is removed.
        NO_ADDRESS: its address is missing.
        WRONG_TYPES: fields are of other types.
        UNKNOWN_STATE: it has a state that nobody knows.
        UNKNOWN_SERVICE: it names a service that nobody knows.
        UNREADABLE: its bytes cannot be read.
    """

    EXPIRED = 'expired'
    NO_ADDRESS = 'no address'
    WRONG_TYPES = 'wrong types'
    UNKNOWN_STATE = 'unknown state'
    UNKNOWN_SERVICE = 'unknown service'
    UNREADABLE = 'unreadable'


class StopNotice(enum.StrEnum):
    """How a worker announces that it leaves, before it shuts down.

    Attributes:
        LISTED: its entry in the list says so.
        REMOVED: its entry is removed.
        NONE: not at all.
    """

    LISTED = 'listed'
    REMOVED = 'removed'
    NONE = 'none'


@dataclasses.dataclass(frozen=True, slots=True)
class Trouble:
    """One trouble.

    Attributes:
        kind: what happens.
        targets: the hosts or the worker; the host whose connections close; the
            host that sends and the one that receives; the host whose
            connections go silent, and those that have opened them.
        at: seconds from the start of the load.
        for_s: seconds that it lasts; from the notice of a worker to its
            shutdown.
        cut: what a cut does to connections.
        notice: how a worker announces its shutdown.
        entry: what becomes of a worker's entry.
        store: how the store treats hosts.
        route: name of a route that is another one for that time.
        change: what becomes of that route.
        silence: what no longer arrives on open connections.
    """

    kind: TroubleKind
    targets: tuple[str, ...]
    at: float
    for_s: float
    cut: LinkCut | None = None
    notice: StopNotice | None = None
    entry: EntryChange | None = None
    store: StoreTrouble | None = None
    route: str = ''
    change: RouteChange | None = None
    silence: Silence = Silence.NONE


def draw_troubles(
    seed: int,
    hosts: Sequence[str],
    workers: Sequence[str],
    seconds: float,
) -> list[Trouble]:
    """Draws troubles for a run of some seconds.

    Cuts come on two of three seeds; several hosts are killed once at most, and
    stopped once at most.
    """
    rng = random.Random(f'troubles {seed}')
    drawn_apart = (
        *FURTHER_KINDS,
        *CLOSINGS,
        *FOR_ALL_HOSTS,
        *PEER_CUTS,
        TroubleKind.PEERS_SILENT,
    )
    kinds = [kind for kind in TroubleKind if kind not in drawn_apart]
    if seed % 3:
        kinds += [TroubleKind.HOSTS_CUT_OFF] * 2
    else:
        kinds.remove(TroubleKind.HOSTS_CUT_OFF)
    troubles = []
    at = FIRST_AT_S + rng.random()
    while at < seconds - CALM_S:
        troubles.append(_draw(rng, rng.choice(kinds), hosts, workers, at))
        at += rng.uniform(*GAP_S)
    return [
        *troubles,
        *_draw_further(seed, hosts, workers, seconds),
        *_draw_closings(seed, hosts, seconds),
        *_draw_for_all(seed, seconds),
        *_draw_peer_cuts(seed, hosts, seconds),
        *_draw_silences(seed, hosts, seconds),
    ]


def _draw_further(
    seed: int,
    hosts: Sequence[str],
    workers: Sequence[str],
    seconds: float,
) -> list[Trouble]:
    """Draws troubles of the further kinds, which overlap with the others."""
    rng = random.Random(f'further troubles {seed}')
    kinds = list(FURTHER_KINDS)
    troubles = []
    at = FIRST_AT_S + rng.random()
    while at < seconds - CALM_S:
        kind = rng.choice(kinds)
        if kind in SEVERAL_HOSTS:
            # With more of these, hosts are hardly up.
            kinds.remove(kind)
        troubles.append(_draw(rng, kind, hosts, workers, at))
        at += rng.uniform(*FURTHER_GAP_S)
    return troubles


def _draw_closings(
    seed: int, hosts: Sequence[str], seconds: float
) -> list[Trouble]:
    """Draws which host's connections to workers are closed without a reset."""
    rng = random.Random(f'closings {seed}')
    troubles = []
    at = FIRST_AT_S + rng.random()
    while at < seconds - CALM_S:
        kind = rng.choice(CLOSINGS)
        troubles.append(Trouble(kind, (rng.choice(hosts),), at, CLOSING_S))
        at += rng.uniform(*CLOSING_GAP_S)
    return troubles


def _draw_for_all(seed: int, seconds: float) -> list[Trouble]:
    """Draws what the operator and its store do to all hosts at once."""
    rng = random.Random(f'operator {seed}')
    troubles = []
    at = FIRST_AT_S + rng.random()
    while at < seconds - CALM_S:
        kind = rng.choice(FOR_ALL_HOSTS)
        trouble = Trouble(kind, (), at, rng.uniform(*FOR_ALL_S))
        if kind is TroubleKind.ROUTE_CHANGED:
            change = rng.choice(list(RouteChange))
            route = rng.choice(ROUTES)
            trouble = dataclasses.replace(trouble, route=route, change=change)
        troubles.append(trouble)
        at += rng.uniform(*FOR_ALL_GAP_S)
    return troubles


def _draw_peer_cuts(
    seed: int, hosts: Sequence[str], seconds: float
) -> list[Trouble]:
    """Draws between which hosts links are lost."""
    if len(hosts) < 2:
        return []
    rng = random.Random(f'peer links {seed}')
    troubles = []
    at = FIRST_AT_S + rng.random()
    while at < seconds - CALM_S:
        kind = rng.choice(PEER_CUTS)
        targets = tuple(rng.sample(list(hosts), 2))
        for_s = rng.uniform(*PEER_CUT_S)
        troubles.append(Trouble(kind, targets, at, for_s))
        at += rng.uniform(*PEER_CUT_GAP_S)
    return troubles


def _draw_silences(
    seed: int, hosts: Sequence[str], seconds: float
) -> list[Trouble]:
    """Draws which open connections to a host go silent for good."""
    if len(hosts) < 2:
        return []
    rng = random.Random(f'silent connections {seed}')
    troubles = []
    at = FIRST_AT_S + rng.random()
    while at < seconds - CALM_S:
        troubles.append(
            Trouble(
                TroubleKind.PEERS_SILENT,
                tuple(rng.sample(list(hosts), rng.randint(2, len(hosts)))),
                at,
                SILENCE_NOTICED_S,
                silence=rng.choice(
                    (Silence.CALLS, Silence.REPLIES, Silence.BOTH)
                ),
            )
        )
        at += rng.uniform(*SILENCE_GAP_S)
    return troubles


def draw_replacements(hosts: Sequence[str], seconds: float) -> list[Trouble]:
    """Returns the stops of all hosts, one after the other."""
    step_s = (seconds - CALM_S) / (len(hosts) + 1)
    return [
        Trouble(TroubleKind.HOST_STOPPED, (host,), step_s * number, REPLACED_S)
        for number, host in enumerate(hosts, 1)
    ]


def _draw(
    rng: random.Random,
    kind: TroubleKind,
    hosts: Sequence[str],
    workers: Sequence[str],
    at: float,
) -> Trouble:
    if kind is TroubleKind.HOSTS_CUT_OFF:
        count = rng.randint(1, max(1, len(hosts) - 1))
        targets = tuple(rng.sample(list(hosts), count))
        cut = rng.choice(list(LinkCut))
        return Trouble(kind, targets, at, rng.uniform(1.0, 4.0), cut)
    if kind is TroubleKind.WORKER_STOPPED:
        notice = rng.choice(list(StopNotice))
        targets = (rng.choice(workers),)
        for_s = rng.uniform(*NOTICE_S)
        return Trouble(kind, targets, at, for_s, notice=notice)
    if kind is TroubleKind.ENTRY_CHANGED:
        change = rng.choice(list(EntryChange))
        targets = (rng.choice(workers),)
        return Trouble(kind, targets, at, rng.uniform(0.3, 4.0), entry=change)
    if kind is TroubleKind.STORE_TROUBLED:
        store = rng.choice(list(StoreTrouble))
        targets = tuple(rng.sample(list(hosts), rng.randint(1, len(hosts))))
        return Trouble(kind, targets, at, rng.uniform(0.5, 5.0), store=store)
    if kind in SEVERAL_HOSTS:
        most = max(2, len(hosts) - 1)
        count = min(len(hosts), rng.randint(2, most))
        targets = tuple(rng.sample(list(hosts), count))
        return Trouble(kind, targets, at, rng.uniform(0.5, 1.5))
    if kind is TroubleKind.WORKER_FROZEN_LONG:
        return Trouble(kind, (rng.choice(workers),), at, rng.uniform(1.5, 5.0))
    if kind.value.startswith('worker'):
        return Trouble(kind, (rng.choice(workers),), at, rng.uniform(0.3, 1.2))
    return Trouble(kind, (rng.choice(hosts),), at, rng.uniform(0.5, 1.5))

"""Fits the limits of callers to the memory and descriptors of the machine."""

from __future__ import annotations

import dataclasses

_MB = 1_000_000
# An idle process uses 69 to 71 MB.
_IDLE_MB = 72.0
# Shares of what the idle process leaves. A body may be copied once more for a
# worker that reads slowly, and answers count while they are read and while
# they are sent, so that together they stay below the whole.
_CONNECTIONS_SHARE = 0.25
_BODIES_SHARE = 0.2
_ANSWERS_SHARE = 0.1
# What a connection may make the process keep: a read and what the HTTP library
# has read ahead of a body.
_CONNECTION_BYTES = 49_152
_LEAST_CONNECTIONS = 64
# Descriptors for peers, the store and the process itself; of the others each
# request may use one for its caller and one for its endpoint.
_OWN_DESCRIPTORS = 512
_DESCRIPTORS_PER_REQUEST = 2


@dataclasses.dataclass(frozen=True, slots=True)
class HostLimits:
    """What callers may take up of a host.

    Attributes:
        connections: connections of all callers.
        all_bodies_bytes: bodies of all requests in progress.
        all_answers_bytes: answers that are being read, and those that are
            being sent.
    """

    connections: int
    all_bodies_bytes: int
    all_answers_bytes: int


def fit_to_host(
    wanted: HostLimits, memory_mb: float, max_fds: float
) -> HostLimits:
    """Returns limits that the machine can bear, at most those that are wanted.

    Args:
        wanted: the limits of the settings.
        memory_mb: memory of the machine, 0 if unknown.
        max_fds: descriptors that the process may open, 0 if unknown.

    >>> fit_to_host(HostLimits(1_500, 33_554_432, 16_777_216), 128, 1_638)
    HostLimits(connections=284, all_bodies_bytes=11200000, \
all_answers_bytes=5600000)
    """
    limits = wanted
    if max_fds:
        pairs = (int(max_fds) - _OWN_DESCRIPTORS) // _DESCRIPTORS_PER_REQUEST
        limits = _with_connections(limits, pairs)
    if memory_mb:
        free = max(0.0, memory_mb - _IDLE_MB) * _MB
        share = int(free * _CONNECTIONS_SHARE)
        limits = dataclasses.replace(
            _with_connections(limits, share // _CONNECTION_BYTES),
            all_bodies_bytes=min(
                wanted.all_bodies_bytes, int(free * _BODIES_SHARE)
            ),
            all_answers_bytes=min(
                wanted.all_answers_bytes, int(free * _ANSWERS_SHARE)
            ),
        )
    return limits


def _with_connections(limits: HostLimits, count: int) -> HostLimits:
    bounded = min(limits.connections, max(_LEAST_CONNECTIONS, count))
    return dataclasses.replace(limits, connections=bounded)

"""Tells peers the rate limits that endpoints state, in heartbeats."""

from __future__ import annotations

import math

from mustardscale.blackboard import Blackboard, EndpointEntry, HostEntry
from mustardscale.endpoints.endpoint_notices import RateLimit
from mustardscale.peers.rate_limit_messages import NO_LIMIT, RateLimitStatement
from mustardscale.reporting.event_log import EventKind

# Time for which a new value, and all values to a new peer, are told in
# heartbeats, seconds. Several heartbeats may be lost in it.
TELL_S = 3.0
# Time for which what heartbeats tell is kept, seconds. It is a small part of
# the time after which all hosts must keep to a limit.
KEEP_S = 0.25
# Error of the time of a statement that comes from a peer, seconds: the time
# that the message took. A statement that is newer by less changes nothing.
STATED_AT_ERROR_S = 0.25


def make_statement(
    endpoint: EndpointEntry, limit: RateLimit, now: float
) -> RateLimitStatement:
    """Returns the message that tells the rate limit of an endpoint."""
    return RateLimitStatement(
        endpoint.id,
        endpoint.notice.start,
        NO_LIMIT if limit.per_s is None else limit.per_s,
        max(0.0, now - limit.stated_at),
        limit.first_hand,
    )


class StatedLimits:
    """The rate limits that heartbeats tell peers.

    Both lists are kept for KEEP_S, as there are many heartbeats and endpoints.
    """

    __slots__ = ('_all', '_blackboard', '_made_at', '_recent')

    def __init__(self, blackboard: Blackboard):
        self._blackboard = blackboard
        self._all: tuple[RateLimitStatement, ...] = ()
        self._recent: tuple[RateLimitStatement, ...] = ()
        self._made_at = -math.inf

    def list_for(
        self, peer: HostEntry | None, now: float
    ) -> tuple[RateLimitStatement, ...]:
        """Returns the rate limits that a heartbeat to a peer tells."""
        if now - self._made_at >= KEEP_S:
            self._make(now)
        met_lately = peer is not None and now - peer.met_at <= TELL_S
        return self._all if met_lately else self._recent

    def _make(self, now: float) -> None:
        self._made_at = now
        recent, remaining = [], []
        for endpoint in self._blackboard.endpoints_by_id.values():
            limit = endpoint.notice.rate_limit
            if limit is None:
                continue
            if now - limit.learnt_at <= TELL_S:
                recent.append(make_statement(endpoint, limit, now))
            elif limit.in_force:
                remaining.append(make_statement(endpoint, limit, now))
        self._recent = tuple(recent)
        self._all = (*recent, *remaining)


def merge_statement(
    board: Blackboard, statement: RateLimitStatement, now: float
) -> None:
    """Records a rate limit that a peer tells, if it is newer."""
    endpoint = board.endpoints_by_id.get(statement.endpoint)
    if endpoint is None or endpoint.notice.start != statement.start:
        return
    if not math.isfinite(statement.per_s) or not statement.age_s >= 0:
        return
    stated_at = now - statement.age_s
    known = endpoint.notice.rate_limit
    error_s = 0.0 if statement.first_hand else STATED_AT_ERROR_S
    if known is not None and stated_at <= known.stated_at + error_s:
        return
    per_s = None if statement.per_s < 0 else statement.per_s
    if known is None and per_s is None:
        return
    if endpoint.notice.update_rate_limit(per_s, stated_at, now, False):
        board.events.emit(
            EventKind.RATE_LIMIT_CHANGED,
            endpoint=endpoint.id,
            change='told by a peer',
            service=endpoint.service,
            limit_per_s=per_s,
        )

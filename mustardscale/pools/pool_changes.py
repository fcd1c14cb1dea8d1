"""Computes and applies changes of a pool's state, for traces and replay."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Mapping, MutableMapping
from typing import TypeVar

from mustardscale.configuration.config_records import Profile
from mustardscale.policy.base import (
    EngineState,
    PoolState,
    Reservation,
    WaitingRequest,
)
from mustardscale.pools.pool_lines import PoolChange, Renewal

Entry = TypeVar('Entry', EngineState, WaitingRequest, Reservation)


class PoolChangeTracker:
    """Computes what changes in a pool between two calls of its policy."""

    __slots__ = ('_engines', '_held', '_profiles', '_waiting', '_weights')

    def __init__(self):
        self._engines: dict[str, EngineState] = {}
        self._waiting: dict[str, WaitingRequest] = {}
        self._held: dict[str, Reservation] = {}
        self._profiles: dict[str, Profile] = {}
        self._weights: dict[str, float] = {}

    def compute_change(self, pool: PoolState) -> PoolChange | None:
        """Returns what changed since the last call, None if nothing did."""
        engines = _find_changed(self._engines, pool.engines_by_id)
        waiting = _find_changed(self._waiting, pool.waiting_by_request_id)
        renewed = _find_renewals(self._held, pool.reservations_by_request_id)
        held = _find_changed(self._held, pool.reservations_by_request_id)
        engines_gone = _remove_gone(self._engines, pool.engines_by_id)
        waiting_gone = _remove_gone(self._waiting, pool.waiting_by_request_id)
        held_gone = _remove_gone(self._held, pool.reservations_by_request_id)
        waiting_order = _restore_order(
            self._waiting, pool.waiting_by_request_id
        )
        held_order = _restore_order(self._held, pool.reservations_by_request_id)
        profiles = None
        if self._profiles != pool.profile_by_service:
            self._profiles = profiles = dict(pool.profile_by_service)
        weights = None
        if self._weights != pool.weight_by_customer:
            self._weights = weights = dict(pool.weight_by_customer)
        change = PoolChange(
            tuple(map(_make_json_safe, engines)),
            engines_gone,
            tuple(waiting),
            waiting_gone,
            waiting_order,
            tuple(map(strip_block_hashes, held)),
            renewed,
            held_gone,
            held_order,
            profiles,
            weights,
        )
        return None if change == _NO_CHANGE else change


_NO_CHANGE = PoolChange()


def _find_changed(
    known: dict[str, Entry], now: Mapping[str, Entry]
) -> list[Entry]:
    """Returns new and changed entries and copies them into known."""
    changed = [entry for key, entry in now.items() if known.get(key) != entry]
    for key, entry in now.items():
        if known.get(key) != entry:
            known[key] = dataclasses.replace(entry)
    return changed


def _remove_gone(
    known: dict[str, Entry], now: Mapping[str, Entry]
) -> tuple[str, ...]:
    gone = tuple(key for key in known if key not in now)
    for key in gone:
        del known[key]
    return gone


def _restore_order(
    known: dict[str, Entry], now: Mapping[str, Entry]
) -> tuple[str, ...]:
    """Returns the order of the keys if known has another, () if not.

    A replay that only adds and removes keys would have the order of known, so
    the order must be recorded. The order of known is updated.
    """
    order = tuple(now)
    if tuple(known) == order:
        return ()
    for key in order:
        known[key] = known.pop(key)
    return order


def _find_renewals(
    known: dict[str, Reservation], now: Mapping[str, Reservation]
) -> tuple[Renewal, ...]:
    """Returns renewals for reservations of which only progress changed."""
    renewed = []
    for key, held in now.items():
        old = known.get(key)
        if old is None or old == held:
            continue
        renewal = Renewal(
            key,
            held.stream.stage,
            held.stream.emitted,
            held.renewed_at,
            held.decoding_since,
            held.suspect,
        )
        if apply_renewal(old, renewal) == held:
            known[key] = dataclasses.replace(held)
            renewed.append(renewal)
    return tuple(renewed)


def apply_renewal(held: Reservation, renewal: Renewal) -> Reservation:
    """Returns a copy of a reservation with the progress of a renewal."""
    return dataclasses.replace(
        held,
        stream=dataclasses.replace(
            held.stream, stage=renewal.stage, emitted=renewal.emitted
        ),
        renewed_at=renewal.renewed_at,
        decoding_since=renewal.decoding_since,
        suspect=renewal.suspect,
    )


def strip_block_hashes(held: Reservation) -> Reservation:
    """Returns a copy of a reservation without its block hashes."""
    return dataclasses.replace(held, block_hashes=())


def _make_json_safe(engine: EngineState) -> EngineState:
    """Returns an engine whose report time is finite, as JSON needs it."""
    if math.isfinite(engine.reported_at):
        return engine
    return dataclasses.replace(engine, reported_at=0.0)


class RestoredPool:
    """A pool's state, restored from recorded changes.

    Attributes:
        state: the state after the changes applied so far.
    """

    __slots__ = ('_hashes_by_request_id', 'state')

    def __init__(self, pool_id: str):
        self.state = PoolState(pool_id)
        # Block hashes of prompts by request id and attempt.
        self._hashes_by_request_id: dict[str, dict[int, tuple[int, ...]]] = {}

    def apply(self, change: PoolChange) -> None:
        """Applies a recorded change to the state."""
        state = self.state
        for engine in change.engines:
            state.engines_by_id[engine.id] = engine
        for item in change.waiting:
            tag = item.request.tag
            state.waiting_by_request_id[tag.request_id] = item
            by_attempt = self._hashes_by_request_id.setdefault(
                tag.request_id, {}
            )
            by_attempt[tag.attempt] = item.request.block_hashes
        held_by_id = state.reservations_by_request_id
        for renewal in change.renewed:
            known = held_by_id[renewal.request_id]
            held_by_id[renewal.request_id] = apply_renewal(known, renewal)
        for held in change.held:
            held_by_id[held.request_id] = self.restore_block_hashes(held)
        _remove_keys(state.engines_by_id, change.engines_gone)
        state.update_piece_tokens()
        _remove_keys(state.waiting_by_request_id, change.waiting_gone)
        _remove_keys(held_by_id, change.held_gone)
        _reorder_keys(state.waiting_by_request_id, change.waiting_order)
        _reorder_keys(held_by_id, change.held_order)
        if change.profile_by_service is not None:
            state.profile_by_service = change.profile_by_service
        if change.weight_by_customer is not None:
            state.weight_by_customer = change.weight_by_customer
        for request_id in (*change.waiting_gone, *change.held_gone):
            self._discard_hashes(request_id)

    def restore_block_hashes(self, held: Reservation) -> Reservation:
        """Returns a recorded reservation with its prompt's block hashes."""
        by_attempt = self._hashes_by_request_id.get(held.request_id, {})
        hashes = by_attempt.get(held.stream.tag.attempt, ())
        return dataclasses.replace(held, block_hashes=hashes)

    def _discard_hashes(self, request_id: str) -> None:
        state = self.state
        known = (state.waiting_by_request_id, state.reservations_by_request_id)
        if not any(request_id in entries for entries in known):
            self._hashes_by_request_id.pop(request_id, None)


def _remove_keys(
    entries: MutableMapping[str, Entry], gone: tuple[str, ...]
) -> None:
    for key in gone:
        entries.pop(key, None)


def _reorder_keys(
    entries: MutableMapping[str, Entry], order: tuple[str, ...]
) -> None:
    for key in order:
        entries[key] = entries.pop(key)

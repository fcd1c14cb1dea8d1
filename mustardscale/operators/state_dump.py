"""Describes a process's state for operators, without prompts and secrets."""

from __future__ import annotations

import asyncio
import dataclasses
import math
from collections.abc import Mapping

from mustardscale.blackboard import Blackboard
from mustardscale.endpoints.engines import EngineRole
from mustardscale.orders.order_state import OrderState
from mustardscale.pools.owned_pool import OwnedPool
from mustardscale.pools.pool_owner import PoolOwner
from mustardscale.quarantine.crash_evidence import CrashEvidence, ProcessId


def summarize_state(
    board: Blackboard, pool_owner: PoolOwner, log_reachable: bool
) -> dict[str, object]:
    """Returns what the operators' status shows."""
    now = asyncio.get_running_loop().time()
    versions = {
        str(key): entry.version for key, entry in board.config.by_key.items()
    }
    ages = {
        host.id: round(now - host.heard_at, 3)
        for host in board.hosts_by_id.values()
        if math.isfinite(host.heard_at)
    }
    return {
        'host': board.host,
        'incarnation': board.incarnation,
        'data_centre': board.data_centre,
        'draining': board.draining,
        'config_offset': board.config.folded_offset,
        'config_versions': versions,
        'hosts': ages,
        'pools': {
            pool_id: _pool_fill(pool)
            for pool_id, pool in pool_owner.owned_by_id.items()
        },
        'log_reachable': log_reachable,
        'orders': _orders(board.orders),
        'requests': len(board.served_by_id),
    }


def _orders(orders: OrderState) -> dict[str, object]:
    return {
        'version': orders.version,
        'host': orders.host,
        'settled': orders.settled,
        'change_by_engine': _plain(orders.change_by_engine),
        'placed_by_engine': _plain(orders.placed_by_engine),
    }


def _pool_fill(pool: OwnedPool) -> dict[str, object]:
    decodes = pool.state.engines(EngineRole.DECODE)
    reports = [engine.report for engine in decodes if engine.report]
    total = sum(report.pieces_total for report in reports)
    free = sum(report.pieces_free for report in reports)
    return {
        'waiting': len(pool.waiting_by_request_id),
        'running': len(pool.state.reservations_by_request_id),
        'pieces_total': total,
        'pieces_used': total - free,
        'engines': sorted(pool.state.engines_by_id),
    }


def dump_state(board: Blackboard, pool_owner: PoolOwner) -> dict[str, object]:
    """Returns all that a process knows, as a JSON object."""
    return {
        'host': board.host,
        'incarnation': board.incarnation,
        'draining': board.draining,
        'quorum_at': _number(board.quorum_at),
        'hosts_by_id': _plain(board.hosts_by_id),
        'endpoints_by_id': _plain(board.endpoints_by_id),
        'served_by_id': {
            request_id: {
                **_fields(served, skip=('emitted',)),
                'emitted': len(served.emitted),
            }
            for request_id, served in board.served_by_id.items()
        },
        'directory_by_request_id': _plain(board.directory_by_request_id),
        'crash_evidence': _evidence(board.crash_evidence),
        'config': {
            'folded_offset': board.config.folded_offset,
            'versions': {
                str(key): entry.version
                for key, entry in board.config.by_key.items()
            },
        },
        'orders': _orders(board.orders),
        'pools_by_id': {
            pool_id: {
                **_pool_fill(pool),
                'reservations': _plain(pool.state.reservations_by_request_id),
            }
            for pool_id, pool in pool_owner.owned_by_id.items()
        },
    }


def _evidence(evidence: CrashEvidence) -> dict[str, object]:
    """Returns what is suspected of crashing endpoints, and why."""
    return {
        'harmful': [
            {
                'keys': sorted(found.keys),
                'crashed': [list(_ids(p)) for p in found.crashes],
                'last_at': _number(found.last_at),
            }
            for found in evidence.judgement.harmful
        ],
        'suspected': sorted(evidence.judgement.suspected),
        'crashes': [
            {
                'endpoint': crash.process.endpoint_id,
                'start': crash.process.start,
                'at': _number(crash.at),
                'was_alive': crash.was_alive,
                'is_own': crash.is_own,
                'sent_at_by_key': crash.sent_at_by_key,
            }
            for crash in evidence.crashes
        ],
        'survival_by_key': _plain(evidence.survival_by_key),
        'trial_by_key': _plain(evidence.trial_by_key),
    }


def _ids(process: ProcessId) -> tuple[str, int]:
    return process.endpoint_id, process.start


def _plain(by_key: Mapping[str, object]) -> dict[str, object]:
    return {key: _fields(value) for key, value in by_key.items()}


def _fields(value: object, skip: tuple[str, ...] = ()) -> dict[str, object]:
    if not dataclasses.is_dataclass(value) or isinstance(value, type):
        raise TypeError(f'{type(value).__name__} is not a dataclass')
    return {
        field.name: _member(getattr(value, field.name))
        for field in dataclasses.fields(value)
        if field.name not in skip
    }


def _member(value: object) -> object:
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return _fields(value)
    if isinstance(value, float):
        return _number(value)
    if isinstance(value, list | tuple):
        return [_member(item) for item in value]
    return value


def _number(value: float) -> float | None:
    return round(value, 3) if math.isfinite(value) else None

"""What the stand-ins of the platform list and configure."""

from __future__ import annotations

from typing import Any

HOST = 'shop.example'


def route(name: str, service: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Returns a route of the operator's configuration."""
    return {
        'name': name,
        'host': HOST,
        'path_prefix': f'/{name}/',
        'type': kind,
        'timeout_ms': 8000,
        'target_latency_ms': 900,
        'priority': 1,
        'service': service,
        'max_attempts': 2,
        'target_gap_ms': 300,
    } | fields


CONFIG: dict[str, Any] = {
    'version': 3,
    'routes': [
        route('chat', 'llm', 'streaming', resumable=True, sticky=True),
        route('once', 'llm', 'streaming', resumable=False, sticky=True),
        route('book', 'app', 'non_idempotent'),
        route('read', 'app', 'idempotent'),
    ],
    'services': [
        {
            'name': 'llm',
            'engine': {
                'slot_count': 48,
                'kv_capacity_tokens': 100_000,
                'kv_token_bytes': 131_072,
                'link_mbps': 4.4e6,
                'stride': 72,
                'kv_hold_s': 0.5,
            },
        },
        {'name': 'app'},
    ],
    'limits': {
        'max_header_bytes': 16_384,
        'max_body_bytes': 100_000,
        'header_timeout_ms': 3_000,
        'idle_timeout_ms': 15_000,
    },
}


def worker_entry(
    address: str,
    phase: str = '',
    state: str = 'ready',
    version: str = 'v1',
) -> dict[str, Any]:
    """Returns the entry of a worker.

    Args:
        address: 'ip:port' at which it is reached.
        phase: the stage of an engine, '' for a plain worker.
        state: what the list says of it.
        version: version of its software.
    """
    entry: dict[str, Any] = {
        'service': 'llm' if phase else 'app',
        'address': address,
        'zone': 'z',
        'version': version,
        'slot_count': 6,
        'state': state,
        'cold_remaining_ms': 0,
        'sequence': 0,
    }
    return entry | ({'phase': phase} if phase else {})

"""A configuration of many routes, of which each version changes a few."""

from __future__ import annotations

import json
import random
from typing import Any

from standins.platform_plan import CONFIG, route

CUSTOMERS = 16
# Routes of a small configuration.
FEW_ROUTES = 5
# Routes that came with one of the last versions, at most.
MAX_ADDED = 3


class LargeConfig:
    """The operator's configuration.

    Attributes:
        version: number of the present version, 0 before the first.
        added: host and path of the routes that versions have added and that
            are still there, the oldest first.
        dropped: host and path of the routes that versions have dropped.
        standing: host and path of a route that always stands.
        keys: keys of the customers' callers.
    """

    def __init__(self, routes: int, rng: random.Random):
        """Makes a configuration without a version.

        Args:
            routes: number of routes that stand all the time, at least 1.
            rng: draws names and keys.
        """
        self.version = 0
        self.added: list[str] = []
        self.dropped: list[str] = []
        self._rng = rng
        self.keys = [f'{rng.getrandbits(64):016x}' for _ in range(CUSTOMERS)]
        self._standing = [self._make_route() for _ in range(routes)]
        self._added_routes: list[dict[str, Any]] = []
        self.standing = _address_of(self._standing[0])

    def _make_route(self) -> dict[str, Any]:
        name = f'{self._rng.getrandbits(32):08x}'
        return route(
            name,
            'app',
            'idempotent',
            host=f'{self._rng.getrandbits(20):05x}.example',
            path_prefix=f'/{self._rng.getrandbits(24):06x}/{name}/',
        )

    def grow(self, routes: int) -> None:
        """Adds routes that stand all the time, with the next version."""
        self._standing += [self._make_route() for _ in range(routes)]

    def change(self) -> int:
        """Makes the next version: a route comes, and the oldest one goes.

        Returns:
            The number of the version.
        """
        self.version += 1 + self._rng.randrange(3)
        self._added_routes.append(self._make_route())
        if len(self._added_routes) > MAX_ADDED:
            self.dropped.append(_address_of(self._added_routes.pop(0)))
        self.added = [_address_of(added) for added in self._added_routes]
        return self.version

    def encode(self) -> bytes:
        """Returns the version as the operator writes it."""
        tenants = [
            {'name': f't{number}', 'api_keys': [key]}
            for number, key in enumerate(self.keys)
        ]
        content = CONFIG | {
            'version': self.version,
            'routes': CONFIG['routes'] + self._standing + self._added_routes,
            'tenants': tenants,
        }
        return json.dumps(content).encode()


def _address_of(made: dict[str, Any]) -> str:
    """Returns a route's host and path, joined."""
    return f'{made["host"]}{made["path_prefix"]}'

"""Versions of the operator's configuration in which a route is another."""

from __future__ import annotations

import copy
import enum
from typing import Any

# Time that a route has after RouteChange.TIMEOUT, milliseconds.
SHORT_TIMEOUT_MS = 700
# Service to which the requests of another one go after RouteChange.MOVED.
OTHER_SERVICES = {'llm': 'llm2', 'app': 'app2'}


class RouteChange(enum.StrEnum):
    """What becomes of a route.

    Attributes:
        REMOVED: there is none.
        MOVED: its requests go to another service.
        TIMEOUT: its requests have less time.
    """

    REMOVED = 'removed'
    MOVED = 'moved'
    TIMEOUT = 'timeout'


class RouteChanges:
    """The changes of routes that hold at present."""

    def __init__(self, config: dict[str, Any]):
        """Begins without a change.

        Args:
            config: the configuration; services of other names are added.
        """
        self._config = copy.deepcopy(config)
        self._config['services'] += [
            service | {'name': OTHER_SERVICES[service['name']]}
            for service in config['services']
        ]
        self._change_by_route: dict[str, RouteChange] = {}

    def change(self, route: str, change: RouteChange | None) -> None:
        """Changes a route, or sets it back (None)."""
        if change is None:
            self._change_by_route.pop(route, None)
        else:
            self._change_by_route[route] = change
        # Versions rise in uneven steps.
        self._config['version'] += 1 + self._config['version'] % 3

    def make(self) -> dict[str, Any]:
        """Returns the configuration as it is to be stored."""
        config = copy.deepcopy(self._config)
        routes = []
        for route in config['routes']:
            change = self._change_by_route.get(route['name'])
            if change is RouteChange.REMOVED:
                continue
            if change is RouteChange.MOVED:
                route['service'] = OTHER_SERVICES[route['service']]
            elif change is RouteChange.TIMEOUT:
                route['timeout_ms'] = SHORT_TIMEOUT_MS
            routes.append(route)
        return config | {'routes': routes}

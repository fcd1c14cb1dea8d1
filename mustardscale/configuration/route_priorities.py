"""Finds the priorities of requests, where those of a service differ."""

from __future__ import annotations

from collections.abc import Iterator

from mustardscale.configuration.customers import Customer
from mustardscale.configuration.routes import Route, RouteTable
from mustardscale.endpoints.engines import NO_PRIORITY


class RoutePriorities:
    """The priorities of the requests of a table's routes.

    A service whose requests all have the same priority has no priorities: its
    engines and the owners of its pools are told none.
    """

    __slots__ = ('_priority_by_route', '_services')

    def __init__(self, table: RouteTable):
        self._services = _find_services_with_priorities(table)
        self._priority_by_route = {
            route.name: route.priority
            for route in table.routes
            if any(target.service in self._services for target in route.targets)
        }

    def find(
        self, route: Route, customer: Customer | None, service: str
    ) -> int:
        """Returns the priority of a request, NO_PRIORITY for none.

        Args:
            route: the route of the request.
            customer: its customer, None if it has none.
            service: the service that it goes to.
        """
        if service not in self._services:
            return NO_PRIORITY
        return _compute_priority(route, customer)

    def of_route(self, name: str) -> int:
        """Returns the priority of a route, NO_PRIORITY for none.

        It stands in for that of a request whose host states none.
        """
        return self._priority_by_route.get(name, NO_PRIORITY)


def _compute_priority(route: Route, customer: Customer | None) -> int:
    """Returns the customer's priority, or else that of the route."""
    if customer is None or customer.priority is None:
        return route.priority
    return customer.priority


def _find_services_with_priorities(table: RouteTable) -> frozenset[str]:
    """Returns the services whose requests differ in priority."""
    priorities_by_service: dict[str, set[int]] = {}
    for route in table.routes:
        priorities = set(_possible_priorities(route, table.customers))
        for target in route.targets:
            priorities_by_service.setdefault(target.service, set()).update(
                priorities
            )
    return frozenset(
        service
        for service, priorities in priorities_by_service.items()
        if len(priorities) > 1
    )


def _possible_priorities(
    route: Route, customers: tuple[Customer, ...]
) -> Iterator[int]:
    """Yields the priorities that requests of a route may have."""
    if route.is_public or not customers:
        yield route.priority
    for customer in customers:
        yield _compute_priority(route, customer)

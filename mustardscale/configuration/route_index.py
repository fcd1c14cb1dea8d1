"""Finds the route of a request, and computes the profiles of routes."""

from __future__ import annotations

from mustardscale.configuration.config_records import Profile
from mustardscale.configuration.customers import Customer
from mustardscale.configuration.route_priorities import RoutePriorities
from mustardscale.configuration.routes import Route, RouteTable

# Callers of streams leave when no event arrives for the longest of three times:
# LEAVE_AFTER_S seconds, a multiple of the route's target latency, and a
# multiple of its target gap between events.
LEAVE_AFTER_S = 2.0
LEAVE_AFTER_LATENCIES = 4.0
LEAVE_AFTER_GAPS = 8.0
# Time, seconds, that must be left from the admission of a request to its first
# event.
ADMISSION_TO_FIRST_EVENT_S = 0.45
# Target time per output token of streams on routes, seconds. It is not
# enforced, because the engines that serve routes do not report step times.
UNCHECKED_PER_TOKEN_S = 1.0
MAX_TOKENS = 1_000_000


def build_route_profile(route: Route) -> Profile:
    """Returns the profile by which pool owners treat a route's requests."""
    return Profile(
        first_token_s=route.target_latency_s,
        per_token_s=UNCHECKED_PER_TOKEN_S,
        patience_s=max(
            route.target_latency_s,
            compute_leave_after_s(route) - ADMISSION_TO_FIRST_EVENT_S,
        ),
        max_prompt_tokens=MAX_TOKENS,
        max_output_tokens=MAX_TOKENS,
        timeout_s=route.timeout_s,
    )


def compute_leave_after_s(route: Route) -> float:
    """Returns the time without an event after which callers leave, seconds."""
    return min(
        route.timeout_s,
        max(
            LEAVE_AFTER_S,
            LEAVE_AFTER_LATENCIES * route.target_latency_s,
            LEAVE_AFTER_GAPS * route.gap_s,
        ),
    )


class RouteIndex:
    """Finds routes and services of a table.

    Attributes:
        table: the table.
        service_by_name: the table's services.
        customer_by_key: the table's customers by the keys of their callers.
        priorities: what is known of the priorities of requests.
        profile_by_route: profile of each route that is answered by streams,
            by the route's name.
    """

    __slots__ = (
        '_route_by_prefix_by_host',
        'customer_by_key',
        'priorities',
        'profile_by_route',
        'service_by_name',
        'table',
    )

    def __init__(self, table: RouteTable):
        self.table = table
        self.service_by_name = {item.name: item for item in table.services}
        self.customer_by_key: dict[str, Customer] = {}
        for customer in table.customers:
            for key in customer.keys:
                self.customer_by_key.setdefault(key, customer)
        self.priorities = RoutePriorities(table)
        self.profile_by_route = {
            route.name: build_route_profile(route)
            for route in table.routes
            if route.is_stream
        }
        self._route_by_prefix_by_host: dict[str, dict[str, Route]] = {}
        for route in table.routes:
            by_prefix = self._route_by_prefix_by_host.setdefault(
                route.host.lower(), {}
            )
            by_prefix[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of a path.

        Args:
            host: value of the Host header.
            path: path of the request, without the query.
        """
        by_prefix = self._route_by_prefix_by_host.get(host.lower())
        if by_prefix is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None


EMPTY_INDEX = RouteIndex(RouteTable(0))

"""Finds the customer of a request by the key that its caller presents."""

from __future__ import annotations

import dataclasses

from mustardscale.configuration.route_index import RouteIndex
from mustardscale.configuration.route_source import (
    UNCONFIRMED_RETRY_AFTER_S,
    RouteSource,
)
from mustardscale.configuration.routes import Route
from mustardscale.exceptions import OutcomeError
from mustardscale.outcomes import Outcome
from mustardscale.relay.relay_messages import RelayRequest


@dataclasses.dataclass(frozen=True, slots=True)
class CallerIdentities:
    """Checks the keys of callers against the configuration.

    Attributes:
        source: the source of the configuration.
        customer_header: header in which endpoints are told the customer's name.
        max_key_age_s: seconds after which a configuration that could not be
            confirmed admits no requests with keys, 0 for no limit.
    """

    source: RouteSource
    customer_header: str
    max_key_age_s: float = 0.0

    def identify(
        self, request: RelayRequest, route: Route, routes: RouteIndex
    ) -> None:
        """Sets a request's customer and what endpoints are told of it.

        Raises:
            OutcomeError: UNAUTHENTICATED, the route requires a key and the
                caller presents none that is known; CONFIG_UNAVAILABLE, the key
                may be new, or may have been revoked.
        """
        if not routes.table.customers:
            request.headers += request.identity_headers
            return
        request.customer = routes.customer_by_key.get(request.credential)
        if request.customer is None:
            if not route.is_public:
                if request.credential:
                    self.source.require_recent_for_denial()
                raise OutcomeError(
                    Outcome.UNAUTHENTICATED,
                    'the key is missing or unknown in version '
                    f'{routes.table.version}; {self.source.describe_age()}',
                )
            return
        if not route.is_public:
            self._require_recent_for_key()
        request.headers += ((self.customer_header, request.customer.name),)

    def _require_recent_for_key(self) -> None:
        """Checks that the configuration is recent enough to accept keys.

        Raises:
            OutcomeError: CONFIG_UNAVAILABLE.
        """
        if not self.max_key_age_s:
            return
        if self.source.age_s() > self.max_key_age_s:
            raise OutcomeError(
                Outcome.CONFIG_UNAVAILABLE,
                'this host cannot tell whether the key is still valid',
                retry_after_s=UNCONFIRMED_RETRY_AFTER_S,
            )

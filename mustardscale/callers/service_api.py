"""The interface between the HTTP servers and the router."""

from __future__ import annotations

import abc
from collections.abc import AsyncIterator

from mustardscale.configuration.config_records import ServiceChoice, ServiceKind
from mustardscale.endpoints.caller_requests import LanguageRequest, PlainRequest
from mustardscale.endpoints.engines import TokenEvent
from mustardscale.endpoints.plain_endpoints import PlainAnswer


class RequestService(abc.ABC):
    """What an entry host does for callers and operators.

    Methods raise OutcomeError where a request ends without a whole answer.
    """

    @abc.abstractmethod
    def authenticate(self, bearer_token: str) -> str:
        """Returns the service that a bearer token belongs to.

        Raises:
            OutcomeError: UNAUTHENTICATED or CONFIG_UNAVAILABLE.
        """

    @abc.abstractmethod
    def serve_language(
        self, request: LanguageRequest
    ) -> AsyncIterator[TokenEvent]:
        """Yields the tokens of an answer; closing it means the caller left."""

    @abc.abstractmethod
    async def serve_plain(self, request: PlainRequest) -> PlainAnswer:
        """Returns a plain service's answer; cancelled if the caller leaves."""

    @abc.abstractmethod
    def service_kind(self, service: str) -> ServiceKind:
        """Returns what stands behind a service.

        Raises:
            OutcomeError: UNKNOWN_SERVICE.
        """

    @abc.abstractmethod
    def service_choice(self, service: str) -> ServiceChoice:
        """Returns the published choice of a service.

        Raises:
            OutcomeError: UNKNOWN_SERVICE.
        """

    @abc.abstractmethod
    def is_ready(self) -> bool:
        """Returns whether new requests are taken."""

    @abc.abstractmethod
    def dump(self) -> dict[str, object]:
        """Returns the process's state as a JSON object."""

    @abc.abstractmethod
    def status(self) -> dict[str, object]:
        """Returns a summary of the state as a JSON object.

        Its members: host, incarnation, draining, config_offset,
        config_versions (version by key), hosts (seconds since the last
        heartbeat by host), pools (fill by pool) and log_reachable.
        """

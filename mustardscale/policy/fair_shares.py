"""Fair shares of a pool between its services, by prompt tokens granted."""

from __future__ import annotations

from collections.abc import Iterable

# Prompt tokens, for a weight of 1, by which a service may be ahead of the one
# that is furthest behind; above the longest prompts in use.
ALLOWANCE_TOKENS = 120_000.0


class FairShares:
    """Start-time fair queueing, with an allowance within which slack decides.

    Each service has a tag: the prompt tokens granted to it over its weight.
    The virtual time is the smallest tag of the services that wait, so that a
    service which comes back after a pause has neither credit nor debt.
    """

    __slots__ = ('_tag_by_service', '_virtual_time')

    def __init__(self):
        self._tag_by_service: dict[str, float] = {}
        self._virtual_time = 0.0

    def observe_waiting(self, services: Iterable[str]) -> None:
        """Notes which services have requests waiting in a round."""
        tags = self._tag_by_service
        waiting = set(services)
        for service in waiting:
            tags[service] = max(
                tags.get(service, self._virtual_time), self._virtual_time
            )
        if waiting:
            self._virtual_time = min(tags[service] for service in waiting)

    def charge(self, service: str, weight: float, tokens: int) -> None:
        """Charges a grant to a service."""
        tag = self._tag_by_service.get(service, self._virtual_time)
        self._tag_by_service[service] = tag + tokens / weight

    def ahead(self) -> set[str]:
        """Returns the services that have had more than their share.

        Their requests come after those of the other services that wait.
        """
        limit = self._virtual_time + ALLOWANCE_TOKENS
        return {
            service
            for service, tag in self._tag_by_service.items()
            if tag > limit
        }

"""Shares a pool fairly between its services, by granted prompt tokens."""

from __future__ import annotations

from collections.abc import Iterable

# Prompt tokens, for a weight of 1, by which a service may be ahead of the
# waiting service that received least. Larger than the longest prompts in use.
ALLOWANCE_TOKENS = 120_000.0


class FairShares:
    """Start-time fair queueing with an allowance.

    Each service has a tag: the prompt tokens granted to it divided by its
    weight. The virtual time is the smallest tag of the services that have
    requests waiting. A service that returns after a pause therefore has neither
    credit for the pause nor debt from a time in which only it had requests.
    While a service is within the allowance, the slack of its requests decides
    their order.
    """

    __slots__ = ('_tag_by_service', '_virtual_time')

    def __init__(self):
        self._tag_by_service: dict[str, float] = {}
        self._virtual_time = 0.0

    def observe_waiting(self, services: Iterable[str]) -> None:
        """Updates the virtual time from the services with waiting requests."""
        tags = self._tag_by_service
        waiting = set(services)
        for service in waiting:
            tags[service] = max(
                tags.get(service, self._virtual_time), self._virtual_time
            )
        if waiting:
            self._virtual_time = min(tags[service] for service in waiting)

    def charge(self, service: str, weight: float, tokens: int) -> None:
        """Charges the prompt tokens of a grant to a service."""
        tag = self._tag_by_service.get(service, self._virtual_time)
        self._tag_by_service[service] = tag + tokens / weight

    def ahead(self) -> set[str]:
        """Returns the services that received more than their fair share.

        Their requests are decided after those of the other waiting services.
        """
        limit = self._virtual_time + ALLOWANCE_TOKENS
        return {
            service
            for service, tag in self._tag_by_service.items()
            if tag > limit
        }

"""Callers who send few requests on connections that idle between them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable, Mapping

from standins.platform_plan import CONFIG
from standins.stream_callers import Call, Send, StreamCallers
from standins.stream_plan import HOST_KILLS, HOST_STOPS, Trouble, TroubleKind

# Callers to each host.
CALLERS_BY_HOST = 3
# Shares of the limit for which a connection idles before it is used again; the
# page allows four fifths.
_SHORTEST_SHARE, _LONGEST_SHARE = 0.5, 0.8


# Troubles of a host in which its connections may end without an answer, and
# the time after one that still counts as part of it, seconds.
_ENDING = (*HOST_KILLS, *HOST_STOPS, TroubleKind.HOST_FROZEN)
_MARGIN_S = 0.5


class IdleCallers:
    """Callers each of which keeps one connection to one host."""

    def __init__(self, address_by_host: Mapping[str, str], seed: int, tag: str):
        """Prepares the callers.

        Args:
            address_by_host: 'ip:port' of each host.
            seed: seed of what they do.
            tag: begins the ids of their requests.
        """
        limit_s = CONFIG['limits']['idle_timeout_ms'] / 1000
        idle_s = (_SHORTEST_SHARE * limit_s, _LONGEST_SHARE * limit_s)
        self._callers = [
            StreamCallers(
                {host: address},
                random.Random(f'idle {seed} {host} {number}'),
                f'{tag}-{host}-{number}',
                idle_s,
            )
            for host, address in address_by_host.items()
            for number in range(CALLERS_BY_HOST)
        ]

    @property
    def calls(self) -> list[Call]:
        """The requests of all callers."""
        return [call for callers in self._callers for call in callers.calls]

    async def run(self, until: float) -> None:
        """Sends requests until a loop time."""
        async with asyncio.TaskGroup() as group:
            for callers in self._callers:
                group.create_task(callers.run(1, until))


def find_unanswered(
    calls: Iterable[Call], troubles: Iterable[Trouble], began_at: float
) -> list[Send]:
    """Returns sends on used connections that calm hosts left unanswered.

    Args:
        calls: the calls.
        troubles: the troubles of the run.
        began_at: loop time from which they count.
    """
    ending = [trouble for trouble in troubles if trouble.kind in _ENDING]
    return [
        send
        for call in calls
        for send in call.sends
        if send.is_reused
        and not send.status
        and not any(
            send.host in trouble.targets
            and trouble.at <= send.ended_at - began_at
            and send.at - began_at <= trouble.at + trouble.for_s + _MARGIN_S
            for trouble in ending
        )
    ]

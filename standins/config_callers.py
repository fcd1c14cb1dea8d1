"""Callers that ask every host for routes that came, went or always stood."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import random
import time

import aiohttp
import uuid_utils

from standins.config_site import ConfigSite

# Time after its acknowledgement in which a version is in force, seconds.
IN_FORCE_WITHIN_S = 3.0
# Time after a host's start, in which it is not judged, seconds.
STABLE_S = 4.0
ASK_EACH_S = 1.0
ANSWER_TIMEOUT_S = 8.0
NO_ANSWER = 0
# Statuses that deny a route or a key.
DENIALS = frozenset({401, 403, 404})


class Asked(enum.StrEnum):
    """Which route a request is for.

    Attributes:
        ADDED: one that came more than IN_FORCE_WITHIN_S ago.
        DROPPED: one that went more than IN_FORCE_WITHIN_S ago.
        STANDING: one that always stood.
    """

    ADDED = 'added'
    DROPPED = 'dropped'
    STANDING = 'standing'


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigAnswer:
    """What a host answered.

    Attributes:
        host: the host.
        asked: which route it was asked for.
        sent_at: Unix time of the request.
        status: the answer's status, NO_ANSWER for none.
        is_judged: whether the host was up long enough.
    """

    host: str
    asked: Asked
    sent_at: float
    status: int
    is_judged: bool

    @property
    def is_broken(self) -> bool:
        """Whether only an older version allows the answer."""
        if self.asked is Asked.DROPPED:
            return self.is_judged and self.status == 200
        # Denying it counts at every host, also at one that has just started.
        if self.asked is Asked.STANDING:
            return self.status in DENIALS
        return self.is_judged and self.status in DENIALS


class ConfigCallers:
    """Asks all hosts at an interval.

    Attributes:
        answers: what they answered.
        harmed_until_by_host: Unix time until which a host was down or starting.
    """

    def __init__(self, site: ConfigSite, rng: random.Random):
        self.answers: list[ConfigAnswer] = []
        self.harmed_until_by_host: dict[str, float] = {}
        self._site = site
        self._rng = rng
        # Names of routes and the times at which they came or went.
        self._added: list[tuple[str, float]] = []
        self._dropped: list[tuple[str, float]] = []

    def note_version(self, version: int) -> None:
        """Notes which routes a version has added and dropped."""
        at = self._site.acknowledged_at[version]
        config = self._site.config
        known = {path for path, _ in self._added}
        self._added = [
            (path, came_at)
            for path, came_at in self._added
            if path in config.added
        ]
        self._added += [(p, at) for p in config.added if p not in known]
        gone = {path for path, _ in self._dropped}
        self._dropped += [(p, at) for p in config.dropped if p not in gone]

    async def ask(self) -> None:
        """Asks until cancelled."""
        timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S)
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        async with (
            aiohttp.ClientSession(
                timeout=timeout, connector=connector
            ) as session,
            asyncio.TaskGroup() as group,
        ):
            for name in self._site.names:
                group.create_task(self._ask_host(session, name))

    async def _ask_host(
        self, session: aiohttp.ClientSession, name: str
    ) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, ASK_EACH_S))
        while True:
            began_at = time.monotonic()
            for asked in Asked:
                await self._send(session, name, asked)
            left_s = ASK_EACH_S - (time.monotonic() - began_at)
            await asyncio.sleep(max(0.0, left_s))

    async def _send(
        self, session: aiohttp.ClientSession, name: str, asked: Asked
    ) -> None:
        path = self._choose(asked)
        if path is None:
            return
        host, _, target = path.partition('/')
        sent_at = time.time()
        url = f'http://{self._site.hosts.callers_by_host[name]}/{target}x'
        headers = {
            'Host': host,
            'X-Request-Id': uuid_utils.uuid7().hex[-16:],
            'X-Request-Deadline': '4000',
            'X-Credential': self._rng.choice(self._site.config.keys),
        }
        try:
            async with session.get(url, headers=headers) as response:
                status = response.status
        except (aiohttp.ClientError, TimeoutError):
            status = NO_ANSWER
        self.answers.append(
            ConfigAnswer(
                name, asked, sent_at, status, self._is_judged(name, sent_at)
            )
        )

    def _is_judged(self, name: str, sent_at: float) -> bool:
        harmed_until = self.harmed_until_by_host.get(name, 0.0)
        return sent_at - harmed_until > STABLE_S

    def _choose(self, asked: Asked) -> str | None:
        if asked is Asked.STANDING:
            return self._site.config.standing
        changes = self._added if asked is Asked.ADDED else self._dropped
        until = time.time() - IN_FORCE_WITHIN_S
        old = [path for path, at in changes if at < until]
        return old[-1] if old else None

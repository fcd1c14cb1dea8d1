"""Promise 7 with real processes: a graceful stop cuts off nothing."""

import asyncio
import itertools
import signal

from standins.local_callers import AnswerFate
from tests.process_site import new_id, on_site

REFUSED_SHARE = 0.005
# Time after which the balancer sees that a host is not ready, seconds.
PROBE_S = 0.3
LANGUAGE_PAUSE_S = 0.1
BOOKING_PAUSE_S = 0.02
# Guard: a host that stops waits for requests, which may be queued for long.
STOPPED_S = 60.0


class Load:
    """Sends requests to the hosts that the balancer finds ready."""

    def __init__(self, site):
        self.results = []
        self._site = site
        self._ready = list(site.hosts)
        self._ended = False
        self._calls = set()
        self._turn = itertools.count()

    async def run(self):
        """Sends until end() is called and returns when all is answered."""
        await asyncio.gather(
            self._probe(),
            self._send(LANGUAGE_PAUSE_S, self._ask),
            self._send(BOOKING_PAUSE_S, self._book),
        )
        await asyncio.gather(*self._calls)

    def end(self):
        """Ends the load."""
        self._ended = True

    async def _probe(self):
        while not self._ended:
            hosts = self._site.hosts
            ready = [h for h in hosts if await self._site.is_ready(h)]
            self._ready = ready or self._ready
            await asyncio.sleep(PROBE_S)

    async def _send(self, pause_s, call):
        while not self._ended:
            number = next(self._turn)
            host = self._ready[number % len(self._ready)]
            task = asyncio.create_task(call(host, number))
            self._calls.add(task)
            await asyncio.sleep(pause_s)

    async def _ask(self, host, number):
        caller = self._site.caller(number, 60)
        self.results.append(await caller.call([self._site.url(host)]))

    async def _book(self, host, number):
        self.results.append(await self._site.book(host, new_id()))


class TestReplacement:
    """All hosts are replaced one by one under load."""

    @on_site
    async def test_nothing_is_lost(self, site):
        load = Load(site)
        running = asyncio.create_task(load.run())
        for host in site.hosts:
            site.local.signal_entry(host, signal.SIGTERM)
            process = site.local.entries_by_id[host].process

            async def has_ended(process=process):
                return process.poll() is not None

            await site.until(has_ended, STOPPED_S)
            assert process.returncode == 0
            site.local.start_entry(host)
            await site.local.wait_ready(site.session, '/readyz', [host])
        load.end()
        await running
        fates = [result.fate for result in load.results]
        lost = [
            r
            for r in load.results
            if r.fate in (AnswerFate.BROKEN, AnswerFate.WRONG)
        ]
        refused = [r for r in load.results if r.fate is AnswerFate.REFUSED]
        assert not lost
        assert all(r.code // 1000 == 1 for r in refused), refused
        assert len(refused) <= REFUSED_SHARE * len(fates), (
            len(refused),
            len(fates),
            refused,
        )

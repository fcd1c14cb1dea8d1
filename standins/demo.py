"""Runs a site on loopback, sends it requests and checks every answer.

Run it with `python -m standins.demo`; `make run` does. It exits with 0 only if
every answer was whole and single.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import random
import signal
import sys

import aiohttp
import msgspec
import tabulate

from mustardscale.configuration.config_records import (
    Profile,
    ServiceChoice,
    ServiceKind,
)
from standins.local_callers import (
    AnswerFate,
    CallResult,
    LanguageCaller,
    call_plain,
)
from standins.local_site import (
    LAYOUT_BY_SITE,
    OPERATORS_TOKEN,
    LocalSite,
    local_site,
)
from standins.memory_site import token_of

LANGUAGE_REQUESTS = 48
READS = 60
BOOKINGS = 60
LANGUAGE_PROFILE = Profile(first_token_s=2.0, patience_s=10.0)
PLAIN_PROFILE = Profile(first_token_s=1.0, timeout_s=10.0)
CHANGED_TIMEOUT_S = 45.0
# Events read before the entry host of the stream is killed.
EVENTS_BEFORE_KILL = 5
SEED = 7


class DemoError(Exception):
    """A step of the demonstration did not end as it must."""


class Demo:
    """The steps of the demonstration.

    Attributes:
        rows: (kind of request, its result) of every request sent.
    """

    def __init__(self, site: LocalSite, session: aiohttp.ClientSession):
        self._site = site
        self._session = session
        self._rng = random.Random(SEED)
        self.rows: list[tuple[str, CallResult]] = []

    def _urls(self) -> list[str]:
        return [
            entry.callers_url for entry in self._site.entries_by_id.values()
        ]

    async def tool(self, *arguments: str) -> str:
        """Runs the command-line tool and returns what it wrote.

        Raises:
            DemoError: its exit code is not 0.
        """
        environment = os.environ | {
            'MUSTARDSCALE_LOG_URL': f'http://{self._site.log_address}',
            'MUSTARDSCALE_HOST_LIST_URL': (
                f'http://{self._site.host_list_address}'
            ),
            'MUSTARDSCALE_OPERATORS_TOKEN': OPERATORS_TOKEN,
            'MUSTARDSCALE_AUTHOR': 'demo',
        }
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'mustardscale',
            *arguments,
            env=environment,
            stdout=asyncio.subprocess.PIPE,
        )
        written, _ = await process.communicate()
        text = written.decode()
        _say(f'$ mustardscale {" ".join(arguments)}\n{text.rstrip()}')
        if process.returncode != 0:
            raise DemoError(f'exit code {process.returncode}')
        return text

    async def publish_all(self) -> None:
        """Publishes a profile and a choice for each service."""
        layout = self._site.layout
        await self._publish(layout.language_service, LANGUAGE_PROFILE)
        await self._publish(layout.plain_service, PLAIN_PROFILE)
        hosts = list(self._site.entries_by_id)
        await self._site.wait_ready(self._session, '/readyz', hosts)

    async def _publish(self, service: str, profile: Profile) -> None:
        layout = self._site.layout
        is_language = service == layout.language_service
        profile_file = self._site.write_file(
            f'profile-{service}.json', msgspec.json.encode(profile)
        )
        choice = ServiceChoice(
            service,
            ServiceKind.LANGUAGE if is_language else ServiceKind.PLAIN,
            service if is_language else '',
        )
        choice_file = self._site.write_file(
            f'service-{service}.json', msgspec.json.encode(choice)
        )
        token_file = self._site.write_file(
            f'token-{service}', token_of(service).encode()
        )
        await self.tool('profile', 'publish', '--file', profile_file, service)
        await self.tool(
            'service',
            'publish',
            '--file',
            choice_file,
            '--caller-token-file',
            token_file,
            service,
        )

    async def send_mixed_load(self) -> None:
        """Sends requests of all kinds through all entry hosts at once."""
        jobs = [self._language(number) for number in range(LANGUAGE_REQUESTS)]
        jobs += [self._plain('GET', number) for number in range(READS)]
        jobs += [self._plain('POST', number) for number in range(BOOKINGS)]
        self._rng.shuffle(jobs)
        await asyncio.gather(*jobs)

    async def _language(self, number: int) -> None:
        urls = self._urls()
        await asyncio.sleep(self._rng.uniform(0.0, 8.0))
        caller = LanguageCaller(
            self._session,
            self._site.layout.language_service,
            f'file {number % 16} ' * self._rng.randrange(20, 3000),
            400,
        )
        result = await caller.call([urls[number % len(urls)]])
        self.rows.append(('language request', result))

    async def _plain(self, method: str, number: int) -> None:
        urls = self._urls()
        await asyncio.sleep(self._rng.uniform(0.0, 8.0))
        result = await call_plain(
            self._session,
            urls[number % len(urls)],
            self._site.layout.plain_service,
            method,
            f'/items/{number}',
        )
        kind = 'read' if method == 'GET' else 'non-idempotent booking'
        self.rows.append((kind, result))

    async def change_profile(self) -> None:
        """Changes a profile and shows that every host has it."""
        service = self._site.layout.language_service
        await self.tool(
            'profile',
            'publish',
            '--set',
            f'timeout_s={CHANGED_TIMEOUT_S}',
            service,
        )
        await self.tool('status')

    async def kill_host_in_stream(self) -> None:
        """Kills an entry host while it streams and resumes at another."""
        urls = self._urls()
        caller = LanguageCaller(
            self._session,
            self._site.layout.language_service,
            'the host of this stream is killed ' * 200,
            1500,
        )
        call = asyncio.create_task(caller.call(urls[:2]))
        await caller.wait_events(EVENTS_BEFORE_KILL)
        self._site.signal_entry('entry-1', signal.SIGKILL)
        result = await call
        self.rows.append(('stream whose host was killed', result))
        if not result.resumed:
            raise DemoError('the stream ended before its host was killed')

    async def check_executions(self) -> None:
        """Checks that no booking ran twice, by the endpoints' counters."""
        for name in self._site.plain_names():
            address = self._site.endpoint_address_by_id[name]
            counters = await self._counters(address)
            doubled = [
                request_id
                for request_id, count in counters['executions_by_id'].items()
                if count > 1
            ]
            if doubled:
                raise DemoError(f'{name} ran {len(doubled)} requests twice')

    async def _counters(self, address: str) -> dict:
        async with self._session.get(f'http://{address}/counters') as response:
            return msgspec.json.decode(await response.read())

    async def wasted_prefill(self) -> float:
        """Returns the share of prefill tokens that were of no use."""
        computed = wasted = 0
        for name in self._site.engine_names():
            address = self._site.endpoint_address_by_id[name]
            state = await self._counters(address)
            computed += state['counters']['prefill_tokens_computed']
            wasted += state['prefill_tokens_wasted']
        return wasted / computed if computed else 0.0


def _say(text: str) -> None:
    sys.stdout.write(f'{text}\n\n')
    sys.stdout.flush()


def _table(rows: list[tuple[str, CallResult]]) -> str:
    """Returns the outcomes by kind of request."""
    kinds = sorted({kind for kind, _ in rows})
    lines = []
    for kind in kinds:
        results = [result for row_kind, result in rows if row_kind == kind]
        fates = [sum(r.fate is fate for r in results) for fate in AnswerFate]
        codes = sorted({r.code for r in results if r.code})
        lines.append([kind, len(results), *fates, codes or ''])
    return tabulate.tabulate(
        lines, ['request', 'sent', *(str(fate) for fate in AnswerFate), 'codes']
    )


def _goodput(rows: list[tuple[str, CallResult]]) -> float:
    """Returns the share of language requests within their targets."""
    results = [r for kind, r in rows if kind == 'language request']
    good = sum(result.is_good(LANGUAGE_PROFILE) for result in results)
    return good / len(results)


async def run_demo(site: LocalSite) -> bool:
    """Runs all steps; returns whether every answer was whole and single."""
    async with aiohttp.ClientSession() as session:
        demo = Demo(site, session)
        hosts = list(site.entries_by_id)
        await site.wait_ready(session, '/livez', hosts)
        await demo.publish_all()
        await demo.send_mixed_load()
        await demo.change_profile()
        await demo.kill_host_in_stream()
        await demo.check_executions()
        _say(_table(demo.rows))
        _say(f'goodput of language requests: {_goodput(demo.rows):.3f}')
        _say(f'wasted prefill: {await demo.wasted_prefill():.4f}')
        return all(r.fate is AnswerFate.WHOLE for _, r in demo.rows)


async def keep_up(site: LocalSite) -> None:
    """Publishes the profiles and serves until interrupted."""
    async with aiohttp.ClientSession() as session:
        demo = Demo(site, session)
        hosts = list(site.entries_by_id)
        await site.wait_ready(session, '/livez', hosts)
        await demo.publish_all()
        for entry in site.entries_by_id.values():
            _say(f'{entry.id}: callers {entry.callers_url}')
        await asyncio.Event().wait()


def main() -> int:
    """Parses the command line and runs the demonstration."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--site', choices=sorted(LAYOUT_BY_SITE), default='kobberfonden'
    )
    parser.add_argument(
        '--keep-up', action='store_true', help='serve until interrupted'
    )
    options = parser.parse_args()
    with local_site(LAYOUT_BY_SITE[options.site]) as site:
        try:
            if options.keep_up:
                asyncio.run(keep_up(site))
                return 0
            whole = asyncio.run(run_demo(site))
        except KeyboardInterrupt:
            return 0
        except DemoError as error:
            _say(f'failed: {error}')
            return 1
    _say('every answer was whole and single' if whole else 'some were not')
    return 0 if whole else 1


if __name__ == '__main__':
    sys.exit(main())

"""A site of real processes for the tests, with its faults at hand."""

import asyncio
import contextlib
import functools
import signal

import aiohttp
import msgspec
import uuid_utils

from mustardscale.__main__ import build_parser
from mustardscale.commands.command_context import CommandContext
from mustardscale.commands.operators_client import OperatorsClient
from mustardscale.configuration.config_records import (
    Profile,
    ServiceChoice,
    ServiceKind,
)
from mustardscale.endpoints.caller_requests import prompt_from_text
from mustardscale.hosts.http_host_list import HttpHostList
from mustardscale.log.http_log import HttpLogClient
from standins.expected_answers import output_length
from standins.local_callers import LanguageCaller, call_plain
from standins.local_site import OPERATORS_TOKEN, LocalSite
from standins.memory_site import token_of

POLL_S = 0.05
# A peer that was heard within this time counts as live, seconds.
HEARD_S = 1.5
HEALTHY_S = 20.0
# Engines are slowed by faults, which must not lead to refusals.
LANGUAGE_PROFILE = Profile(first_token_s=20.0, per_token_s=2.0, patience_s=20.0)
PLAIN_PROFILE = Profile(first_token_s=1.0, timeout_s=10.0)
MAX_TOKENS = 800
FEW_TOKENS = 20


def on_site(test):
    """Runs a coroutine method on a healthy site and leaves it healthy."""

    @functools.wraps(test)
    def run(self, site, *args, **kwargs):
        async def body():
            async with site.open():
                await site.heal()
                await test(self, site, *args, **kwargs)

        asyncio.run(body())

    return run


def new_id():
    """Returns an id as callers make it."""
    return str(uuid_utils.uuid7())


def long_text(number, tokens, repeats=40):
    """Returns a text whose answer has at least so many tokens, a few more."""
    while True:
        text = f'question {number} of a caller ' * repeats
        fingerprint = prompt_from_text(f'user: {text}\n').fingerprint
        if 0 <= output_length(fingerprint, MAX_TOKENS) - tokens <= FEW_TOKENS:
            return text
        number += 1000


class ProcessSite:
    """Drives the processes of a site and judges by their own counters."""

    def __init__(self, local: LocalSite):
        self.local = local
        self.hosts = list(local.entries_by_id)
        self.language = local.layout.language_service
        self.plain = local.layout.plain_service
        self.session = None
        self._faults = set()

    @contextlib.asynccontextmanager
    async def open(self):
        """Opens the HTTP session."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as self.session:
            yield self

    def url(self, host):
        """Returns where callers reach a host."""
        return self.local.entries_by_id[host].callers_url

    async def until(self, check, within_s):
        """Polls until a check holds; the bound is its deadline."""
        async with asyncio.timeout(within_s):
            while True:
                if await check():
                    return
                await asyncio.sleep(POLL_S)

    async def get(self, url, **headers):
        """Reads a JSON page."""
        async with self.session.get(url, headers=headers) as answer:
            return msgspec.json.decode(await answer.read())

    async def operators(self, host, page):
        """Reads an operators' page of a host."""
        url = self.local.entries_by_id[host].operators_url
        return await self.get(
            url + page, Authorization=f'Bearer {OPERATORS_TOKEN}'
        )

    async def is_ready(self, host):
        """Returns whether a host is ready, as the balancer asks."""
        url = self.local.entries_by_id[host].operators_url
        try:
            async with self.session.get(f'{url}/readyz') as answer:
                return answer.status == 200
        except aiohttp.ClientError:
            return False

    async def set_faults(self, address, **changes):
        """Switches faults of a stand-in; heal() switches them back."""
        url = f'http://{address}/faults'
        async with self.session.post(url, json=changes) as answer:
            assert answer.status == 200, await answer.text()
        self._faults.add(address)

    async def engine_faults(self, **changes):
        """Switches faults of all engines."""
        for name in self.local.engine_names():
            address = self.local.endpoint_address_by_id[name]
            await self.set_faults(address, **changes)

    async def counters(self, name):
        """Returns the counters of an engine or a plain endpoint."""
        address = self.local.endpoint_address_by_id[name]
        return await self.get(f'http://{address}/counters')

    async def pieces_used(self):
        """Returns the memory pieces in use on all engines."""
        states = [await self.counters(n) for n in self.local.engine_names()]
        return sum(state['pieces_used'] for state in states)

    async def memory_is_free(self):
        """Returns whether no engine holds memory for a request."""
        return await self.pieces_used() == 0

    async def stages(self):
        """Returns the stages of all streams on the engines."""
        found = []
        for name in self.local.engine_names():
            address = self.local.endpoint_address_by_id[name]
            streams = await self.get(f'http://{address}/v1/streams')
            found += [stream['stage'] for stream in streams]
        return found

    async def executions(self, request_id):
        """Returns how often a booking was executed on all endpoints."""
        count = 0
        for name in self.local.plain_names():
            counters = await self.counters(name)
            count += counters['executions_by_id'].get(request_id, 0)
        return count

    async def pool_owner(self):
        """Returns the host that owns the pool."""
        for host in self.hosts:
            if (await self.operators(host, '/status'))['pools']:
                return host
        raise AssertionError('no host owns the pool')

    def caller(self, number=0, tokens=300, repeats=40):
        """Makes a caller of a language answer of at least so many tokens."""
        text = long_text(number, tokens, repeats)
        return LanguageCaller(self.session, self.language, text, MAX_TOKENS)

    async def book(self, host, request_id, path='/items/1', body=b''):
        """Sends a booking to a host."""
        return await call_plain(
            self.session,
            self.url(host),
            self.plain,
            'POST',
            path,
            request_id,
            body,
        )

    async def change_hosts(self, **change):
        """Changes the host list."""
        url = f'http://{self.local.host_list_address}/hosts'
        async with self.session.post(url, json=change) as answer:
            assert answer.status == 200, await answer.text()

    def kill(self, host):
        """Kills a host at once."""
        self.local.signal_entry(host, signal.SIGKILL)
        self.local.entries_by_id[host].process.wait()

    async def heal(self):
        """Ends all faults, starts what is down and waits until all is well."""
        listed = msgspec.to_builtins(self.local.listed_hosts())
        for address in self._faults:
            await self._end_faults(address)
        self._faults.clear()
        await self.change_hosts(put=listed)
        for host, entry in self.local.entries_by_id.items():
            if entry.process.poll() is not None:
                self.local.start_entry(host)
            else:
                entry.process.send_signal(signal.SIGCONT)
        await self.until(self._is_whole, HEALTHY_S)

    async def _end_faults(self, address):
        endpoints = self.local.endpoint_address_by_id
        names = [n for n, known in endpoints.items() if known == address]
        if names and names[0] in self.local.engine_names():
            changes = {
                'slow_factor': 1.0,
                'transfers_stalled': False,
                'leaving': False,
                'lose_cancel_answers': False,
                'frozen': False,
            }
        elif names:
            changes = {'latency_s': 0.01, 'leaving': False, 'frozen': False}
            changes |= {'crash_point': 'before_execution'}
        else:
            changes = {'outage': 'none', 'delay_s': 0.0, 'cut_hosts': []}
            changes |= {'lose_next_answers': 0}
            if address == self.local.host_list_address:
                changes = changes | {'lag_s': 0.0}
                del changes['lose_next_answers']
        url = f'http://{address}/faults'

        async def ended():
            try:
                async with self.session.post(url, json=changes) as answer:
                    assert answer.status == 200, await answer.text()
            except aiohttp.ClientError:
                return False
            return True

        # An endpoint that crashed comes back after a time.
        await self.until(ended, HEALTHY_S)

    async def _is_whole(self):
        """Returns whether every host is ready and hears every other."""
        for host in self.hosts:
            if not await self.is_ready(host):
                return False
            ages = (await self.operators(host, '/status'))['hosts']
            heard = [peer for peer, age in ages.items() if age < HEARD_S]
            if len(heard) < len(self.hosts) - 1:
                return False
        return True

    async def publish_all(self):
        """Publishes the profiles and the services with the tool."""
        for service, profile in (
            (self.language, LANGUAGE_PROFILE),
            (self.plain, PLAIN_PROFILE),
        ):
            is_language = service == self.language
            kind = ServiceKind.LANGUAGE if is_language else ServiceKind.PLAIN
            model = service if is_language else ''
            choice = ServiceChoice(service, kind, model)
            write = self.local.write_file
            profile_file = write('profile', msgspec.json.encode(profile))
            choice_file = write('choice', msgspec.json.encode(choice))
            token_file = write('token', token_of(service).encode())
            await self.tool(
                'profile', 'publish', service, '--file', profile_file
            )
            await self.tool(
                'service',
                'publish',
                service,
                '--file',
                choice_file,
                '--caller-token-file',
                token_file,
            )

    async def tool(self, *arguments):
        """Runs a command of the tool; returns its exit code and its JSON."""
        log = HttpLogClient(self.local.log_address)
        host_list = HttpHostList(self.local.host_list_address)
        operators = OperatorsClient(self.session, OPERATORS_TOKEN)
        shown = []
        context = _Captured(log, host_list, operators, shown)
        options = build_parser().parse_args(arguments)
        try:
            code = await options.command(context, options)
        finally:
            await log.close()
            await host_list.close()
        return code, shown[-1] if shown else None


class _Captured(CommandContext):
    """Keeps what a command shows."""

    def __init__(self, log, host_list, operators, shown):
        super().__init__(log, host_list, operators, None, True)
        self._shown = shown

    def show_json(self, content):
        self._shown.append(content)

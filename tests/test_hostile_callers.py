"""Processes under callers that try to use up their memory.

They check that the process lives, how much memory and how many descriptors it
takes, and that one ordinary request is answered afterwards: nothing that
depends on the machine's speed. The number of callers and the bounds are fixed.
"""

import asyncio
import contextlib
import logging
import os
import pathlib
import subprocess
import sys

import aiohttp
import pytest

from standins.hostile_callers import MAX_BODY_BYTES, attack, make_attacks
from standins.local_site import OPERATORS_TOKEN
from standins.platform_plan import CONFIG, HOST
from standins.platform_processes import PlatformProcesses
from standins.reserved_ports import reserved_addresses

log = logging.getLogger(__name__)

CALLERS = 40
# Memory for the bodies of all requests, as the settings of the tests say.
ALL_BODIES_BYTES = 8_388_608
SETTINGS = {
    'MUSTARDSCALE_MAX_CONNECTIONS': '100',
    'MUSTARDSCALE_MAX_ALL_BODIES_BYTES': str(ALL_BODIES_BYTES),
    'MUSTARDSCALE_BODY_TIMEOUT_S': '3',
    'MUSTARDSCALE_STREAM_WRITE_TIMEOUT_S': '3',
}
# Memory that the callers may add to that of the idle process.
GROWTH_KB = 6_144
GROWTH_WITH_BODIES_KB = GROWTH_KB + ALL_BODIES_BYTES // 1_024
# Descriptors that the callers may leave open.
LEFT_DESCRIPTORS = 8
ANSWER_TIMEOUT_S = 30.0
# Time after which idle connections are closed: longer than the tests wait, so
# that it does not close what callers have left open.
IDLE_TIMEOUT_MS = 75_000
ATTACKS = make_attacks(b'/read/x')
HEAD_ATTACKS = [name for name in ATTACKS if 'without end' in name]


def memory_kb(pid, field):
    """Returns a figure of a process's memory in KB."""
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith(f'{field}:'):
            return int(line.split()[1])
    raise AssertionError(f'process {pid} has ended')


def descriptors(pid):
    """Returns the number of open descriptors of a process."""
    return len(os.listdir(f'/proc/{pid}/fd'))


async def ask(address, request_id):
    """Sends one ordinary request and returns the status of its answer."""
    url = f'http://{address}/read/x'
    headers = {'Host': HOST, 'X-Request-Id': request_id}
    timeout = aiohttp.ClientTimeout(ANSWER_TIMEOUT_S)
    async with (
        aiohttp.ClientSession(timeout=timeout) as session,
        session.get(url, headers=headers) as answer,
    ):
        await answer.read()
        return answer.status


async def is_answered(address, request_id, statuses):
    """Repeats an ordinary request until it has one of the statuses."""
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                if await ask(address, request_id) in statuses:
                    return
            await asyncio.sleep(0.1)


async def are_released(pid, most):
    """Waits until a process has worked off what its callers have closed."""
    until = asyncio.get_running_loop().time() + ANSWER_TIMEOUT_S
    while (left := descriptors(pid)) > most:
        assert asyncio.get_running_loop().time() < until, f'{left} > {most}'
        await asyncio.sleep(0.1)


async def check(process, address, name, statuses, ask_at=None):
    """Attacks a process's address and checks what must hold."""
    ask_at = ask_at or address
    await is_answered(ask_at, 'before', statuses)
    pid = process.pid
    before_kb, open_before = memory_kb(pid, 'VmRSS'), descriptors(pid)
    bound_kb = GROWTH_KB
    if 'bodies' in name or 'chunks' in name:
        bound_kb = GROWTH_WITH_BODIES_KB
    not_cut_off = await attack(address, ATTACKS[name], CALLERS)
    assert process.poll() is None
    await is_answered(ask_at, 'after', statuses)
    peak_kb = memory_kb(pid, 'VmHWM')
    log.info('%s: %d KB before, peak %d KB', name, before_kb, peak_kb)
    assert peak_kb - before_kb <= bound_kb
    if name in HEAD_ATTACKS:
        assert not not_cut_off
    await are_released(pid, open_before + LEFT_DESCRIPTORS)


@contextlib.asynccontextmanager
async def platform_host(tmp_path, monkeypatch):
    """A host of the platform with its store and its workers."""
    for name, value in SETTINGS.items():
        monkeypatch.setenv(name, value)
    limits = CONFIG['limits']
    monkeypatch.setitem(limits, 'max_body_bytes', MAX_BODY_BYTES)
    monkeypatch.setitem(limits, 'idle_timeout_ms', IDLE_TIMEOUT_MS)
    async with PlatformProcesses(1, tmp_path) as site:
        yield site


class TestPlatform:
    """`python3 -m mustardscale.platform`."""

    @pytest.mark.parametrize('name', ATTACKS)
    def test_memory_of_callers_is_bounded(self, name, tmp_path, monkeypatch):
        async def run():
            async with platform_host(tmp_path, monkeypatch) as site:
                process = site.process_by_host['h0']
                address = site.callers_by_host['h0']
                await check(process, address, name, {200})

        asyncio.run(run())

    @pytest.mark.parametrize('port', ['ready', 'peers'])
    @pytest.mark.parametrize('name', HEAD_ATTACKS)
    def test_other_ports_are_bounded(self, name, port, tmp_path, monkeypatch):
        async def run():
            async with platform_host(tmp_path, monkeypatch) as site:
                process = site.process_by_host['h0']
                callers = site.callers_by_host['h0']
                address = {
                    'ready': site.ready_by_host,
                    'peers': site.peers_by_host,
                }[port]['h0']
                await check(process, address, name, {200}, ask_at=callers)

        asyncio.run(run())

    def test_operators_see_refusals(self, tmp_path, monkeypatch):
        async def run():
            async with platform_host(tmp_path, monkeypatch) as site:
                callers = site.callers_by_host['h0']
                await attack(callers, ATTACKS['empty lines without end'], 1)
                metrics = f'http://{site.ready_by_host["h0"]}/metrics'
                async with (
                    aiohttp.ClientSession() as session,
                    session.get(metrics) as answer,
                ):
                    text = await answer.text()
                assert 'mustardscale_callers_refused_heads_too_large' in text
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    output = tmp_path / 'h0.log'
                    while 'callers_refused' not in output.read_text():  # noqa: ASYNC110
                        await asyncio.sleep(0.1)

        asyncio.run(run())


@pytest.fixture
def daemon(tmp_path):
    """The daemon alone, so that it refuses every caller's key."""
    with reserved_addresses(3) as (callers, peers, operators):
        command = [
            *(sys.executable, '-m', 'mustardscale.daemon'),
            '--host-id=apart',
            '--data-centre=dc1',
            '--region=r',
            '--log-url=http://127.0.0.1:1',
            '--host-list-url=http://127.0.0.1:1',
            f'--callers-listen={callers}',
            f'--peers-listen={peers}',
            f'--operators-listen={operators}',
        ]
        token = {'MUSTARDSCALE_OPERATORS_TOKEN': OPERATORS_TOKEN}
        with open(tmp_path / 'output', 'wb') as output:
            process = subprocess.Popen(
                command,
                env=os.environ | SETTINGS | token,
                stdout=output,
                stderr=output,
            )
        yield process, callers, operators
        process.kill()
        process.wait()


class TestDaemon:
    """`mustardscaled`, and its port for operators."""

    @pytest.mark.parametrize('name', ATTACKS)
    def test_memory_of_callers_is_bounded(self, name, daemon):
        process, callers, _ = daemon
        asyncio.run(check(process, callers, name, {401}))

    @pytest.mark.parametrize('name', HEAD_ATTACKS)
    def test_operators_port_is_bounded(self, name, daemon):
        process, callers, operators = daemon
        asyncio.run(check(process, operators, name, {401}, ask_at=callers))

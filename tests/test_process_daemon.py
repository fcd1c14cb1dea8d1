"""The daemon as a process: its settings, signals and difficult callers."""

import asyncio
import os
import signal
import subprocess
import sys

import msgspec
import pytest

from mustardscale.outcomes import Outcome
from standins.local_site import OPERATORS_TOKEN
from standins.memory_site import token_of
from standins.reserved_ports import reserved_addresses
from tests.process_site import on_site

MAX_HEADER_BYTES = 4096
BODY_TIMEOUT_S = 0.5
GUARD_S = 15.0
SETTINGS = {
    'host-id': 'apart',
    'data-centre': 'dc1',
    'region': 'dk-east',
    'log-url': 'http://127.0.0.1:1',
    'host-list-url': 'http://127.0.0.1:1',
}


def command(settings, *more):
    """Returns the command line of the daemon."""
    flags = [f'--{name}={value}' for name, value in settings.items()]
    return [sys.executable, '-m', 'mustardscale.daemon', *flags, *more]


def environment():
    return os.environ | {'MUSTARDSCALE_OPERATORS_TOKEN': OPERATORS_TOKEN}


def run(settings, *more):
    """Runs the daemon until it ends by itself."""
    return subprocess.run(
        command(settings, *more),
        env=environment(),
        capture_output=True,
        text=True,
        timeout=GUARD_S,
        check=False,
    )


class TestSettings:
    """Settings are checked together before anything starts."""

    def test_check_settings(self):
        done = run(SETTINGS, '--check-settings')
        assert done.returncode == 0, done.stderr
        assert msgspec.json.decode(done.stdout)['host_id'] == 'apart'
        assert OPERATORS_TOKEN not in done.stdout

    def test_all_errors_at_once(self):
        wrong = {'heartbeat-s': '-1', 'policy': 'guess', 'log-url': 'nowhere'}
        done = run(SETTINGS | wrong, '--check-settings')
        assert (done.returncode, done.stdout) == (2, '')
        lines = done.stderr.splitlines()
        assert len(lines) == len(wrong)
        for name, value in wrong.items():
            variable = f'MUSTARDSCALE_{name.upper().replace("-", "_")}'
            line = next(line for line in lines if f'--{name}' in line)
            said = line.partition(repr(value))
            assert variable in line
            assert said[1], line
            assert said[2].count(';') == 1, line


@pytest.fixture(scope='module')
def apart(site, tmp_path_factory):
    """A daemon with small limits; yields (its addresses, pid, output)."""
    path = tmp_path_factory.mktemp('apart') / 'output'
    with reserved_addresses(3) as (callers, operators, peers):
        settings = SETTINGS | {
            'callers-listen': callers,
            'operators-listen': operators,
            'peers-listen': peers,
            'log-url': f'http://{site.local.log_address}',
            'host-list-url': f'http://{site.local.host_list_address}',
            'max-header-bytes': MAX_HEADER_BYTES,
            'body-timeout-s': BODY_TIMEOUT_S,
        }
        with open(path, 'wb') as output:
            process = subprocess.Popen(
                command(settings),
                env=environment(),
                stdout=output,
                stderr=output,
            )
        yield callers, operators, process, path
        process.kill()
        process.wait()


async def wait_ready(site, operators):
    async def ready():
        try:
            url = f'http://{operators}/readyz'
            async with site.session.get(url) as answer:
                return answer.status == 200
        except OSError:
            return False

    await site.until(ready, GUARD_S)


async def send_raw(address, data):
    """Sends bytes and returns the answer's code once it is closed."""
    reader, writer = await asyncio.open_connection(*address.split(':'))
    writer.write(data)
    async with asyncio.timeout(GUARD_S):
        answer = await reader.read()
    writer.close()
    return msgspec.json.decode(answer.partition(b'\r\n\r\n')[2])['code']


class TestDifficultCallers:
    """They are cut off with a code and harm nobody else."""

    @on_site
    async def test_codes(self, site, apart):
        callers, operators, _, _ = apart
        await wait_ready(site, operators)
        head = (
            'POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n'
            f'Authorization: Bearer {token_of(site.language)}\r\n'
            'Connection: close\r\n'
        ).encode()
        long = b'X-A: ' + b'a' * MAX_HEADER_BYTES + b'\r\n\r\n'
        sends = {
            b'no request at all\r\n\r\n': Outcome.MALFORMED_REQUEST,
            head + b'Content-Length: 2\r\n\r\n[]': Outcome.MALFORMED_REQUEST,
            head + long: Outcome.REQUEST_TOO_LARGE,
            head + b'Content-Length: 99999999\r\n\r\n': (
                Outcome.REQUEST_TOO_LARGE
            ),
            head + b'Content-Length: 9\r\n\r\n{': Outcome.REQUEST_TOO_SLOW,
        }
        codes = await asyncio.gather(
            *(send_raw(callers, data) for data in sends)
        )
        assert codes == list(sends.values())
        await wait_ready(site, operators)

    @on_site
    async def test_dump_by_signal_and_graceful_stop(self, site, apart):
        _, operators, process, path = apart
        await wait_ready(site, operators)
        process.send_signal(signal.SIGUSR1)

        def read(text):
            return [msgspec.json.decode(line) for line in text.splitlines()]

        async def dumped():
            # The daemon may be writing the last line.
            whole = path.read_text().rpartition('\n')[0]
            return any('hosts_by_id' in e.get('state', {}) for e in read(whole))

        await site.until(dumped, GUARD_S)
        process.send_signal(signal.SIGTERM)

        async def ended():
            return process.poll() is not None

        await site.until(ended, GUARD_S)
        assert process.returncode == 0
        assert read(path.read_text())
        assert OPERATORS_TOKEN not in path.read_text()

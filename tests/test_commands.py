"""Tests of the command-line tool's commands."""

import asyncio
import io
import json
import random

import aiohttp
import pytest

from mustardscale.__main__ import build_parser, main
from mustardscale.commands.command_context import CommandContext
from mustardscale.commands.exit_codes import ExitCode
from mustardscale.commands.operators_client import OperatorsClient
from mustardscale.configuration.publishing import read_config
from mustardscale.endpoints.engines import EngineRole
from mustardscale.exceptions import PeerUnavailableError, SettingError
from mustardscale.hosts.host_list import ListedHost, ListedKind
from mustardscale.operators.operators_http import OperatorsServer
from standins.host_list_model import HostListModel, MemoryHostList
from standins.log_model import LogModel
from standins.memory_log import MemoryLogClient
from tests.fake_service import FakeService
from tests.virtual_time import virtual_time

FIRST = ('profile', 'publish', 'noon', '--set', 'weight=2')


class FakeOperators:
    """Entry hosts that fold the log each time they are asked."""

    def __init__(self, log):
        self.log = log
        self.silent = set()

    async def status(self, address):
        if address in self.silent:
            raise PeerUnavailableError(address)
        versions = (await read_config(self.log)).by_key.items()
        return {
            'config_versions': {str(key): e.version for key, e in versions},
            'hosts': {'e2': 0.25},
            'pools': {'m@a': {'pieces_used': 3, 'pieces_total': 9}},
            'log_reachable': True,
            'orders': {
                'version': 4,
                'change_by_engine': {
                    'd1': {
                        'target': {'model': 'm', 'model_version': '2'},
                        'number': 4,
                        'host': 'e2',
                    }
                },
            },
        }

    async def dump(self, address):
        return {'address': address}


class Tool:
    """Runs commands against stand-ins in this process."""

    def __init__(self):
        self.log = MemoryLogClient(LogModel(random.Random(1)))
        self.operators = FakeOperators(self.log)
        hosts = [
            ListedHost(name, ListedKind.ENTRY, '', 'a', 'r', leaving, **more)
            for name, leaving, more in [
                ('e1', False, {'operators_address': 'o1'}),
                ('e2', False, {'operators_address': 'o2'}),
                ('e3', True, {'operators_address': 'o3'}),
            ]
        ]
        roles = {'p1': EngineRole.PREFILL, 'd1': EngineRole.DECODE}
        hosts += [
            ListedHost(
                name, ListedKind.ENGINE, '', 'a', 'r', model='m', role=role
            )
            for name, role in roles.items()
        ]
        self._host_list = MemoryHostList(HostListModel(hosts))

    async def run(self, *arguments, as_json=False):
        options = build_parser().parse_args(arguments)
        out = io.StringIO()
        context = CommandContext(
            self.log, self._host_list, self.operators, out, as_json
        )
        code = await options.command(context, options)
        return code, json.loads(out.getvalue()) if as_json else out.getvalue()


class TestPublishCommands:
    """What publishing prints and returns."""

    @virtual_time
    async def test_accepted_and_in_force(self):
        code, text = await Tool().run(*FIRST)
        assert code == ExitCode.DONE
        assert 'accepted at version 1 and in force on 2 of 2 hosts' in text

    @virtual_time
    async def test_accepted_but_not_everywhere(self):
        tool = Tool()
        tool.operators.silent = {'o2'}
        code, answer = await tool.run(*FIRST, as_json=True)
        assert code == ExitCode.NOT_EVERYWHERE
        assert (answer['in_force'], answer['missing']) == (['e1'], ['e2'])

    @virtual_time
    async def test_lost(self):
        tool = Tool()
        await tool.run(*FIRST)
        code, text = await tool.run(*FIRST, '--base', '0')
        assert code == ExitCode.LOST
        assert 'lost to version 1; it was made from version 0' in text

    @virtual_time
    async def test_a_second_change_keeps_the_other_fields(self):
        tool = Tool()
        await tool.run(*FIRST)
        await tool.run('profile', 'publish', 'noon', '--set', 'burst=7')
        _, shown = await tool.run('profile', 'show', 'noon', as_json=True)
        assert (shown['weight'], shown['burst']) == (2, 7)

    @virtual_time
    async def test_a_wanted_state_is_checked_against_the_host_list(self):
        tool = Tool()
        await tool.run('profile', 'publish', 'noon', '--set', 'weight=2')
        service = ('--set', 'profile=noon', '--set', 'model=m')
        await tool.run('service', 'publish', 's', *service)
        version = ('--set', 'model=m', '--set', 'model_version="2"')
        publish = ('engine', 'publish')
        with pytest.raises(SettingError, match=r'5304.*no engine'):
            await tool.run(*publish, 'd9', *version)
        with pytest.raises(SettingError, match=r'5304.*no decode'):
            await tool.run(*publish, 'd1', *version, '--set', 'role=prefill')
        code, _ = await tool.run(*publish, 'model/m', *version)
        assert code == ExitCode.DONE
        _, shown = await tool.run('engine', 'show', 'model/m', as_json=True)
        assert shown['model_version'] == '2'

    @virtual_time
    async def test_a_service_and_its_token(self, tmp_path):
        tool = Tool()
        token = tmp_path / 'token'
        token.write_text('secret\n')
        service = ('service', 'publish', 'ledger', '--set', 'profile=noon')
        with pytest.raises(SettingError, match='publish it first'):
            await tool.run(*service)
        await tool.run(*FIRST)
        more = ('--set', 'kind=plain', '--caller-token-file', str(token))
        assert (await tool.run(*service, *more))[0] == ExitCode.DONE
        entry = (await read_config(tool.log)).services_by_name['ledger']
        assert entry.choice.token_sha256[0].startswith('2bb80d537b1da3e3')

    @pytest.mark.parametrize(
        ('assignment', 'problem'),
        [
            ('weight', 'give field=value'),
            ('colour=1', 'no field colour'),
            ('weight=-1', 'weight must be above 0'),
            ('weight=heavy', 'Expected `float`'),
            ('weight=NaN', 'Expected `float`'),
        ],
    )
    @virtual_time
    async def test_wrong_input(self, assignment, problem):
        tool = Tool()
        with pytest.raises(SettingError, match=problem):
            await tool.run('profile', 'publish', 'noon', '--set', assignment)
        assert not (await read_config(tool.log)).by_key


class TestShowCommands:
    """What people and programs see."""

    @virtual_time
    async def test_history_and_difference(self):
        tool = Tool()
        await tool.run(*FIRST)
        await tool.run(*FIRST, '--base', '0')
        await tool.run('profile', 'publish', 'noon', '--set', 'burst=7')
        _, rows = await tool.run('profile', 'history', as_json=True)
        assert [r['fate'] for r in rows] == [
            'accepted',
            'lost to 1',
            'accepted',
        ]
        assert [row['base'] for row in rows] == [0, 0, 1]
        _, rows = await tool.run(
            'profile', 'diff', 'noon@1', 'noon', as_json=True
        )
        assert rows == [{'field': 'burst', 'noon@1': 20.0, 'noon': 7}]
        with pytest.raises(SettingError, match='noon@2'):
            await tool.run('profile', 'diff', 'noon@2', 'noon')

    @virtual_time
    async def test_hosts(self):
        tool = Tool()
        await tool.run(*FIRST)
        code, text = await tool.run('status')
        assert code == ExitCode.DONE
        for shown in ('e2 0.25 s', 'm@a', '3 of 9', 'e1, e2, e3', 'd1'):
            assert shown in text
        tool.operators.silent = {'o3'}
        code, text = await tool.run('status')
        assert (code, 'no answer' in text) == (ExitCode.HOST_UNAVAILABLE, True)
        _, dump = await tool.run('dump', 'e2', as_json=True)
        assert dump == {'address': 'o2'}
        with pytest.raises(SettingError, match='e9'):
            await tool.run('dump', 'e9')


class TestOperatorsClient:
    """Calls to an entry host over a loopback socket."""

    def test_token(self):
        async def read(token):
            server = OperatorsServer(FakeService(), 'right', str, print)
            port = await server.start('127.0.0.1', 0)
            try:
                async with aiohttp.ClientSession() as session:
                    client = OperatorsClient(session, token)
                    return await client.status(f'127.0.0.1:{port}')
            finally:
                await server.stop()

        assert asyncio.run(read('right'))['host'] == 'e1'
        with pytest.raises(PeerUnavailableError, match='401'):
            asyncio.run(read('wrong'))


class TestMain:
    """Exit codes of the process."""

    @pytest.mark.parametrize(
        ('variables', 'code', 'problem'),
        [
            ({'LOG_URL': ''}, ExitCode.WRONG_USAGE, 'MUSTARDSCALE_LOG_URL'),
            ({'OPERATORS_TOKEN': ' '}, ExitCode.WRONG_USAGE, 'token'),
            ({}, ExitCode.LOG_UNAVAILABLE, 'connect'),
        ],
    )
    def test_failures(self, monkeypatch, capsys, variables, code, problem):
        # Nothing listens on port 1 of the loopback address.
        for name, value in {
            'LOG_URL': 'http://127.0.0.1:1',
            'HOST_LIST_URL': 'http://127.0.0.1:1',
            'OPERATORS_TOKEN': 'token',
            **variables,
        }.items():
            monkeypatch.setenv(f'MUSTARDSCALE_{name}', value)
        assert main(FIRST) == code
        assert problem in capsys.readouterr().err

"""Tests of reloading the settings while the process runs."""

import asyncio
import sys

import pytest

from mustardscale.platform import entry
from mustardscale.reporting.event_log import EventKind
from tests.relay_fakes import RecordingEventLog

LINES = {
    'host-id': 'h1',
    'data-centre': 'z',
    'region': 'r',
    'callers-listen': '10.0.0.1:1',
    'ready-listen': '10.0.0.1:2',
    'peers-listen': '10.0.0.1:3',
    'store-address': '10.9.0.1:4',
}


class Router:
    """A router that records the retry allowance."""

    def __init__(self):
        self.allowance = None
        self.blackboard = entry.Blackboard('h1', 1, 'z', 'r')

    def set_allowance(self, allowance):
        self.allowance = allowance


class Front:
    """A front server that records the limits on callers."""

    def __init__(self):
        self.limits = None

    def set_limits(self, limits):
        self.limits = limits


class ReloadFixture:
    """An edge host with a settings file that it watches."""

    def __init__(self, tmp_path, monkeypatch):
        self.path = tmp_path / 'settings.conf'
        self.write()
        monkeypatch.setenv(entry.SETTINGS_FILE_VARIABLE, str(self.path))
        monkeypatch.setattr(sys, 'argv', ['mustardscale.platform'])
        monkeypatch.setattr(entry, 'SETTINGS_CHECK_S', 0.01)
        self.events = RecordingEventLog()
        self.host = entry.EdgeHost(
            settings=entry.load_relay_settings(),
            events=self.events,
            output=None,
        )
        self.host._router = self.router = Router()
        self.host._front = self.front = Front()

    def write(self, **values):
        lines = LINES | {k.replace('_', '-'): v for k, v in values.items()}
        text = ''.join(f'{name} = {value}\n' for name, value in lines.items())
        self.path.write_text(text)

    def run(self, change):
        """Watches the file until a change was applied or refused."""

        async def main():
            self.host._reload = asyncio.Event()
            following = asyncio.create_task(self.host._follow_settings())
            await asyncio.sleep(0)
            change()
            async with asyncio.timeout(20):
                while not self.events.recorded:  # noqa: ASYNC110
                    await asyncio.sleep(0.01)
            following.cancel()

        asyncio.run(main())
        (recorded,) = self.events.recorded
        assert recorded[0] is EventKind.SETTINGS_RELOADED
        return recorded[3]


@pytest.fixture
def scene(tmp_path, monkeypatch):
    return ReloadFixture(tmp_path, monkeypatch)


class TestReload:
    """SIGHUP, and a file that changes without one."""

    def test_changed_file_is_applied_without_a_signal(self, scene):
        recorded = scene.run(lambda: scene.write(retry_slack=7))
        assert recorded == {'changed': ['retry_slack'], 'error': []}
        assert scene.router.allowance.slack == 7
        assert scene.front.limits is not None

    def test_sighup_reloads_the_file_at_once(self, scene, monkeypatch):
        monkeypatch.setattr(entry, 'SETTINGS_CHECK_S', 60.0)

        def change():
            scene.write(max_connections=9)
            scene.host._reload.set()

        assert scene.run(change)['changed'] == ['max_connections']
        assert scene.front.limits.connections == 9

    def test_wrong_settings_change_nothing_and_are_reported(self, scene):
        before = scene.host.settings
        recorded = scene.run(lambda: scene.write(retry_ratio='much'))
        assert recorded['changed'] == []
        assert '--retry-ratio' in recorded['error'][0]
        assert scene.host.settings == before

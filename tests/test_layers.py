"""The direction of imports between the subpackages."""

import ast
import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parents[1] / 'mustardscale'
# From the lowest to the highest; a layer imports from those below it. The
# blackboard stands aside: it knows the state of all, and all may know it.
LAYERS = (
    ('outcomes',),
    (
        'exceptions',
        'controller',
        'background_tasks',
        'json_content',
        'shared_call',
        'suspension',
    ),
    ('active_requests', 'compression'),
    ('traces', 'reporting', 'settings'),
    ('endpoints',),
    ('log', 'peers'),
    ('hosts',),
    ('configuration', 'rate_limits', 'quarantine', 'versions'),
    ('quotas',),
    ('policy',),
    ('pools',),
    ('orders', 'claims', 'directory'),
    ('requests', 'relay'),
    ('forwarding',),
    ('callers',),
    ('operators', 'replay'),
    ('commands', 'router_options', 'relay_options'),
    ('router', 'relay_router'),
    ('daemon', '__main__', 'platform'),
)
HEIGHT_BY_NAME = {
    name: height for height, layer in enumerate(LAYERS) for name in layer
}
STATE_MODULES = {
    'mustardscale.configuration.config_state',
    'mustardscale.endpoints.endpoint_notices',
    'mustardscale.endpoints.engines',
    'mustardscale.hosts.host_list',
    'mustardscale.orders.order_state',
    'mustardscale.peers.directory_messages',
    'mustardscale.peers.peer_messages',
    'mustardscale.quarantine.crash_evidence',
    'mustardscale.reporting.event_log',
    'mustardscale.suspension',
    'mustardscale.traces.trace',
}


def part_of(path):
    """Returns the subpackage, or the module beside the subpackages."""
    return path.relative_to(ROOT).with_suffix('').parts[0]


def imports(path):
    """Yields the names of the package's modules that a file imports."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom):
            name = node.module or ''
            if name.startswith('mustardscale.'):
                yield name


MODULES = sorted(ROOT.rglob('*.py'))


class TestDirection:
    """Who may import whom; docs/developers/architecture.md shows the map."""

    @pytest.mark.parametrize('path', MODULES, ids=lambda path: path.stem)
    def test_imports_point_down(self, path):
        part = part_of(path)
        if part in ('__init__', 'blackboard'):
            return
        for name in imports(path):
            other = name.split('.')[1]
            if other in ('blackboard', part):
                continue
            assert HEIGHT_BY_NAME[other] < HEIGHT_BY_NAME[part], name

    def test_the_blackboard_knows_only_state(self):
        outside = {
            name
            for name in imports(ROOT / 'blackboard.py')
            if HEIGHT_BY_NAME[name.split('.')[1]] > 1
        }
        assert outside <= STATE_MODULES

    def test_every_part_has_a_layer(self):
        parts = {part_of(path) for path in MODULES}
        parts -= {'__init__', 'blackboard'}
        assert parts == set(HEIGHT_BY_NAME)


class TestPlatform:
    """The adapter alone knows the names of the platform's wire."""

    WORDS = re.compile(
        r'X-(Expect-Instance|Not-Executed|Response-Signature|Kv-|Token-Usage'
        r'|Serving-Phase|Prompt-Prefix|Model-Name|Request-Deadline'
        r'|Request-Priority)'
        r'|log-(append|newest|join)|keyed\.(op|servers|status)'
        r'|/mustardscale/(report|order|kv-|ready)',
        re.IGNORECASE,
    )

    def test_its_names_stay_there(self):
        found = [
            path.relative_to(ROOT)
            for path in MODULES
            if part_of(path) != 'platform'
            and self.WORDS.search(path.read_text())
        ]
        assert found == []

    def test_nothing_imports_it(self):
        importers = [
            path.relative_to(ROOT)
            for path in MODULES
            if part_of(path) != 'platform'
            and any(
                name.startswith('mustardscale.platform')
                for name in imports(path)
            )
        ]
        assert importers == []

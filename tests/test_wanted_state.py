"""Tests of the wanted states of engines."""

import pytest

from mustardscale.configuration.config_records import (
    ConfigKey,
    decode_record,
    encode_record,
    make_change,
)
from mustardscale.configuration.config_state import ConfigState
from mustardscale.configuration.wanted_state import (
    ListedEngine,
    WantedEngine,
    WeightStoreLimits,
    check_wanted,
    compute_target,
    find_wanted_state,
)
from mustardscale.endpoints.engines import EngineRole

ENGINES = [
    ListedEngine('p1', 'm', EngineRole.PREFILL, True),
    ListedEngine('d1', 'm', EngineRole.DECODE, True),
    ListedEngine('d2', 'm', EngineRole.DECODE, False),
]
MODEL_ENTRY = WantedEngine('m', '2')


class TestEntries:
    """Checks of entries, and the engines to which they apply."""

    @pytest.mark.parametrize(
        'fields',
        [
            {'model': '', 'model_version': '1'},
            {'model': 'm', 'model_version': ''},
            {'model': 'm', 'model_version': '1', 'adapters': ('a', 'a')},
        ],
    )
    def test_incomplete_state_is_refused(self, fields):
        with pytest.raises(ValueError):
            WantedEngine(**fields)

    def test_limits_out_of_range_are_refused(self):
        with pytest.raises(ValueError):
            WeightStoreLimits(loads_at_once=0)
        assert WeightStoreLimits(1, 50.0, 100.0).load_s == 2.0
        assert WeightStoreLimits().load_s == 0.0

    def test_engine_entry_precedes_model_entry(self):
        own = WantedEngine('m', '3', EngineRole.PREFILL)
        wanted = {'model/m': MODEL_ENTRY, 'd1': own}
        found = [find_wanted_state(engine, wanted) for engine in ENGINES]
        assert found == [MODEL_ENTRY, own, MODEL_ENTRY]
        assert compute_target(ENGINES[2], MODEL_ENTRY).role is EngineRole.DECODE

    @pytest.mark.parametrize(
        ('name', 'wanted', 'message'),
        [
            ('d9', MODEL_ENTRY, 'names no engine'),
            ('model/x', MODEL_ENTRY, 'names no engine'),
            ('p1', WantedEngine('m', '2', EngineRole.DECODE), 'no prefill'),
            ('p1', WantedEngine('x', '1'), 'no prefill'),
            ('model/m', WantedEngine('m', '2', EngineRole.PREFILL), 'decode'),
        ],
    )
    def test_entry_without_engine_or_emptying_role_is_refused(
        self, name, wanted, message
    ):
        with pytest.raises(ValueError, match=message):
            check_wanted(name, ENGINES, {name: wanted}, ['m'])
        check_wanted('d1', ENGINES, {'d1': wanted}, ['m'])

    def test_wanted_state_is_folded_and_kept_in_snapshots(self):
        state, copy = ConfigState(), ConfigState()
        limits = WeightStoreLimits(3)
        for offset, (key, content) in enumerate(
            [
                (ConfigKey('engine', 'd1'), MODEL_ENTRY),
                (ConfigKey('weights', 'north'), limits),
            ],
            1,
        ):
            change = make_change(key, 0, str(offset), 'ann', content)
            state.apply(offset, encode_record(change))
        copy.merge(decode_record(encode_record(state.snapshot())))
        for folded in (state, copy):
            assert folded.wanted_by_name == {'d1': MODEL_ENTRY}
            assert folded.weight_limits('north') == limits
            assert folded.weight_limits('south') == WeightStoreLimits()

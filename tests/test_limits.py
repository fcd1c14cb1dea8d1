"""Tests of the limits of services at one host."""

import pytest

from mustardscale.blackboard import Blackboard
from mustardscale.configuration.config_records import (
    ConfigChange,
    ConfigKey,
    Profile,
    ServiceChoice,
    encode_record,
)
from mustardscale.exceptions import OutcomeError
from mustardscale.requests.limits import ServiceLimits
from tests.virtual_time import virtual_time


class TestFloorLimit:
    """The limit on requests in progress over all services."""

    @virtual_time
    async def test_published_change_takes_effect(self):
        board = Blackboard('host', 1, 'dc', 'region')
        limits = ServiceLimits(board)
        profile = Profile(floor_max_concurrent=2)
        self.publish(board, 1, profile=profile)
        limits.enter('one', profile)
        self.publish(board, 2, service=ServiceChoice('p'))
        limits.enter('two', profile)
        with pytest.raises(OutcomeError):
            limits.enter('three', profile)
        wider = Profile(floor_max_concurrent=3)
        self.publish(board, 3, base=1, profile=wider)
        limits.enter('three', wider)
        with pytest.raises(OutcomeError):
            limits.enter('four', wider)
        limits.leave('one')
        limits.enter('four', wider)

    def publish(self, board, offset, base=0, **content):
        (kind,) = content
        name = 'p' if kind == 'profile' else 'one'
        key = ConfigKey(kind, name)
        record = ConfigChange(key, base, f'c{offset}', 'ann', **content)
        board.config.apply(offset, encode_record(record))

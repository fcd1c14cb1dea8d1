"""Tests of what hosts share: a host that is cut off keeps to its own part."""

import asyncio
import math

import pytest

from mustardscale.blackboard import Blackboard, HostEntry
from mustardscale.configuration.config_records import Profile
from mustardscale.exceptions import OutcomeError
from mustardscale.relay.retry_budget import USABLE_SHARE
from mustardscale.requests.limits import ServiceLimits
from tests.relay_fakes import RelayBench
from tests.virtual_time import virtual_time

HOSTS = 6


def add_peers(board, silent, gone_at=-math.inf):
    for number in range(1, HOSTS):
        name = f'h{number}'
        board.hosts_by_id[name] = HostEntry(
            name, f'{name}:1', 'dc', silent=silent, gone_at=gone_at
        )


def count_permitted(take):
    """Returns how often a function returns True in a row."""
    count = 0
    while take():
        count += 1
    return count


class TestRetryBudget:
    """The retries of all hosts to one service."""

    @virtual_time
    @pytest.mark.parametrize('silent', [False, True])
    async def test_hosts_cut_from_each_other_use_the_budget_twice(self, silent):
        bench = RelayBench(slack=60.0)
        add_peers(bench.board, silent)
        retries = count_permitted(lambda: bench.context.take_retry('service'))
        assert retries == USABLE_SHARE * 60.0 / HOSTS

    @virtual_time
    async def test_the_share_of_hosts_that_have_ended_is_used(self):
        bench = RelayBench(slack=60.0)
        add_peers(bench.board, True, gone_at=asyncio.get_running_loop().time())
        retries = count_permitted(lambda: bench.context.take_retry('service'))
        assert retries == USABLE_SHARE * 60.0


class TestServiceLimits:
    """The rate and the concurrency of a service over all hosts."""

    def count_entered(self, board, profile):
        limits = ServiceLimits(board)

        def enter():
            try:
                limits.enter('one', profile)
            except OutcomeError:
                return False
            return True

        return count_permitted(enter)

    @virtual_time
    @pytest.mark.parametrize('silent', [False, True])
    @pytest.mark.parametrize(
        'profile',
        [
            Profile(rate_per_s=60.0, burst=60.0),
            Profile(max_concurrent=60),
        ],
    )
    async def test_hosts_cut_from_each_other_use_a_limit_twice(
        self, profile, silent
    ):
        board = Blackboard('host', 1, 'dc', 'region')
        add_peers(board, silent)
        assert self.count_entered(board, profile) == 60 / HOSTS

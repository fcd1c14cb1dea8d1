"""Tests that without its mechanism each promise is found broken."""

import asyncio

import pytest

from mustardscale.endpoints.engines import StreamStage
from mustardscale.pools.reconcile import Reconciler
from standins.fault_runs import run_seed
from tests.mechanisms import CASE_BY_NAME, do_nothing
from tests.test_memory_site import run
from tests.test_promises_memory import (
    FREE_AFTER_HOST_LOSS_S,
    leave,
    start_until,
    used,
)


class TestMechanisms:
    """The same run with a mechanism and without it."""

    @pytest.mark.parametrize('name', CASE_BY_NAME)
    def test_promise_needs_the_mechanism(self, name, monkeypatch):
        case = CASE_BY_NAME[name]
        case.set_up(monkeypatch)
        kept = run_seed(case.seed, case.faults)
        assert [str(violation) for violation in kept.violations] == []
        case.switch_off(monkeypatch)
        broken = run_seed(case.seed, case.faults)
        promises = {violation.promise for violation in broken.violations}
        assert promises == {case.promise}

    @pytest.mark.parametrize('reconciles', [True, False])
    def test_memory_of_a_dead_host_needs_the_owner(
        self, monkeypatch, reconciles
    ):
        async def scenario(site):
            task = await start_until(site, 'entry-2', StreamStage.DECODE)
            await site.kill_host('entry-2')
            await leave(task)
            await asyncio.sleep(FREE_AFTER_HOST_LOSS_S)
            assert (used(site) == 0) is reconciles

        if not reconciles:
            monkeypatch.setattr(Reconciler, '_cancel_if_orphaned', do_nothing)
        run(scenario)

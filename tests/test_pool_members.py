"""Tests of the division of engines into pools."""

from mustardscale.blackboard import EndpointEntry
from mustardscale.endpoints.engines import EngineRole
from mustardscale.hosts.host_list import ListedKind
from mustardscale.pools.pool_members import divide_pools

DATA_CENTRES = ('a', 'b', 'c', 'd')


def engines(each=7, prefills=1):
    return [
        EndpointEntry(
            f'{data_centre}{number}',
            ListedKind.ENGINE,
            f'{data_centre}:{number}',
            data_centre,
            'region',
            model='m',
            role=EngineRole.PREFILL if number < prefills else EngineRole.DECODE,
        )
        for data_centre in DATA_CENTRES
        for number in range(each)
    ]


def members(pools):
    return {pool.id: pool.engine_ids for pool in pools.values()}


class TestManyEngines:
    """A model with more engines than one pool may have."""

    def test_each_data_centre_has_its_pool(self):
        pools = divide_pools(engines(), 'region', max_engines=16)
        assert {pool.data_centre for pool in pools.values()} == set(
            DATA_CENTRES
        )

    def test_a_lost_prefill_engine_divides_no_other_pool_anew(self):
        before = members(divide_pools(engines(), 'region', 16, False))
        left = [engine for engine in engines() if engine.id != 'a0']
        after = members(divide_pools(left, 'region', 16, False))
        assert after.keys() == before.keys()
        changed = {key for key in after if after[key] != before[key]}
        assert changed == {'m@a#0'}

    def test_pools_that_need_both_roles_span_data_centres_that_lack_one(self):
        left = [engine for engine in engines() if engine.id != 'a0']
        pools = divide_pools(left, 'region', max_engines=16)
        assert {pool.data_centre for pool in pools.values()} == {''}

    def test_few_engines_form_one_pool(self):
        (pool,) = divide_pools(
            engines(each=3), 'region', max_engines=16
        ).values()
        assert pool.data_centre == ''

"""The policy recovers from engines that were slow for a while."""

import asyncio

from mustardscale.configuration.config_records import Profile
from tests.test_memory_site import answer, language, run, whole
from tests.test_promises_answers import outcome_of

RECOVERY_S = 15


class TestSlowEngines:
    """All decode engines are slow, and then no longer."""

    def test_requests_are_admitted_again(self):
        async def scenario(site):
            for engine in site.engines_by_id.values():
                engine.faults.slow_factor = 6.0
            host = site.routers_by_host['entry-1']
            for number in range(30):
                await outcome_of(answer(host, language(number, 100)))
            for engine in site.engines_by_id.values():
                engine.faults.slow_factor = 1.0
            await asyncio.sleep(RECOVERY_S)
            again = language(77)
            assert await answer(host, again) == whole(again)

        run(scenario, Profile(patience_s=3))

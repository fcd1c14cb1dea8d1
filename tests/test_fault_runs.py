"""A fixed set of seeds of the fault runs."""

import pytest

from standins.fault_plan import Fault, FaultKind
from standins.fault_runs import run_seed

# Seeds that broke a promise once, and the first ones.
SEEDS = (2, 6, 37, 126, 237, 381, 393, 451, 555, 597, 641)
# An engine that crashes, and a slow log.
ORDER_SEEDS = (12, 16)


class TestSeeds:
    """Random combinations of faults."""

    @pytest.mark.parametrize('seed', SEEDS)
    def test_no_promise_is_broken(self, seed):
        report = run_seed(seed)
        assert [str(violation) for violation in report.violations] == []
        assert report.answered > report.requests / 2


class TestOrders:
    """Faults while operators change what engines shall serve."""

    @pytest.mark.parametrize('seed', ORDER_SEEDS)
    def test_no_promise_is_broken(self, seed):
        report = run_seed(seed, orders=True)
        assert [str(violation) for violation in report.violations] == []
        assert report.answered > report.requests / 2


class TestEachFault:
    """Each kind of fault, together with another one."""

    @pytest.mark.parametrize('number', range(0, len(FaultKind), 2))
    def test_no_promise_is_broken(self, number):
        kinds = list(FaultKind)[number : number + 2]
        faults = [Fault(kind, 10.0, 8.0, 3, 1) for kind in kinds]
        report = run_seed(7, faults)
        assert [str(violation) for violation in report.violations] == []
        assert report.answered > report.requests / 2

"""Quotas of customers: what all hosts together send, and who is refused."""

import asyncio
import random

import pytest

from mustardscale.blackboard import Blackboard
from mustardscale.configuration.customers import Customer, CustomerQuota
from mustardscale.exceptions import OutcomeError, PeerUnavailableError
from mustardscale.outcomes import Outcome
from mustardscale.peers.quota_messages import (
    QuotaReply,
    QuotaRequest,
    QuotaTerms,
)
from mustardscale.quotas.host_quotas import RETURN_DELAY_S, HostQuotas
from mustardscale.quotas.quota_bucket import QuotaBucket
from mustardscale.quotas.quota_gate import QuotaSource
from mustardscale.quotas.quota_owner import (
    HANDOVER_S,
    MAX_BACKLOG_S,
    OwnedQuota,
)
from mustardscale.quotas.quota_share import QuotaShare, QuotaTolerance
from mustardscale.rate_limits import owner_calls
from mustardscale.rate_limits.owner_calls import CALL_TIMEOUT_S
from mustardscale.reporting.metrics import Metrics
from standins.host_fleet import even
from standins.quota_fleet import (
    TOLERANCE,
    Demand,
    QuotaFleet,
    make_customer,
)
from standins.quota_runs import play_seed
from tests.virtual_time import virtual_time

TERMS = QuotaTerms(1, 1_000.0, 1_000.0)
LARGE = 5_000
LIMIT = 30_000.0
CUSTOMER = make_customer('north', LIMIT)


async def start_fleet(hosts, customers=(CUSTOMER,), seed=1):
    fleet = QuotaFleet(hosts, customers, seed)
    await fleet.start()
    return fleet


def demand_of(share, **fields):
    """Returns the demand that is a share of the limit."""
    one = Demand(CUSTOMER.name, 1.0, **fields)
    per_s = share * LIMIT / one.tokens_per_s
    return Demand(CUSTOMER.name, per_s, **fields)


def outcomes(fleet, outcome):
    return sum(record.outcome is outcome for record in fleet.records)


class TestBucket:
    """Credit of requests of very different sizes."""

    def test_large_request_takes_the_credit_below_zero(self):
        bucket = QuotaBucket(1_000.0, 1_000.0, 1_000.0, now=0.0)
        assert bucket.take(LARGE, 0.0)
        assert not bucket.take(1, 0.0)
        assert bucket.wait_s(0.0) == pytest.approx(4.001)
        assert not bucket.take(1, 4.0)
        assert bucket.take(1, 4.01)

    def test_request_above_the_burst_is_never_refused_for_good(self):
        bucket = QuotaBucket(10.0, 20.0, 20.0, now=0.0)
        assert bucket.take(1_000, 0.0)
        assert bucket.take(1_000, 100.0)

    def test_small_requests_do_not_crowd_out_large_ones(self):
        # With a credit for the whole request, small ones would take it all.
        bucket = QuotaBucket(1_000.0, 1_000.0, 0.0, now=0.0)
        granted = {200: 0, LARGE: 0}
        rng = random.Random(1)
        for step in range(20_000):
            amount = rng.choice((200, LARGE))
            granted[amount] += bucket.take(amount, step / 50)
        assert granted[LARGE] == pytest.approx(granted[200], rel=0.3)

    def test_lowered_rate_holds_from_now_on(self):
        bucket = QuotaBucket(1_000.0, 1_000.0, 1_000.0, now=0.0)
        bucket.change(10.0, 10.0, now=0.0)
        assert bucket.level(0.0) == 10.0

    def test_returned_units_can_be_used_again(self):
        bucket = QuotaBucket(1.0, 10.0, 10.0, now=0.0)
        assert bucket.take(10, 0.0)
        bucket.put_back(10, 0.0)
        assert bucket.take(10, 0.0)


class TestOwner:
    """Grants of the host that owns a quota."""

    def grant(self, owned, amounts, now, returned=0):
        request = QuotaRequest('north', TERMS, tuple(amounts), returned)
        return owned.grant(request, now)

    def test_new_owner_starts_without_credit(self):
        owned = OwnedQuota(TERMS, QuotaTolerance(), now=10.0)
        assert not owned.is_open(10.0)
        opens_at = 10.0 + HANDOVER_S
        assert owned.is_open(opens_at)
        assert self.grant(owned, [200], opens_at).granted == 0
        assert self.grant(owned, [200], opens_at + 0.5).granted == 1

    def test_requests_are_granted_in_order_of_arrival(self):
        owned = OwnedQuota(TERMS, QuotaTolerance(), now=0.0)
        reply = self.grant(owned, [400, 400, 400, 400], HANDOVER_S + 1.0)
        assert reply.granted == 3
        assert reply.wait_s > 0

    def test_refused_callers_are_asked_to_return_one_after_the_other(self):
        owned = OwnedQuota(TERMS, QuotaTolerance(), now=0.0)
        now = HANDOVER_S
        waits = [self.grant(owned, [1_000], now).wait_s for _ in range(4)]
        assert waits == pytest.approx([0.001, 1.001, 2.001, 3.001], abs=0.01)

    def test_no_caller_is_asked_to_wait_for_longer_than_callers_do(self):
        owned = OwnedQuota(TERMS, QuotaTolerance(), now=0.0)
        for _ in range(100):
            reply = self.grant(owned, [LARGE], 0.0)
        assert reply.wait_s == MAX_BACKLOG_S

    def test_shares_of_silent_hosts_are_left_to_them(self):
        owned = OwnedQuota(TERMS, QuotaTolerance(), now=0.0)
        owned.adopt(TERMS, 0.5, now=0.0)
        assert owned.level(HANDOVER_S + 1.0) == pytest.approx(500.0)

    def test_burst_of_a_customer_below_its_rate_is_refused(self):
        # Requests of 5,000 tokens come in groups, below the rate on average.
        terms = QuotaTerms(1, 18_000.0, 18_000.0)
        owned = OwnedQuota(terms, TOLERANCE, now=0.0)
        for group in range(1, 6):
            now = HANDOVER_S + 4.0 * group
            assert self.grant(owned, [LARGE] * 10, now).granted == 10

    def test_crowd_does_not_get_all_that_a_window_allows(self):
        owned = OwnedQuota(TERMS, QuotaTolerance(8.0), now=0.0)
        granted = 0
        for step in range(5_000):
            now = HANDOVER_S + step / 100
            owned.adopt(TERMS, 1.0, now)
            units = 50 * self.grant(owned, [50], now).granted
            granted += units if now > 17.0 else 0
        # A window of 8 s allows its rate and a burst.
        assert granted == pytest.approx(34.0 * 9_000 / 8.0, rel=0.02)

    def test_window_is_exceeded_after_a_burst(self):
        owned = OwnedQuota(TERMS, QuotaTolerance(8.0), now=0.0)
        grants = []
        for step in range(6_000):
            now = HANDOVER_S + step / 100
            owned.adopt(TERMS, 1.0, now)
            # Crowds of some seconds with pauses between them.
            if int(now) % 10 < 6 and self.grant(owned, [50], now).granted:
                grants.append(now)
        for begins_at in grants:
            ends_at = begins_at + 8.0
            window = sum(begins_at <= at < ends_at for at in grants)
            assert 50 * window <= 9_000 + 50

    def test_newer_terms_of_a_host_hold(self):
        owned = OwnedQuota(TERMS, QuotaTolerance(), now=0.0)
        owned.adopt(QuotaTerms(2, 10.0, 10.0), 1.0, now=5.0)
        owned.adopt(TERMS, 1.0, now=5.0)
        assert owned.terms.version == 2
        assert owned.level(5.0) == 10.0


class TestShare:
    """What hosts grant that reach no owner."""

    def test_shares_of_all_hosts_keep_to_the_quota(self):
        # All hosts lose the owner at once while a crowd of large requests
        # comes to each of them.
        hosts, rng = 65, random.Random(3)
        shares = [
            QuotaShare(TERMS, QuotaTolerance(), hosts, LARGE, rng, 0.0)
            for _ in range(hosts)
        ]
        granted = 0
        seconds = 400
        for now in range(seconds):
            for share in shares:
                if not share.take(TERMS, hosts, LARGE, float(now)):
                    granted += LARGE
        allowed = TERMS.rate_per_s * seconds + TERMS.burst + LARGE
        assert 0.8 * allowed <= granted <= allowed

    def test_excess_at_the_start_stays_within_the_tolerance(self):
        hosts, terms = 84, QuotaTerms(1, 18_000.0, 18_000.0)
        for seed in range(20):
            rng = random.Random(seed)
            granted = 0
            for _ in range(hosts):
                share = QuotaShare(terms, TOLERANCE, hosts, 3_000, rng, 0.0)
                granted += 0 if share.take(terms, hosts, 3_000, 0.0) else 3_000
            assert granted <= TOLERANCE.excess(terms)

    def test_refused_caller_is_told_when_there_is_credit(self):
        share = QuotaShare(
            TERMS, QuotaTolerance(), 10, 1_000, random.Random(1), 0.0
        )
        wait_s = share.take(TERMS, 10, 1_000, 0.0)
        assert wait_s > 0
        assert share.take(TERMS, 10, 1_000, wait_s + 0.001) == 0


class _Owners:
    """Finds one owner of all quotas."""

    def find(self, customer):
        return 'owner'


class _Calls:
    """Calls to an owner that answers as it is told."""

    def __init__(self, answer):
        self.requests = []
        self._answer = answer

    async def call(self, host, request, reply_type, timeout_s):
        self.requests.append(request)
        return await self._answer(request, timeout_s)


def make_quotas(answer, tolerance=TOLERANCE):
    calls = _Calls(answer)
    board = Blackboard('h1', 1, 'z', 'r')
    board.quorum_at = 1e9
    quotas = HostQuotas(
        board,
        calls,
        _Owners(),
        tolerance,
        Metrics(),
        random.Random(1),
    )
    return quotas, calls


async def grant_all(request, timeout_s):
    await asyncio.sleep(0.003)
    return QuotaReply(True, len(request.amounts), 0.0, request.terms)


async def refuse_all(request, timeout_s):
    return QuotaReply(True, 0, 0.7, request.terms)


async def answer_nothing(request, timeout_s):
    await asyncio.sleep(timeout_s)
    raise PeerUnavailableError('no answer')


class TestHost:
    """One host before the owner of a quota."""

    @virtual_time
    async def test_requests_that_wait_are_asked_for_together(self):
        quotas, calls = make_quotas(grant_all)
        first = asyncio.create_task(quotas.acquire(CUSTOMER, 1, 'r1'))
        await asyncio.sleep(0.001)
        others = (quotas.acquire(CUSTOMER, n, f'r{n}') for n in range(2, 6))
        draws = await asyncio.gather(first, *others)
        assert [draw.amount for draw in draws] == [1, 2, 3, 4, 5]
        assert [len(request.amounts) for request in calls.requests] == [1, 4]

    @virtual_time
    async def test_refusal_says_when_to_return(self):
        quotas, _ = make_quotas(refuse_all)
        with pytest.raises(OutcomeError) as caught:
            await quotas.acquire(CUSTOMER, 200, 'r1')
        assert caught.value.outcome is Outcome.RATE_LIMITED
        assert caught.value.retry_after_s == 0.7

    @virtual_time
    async def test_silent_owner_holds_up_one_request_only(self):
        quotas, calls = make_quotas(answer_nothing)
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        draw = await quotas.acquire(CUSTOMER, 200, 'r1')
        assert loop.time() - began_at == pytest.approx(CALL_TIMEOUT_S)
        assert draw.source is QuotaSource.SHARE
        await quotas.acquire(CUSTOMER, 200, 'r2')
        assert loop.time() - began_at == pytest.approx(CALL_TIMEOUT_S)
        assert len(calls.requests) == 1

    @virtual_time
    async def test_what_has_not_run_is_returned_to_the_owner(self):
        quotas, calls = make_quotas(grant_all)
        draw = await quotas.acquire(CUSTOMER, 4_000, 'r1')
        quotas.give_back(draw)
        await asyncio.sleep(2 * RETURN_DELAY_S)
        assert [r.returned for r in calls.requests] == [0, 4_000]

    @virtual_time
    async def test_draw_of_a_caller_that_left_is_returned(self):
        quotas, calls = make_quotas(grant_all)
        request = asyncio.create_task(quotas.acquire(CUSTOMER, 4_000, 'r1'))
        await asyncio.sleep(0.001)
        request.cancel()
        await asyncio.sleep(2 * RETURN_DELAY_S)
        assert [r.returned for r in calls.requests] == [0, 4_000]

    @virtual_time
    async def test_grant_is_void_after_a_suspension(self, monkeypatch):
        suspensions = iter([0.0, 5.0, 5.0, 5.0])
        monkeypatch.setattr(
            owner_calls, 'suspended_s', lambda: next(suspensions)
        )
        quotas, calls = make_quotas(grant_all)
        draw = await quotas.acquire(CUSTOMER, 200, 'r1')
        assert draw.source is QuotaSource.OWNER
        assert len(calls.requests) == 2

    @virtual_time
    async def test_small_quota_without_tolerance_is_usable(self):
        customer = Customer('small', quota=CustomerQuota(2.0, 1.0))
        quotas, _ = make_quotas(answer_nothing, QuotaTolerance())
        granted = 0
        for number in range(100):
            try:
                await quotas.acquire(customer, 1, f'r{number}')
                granted += 1
            except OutcomeError:
                pass
            await asyncio.sleep(0.1)
        assert granted >= 15


class TestSumOverTheFleet:
    """What all hosts together send for a customer."""

    @virtual_time
    @pytest.mark.parametrize('hosts', [6, 65])
    async def test_crowd_of_one_customer_exceeds_its_quota(self, hosts):
        fleet = await start_fleet(hosts)
        await fleet.load(demand_of(4.0), 12.0, even(fleet.router_by_host))
        await fleet.stop()
        assert fleet.violations() == []
        assert outcomes(fleet, Outcome.RATE_LIMITED)

    @virtual_time
    @pytest.mark.parametrize('hosts', [6, 65])
    @pytest.mark.parametrize('is_skewed', [False, True])
    async def test_quota_can_be_used_whole(self, hosts, is_skewed):
        fleet = await start_fleet(hosts)
        shares = even(fleet.router_by_host)
        if is_skewed:
            shares['h002'] = 1e6
        begins_at = asyncio.get_running_loop().time()
        await fleet.load(demand_of(3.0), 12.0, shares)
        await fleet.stop()
        ran = fleet.ledger.tokens_between(
            CUSTOMER.name, begins_at, begins_at + 12.0
        )
        assert ran >= 0.95 * LIMIT * 12.0

    @virtual_time
    async def test_customer_below_its_quota_is_refused(self):
        other = make_customer('south', LIMIT)
        fleet = await start_fleet(20, (CUSTOMER, other))
        shares = even(fleet.router_by_host)
        crowd = Demand('south', 4 * demand_of(1.0).requests_per_s)
        await asyncio.gather(
            fleet.load(demand_of(0.55), 12.0, shares),
            fleet.load(crowd, 12.0, shares),
        )
        await fleet.stop()
        refused = [
            record.customer
            for record in fleet.records
            if record.outcome is Outcome.RATE_LIMITED
        ]
        assert 'south' in refused
        assert refused.count('north') <= 0.01 * len(fleet.records)

    @virtual_time
    async def test_lowered_quota_does_not_hold(self):
        fleet = await start_fleet(20)
        shares = even(fleet.router_by_host)
        await fleet.load(demand_of(1.0), 4.0, shares)
        # Only half of the hosts have heard of the new version yet.
        hosts = list(fleet.router_by_host)
        fleet.publish(2, [make_customer('north', LIMIT / 10)], hosts[::2])
        changed_at = asyncio.get_running_loop().time()
        await fleet.load(demand_of(1.0), 12.0, shares)
        await fleet.stop()
        since = changed_at + TOLERANCE.window_s
        assert fleet.violations(since) == []

    @virtual_time
    @pytest.mark.parametrize('kind', ['restart', 'freeze', 'cut'])
    async def test_loss_of_the_owner_exceeds_the_quota(self, kind):
        fleet = await start_fleet(20)
        owners = {
            host
            for host, router in fleet.router_by_host.items()
            if router.quota_owner.owned_by_customer
        }
        assert len(owners) == 1
        load = fleet.load(demand_of(4.0), 14.0, even(fleet.router_by_host))
        task = asyncio.create_task(load)
        await asyncio.sleep(3.0)
        await fleet.harm(owners.pop(), kind, 5.0)
        await task
        await fleet.stop()
        assert fleet.violations() == []

    @virtual_time
    async def test_cut_hosts_and_the_others_exceed_the_quota_together(self):
        fleet = await start_fleet(40)
        load = fleet.load(demand_of(4.0), 14.0, even(fleet.router_by_host))
        task = asyncio.create_task(load)
        await asyncio.sleep(2.0)
        for host in list(fleet.router_by_host)[:14]:
            fleet.cut_host(host)
        await task
        await fleet.stop()
        assert fleet.violations() == []

    @pytest.mark.parametrize('seed', [3, 8, 14])
    def test_quotas_are_exceeded_under_faults(self, seed):
        play_seed(seed, hosts=6)

    def test_quotas_are_exceeded_under_faults_with_hubs(self):
        play_seed(301, hosts=20)

"""Tests of the choice of the host that has a duty."""

import collections

from mustardscale.blackboard import Blackboard, HostEntry
from mustardscale.hosts.duties import choose_host, rank_hosts

LARGE, SMALL = 2.0, 0.5
DUTIES = [f'duty {number}' for number in range(400)]


def board(large=3, small=30, data_centres=('dc',)):
    """Returns the blackboard of one of several live hosts."""
    made = Blackboard('l0', 1, data_centres[0], 'region')
    made.capacity = LARGE
    for number in range(1, large + small):
        kind, capacity = ('l', LARGE) if number < large else ('s', SMALL)
        place = data_centres[number % len(data_centres)]
        name = f'{kind}{number}'
        made.hosts_by_id[name] = HostEntry(
            name, f'{name}:1', place, capacity=capacity, silent=False
        )
    return made


class TestChoice:
    """The host that is chosen for a duty."""

    def test_large_hosts_get_most_duties(self):
        chosen = [choose_host(board(), duty) for duty in DUTIES]
        large = sum(name.startswith('l') for name in chosen)
        assert large > 0.9 * len(DUTIES)

    def test_hosts_of_equal_capacity_share_duties(self):
        counts = collections.Counter(
            choose_host(board(large=8, small=0), duty) for duty in DUTIES
        )
        assert len(counts) == 8
        assert max(counts.values()) < 2 * len(DUTIES) / 8

    def test_small_hosts_get_duties_when_large_ones_are_gone(self):
        known = board()
        for host in known.hosts_by_id.values():
            host.silent = host.id.startswith('l')
        known.draining = True
        assert choose_host(known, 'duty').startswith('s')

    def test_a_host_in_the_data_centre_is_preferred(self):
        known = board(data_centres=('dc', 'other'))
        for duty in DUTIES:
            host = choose_host(known, duty, 'other')
            assert known.hosts_by_id[host].data_centre == 'other'

    def test_any_host_is_chosen_if_the_data_centre_has_none(self):
        assert choose_host(board(), 'duty', 'elsewhere')


class TestChange:
    """The duties that move when hosts change."""

    def test_only_the_duties_of_a_lost_host_move(self):
        before = board()
        after = board()
        after.hosts_by_id['l1'].silent = True
        for duty in DUTIES:
            chosen = choose_host(before, duty)
            if chosen != 'l1':
                assert choose_host(after, duty) == chosen

    def test_all_hosts_compute_the_same_order(self):
        one, other = board(), board()
        other.host, other.hosts_by_id = 's5', dict(one.hosts_by_id)
        del other.hosts_by_id['s5']
        other.hosts_by_id['l0'] = HostEntry(
            'l0', 'l0:1', 'dc', capacity=LARGE, silent=False
        )
        other.capacity = SMALL
        hosts = one.serving_hosts()
        for duty in DUTIES[:20]:
            assert rank_hosts(one, duty, hosts) == rank_hosts(
                other, duty, hosts
            )

    def test_an_invalid_capacity_is_bounded(self):
        known = board(large=1, small=3)
        for host, capacity in zip(
            known.hosts_by_id.values(), (-1.0, 0.0, float('nan')), strict=True
        ):
            host.capacity = capacity
        assert choose_host(known, 'duty')

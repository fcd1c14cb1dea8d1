"""Tests of the views of hubs and of the changes between them."""

from hypothesis import given, settings
from hypothesis import strategies as st

from mustardscale.hosts.hub_view import (
    EMPTY_VIEW,
    apply_delta,
    compute_delta,
    make_view,
)
from mustardscale.peers.peer_messages import HeardHost

HOSTS = st.dictionaries(
    st.sampled_from([f'h{number}' for number in range(8)]),
    st.tuples(st.integers(1, 3), st.booleans()),
)


def view(hosts):
    return make_view(
        HeardHost(name, incarnation, draining, 0.0)
        for name, (incarnation, draining) in hosts.items()
    )


class TestDelta:
    """The changes between two views."""

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(HOSTS, HOSTS)
    def test_a_delta_turns_one_view_into_the_other(self, before, after):
        known, present = view(before), view(after)
        assert apply_delta(known, compute_delta(known, present)) == present

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(HOSTS)
    def test_a_delta_from_the_empty_view_names_all_hosts(self, hosts):
        delta = compute_delta(EMPTY_VIEW, view(hosts))
        assert (delta.since, len(delta.heard)) == (0, len(hosts))

    def test_a_delta_holds_only_the_changes(self):
        hosts = {f'h{number}': (1, False) for number in range(200)}
        before = view(hosts)
        after = view(hosts | {'h7': (2, False), 'new': (1, False)})
        delta = compute_delta(before, after)
        assert {host.host for host in delta.heard} == {'h7', 'new'}
        del hosts['h9']
        delta = compute_delta(before, view(hosts))
        assert (delta.heard, delta.lost) == ((), ('h9',))

    def test_the_order_of_the_hosts_does_not_matter(self):
        hosts = [HeardHost(name, 1, False, 0.0) for name in 'abc']
        assert make_view(hosts) == make_view(reversed(hosts))

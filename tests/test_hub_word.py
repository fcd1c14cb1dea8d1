"""Tests of what hubs say of the hosts that they hear."""

from hypothesis import given, settings
from hypothesis import strategies as st

from mustardscale.hosts.hub_word import (
    NO_WORD,
    apply_news,
    news_between,
    word_of,
)
from mustardscale.peers.peer_messages import HeardHost

HOSTS = st.dictionaries(
    st.sampled_from([f'h{number}' for number in range(8)]),
    st.tuples(st.integers(1, 3), st.booleans()),
)


def word(hosts):
    return word_of(
        HeardHost(name, incarnation, draining, 0.0)
        for name, (incarnation, draining) in hosts.items()
    )


class TestNews:
    """The difference between two words."""

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(HOSTS, HOSTS)
    def test_it_leads_from_one_word_to_the_other(self, before, after):
        known, present = word(before), word(after)
        assert apply_news(known, news_between(known, present)) == present

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(HOSTS)
    def test_without_a_word_it_names_all(self, hosts):
        news = news_between(NO_WORD, word(hosts))
        assert (news.since, len(news.heard)) == (0, len(hosts))

    def test_its_size_is_that_of_the_change(self):
        hosts = {f'h{number}': (1, False) for number in range(200)}
        before = word(hosts)
        after = word(hosts | {'h7': (2, False), 'new': (1, False)})
        news = news_between(before, after)
        assert {host.host for host in news.heard} == {'h7', 'new'}
        del hosts['h9']
        news = news_between(before, word(hosts))
        assert (news.heard, news.lost) == ((), ('h9',))

    def test_the_order_of_the_hosts_does_not_matter(self):
        hosts = [HeardHost(name, 1, False, 0.0) for name in 'abc']
        assert word_of(hosts) == word_of(reversed(hosts))

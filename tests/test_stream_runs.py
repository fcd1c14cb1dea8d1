"""Tests of the runs of streams: plan, builds of the hosts, one seed."""

import collections
import pathlib
import subprocess

import pytest
import uvloop

from standins.builds import check_out
from standins.peer_links import Silence
from standins.route_changes import RouteChange
from standins.stream_callers import STREAMS
from standins.stream_plan import (
    CALM_S,
    FIRST_AT_S,
    FOR_ALL_HOSTS,
    PEER_CUTS,
    ROUTES,
    SILENCE_NOTICED_S,
    StopNotice,
    Trouble,
    TroubleKind,
    draw_replacements,
    draw_troubles,
)
from standins.stream_runs import HostBuilds, StreamRun
from standins.worker_links import LinkCut

HOSTS = ['h0', 'h1', 'h2']
WORKERS = ['a1', 'd1']
PLAN_S = 30.0
SEED_S = 8.0
# Time of a run with silent connections, and when they go silent, seconds.
SILENT_SEED_S = 12.0
SILENT_AT_S = 3.0
# The host of these that owns the pool of the engines.
POOL_OWNER = 'h2'
# Streams of a host before and after that, and the share served after it of that
# before it, at least.
LEAST_STREAMS = 5
LEAST_SERVED_SHARE = 0.5


class TestPlan:
    """Which troubles a seed draws."""

    def draw(self, seed):
        return draw_troubles(seed, HOSTS, WORKERS, PLAN_S)

    def test_a_seed_always_draws_the_same(self):
        assert self.draw(7) == self.draw(7)
        assert self.draw(7) != self.draw(8)

    def test_all_kinds_and_cuts_come(self):
        troubles = [t for seed in range(50) for t in self.draw(seed)]
        assert {t.kind for t in troubles} == set(TroubleKind)
        assert {t.cut for t in troubles} == {None, *LinkCut}
        assert {t for one in troubles for t in one.targets} == {
            *HOSTS,
            *WORKERS,
        }

    def test_what_the_operator_does_to_all_hosts(self):
        troubles = [
            trouble
            for seed in range(50)
            for trouble in self.draw(seed)
            if trouble.kind in FOR_ALL_HOSTS
        ]
        assert {t.targets for t in troubles} == {()}
        changed = [t for t in troubles if t.change is not None]
        assert {t.change for t in changed} == set(RouteChange)
        assert {t.route for t in changed} == set(ROUTES)
        assert {t.kind for t in changed} == {TroubleKind.ROUTE_CHANGED}

    def test_links_are_lost_between_two_hosts(self):
        cuts = [
            trouble
            for seed in range(50)
            for trouble in self.draw(seed)
            if trouble.kind in PEER_CUTS
        ]
        assert {len(set(cut.targets)) for cut in cuts} == {2}
        assert {host for cut in cuts for host in cut.targets} == set(HOSTS)
        alone = draw_troubles(7, HOSTS[:1], WORKERS, PLAN_S)
        assert not any(trouble.kind in PEER_CUTS for trouble in alone)

    def test_connections_of_some_hosts_go_silent(self):
        silences = [
            trouble
            for seed in range(50)
            for trouble in self.draw(seed)
            if trouble.kind is TroubleKind.PEERS_SILENT
        ]
        assert {len(set(s.targets)) for s in silences} == {2, 3}
        assert {s.silence for s in silences} == {
            Silence.CALLS,
            Silence.REPLIES,
            Silence.BOTH,
        }
        alone = draw_troubles(7, HOSTS[:1], WORKERS, PLAN_S)
        assert not any(t.kind is TroubleKind.PEERS_SILENT for t in alone)

    def test_troubles_begin_after_the_start_and_before_the_calm(self):
        for seed in range(50):
            for trouble in self.draw(seed):
                assert FIRST_AT_S <= trouble.at < PLAN_S - CALM_S
                assert trouble.for_s > 0.0

    def test_cuts_leave_a_host_and_come_on_two_of_three_seeds(self):
        for seed in range(50):
            cuts = [t for t in self.draw(seed) if t.cut is not None]
            assert bool(cuts) == bool(seed % 3)
            for trouble in cuts:
                assert trouble.kind is TroubleKind.HOSTS_CUT_OFF
                assert 0 < len(set(trouble.targets)) < len(HOSTS)

    def test_workers_announce_their_shutdown_in_each_way(self):
        stops = [
            trouble
            for seed in range(50)
            for trouble in self.draw(seed)
            if trouble.kind is TroubleKind.WORKER_STOPPED
        ]
        assert {stop.notice for stop in stops} == set(StopNotice)

    def test_replacements_stop_each_host_once_and_in_turn(self):
        stops = draw_replacements(HOSTS, PLAN_S)
        assert [stop.targets for stop in stops] == [(host,) for host in HOSTS]
        assert {stop.kind for stop in stops} == {TroubleKind.HOST_STOPPED}
        ends = [stop.at + stop.for_s for stop in stops]
        assert all(a < b.at for a, b in zip(ends, stops[1:], strict=False))
        assert ends[-1] < PLAN_S - CALM_S


class TestBuilds:
    """Earlier builds of the hosts, from the repository's history."""

    @pytest.fixture
    def repository(self, tmp_path, monkeypatch):
        """A repository of two commits, of which the first is tagged."""
        folder = tmp_path / 'repository'
        package = folder / 'mustardscale'
        package.mkdir(parents=True)

        def git(*arguments):
            subprocess.run(
                [
                    *('git', '-C', str(folder), '-c', 'user.name=n'),
                    *('-c', 'user.email=e', *arguments),
                ],
                check=True,
                capture_output=True,
            )

        git('init')
        for text in ('first', 'second'):
            (package / '__init__.py').write_text(text)
            git('add', '.')
            git('commit', '--message', text)
            git('tag', text)
        monkeypatch.setattr('standins.builds.ROOT', folder)
        return folder

    @pytest.mark.parametrize('commit', ['first', 'second'])
    def test_a_folder_has_the_package_of_its_commit(
        self, repository, tmp_path, commit
    ):
        folder = check_out(commit, tmp_path / 'builds')
        assert folder.is_absolute()
        assert (folder / 'mustardscale/__init__.py').read_text() == commit
        assert check_out(commit, tmp_path / 'builds') == folder

    def test_an_unknown_commit(self, repository, tmp_path):
        with pytest.raises(ValueError, match='name a commit'):
            check_out('none', tmp_path / 'builds')

    def test_hosts_run_two_builds_in_turn(self):
        first, second = pathlib.Path('first'), pathlib.Path('second')
        assert HostBuilds().assign(HOSTS) == {}
        assert HostBuilds(None, second).assign(HOSTS) == {'h1': second}
        assert HostBuilds(first, second).assign(HOSTS) == {
            'h0': first,
            'h1': second,
            'h2': first,
        }


class TestSeed:
    """One short seed with real processes."""

    def test_troubles_of_hosts_and_workers_break_no_promise(self, tmp_path):
        cut_off = TroubleKind.HOSTS_CUT_OFF
        stopped = TroubleKind.WORKER_STOPPED
        troubles = [
            Trouble(TroubleKind.WORKER_KILLED, ('d1',), 1.0, 0.5),
            Trouble(cut_off, ('h0', 'h2'), 1.5, 3.0, LinkCut.NEW_ONLY),
            Trouble(TroubleKind.WORKER_KILLED, ('a1',), 2.0, 0.5),
            Trouble(TroubleKind.HOST_KILLED, ('h1',), 5.0, 1.0),
            *(
                Trouble(stopped, (worker,), 0.5 + n, 0.8, notice=notice)
                for n, (worker, notice) in enumerate(
                    zip(('d2', 'd3', 'd4'), StopNotice, strict=True)
                )
            ),
        ]
        run = StreamRun(3, SEED_S, tmp_path, troubles=troubles)
        uvloop.run(run.play())
        assert run.violations == []
        assert run.counts['streams whole'] > 10
        assert run.counts['plain whole'] > 10
        assert run.counts['taken up'] > 0
        assert run.counts['sound unframed whole at cut hosts'] > 0
        assert run.counts['sound unframed whole elsewhere'] > 0

    def test_troubles_between_hosts_and_of_the_operator_break_no_promise(
        self, tmp_path
    ):
        changed = TroubleKind.ROUTE_CHANGED
        both, one_way = PEER_CUTS
        troubles = [
            *(
                Trouble(changed, (), 0.5 + n, 1.0, route=route, change=change)
                for n, (route, change) in enumerate(
                    zip(('chat', 'read', 'once'), RouteChange, strict=True)
                )
            ),
            Trouble(both, ('h0', 'h1'), 1.0, 2.0),
            Trouble(one_way, ('h2', 'h0'), 2.0, 2.0),
            Trouble(TroubleKind.STORE_SET_BACK, (), 1.5, 2.0),
        ]
        run = StreamRun(4, SEED_S, tmp_path, troubles=troubles)
        uvloop.run(run.play())
        assert run.violations == run.untold == []
        for name in (both, one_way, 'stores set back', 'routes moved'):
            assert run.counts[name] == 1
        assert run.counts['streams whole'] > 10
        assert run.counts['plain whole'] > 10

    def test_each_host_serves_streams_soon_after_connections_go_silent(
        self, tmp_path
    ):
        """Guards against hosts that call a pool's owner over dead connections.

        They then serve no stream of an engine any more.
        """
        trouble = Trouble(
            TroubleKind.PEERS_SILENT,
            (POOL_OWNER, 'h0', 'h1'),
            SILENT_AT_S,
            SILENCE_NOTICED_S,
            silence=Silence.BOTH,
        )
        run = StreamRun(
            5, SILENT_SEED_S, tmp_path, cut_share=0.0, troubles=[trouble]
        )
        uvloop.run(run.play())
        assert run.violations == []
        owner_log = (tmp_path / f'{POOL_OWNER}.log').read_text()
        assert owner_log.count('pool_decided') > LEAST_STREAMS
        for host in HOSTS:
            before, after = _count_streams(run, host)
            assert min(before.total(), after.total()) > LEAST_STREAMS
            served_before = before[200] / before.total()
            served_after = after[200] / after.total()
            assert served_after >= LEAST_SERVED_SHARE * served_before


def _count_streams(run, host):
    """Counts a host's streams by status, before a silence and once noticed."""
    sends = [s for c in run.calls if c.route in STREAMS for s in c.sends]
    silent_at = min(send.at for send in sends) + SILENT_AT_S
    before, after = collections.Counter(), collections.Counter()
    for send in sends:
        if send.host != host:
            continue
        if send.ended_at < silent_at:
            before[send.status] += 1
        elif send.at > silent_at + SILENCE_NOTICED_S:
            after[send.status] += 1
    return before, after

"""Runs streams through real processes under drawn troubles.

Each answer is judged at its caller, byte for byte, against what workers made.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import dataclasses
import logging
import pathlib
import random
import shutil
import signal
import sys
import time
from collections.abc import Iterable, Mapping, Sequence

import msgspec
import uvloop

from standins.builds import check_out
from standins.handle_judge import HandleJudge
from standins.idle_callers import IdleCallers, find_unanswered
from standins.lost_answers import (
    FoundLoss,
    HostHarm,
    HostLogs,
    HostTrouble,
    LostAnswers,
)
from standins.stream_callers import (
    STREAMS,
    AnswerEnd,
    Call,
    Send,
    StreamCallers,
)
from standins.stream_ends import StreamEnds
from standins.stream_judge import StreamJudge, StreamViolation, WorkerRun
from standins.stream_options import (
    CALLERS,
    HOSTS,
    make_parser,
)
from standins.stream_plan import (
    CLOSINGS,
    FOR_ALL_HOSTS,
    HOST_KILLS,
    HOST_STOPS,
    PEER_CUTS,
    WORKER_FREEZES,
    Trouble,
    TroubleKind,
    draw_replacements,
    draw_troubles,
)
from standins.stream_site import OTHER_WORKERS, WORKER_PHASES, StreamSite
from standins.stream_worker_plan import UNFRAMED, WorkerPlan
from standins.time_judge import TimeJudge
from standins.untold_ends import UntoldEnds
from standins.worker_replies import ReplyShares

# Share of the streams whose events hold several positions.
GROUPED_SHARE = 0.2
# Plain workers that do not state the start of their process.
NAMELESS_WORKERS = ('a2', 'a3')
# How often workers do something else than to answer soundly.
REPLY_SHARES = ReplyShares(
    replied=0.1,
    split=0.1,
    paused=0.06,
    early=0.05,
    unread=0.04,
    closing=0.1,
    kept=0.5,
)
# Workers that take few connections, and how many.
NARROW_WORKERS = {'a1': 6, 'd1': 4}
# Time after a cut that still counts as part of it: streams that began in it end
# then, seconds.
CUT_MARGIN_S = 0.5
HOST_TROUBLE_BY_KIND = {
    **dict.fromkeys(HOST_KILLS, HostTrouble.KILLED),
    **dict.fromkeys(HOST_STOPS, HostTrouble.STOPPED),
    TroubleKind.HOST_FROZEN: HostTrouble.FROZEN,
}


@dataclasses.dataclass(frozen=True, slots=True)
class HostBuilds:
    """Folders of the builds that hosts run, None for this one.

    Attributes:
        first: the build of the first, the third and so on.
        second: the build of the second, the fourth and so on.
        are_replaced: whether hosts start again with this build, and all are
            stopped and started one after the other.
    """

    first: pathlib.Path | None = None
    second: pathlib.Path | None = None
    are_replaced: bool = False

    def assign(self, names: Sequence[str]) -> dict[str, pathlib.Path]:
        """Returns the folder of each host that runs another build."""
        builds = (self.first, self.second)
        named = {name: builds[n % 2] for n, name in enumerate(names)}
        return {name: code for name, code in named.items() if code is not None}


class StreamRun:
    """One run of a seed.

    Attributes:
        calls: what callers sent and got.
        runs: what the workers ran.
        violations: the promises that were broken.
        untold: those of them that nothing tells from whole answers, which are
            not among `violations`.
        counts: what was counted, by name.
        losses: number of lost sound answers without length and chunks, by
            place, route and what they were lost to.
        ends: ends of streams that only their connection delimits.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        directory: pathlib.Path,
        cut_share: float = 0.1,
        hosts: int = HOSTS,
        callers: int = CALLERS,
        troubles: list[Trouble] | None = None,
        builds: HostBuilds | None = None,
        closed_share: float = 0.0,
    ):
        """Prepares a run.

        Args:
            seed: seed of all that is drawn.
            seconds: time of the load.
            directory: where logs are kept.
            cut_share: share of the answers that workers cut short.
            hosts: number of entry hosts.
            callers: number of callers.
            troubles: the troubles, None to draw them.
            builds: the builds of the hosts, None for this one.
            closed_share: share of the answers that workers which run on close
                early, without a sign.
        """
        self.calls: list[Call] = []
        self.runs: list[WorkerRun] = []
        self.violations: list[StreamViolation] = []
        self.untold: list[StreamViolation] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self.losses: collections.Counter[tuple[str, str, FoundLoss]] = (
            collections.Counter()
        )
        self.ends = StreamEnds()
        self._seed = seed
        self._seconds = seconds
        self._callers = callers
        self._directory = directory
        self._names = [f'h{number}' for number in range(hosts)]
        if troubles is None:
            troubles = draw_troubles(
                seed, self._names, list(WORKER_PHASES), seconds
            )
        self._troubles = list(troubles)
        plans = {
            name: WorkerPlan(
                name,
                phase,
                seed=seed,
                cut_share=cut_share,
                closed_share=closed_share,
                grouped_share=GROUPED_SHARE,
                states_start=name not in NAMELESS_WORKERS,
                shares=msgspec.structs.replace(
                    REPLY_SHARES,
                    most_connections=NARROW_WORKERS.get(name, 0),
                ),
            )
            for name, phase in (WORKER_PHASES | OTHER_WORKERS).items()
        }
        self._builds = builds or HostBuilds()
        self._site = StreamSite(
            self._names,
            directory,
            plans,
            random.Random(f'workers {seed}'),
            self._builds.assign(self._names),
            random.Random(f'ids {seed}'),
        )
        if self._builds.are_replaced:
            self._troubles += draw_replacements(self._names, seconds)
        self._began_at = 0.0
        # Unix time less loop time.
        self._unix_offset_s = 0.0

    async def play(self) -> None:
        """Plays the run and judges it."""
        loop = asyncio.get_running_loop()
        rng = random.Random(f'callers {self._seed}')
        done_at: dict[str, float] = {}
        async with self._site as site:
            callers = StreamCallers(
                site.hosts.callers_by_host,
                rng,
                f's{self._seed}',
                habits_rng=random.Random(f'habits {self._seed}'),
            )
            idle = IdleCallers(
                site.hosts.callers_by_host, self._seed, f'i{self._seed}'
            )
            self._began_at = loop.time()
            until = self._began_at + self._seconds
            self._unix_offset_s = time.time() - loop.time()
            async with asyncio.TaskGroup() as group:
                for trouble in self._troubles:
                    group.create_task(self._carry_out(trouble))
                group.create_task(callers.run(self._callers, until))
                group.create_task(idle.run(until))
        self.calls = callers.calls + idle.calls
        self._count_idle(idle.calls)
        for worker in site.workers.values():
            self.runs += worker.runs
            done_at |= worker.done_at
        arrivals = [a for w in site.workers.values() for a in w.arrivals]
        self.counts['arrivals'] += len(arrivals)
        judge = StreamJudge(self.runs, arrivals)
        untold = UntoldEnds(self.calls, self.runs, site.find_closed_requests())
        prefills = [p for w in site.workers.values() for p in w.prefills]
        handles = HandleJudge(prefills, site.map_addresses())
        self.counts['prefills'] += len(prefills)
        self.counts['runs after prefills'] += sum(
            bool(run.source) for run in self.runs
        )
        times = TimeJudge(self.calls)
        self.counts['sent too late'] += len(times.find_late(self.runs))
        for violation in (
            *judge.judge(self.calls),
            *handles.judge(self.runs),
            *times.judge(self.runs),
        ):
            is_untold = untold.holds(violation)
            (self.untold if is_untold else self.violations).append(violation)
        self.counts.update(site.count_refusals())
        self.counts['troubled calls to the store'] = site.count_store_troubles()
        self._count(done_at)
        self._count_violations()

    async def _carry_out(self, trouble: Trouble) -> None:
        """Begins a trouble at its time, and ends it."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self._began_at + trouble.at - loop.time())
        site = self._site
        kind = trouble.kind
        if kind in FOR_ALL_HOSTS:
            await self._trouble_all(trouble)
            return
        if kind in PEER_CUTS:
            await self._cut_peers(trouble)
            return
        if kind is TroubleKind.PEERS_SILENT:
            self._silence_peers(trouble)
            return
        for target in trouble.targets:
            if kind is TroubleKind.WORKER_KILLED:
                site.workers[target].send_signal(signal.SIGKILL)
            elif kind in WORKER_FREEZES:
                site.workers[target].send_signal(signal.SIGSTOP)
            elif trouble.notice is not None:
                site.announce_stop(target, trouble.notice)
            elif trouble.entry is not None:
                site.change_entry(target, trouble.entry)
            elif trouble.store is not None:
                site.trouble_store(target, trouble.store)
            elif kind in HOST_KILLS:
                site.hosts.send_signal(target, signal.SIGKILL)
            elif kind in HOST_STOPS:
                site.hosts.send_signal(target, signal.SIGTERM)
            elif kind is TroubleKind.HOST_FROZEN:
                site.hosts.send_signal(target, signal.SIGSTOP)
            elif trouble.cut is not None:
                await site.cut_host(target, trouble.cut)
            elif kind in CLOSINGS:
                most = 1 if kind is TroubleKind.CONNECTION_CLOSED else None
                self.counts['closed'] += site.close_links(target, most)
        await asyncio.sleep(trouble.for_s)
        for target in trouble.targets:
            if kind in WORKER_FREEZES:
                site.workers[target].send_signal(signal.SIGCONT)
            elif kind is TroubleKind.WORKER_STOPPED:
                site.workers[target].send_signal(signal.SIGTERM)
            elif kind is TroubleKind.HOST_FROZEN:
                site.hosts.send_signal(target, signal.SIGCONT)
            elif kind is TroubleKind.HOSTS_CUT_OFF:
                await site.restore_host(target)
            elif kind is TroubleKind.ENTRY_CHANGED:
                site.change_entry(target, None)
            elif kind is TroubleKind.STORE_TROUBLED:
                site.trouble_store(target, None)
            elif kind in (*HOST_KILLS, *HOST_STOPS):
                site.hosts.end(target)
                if self._builds.are_replaced:
                    site.replace_build(target)
                site.start_host(target)

    async def _trouble_all(self, trouble: Trouble) -> None:
        """Lets the operator or its store change something for all hosts."""
        site = self._site
        if trouble.change is not None:
            site.change_route(trouble.route, trouble.change)
            self.counts[f'routes {trouble.change}'] += 1
        else:
            site.copy_store()
        await asyncio.sleep(trouble.for_s)
        if trouble.change is not None:
            site.change_route(trouble.route, None)
        else:
            site.set_store_back()
            self.counts['stores set back'] += 1

    async def _cut_peers(self, trouble: Trouble) -> None:
        """Loses what one host sends to another one, or both send."""
        links = self._site.hosts.links
        ways = [trouble.targets]
        if trouble.kind is TroubleKind.PEERS_CUT:
            ways.append(trouble.targets[::-1])
        for sender, receiver in ways:
            links.lose(sender, receiver)
        self.counts[trouble.kind.value] += 1
        await asyncio.sleep(trouble.for_s)
        for sender, receiver in ways:
            links.restore(sender, receiver)

    def _silence_peers(self, trouble: Trouble) -> None:
        """Silences the open connections of some hosts to another for good."""
        called, *callers = trouble.targets
        for caller in callers:
            self._site.hosts.links.silence(caller, called, trouble.silence)
        self.counts[trouble.kind.value] += 1

    def _count_idle(self, calls: Iterable[Call]) -> None:
        """Counts requests on connections that had idled."""
        sends = [s for call in calls for s in call.sends if s.is_reused]
        self.counts['on idle connections'] += len(sends)
        lost = find_unanswered(calls, self._troubles, self._began_at)
        self.counts['unanswered on idle connections'] += len(lost)
        for send in lost:
            write_line(f'seed {self._seed}, unanswered: {send}')

    def _count(self, done_at: Mapping[str, float]) -> None:
        """Counts calls, and sound answers by what marks their end."""
        counts = self.counts
        send_by_id: dict[str, Send] = {}
        route_by_send: dict[str, str] = {}
        for call in self.calls:
            counts['requests'] += 1
            is_stream = call.route in STREAMS
            counts['streams'] += is_stream
            for send in call.sends:
                send_by_id[send.id] = send
                route_by_send[send.id] = call.route
                whole = send.end is AnswerEnd.WHOLE and send.status == 200
                counts['streams whole'] += whole and is_stream
                counts['plain whole'] += whole and not is_stream
                counts['taken up'] += bool(send.after)
                counts['on kept connections'] += send.is_reused
                counts['refused'] += send.retry_after_s is not None
                left_early = send.head_patience_s and not send.status
                counts['left before a head'] += bool(left_early)
        logs = HostLogs.read(self._directory)
        lost = self._prepare_lost(logs)
        streams = {
            send: route
            for send, route in route_by_send.items()
            if route in STREAMS
        }
        self.ends.add_logs(logs, streams)
        for run in self.runs:
            if run.status != 200:
                counts[run.odd] += 1
            counts['paused'] += bool(run.pause_s)
            counts['grouped'] += run.group > 1
            if run.cut:
                counts[f'cut ({run.cut})'] += 1
            if run.stop and run.framing in UNFRAMED:
                counts[f'unframed ended early ({run.stop})'] += 1
            answered = send_by_id.get(run.request)
            if answered is None or run.name not in done_at:
                continue
            if lost.is_repeat(run):
                counts['sound second runs'] += 1
                continue
            if answered.head_patience_s and not answered.status:
                continue
            if run.odd or answered.leaves_after or self._is_older(run):
                continue
            was_cut_off = self._was_cut_off(answered)
            place = 'at cut hosts' if was_cut_off else 'elsewhere'
            whole = answered.end is AnswerEnd.WHOLE and answered.status == 200
            kind = 'unframed' if run.framing in UNFRAMED else 'framed'
            counts[f'sound {kind} {place}'] += 1
            counts[f'sound {kind} whole {place}'] += whole
            if whole or kind == 'framed':
                continue
            found = lost.find(
                run,
                answered,
                done_at[run.name],
                answered.ended_at + self._unix_offset_s,
            )
            self.losses[place, route_by_send[run.request], found] += 1

    def _prepare_lost(self, logs: HostLogs) -> LostAnswers:
        """Returns what finds out what answers were lost to."""
        begin = self._began_at + self._unix_offset_s
        harms = [
            HostHarm(
                HOST_TROUBLE_BY_KIND[trouble.kind],
                host,
                begin + trouble.at,
                begin + trouble.at + trouble.for_s,
            )
            for trouble in self._troubles
            if trouble.kind in HOST_TROUBLE_BY_KIND
            for host in trouble.targets
        ]
        return LostAnswers(
            logs,
            harms,
            {name: worker.ends for name, worker in self._site.workers.items()},
            self.runs,
        )

    def _is_older(self, run: WorkerRun) -> bool:
        """Returns whether a run goes on with older weights than one before."""
        return any(
            other.weights_offset > run.weights_offset
            for other in self.runs
            if other.request == run.request and other.at < run.at
        )

    def _count_violations(self) -> None:
        """Counts broken promises, of streams and of plain answers."""
        call_by_send = {
            send.id: (call, send) for call in self.calls for send in call.sends
        }
        for violation in (*self.violations, *self.untold):
            kind, place = 'plain', ''
            if violation.send in call_by_send:
                call, send = call_by_send[violation.send]
                kind = 'streams' if call.route in STREAMS else 'plain'
                place = self._describe_build(send)
            if violation in self.untold:
                place += ', cannot be told'
            self.counts[f'{kind} broken ({violation.promise}){place}'] += 1

    def _describe_build(self, send: Send) -> str:
        """Returns at which build a send ended, '' where there is only one."""
        if not self._site.has_other_builds:
            return ''
        if self._site.ran_other_build(send.host, send.ended_at):
            return ' at the other build'
        return ' at this build'

    def _was_cut_off(self, send: Send) -> bool:
        """Returns whether a send's host was cut off when it ended."""
        return any(
            trouble.kind is TroubleKind.HOSTS_CUT_OFF
            and send.host in trouble.targets
            and trouble.at
            <= send.ended_at - self._began_at
            <= trouble.at + trouble.for_s + CUT_MARGIN_S
            for trouble in self._troubles
        )


def play_seed(
    seed: int,
    options: argparse.Namespace,
    builds: HostBuilds,
) -> StreamRun:
    """Plays a seed; keeps the logs if a promise was broken."""
    folder = options.directory.resolve() / f'seed-{seed}'
    shutil.rmtree(folder, ignore_errors=True)

    async def main() -> StreamRun:
        run = StreamRun(
            seed,
            options.seconds,
            folder,
            options.cut_share,
            hosts=options.hosts,
            callers=options.callers,
            builds=builds,
            closed_share=options.closed_share,
        )
        await run.play()
        return run

    run = uvloop.run(main())
    broken = [*run.violations, *run.untold]
    if broken:
        sends = {violation.send for violation in broken}
        runs = [one for one in run.runs if one.request in sends]
        (folder / 'violations.txt').write_text(
            ''.join(f'{one}\n' for one in (*broken, *runs))
        )
    elif not options.keep:
        shutil.rmtree(folder)
    return run


def write_line(text: str) -> None:
    """Writes a line to the standard output at once."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def describe(counts: Iterable[tuple[str, int]]) -> str:
    """Returns counts as text."""
    return ', '.join(f'{count} {name}' for name, count in counts)


def find_builds(options: argparse.Namespace) -> HostBuilds:
    """Returns the builds that the options name.

    Raises:
        ValueError: the repository does not have one of them.
    """
    directory = options.directory / 'builds'
    first = check_out(options.build, directory) if options.build else None
    second = first
    if options.beside:
        second = check_out(options.beside, directory)
    elif options.older is not None:
        second = options.older.resolve()
    if options.production:
        first = second = check_out(options.production, directory)
    return HostBuilds(first, second, bool(options.production))


def main(arguments: Sequence[str] | None = None) -> int:
    """Plays the seeds that the arguments name."""
    # A store that closes connections as the plan says makes no errors.
    logging.getLogger('aiohttp.server').setLevel(logging.CRITICAL)
    parser = make_parser()
    options = parser.parse_args(arguments)
    try:
        builds = find_builds(options)
    except ValueError as error:
        parser.error(str(error))
    sums: collections.Counter[str] = collections.Counter()
    ends = StreamEnds()
    losses: collections.Counter[tuple[str, str, FoundLoss]] = (
        collections.Counter()
    )
    broken = 0
    for seed in range(options.first_seed, options.first_seed + options.seeds):
        run = play_seed(seed, options, builds)
        sums.update(run.counts)
        losses.update(run.losses)
        ends.add(run.ends)
        broken += bool(run.violations or run.untold)
        write_line(f'seed {seed}: {describe(run.counts.items())}')
        for violation in run.violations:
            write_line(f'seed {seed}: {violation}')
        for violation in run.untold:
            write_line(f'seed {seed}, cannot be told: {violation}')
    write_line(
        f'{options.seeds} seeds, {describe(sums.items())}; '
        f'{broken} seeds broken'
    )
    for line in ends.describe():
        write_line(line)
    for (place, route, loss), count in losses.most_common():
        write_line(
            f'{count} sound unframed lost {place}, {route}: {loss.reason}; '
            f'ended with {loss.last_outcome or "no failure logged"}'
        )
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())

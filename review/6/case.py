"""Connections between the machines go silent; the language service ends."""

import asyncio
import collections
import json
import pathlib

from review.rig2 import (
    STABLE_S,
    Engine,
    Site,
    Worker,
    route,
    run_case,
    send,
)

HOSTS = 6
LEDGER = [
    route('reserve', 'ledger', 'non_idempotent'),
    route('position', 'ledger', 'idempotent'),
]
DIGEST = route(
    'digest',
    'lm',
    'streaming',
    timeout_ms=14_000,
    target_latency_ms=900,
    target_gap_ms=300,
    priority=1,
    sticky=True,
)
SERVICES = [
    {'name': 'ledger'},
    {
        'name': 'lm',
        'engine': {
            'slot_count': 48,
            'kv_capacity_tokens': 107_368,
            'kv_token_bytes': 131_072,
            'link_mbps': 4_400_000,
            'stride': 72,
            'kv_hold_s': 0.5,
            'role_switch_s': 6.0,
        },
    },
]
# Four times the objective: then a client leaves that has got no event.
PATIENCE_S = 3.6
BEFORE_S = 6.0
AFTER_S = 30.0
GAP_S = 0.05
LEAST_REQUESTS = 20
LEAST_SHARE = 0.25


class Traffic:
    """Clients that send to all machines in turn.

    Attributes:
        counts: answers by route and machine since the last reset.
    """

    def __init__(self, site: Site):
        self._site = site
        self._number = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self.counts: dict[tuple[str, str], collections.Counter] = {}

    async def play(self, seconds: float) -> None:
        """Sends for some seconds, and counts only these requests."""
        self.counts = collections.defaultdict(collections.Counter)
        record, hosts = self._site.record, self._site.hosts
        assert hosts is not None
        until = record.now() + seconds
        while record.now() < until:
            self._number += 1
            name = hosts.names[self._number % len(hosts.names)]
            for kind in ('digest', 'position'):
                task = asyncio.create_task(
                    self._send(kind, self._number, name, self.counts)
                )
                self._tasks.add(task)
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*self._tasks)
        self._tasks.clear()

    async def _send(
        self, kind: str, number: int, name: str, counts: dict
    ) -> None:
        hosts = self._site.hosts
        assert hosts is not None
        request_id = f'{kind}-{number}'
        fields = [('X-Request-Id', request_id)]
        method, body, patience_s = 'GET', b'', 3.0
        if kind == 'digest':
            method, body, patience_s = 'POST', b'prompt', PATIENCE_S
            fields += [
                ('X-Request-Deadline', '14000'),
                ('X-Model-Name', 'm'),
                ('X-Token-Usage', '5200,70'),
                ('X-Prompt-Prefix', f'a{number % 50:x}:200,b{number:x}:5000'),
            ]
        else:
            fields.append(('X-Request-Deadline', '3000'))
        port = hosts.ports[name][0]
        told: object
        try:
            async with asyncio.timeout(patience_s):
                answer = await send(
                    port, method, f'/{kind}/{number}', fields, body
                )
                told = answer.status
                is_whole = kind != 'digest' or b'piece 8' in answer.body
                if answer.status == 200 and not (answer.whole and is_whole):
                    told = 'cut'
        except TimeoutError:
            told = 'no answer'
        except OSError as error:
            told = type(error).__name__
        counts[kind, name][str(told)] += 1
        self._site.record.note(
            'answered', id=request_id, machine=name, answer=told
        )

    def share(self, kind: str) -> float:
        """Returns the share of a route's requests that were served."""
        total: collections.Counter = collections.Counter()
        for (counted, _), counts in self.counts.items():
            if counted == kind:
                total += counts
        return total['200'] / max(1, total.total())

    def total(self, kind: str) -> int:
        """Returns the number of a route's requests."""
        return sum(
            counts.total()
            for (counted, _), counts in self.counts.items()
            if counted == kind
        )

    def note(self, when: str) -> None:
        """Writes the counts to the record."""
        for (kind, name), counts in sorted(self.counts.items()):
            self._site.record.note(
                when, route=kind, machine=name, answers=dict(counts)
            )


async def find_owner(site: Site) -> str:
    """Returns the machine that admits requests to the model workers."""
    assert site.hosts is not None
    for name in site.hosts.names:
        answer = await send(site.hosts.ports[name][1], 'GET', '/state', [])
        if json.loads(answer.body)['pools_by_id']:
            return name
    raise LookupError('no machine owns a pool')


async def play(site: Site, trouble: bool) -> bool:
    """Plays the case; returns whether the rule was broken."""
    for number in range(4):
        await site.add_worker(Worker(site.record, f'i-l{number}', 'ledger'))
    for number, phase in enumerate(('prefill', 'decode', 'decode', 'decode')):
        await site.add_worker(Engine(site.record, f'i-m{number}', 'lm', phase))
    site.configure(3, LEDGER, SERVICES)
    await site.start_hosts(HOSTS, with_paths=True)
    await asyncio.sleep(2.0)
    site.configure(5, [*LEDGER, DIGEST], SERVICES)
    site.record.note('the digest route was added', version=5)
    await asyncio.sleep(3.0)
    traffic = Traffic(site)
    await traffic.play(BEFORE_S)
    traffic.note('before')
    before = traffic.share('digest')
    if before < 0.9:
        raise RuntimeError(f'only {before:.2f} were served before')
    owner = await find_owner(site)
    if trouble:
        site.record.note(
            'the open connections of other machines to this one go silent',
            machine=owner,
        )
        site.path_by_host[owner].silence()
    await traffic.play(STABLE_S)
    traffic.note('in the first 3 s')
    await traffic.play(AFTER_S)
    traffic.note('after')
    first, later = traffic.share('position'), traffic.share('digest')
    site.record.note(
        'served',
        first_routes=f'{first:.3f}',
        later_route=f'{later:.3f}',
        requests=traffic.total('digest'),
    )
    enough = traffic.total('digest') >= LEAST_REQUESTS
    return enough and later < LEAST_SHARE * first


if __name__ == '__main__':
    run_case(pathlib.Path(__file__).parent, play)

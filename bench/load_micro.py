"""Measures single steps of control in one process.

These are steps that a daemon's usage cannot isolate: the folds, the codec, the
directory, and the reading of the host list. Processor time is that of this
process, and memory that of the objects made.
"""

from __future__ import annotations

import asyncio
import functools
import random
import time
import tracemalloc
from collections.abc import Callable

import async_solipsism
import msgspec

from bench.load_site import LOAD_PROFILE
from mustardscale.blackboard import Blackboard
from mustardscale.claims.claim_state import (
    ClaimKind,
    ClaimRecord,
    ClaimState,
    encode_claim,
)
from mustardscale.configuration.config_records import (
    ConfigChange,
    ConfigKey,
    encode_record,
)
from mustardscale.configuration.config_state import ConfigState
from mustardscale.directory.directory_home import DirectoryHome
from mustardscale.endpoints.engines import EngineRole, StreamStage, StreamTag
from mustardscale.hosts.host_list import ListedHost, ListedKind
from mustardscale.hosts.host_list_controller import HostListController
from mustardscale.hosts.http_host_list import HostsAnswer
from mustardscale.hosts.membership import MembershipTimes
from mustardscale.hosts.rendezvous import owner
from mustardscale.log.log_client import LogPage, LogRecord
from mustardscale.peers.directory_messages import (
    DirectoryEntry,
    DirectoryRegister,
    DirectoryRemove,
    DirectoryReply,
)
from mustardscale.peers.peer_calls import PeerCalls
from mustardscale.peers.peer_codec import (
    Frame,
    FrameKind,
    decode_frame,
    encode_frame,
)
from mustardscale.peers.peer_messages import (
    AdmitReply,
    AdmitRequest,
    Heartbeat,
    HeldStream,
    PeerReply,
    PeerRequest,
    Progress,
    Release,
)
from mustardscale.pools.pool_members import divide_pools
from standins.host_list_model import HostListModel, MemoryHostList
from standins.memory_network import MemoryNetwork
from standins.memory_peers import MemoryPeerNetwork

REPEATS = 300
ROWS = 3_000
PROFILE_COUNTS = (10, 100, 1000)
LISTED_COUNTS = (100, 1000, 3000)
HOST_COUNTS = (18, 370)
REQUEST_ID = '01890000-0000-7000-8000-000000000001'


def _cost_us(step: Callable[[], object], repeats: int = REPEATS) -> float:
    """Returns the processor time of a step, microseconds."""
    step()
    started = time.process_time()
    for _ in range(repeats):
        step()
    return 1e6 * (time.process_time() - started) / repeats


def _messages() -> dict[str, PeerRequest | PeerReply]:
    """Returns one message of each frequent kind."""
    tag = StreamTag(REQUEST_ID, 1, 'entry-123', 1_800_000_000_000)
    stream = HeldStream(
        tag,
        'service',
        'engine-1',
        'engine-2',
        StreamStage.DECODE,
        4000,
        99,
        400,
    )
    entry = DirectoryEntry(REQUEST_ID, 1 << 60, 'entry-123', 1_800_000_000_000)
    pool = 'model@dc1#0'
    host = 'entry-123'
    return {
        'heartbeat': Heartbeat(host, 1, 'dc1', False, 1, 1 << 60),
        'admit_request': AdmitRequest(
            pool, tag, 'service', 4000, tuple(range(4)), 1 << 60, 400, 0.9, 60.0
        ),
        'admit_reply': AdmitReply(1, 'engine-1', 'engine-2'),
        'progress_1': Progress(pool, host, 1, (stream,)),
        'progress_20': Progress(pool, host, 1, (stream,) * 20),
        'release': Release(pool, tag, 1, 4000, 400, True),
        'directory_register': DirectoryRegister(entry),
        'directory_reply': DirectoryReply(True, 99.0),
        'directory_remove': DirectoryRemove(REQUEST_ID, host, 1, 1, True),
    }


def measure_codec() -> dict[str, object]:
    """Measures bytes, and encoding and decoding, of peer messages."""
    result: dict[str, object] = {}
    for name, message in _messages().items():
        is_request = isinstance(message, PeerRequest)
        kind = FrameKind.REQUEST if is_request else FrameKind.REPLY
        frame = Frame(kind, 1, message)
        data = encode_frame(frame)
        result[name] = {
            'bytes': len(data),
            'encode_us': _cost_us(functools.partial(encode_frame, frame)),
            'decode_us': _cost_us(functools.partial(decode_frame, data)),
        }
    return result


def _change(number: int) -> ConfigChange:
    key = ConfigKey('profile', f'profile-{number}')
    return ConfigChange(key, 0, f'load-{number}', 'load', LOAD_PROFILE)


def _encode_snapshot(state: ConfigState) -> bytes:
    return encode_record(state.snapshot())


def measure_config() -> list[dict[str, float]]:
    """Measures the folded configuration at several sizes."""
    rows = []
    for count in PROFILE_COUNTS:
        payloads = [encode_record(_change(n)) for n in range(count)]
        state = ConfigState()
        started = time.process_time()
        for offset, payload in enumerate(payloads, start=1):
            state.apply(offset, payload)
        fold_s = time.process_time() - started
        repeats = max(3, REPEATS // count)
        rows.append(
            {
                'profiles': count,
                'record_bytes': len(payloads[0]),
                'fold_us_per_record': 1e6 * fold_s / count,
                'digest_us': _cost_us(state.digest, repeats),
                'snapshot_bytes': len(encode_record(state.snapshot())),
                'snapshot_us': _cost_us(
                    functools.partial(_encode_snapshot, state),
                    repeats,
                ),
            }
        )
    return rows


def measure_claims() -> dict[str, float]:
    """Measures the fold of claims and what a claim held takes up."""
    records = tuple(
        LogRecord(
            number + 1,
            encode_claim(
                ClaimRecord(
                    ClaimKind.CLAIM,
                    f'{REQUEST_ID[:-6]}{number:06d}',
                    'entry-123',
                    1_800_000_000_000,
                    number,
                    1 << 60,
                    1_800_000_000.0,
                )
            ),
        )
        for number in range(ROWS)
    )
    page = LogPage(records, 1, ROWS)
    state = ClaimState()
    started = time.process_time()
    state.apply_page(page, 0.0, 0.0)
    fold_s = time.process_time() - started
    tracemalloc.start()
    held = ClaimState()
    held.apply_page(page, 0.0, 0.0)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        'record_bytes': len(records[0].payload),
        'fold_us': 1e6 * fold_s / ROWS,
        'memory_bytes': size / ROWS,
    }


async def _directory() -> dict[str, float]:
    rng = random.Random(1)
    board = Blackboard('entry-1', 1, 'dc1', 'region')
    calls = PeerCalls(board, MemoryPeerNetwork(rng).transport('entry-1'))
    home = DirectoryHome(board, calls, 0.0, rng)
    home.follow_membership()
    await asyncio.sleep(1.0)
    board.quorum_at = asyncio.get_running_loop().time()
    ids = [f'{REQUEST_ID[:-6]}{number:06d}' for number in range(ROWS)]
    tracemalloc.start()
    for request_id in ids:
        entry = DirectoryEntry(request_id, 1, 'entry-1', 1)
        await calls.dispatch('entry-1', DirectoryRegister(entry))
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started = time.process_time()
    for request_id in ids:
        entry = DirectoryEntry(request_id, 1, 'entry-1', 1)
        await calls.dispatch('entry-1', DirectoryRegister(entry))
        remove = DirectoryRemove(request_id, 'entry-1', 1, 1, True)
        await calls.dispatch('entry-1', remove)
    cost_s = time.process_time() - started
    return {
        'register_and_remove_us': 1e6 * cost_s / ROWS,
        'memory_bytes': size / ROWS,
    }


def measure_directory() -> dict[str, float]:
    """Measures registrations at a request's home."""
    loop_factory = async_solipsism.EventLoop
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        return runner.run(_directory())


def _listed(count: int) -> list[ListedHost]:
    """Returns a list in which one line in eight is an entry host."""
    hosts = []
    for number in range(count):
        is_entry = number % 8 == 0
        role = EngineRole.PREFILL if number % 2 else EngineRole.DECODE
        hosts.append(
            ListedHost(
                f'host-{number}',
                ListedKind.ENTRY if is_entry else ListedKind.ENGINE,
                f'10.0.{number // 250}.{number % 250}:9000',
                f'dc{number % 21}',
                'region',
                service='' if is_entry else 'service',
                model='' if is_entry else f'model-{number % 5}',
                role=None if is_entry else role,
            )
        )
    return hosts


async def _host_list(count: int) -> dict[str, float]:
    rng = random.Random(1)
    board = Blackboard('host-0', 1, 'dc0', 'region')
    listed = _listed(count)
    source = MemoryHostList(HostListModel(listed), MemoryNetwork())
    controller = HostListController(board, source, MembershipTimes(), rng)
    content = msgspec.json.encode(HostsAnswer(listed))

    def read() -> None:
        controller.apply(msgspec.json.decode(content, type=HostsAnswer).hosts)

    def read_again() -> None:
        controller.apply(again)

    read()
    again = msgspec.json.decode(content, type=HostsAnswer).hosts
    controller.apply(again)
    repeats = max(3, 10 * REPEATS // count)
    endpoints = board.endpoints_by_id.values()
    return {
        'listed': count,
        'bytes': len(content),
        'read_us': _cost_us(read, repeats),
        'read_again_us': _cost_us(read_again, repeats),
        'divide_us': _cost_us(
            lambda: divide_pools(endpoints, 'region'), repeats
        ),
    }


def measure_host_list() -> list[dict[str, float]]:
    """Measures one reading of the host list at several sizes."""
    loop_factory = async_solipsism.EventLoop
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        return [runner.run(_host_list(count)) for count in LISTED_COUNTS]


def measure_rendezvous() -> dict[str, float]:
    """Measures the choice of an owner among several numbers of hosts."""
    result = {}
    for count in HOST_COUNTS:
        hosts = [f'entry-{number}' for number in range(count)]
        result[f'owner_us_of_{count}'] = _cost_us(
            functools.partial(owner, REQUEST_ID, hosts)
        )
    return result

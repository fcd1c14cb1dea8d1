"""Fakes of the interfaces that the relays use."""

import asyncio
import random

from mustardscale.active_requests import ActiveRequests
from mustardscale.blackboard import Blackboard, EndpointEntry
from mustardscale.configuration.routes import (
    EngineSpec,
    RequestKind,
    Route,
    RouteTarget,
    ServiceSpec,
)
from mustardscale.endpoints.answer_framing import AnswerFraming
from mustardscale.endpoints.engines import EngineRole
from mustardscale.exceptions import EndpointGoneError
from mustardscale.hosts.host_list import ListedKind
from mustardscale.outcomes import Outcome
from mustardscale.peers.peer_calls import PeerCalls
from mustardscale.peers.peer_messages import AdmitReply
from mustardscale.quarantine.suspicions import Suspicions
from mustardscale.rate_limits.permit_owner import PermitOwner, PermitOwners
from mustardscale.rate_limits.permits import Permits
from mustardscale.relay.answer_end import AnswerEnds
from mustardscale.relay.crash_watch import CrashWatch
from mustardscale.relay.relay_context import RelayContext
from mustardscale.relay.relay_endpoint import (
    EndpointAnswer,
    PrefillHandle,
    RelayClients,
    RelayConnector,
    RelayEndpoint,
)
from mustardscale.relay.relay_messages import (
    AnswerHead,
    RelayRequest,
    SizeEstimate,
)
from mustardscale.relay.retry_budget import RetryAllowance, RetryBudgets
from mustardscale.reporting.event_log import EventLog
from mustardscale.reporting.metrics import Metrics
from mustardscale.versions.stream_versions import StreamVersions

WEIGHTS = 'X-Weights'
ENGINE = EngineSpec(48, 100_000, 1, 1e12, event_tokens=10)


def event(number):
    return b'id: %d\ndata: x\n\n' % number


class FakeAnswer(EndpointAnswer):
    """An answer of given chunks. An exception among them is raised."""

    def __init__(
        self,
        chunks,
        status=200,
        gap_s=0.0,
        media_type='text/event-stream',
        framing=AnswerFraming.LENGTH,
        weights='',
    ):
        headers = (('X-Sign', 's'), ('Content-Type', media_type))
        if weights:
            headers += ((WEIGHTS, weights),)
        self.head = AnswerHead(status, headers)
        self.framing = framing
        self.closed = False
        self._chunks = chunks
        self._gap_s = gap_s

    async def chunks(self):
        for chunk in self._chunks:
            await asyncio.sleep(self._gap_s)
            if isinstance(chunk, Exception):
                raise chunk
            yield chunk

    def close(self):
        self.closed = True


class FakeEndpoint(RelayEndpoint):
    """Answers calls by a script of answers, exceptions and delays (seconds)."""

    def __init__(self, name):
        self.name = name
        self.runs = []
        self.prefills = []
        self.freed = []
        self.run_script = []
        self.prefill_script = []
        self.alive = True

    async def run(self, call):
        self.runs.append(call)
        step = self.run_script.pop(0) if self.run_script else [b'ok']
        return await _play(step)

    async def prefill(self, call):
        self.prefills.append(call)
        step = self.prefill_script.pop(0) if self.prefill_script else None
        if step is not None:
            await _play(step)
        until = asyncio.get_running_loop().time() + 0.5
        return PrefillHandle(self.name, f'{self.name}:1', 'key', until)

    async def free(self, handle):
        self.freed.append(handle)

    async def read_start(self):
        if not self.alive:
            raise EndpointGoneError('refused')
        return 0


async def _play(step):
    if isinstance(step, float):
        await asyncio.sleep(step)
        return FakeAnswer([])
    if isinstance(step, Exception):
        raise step
    if isinstance(step, FakeAnswer):
        return step
    return FakeAnswer(step)


class FakeConnector(RelayConnector):
    """Returns one fake for each endpoint id."""

    def __init__(self):
        self.by_id = {}

    def control(self, endpoint):
        raise NotImplementedError

    def relay(self, endpoint, listener):
        fake = self.by_id.setdefault(endpoint.id, FakeEndpoint(endpoint.id))
        fake.listener = listener
        return fake


class RecordingEventLog(EventLog):
    """Records the events that are emitted."""

    def __init__(self):
        self.recorded = []

    def emit(self, kind, request_id='', code=0, **inputs):
        self.recorded.append((kind, request_id, int(code), inputs))


class FakeAdmission:
    """Grants the given engines in order and records its calls."""

    def __init__(self, grants):
        self.grants = list(grants)
        self.admit_calls = []
        self.releases = []
        self.stages = []
        self.moves = []

    async def admit(self, prompt, served, profile, model, excluded, until):
        self.admit_calls.append(
            (served.tag, tuple(excluded), served.prompt_tokens)
        )
        grant = self.grants.pop(0)
        if isinstance(grant, Exception):
            raise grant
        prefill, decode, *backup = grant
        return AdmitReply(
            Outcome.COMPLETE,
            prefill,
            decode,
            0.0,
            0,
            0.1,
            False,
            False,
            *backup,
        )

    def report_move(self, served):
        self.moves.append((served.tag.attempt, served.decode))

    def report_stage(self, served):
        self.stages.append(served.stage)

    def release(self, served, outcome, computed_tokens, finished):
        self.releases.append((served.tag.attempt, outcome, finished))


class RelayBench:
    """The context of a relay, with fake endpoints of one service."""

    def __init__(self, plain=(), engines=(), slack=50.0):
        self.board = Blackboard('host', 1, 'dc', 'region')
        self.board.events = self.events = RecordingEventLog()
        self.connector = FakeConnector()
        clients = RelayClients(self.board, self.connector)
        self.suspicions = Suspicions(self.board)
        self.context = RelayContext(
            self.board,
            clients,
            RetryBudgets(RetryAllowance(0.0, slack, 10.0)),
            CrashWatch(self.board, clients, self.suspicions),
            random.Random(1),
            self._permits(),
            AnswerEnds(self.board, Metrics()),
            StreamVersions(self.board, PeerCalls(self.board, None), Metrics()),
            ActiveRequests(),
            Metrics(),
            WEIGHTS,
        )
        for name in plain:
            self._add(name, ListedKind.PLAIN, None)
        for name in engines:
            self._add(name, ListedKind.ENGINE, EngineRole.DECODE)

    def _permits(self):
        """Returns the permits of this host alone, which owns all limits."""
        calls = PeerCalls(self.board, None)
        owners = PermitOwners(self.board)
        PermitOwner(self.board, calls, owners)
        return Permits(self.board, calls, owners, Metrics(), random.Random(1))

    def _add(self, name, kind, role):
        entry = EndpointEntry(
            name, kind, f'{name}:1', 'dc', 'region', 'service', role=role
        )
        self.board.endpoints_by_id[name] = entry
        self.connector.by_id[name] = FakeEndpoint(name)

    def endpoint(self, name):
        return self.connector.by_id[name]


def route_of(kind, **fields):
    fields.setdefault('timeout_s', 14.0)
    fields.setdefault('target_latency_s', 0.9)
    return Route('route', 'h', '/a/', kind, (RouteTarget('service'),), **fields)


def request_of(name='r', **fields):
    now = asyncio.get_running_loop().time()
    fields.setdefault('size', SizeEstimate(1_000, 2_000, 500))
    return RelayRequest(name, 'h', 'POST', '/a/x', (), b'body', now, **fields)


SERVICE = ServiceSpec('service', engine=ENGINE)
STREAM = RequestKind.STREAM

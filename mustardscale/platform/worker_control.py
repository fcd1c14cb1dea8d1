"""Reads load reports of the platform's workers and sends them orders."""

from __future__ import annotations

from typing import Any

import aiohttp
import msgspec

from mustardscale.configuration.routes import EngineSpec
from mustardscale.endpoints.engines import (
    REFUSED_FENCED,
    REFUSED_MODEL,
    EngineControl,
    EngineOrder,
    EngineRole,
    LoadReport,
)
from mustardscale.endpoints.http_sessions import (
    REQUEST_ERRORS,
    SendProgress,
    read_content,
)
from mustardscale.exceptions import EndpointFailedError, EndpointRefusedError
from mustardscale.json_content import decode_json
from mustardscale.platform import names
from mustardscale.platform.http_client import (
    make_endpoint_error,
    make_timeout,
    make_url,
)

CALL_TIMEOUT_S = 1.0
MAX_REPORT_BYTES = 1_048_576
# Tokens in a KV block, the unit in which a worker allocates memory.
BLOCK_TOKENS = 16
# Assumed age of the values in a report when it is read, seconds.
REPORT_AGE_S = 0.9
_REFUSED_BUSY = 'busy'


class _Model(msgspec.Struct):
    """A model that a worker serves."""

    name: str = ''
    version: int = 0


class WorkerReport(msgspec.Struct):
    """The report that a worker sends about itself."""

    phase: str = ''
    models: list[_Model] = []
    busy: bool = False
    sequence: int = 0
    waiting: int = 0
    running: int = 0
    kv_used: int = 0
    kv_total: int = 0
    state: str = 'ready'
    next: int | None = 0
    born: int = 0
    # Each row holds the id, tokens in memory, emitted events and priority.
    active_runs: list[list[Any]] | None = None


class _Order(msgspec.Struct):
    """An order to change a worker's stage."""

    opcode: str
    phase: str
    holder: str
    fencing_token: int
    expect: int


class WorkerControl(EngineControl):
    """Control client of one worker."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        instance: str,
        service: str,
        spec: EngineSpec,
        holder: str,
    ):
        self._session = session
        self._address = address
        self._instance = instance
        self._service = service
        self._spec = spec
        self._holder = holder
        self._order_sequence = 0

    async def report(self) -> LoadReport:
        """See the base class."""
        status, content = await self._call('GET', names.REPORT_PATH, None)
        if status != 200:
            raise EndpointRefusedError(f'status {status}')
        try:
            worker_report = decode_json(content, WorkerReport)
            role = EngineRole(worker_report.phase)
        except (msgspec.MsgspecError, ValueError) as error:
            raise EndpointFailedError(f'unreadable report: {error}') from error
        self._order_sequence = worker_report.sequence
        return make_load_report(worker_report, role, self._service, self._spec)

    async def order(self, order: EngineOrder) -> None:
        """See the base class."""
        body = _Order(
            'phase', order.role, self._holder, order.term, self._order_sequence
        )
        status, _ = await self._call(
            'POST', names.ORDER_PATH, msgspec.json.encode(body)
        )
        if status in (200, 202):
            return
        if status == 412:
            raise EndpointRefusedError(REFUSED_FENCED)
        if status == 421:
            raise EndpointRefusedError(REFUSED_MODEL)
        raise EndpointRefusedError(f'{_REFUSED_BUSY}: status {status}')

    async def _call(
        self, method: str, path: str, body: bytes | None
    ) -> tuple[int, bytes]:
        progress = SendProgress()
        headers = {names.EXPECT_INSTANCE: self._instance}
        if body is not None:
            headers['Content-Type'] = 'application/json'
        try:
            async with self._session.request(
                method,
                make_url(self._address, path),
                data=body,
                headers=headers,
                timeout=make_timeout(CALL_TIMEOUT_S),
                trace_request_ctx=progress,
            ) as response:
                content = await read_content(response, MAX_REPORT_BYTES)
                return response.status, content
        except REQUEST_ERRORS as error:
            raise make_endpoint_error(error, progress) from error


def make_load_report(
    worker_report: WorkerReport,
    role: EngineRole,
    service: str,
    spec: EngineSpec,
) -> LoadReport:
    """Converts a worker's report to a load report of the router."""
    free = max(0, worker_report.kv_total - worker_report.kv_used)
    return LoadReport(
        role=role,
        model='' if worker_report.busy else service,
        model_version=str(
            worker_report.models[0].version if worker_report.models else 0
        ),
        pieces_total=worker_report.kv_total // BLOCK_TOKENS,
        pieces_free=free // BLOCK_TOKENS,
        active=worker_report.running,
        queued_tokens=(worker_report.next or 0) * max(1, worker_report.waiting),
        prefill_tokens_per_s=0.0,
        step_s=0.0,
        age_s=REPORT_AGE_S,
        leaving=worker_report.state == names.DRAINING_STATE,
        start=worker_report.born,
        order_term=None,
        link_bytes_per_s=spec.link_bytes_per_s,
        piece_tokens=BLOCK_TOKENS,
        kv_bytes_per_token=spec.kv_bytes_per_token,
        reads_prompts=True,
        drains_itself=True,
        run_ids=_get_run_ids(worker_report),
        run_tokens=_get_run_tokens(worker_report, spec.event_tokens),
    )


def _get_run_ids(worker_report: WorkerReport) -> tuple[str, ...] | None:
    if worker_report.active_runs is None:
        return None
    return tuple(str(row[0]) for row in worker_report.active_runs if row)


def _get_run_tokens(
    worker_report: WorkerReport, event_tokens: int
) -> tuple[int, ...] | None:
    """Returns the tokens that each run has made, None if a row lacks them."""
    rows = [row for row in worker_report.active_runs or () if row]
    if not all(len(row) > 2 and isinstance(row[2], int) for row in rows):
        return None
    return tuple(row[2] * event_tokens for row in rows)

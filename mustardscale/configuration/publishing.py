"""Publishes configuration changes on the log and finds their result."""

from __future__ import annotations

import asyncio
import dataclasses
import enum

from mustardscale.configuration.config_records import (
    ConfigChange,
    encode_record,
)
from mustardscale.configuration.config_state import ConfigState, RecordStatus
from mustardscale.exceptions import LogUnavailableError, LogUncertainError
from mustardscale.log.log_client import CONFIG_STREAM, LogClient

# Maximum number of records in one read.
PAGE_RECORDS = 1_000
# Seconds between reads at the end of the stream.
POLL_INTERVAL_S = 0.05


class PublishStatus(enum.StrEnum):
    """Whether a published change was accepted."""

    ACCEPTED = 'accepted'
    LOST = 'lost'
    UNKNOWN = 'unknown'


_PUBLISH_STATUS_BY_RECORD_STATUS = {
    RecordStatus.ACCEPTED: PublishStatus.ACCEPTED,
    RecordStatus.LOST: PublishStatus.LOST,
    RecordStatus.SUPERSEDED: PublishStatus.UNKNOWN,
}


@dataclasses.dataclass(frozen=True, slots=True)
class PublishResult:
    """Result of publishing a change.

    Attributes:
        status: whether the change was accepted.
        version: version of the accepted change, or the current version to
            which it lost; 0 if unknown.
        offset: offset of its record, 0 if unknown.
        detail: why the status is unknown, and how to find it.
    """

    status: PublishStatus
    version: int = 0
    offset: int = 0
    detail: str = ''


async def read_config(log: LogClient) -> ConfigState:
    """Folds the configuration stream from its oldest record to its end.

    Raises:
        LogUnavailableError: the log could not be read.
    """
    state = ConfigState()
    while not await _read_page(log, state):
        pass
    return state


async def publish(
    log: LogClient, state: ConfigState, change: ConfigChange, timeout_s: float
) -> PublishResult:
    """Appends a change and reads the stream until its status is known.

    Args:
        log: the log.
        state: the configuration read before; new records are folded into it.
        change: the change.
        timeout_s: seconds after which the status is returned as unknown.

    Raises:
        LogUnavailableError: the log is unavailable; nothing was appended.
    """
    offset = 0
    try:
        offsets = await log.append(CONFIG_STREAM, [encode_record(change)])
        offset = offsets[0]
    except LogUncertainError:
        pass
    try:
        async with asyncio.timeout(timeout_s):
            return await _await_status(log, state, change, offset)
    except LogUnavailableError as error:
        return _unknown_result(
            change, offset, f'the log cannot be read: {error}'
        )
    except TimeoutError:
        cause = f'its record was not read within {timeout_s} s'
        if not state.settled:
            cause = 'the log has lost records before it that may decide on it'
        return _unknown_result(change, offset, cause)


async def _await_status(
    log: LogClient, state: ConfigState, change: ConfigChange, offset: int
) -> PublishResult:
    """Reads the stream until a change is folded."""
    while True:
        at_end = await _read_page(log, state)
        result = _find_result(state, change, offset)
        if result is not None:
            return result
        if at_end:
            await asyncio.sleep(POLL_INTERVAL_S)


def _find_result(
    state: ConfigState, change: ConfigChange, offset: int
) -> PublishResult | None:
    """Returns the result of a change, or None while it is unknown."""
    for entry in reversed(state.history):
        if entry.change.change_id == change.change_id:
            status = _PUBLISH_STATUS_BY_RECORD_STATUS[entry.status]
            return PublishResult(status, entry.version, entry.offset)
    if not offset or state.folded_offset < offset:
        return None
    # The state passed the record by merging a snapshot, without folding it.
    version = state.version(change.key)
    if version > offset:
        cause = f'version {version} has replaced what followed from it'
        return _unknown_result(change, offset, cause)
    accepted = version == offset
    status = PublishStatus.ACCEPTED if accepted else PublishStatus.LOST
    return PublishResult(status, version, offset)


async def _read_page(log: LogClient, state: ConfigState) -> bool:
    """Folds the next records; returns whether the stream's end is reached."""
    page = await log.read(CONFIG_STREAM, state.read_offset, PAGE_RECORDS)
    for record in page.records:
        state.apply(record.offset, record.payload)
    return not page.records or state.read_offset >= page.end_offset


def _unknown_result(
    change: ConfigChange, offset: int, cause: str
) -> PublishResult:
    """Returns an unknown result that tells operators how to find it out."""
    position = f'as offset {offset}' if offset else 'perhaps'
    kind, name = change.key.kind, change.key.name
    detail = (
        f'The change was appended {position}, but {cause}. Look for change id'
        f' {change.change_id} in "mustardscale {kind} history {name}" before'
        ' publishing again.'
    )
    return PublishResult(PublishStatus.UNKNOWN, 0, offset, detail)

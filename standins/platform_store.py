"""Stand-in of the users' platform's store: keyed topics over HTTP."""

from __future__ import annotations

import asyncio
import base64
import collections
import dataclasses
import struct
from collections.abc import Callable

from aiohttp import web

_ENDS = struct.Struct('!QQ')
_LENGTH = struct.Struct('!I')
ERA_HEADER = 'Store-Era'
OPERATOR_TOPIC = 'keyed.op'
WORKERS_TOPIC = 'keyed.servers'

# Records by topic.
StoreCopy = dict[str, list[bytes]]
# What a reader of one address sees of a record, by topic and record.
RecordView = Callable[[str, bytes], bytes]
_VIEW_KEY: web.AppKey[RecordView] = web.AppKey('view')


@dataclasses.dataclass(slots=True)
class StoreFaults:
    """What the store does wrong.

    Attributes:
        refuses: whether it answers every call with 503.
        forgets_before: records before this offset are no longer there.
        keeps_reads: whether reads that wait stay open, in silence, when it
            comes back from a copy; else their connections end.
    """

    refuses: bool = False
    forgets_before: int = 0
    keeps_reads: bool = False


class PlatformStore:
    """Topics of keyed records in memory.

    Attributes:
        faults: the faults switched on.
        calls: calls by path.
        era: told in all answers; rises when it comes back from a copy.
    """

    def __init__(self):
        self.era = 1
        self.faults = StoreFaults()
        self.calls: collections.Counter[str] = collections.Counter()
        self._records_by_topic: dict[str, list[bytes]] = (
            collections.defaultdict(list)
        )
        self._changed = asyncio.Event()

    def take_copy(self) -> StoreCopy:
        """Returns a copy of all records, to come back from later."""
        return {t: list(r) for t, r in self._records_by_topic.items()}

    def come_back_from(self, copy: StoreCopy) -> None:
        """Loses what was written since a copy; offsets are given out again."""
        self._records_by_topic.clear()
        self._records_by_topic.update(
            {topic: list(records) for topic, records in copy.items()}
        )
        self.era += 1
        self._wake()

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Appends a record and returns its offset, from 0."""
        encoded = key.encode()
        record = bytes([len(encoded)]) + encoded + value
        self._records_by_topic[topic].append(record)
        self._wake()
        return len(self._records_by_topic[topic]) - 1

    def _wake(self) -> None:
        """Lets the reads that wait look again."""
        self._changed.set()
        self._changed = asyncio.Event()

    def keys(self, topic: str) -> set[str]:
        """Returns the keys that have a value."""
        return {str(item['key']) for item in self._newest(topic)}

    def application(self, view: RecordView | None = None) -> web.Application:
        """Returns the application to serve.

        Args:
            view: what its readers see of each record, None for the record.
        """
        application = web.Application()
        application[_VIEW_KEY] = view or _show_all
        application.on_response_prepare.append(self._tell_era)
        for method, path, handler in (
            ('GET', '/mustardscale/log-newest', self._on_newest),
            ('GET', '/mustardscale/log-read', self._on_read),
            ('POST', '/mustardscale/log-append', self._on_append),
        ):
            application.router.add_route(method, path, handler)
        return application

    async def _tell_era(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        response.headers[ERA_HEADER] = str(self.era)

    def _refuse(self, request: web.Request) -> web.Response | None:
        self.calls[request.path] += 1
        return web.Response(status=503) if self.faults.refuses else None

    async def _on_newest(self, request: web.Request) -> web.Response:
        topic = request.query['topic']
        end = len(self._records_by_topic[topic])
        items = self._newest(topic, request.app.get(_VIEW_KEY, _show_all))
        answer = {'items': items, 'has_more': False, 'end': end}
        return self._refuse(request) or web.json_response(answer)

    def _newest(
        self, topic: str, view: RecordView | None = None
    ) -> list[dict[str, object]]:
        show = view or _show_all
        item_by_key: dict[str, dict[str, object]] = {}
        for offset, kept in enumerate(self._records_by_topic[topic]):
            record = show(topic, kept)
            end = 1 + record[0]
            key, value = record[1:end].decode(), record[end:]
            item_by_key[key] = {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'offset': offset,
            }
        return [item for item in item_by_key.values() if item['value']]

    async def _on_read(self, request: web.Request) -> web.Response:
        refusal = self._refuse(request)
        if refusal is not None:
            return refusal
        start = int(request.query['from'])
        if start < self.faults.forgets_before:
            return web.json_response(
                {'first_offset': self.faults.forgets_before}, status=410
            )
        topic = request.query['topic']
        records = self._records_by_topic[topic]
        if start > len(records):
            return web.json_response({'first_offset': 0}, status=410)
        wait_s = int(request.query.get('wait_ms', 0)) / 1000
        until = asyncio.get_running_loop().time() + wait_s
        era = self.era
        while len(records) <= start:
            try:
                async with asyncio.timeout_at(until):
                    await self._changed.wait()
            except TimeoutError:
                break
            if self.era != era and not self.faults.keeps_reads:
                assert request.transport is not None
                request.transport.close()
                break
        view = request.app.get(_VIEW_KEY, _show_all)
        shown = [view(topic, record) for record in records[start:]]
        body = b''.join(_LENGTH.pack(len(r)) + r for r in shown)
        return web.Response(body=_ENDS.pack(len(records), 0) + body)

    async def _on_append(self, request: web.Request) -> web.Response:
        refusal = self._refuse(request)
        if refusal is not None:
            return refusal
        topic = request.query['topic']
        end = len(self._records_by_topic[topic])
        if 'at' in request.query and int(request.query['at']) != end:
            return web.json_response({'end': end}, status=412)
        record = (await request.read())[_LENGTH.size :]
        stop = 1 + record[0]
        offset = self.put(topic, record[1:stop].decode(), record[stop:])
        return web.json_response({'offset': offset, 'end': offset + 1})


def _show_all(topic: str, record: bytes) -> bytes:
    return record

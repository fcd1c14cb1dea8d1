"""Tests of streams in the platform's store."""

import asyncio

from mustardscale.log.keyed_log import KeyedPage, KeyedRecord, RecordsGoneError
from mustardscale.platform.store_client import StoreLog


class FakeStore:
    """A topic whose old records may have been deleted.

    Attributes:
        calls: the calls made, in order.
    """

    def __init__(self):
        self.records = []
        self.kept_from = 0
        self.calls = []

    def put(self, value):
        offset = len(self.records) + 1
        self.records.append(KeyedRecord('k', value, offset))

    async def newest(self, topic):
        self.calls.append('newest')
        return KeyedPage(tuple(self.records[-1:]), len(self.records))

    async def read(self, topic, after, wait_s):
        self.calls.append('read')
        if after < self.kept_from:
            raise RecordsGoneError(topic)
        return KeyedPage(tuple(self.records[after:]), len(self.records))


def payloads(page):
    return [record.payload for record in page.records]


class TestEmptyTopic:
    """A topic without a record."""

    def test_newest_record_is_queried_once(self):
        store = FakeStore()
        log = StoreLog(store)

        async def main():
            for _ in range(5):
                await log.read('orders', 0)

        asyncio.run(main())
        assert store.calls == ['newest', *['read'] * 5]

    def test_first_records_are_read(self):
        store = FakeStore()
        log = StoreLog(store)

        async def main():
            await log.read('orders', 0)
            store.put(b'1')
            store.put(b'2')
            return await log.read('orders', 0)

        page = asyncio.run(main())
        assert payloads(page) == [b'1', b'2']
        assert not page.compacted

    def test_newest_record_is_read_if_the_first_are_gone(self):
        store = FakeStore()
        log = StoreLog(store)

        async def main():
            await log.read('orders', 0)
            for value in (b'1', b'2', b'3'):
                store.put(value)
            store.kept_from = 2
            return await log.read('orders', 0)

        page = asyncio.run(main())
        assert payloads(page) == [b'3']
        assert page.compacted

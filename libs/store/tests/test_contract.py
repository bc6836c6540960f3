"""Contract tests of the store port, for the in-memory and HTTP adapters."""

import asyncio

from oriolefold_core import errors
from oriolefold_store import envelopes, http, memory, ports, updates
from oriolefold_testbed import basecase
from oriolefold_testbed import store as testbed_store


class ContractCase(basecase.AsyncCase):
    """Tests that every adapter must pass; subclasses provide the store."""

    store: ports.Store
    objects: memory.MemoryStore

    async def set_mode(self, mode):
        """Sets whether the store works, rejects calls or does not answer."""
        raise NotImplementedError

    async def test_read_what_was_written(self):
        version = await self.store.write('a/b', b'\x00one', ports.NEW_OBJECT)
        stored = await self.store.read('a/b')
        self.assertEqual(stored, ports.StoredObject('a/b', version, b'\x00one'))

    async def test_missing_object_is_not_found(self):
        with self.assertRaises(errors.ObjectNotFoundError):
            await self.store.read('absent')

    async def test_conditional_update_cases(self):
        version = await self.store.write('x', b'1', ports.NEW_OBJECT)
        cases = [
            ('absent', version),
            ('x', ports.NEW_OBJECT),
            ('x', version + 1),
        ]
        for name, expected in cases:
            with self.subTest(name=name, expected=expected):
                with self.assertRaises(errors.VersionConflictError):
                    await self.store.write(name, b'2', expected)
        self.assertEqual((await self.store.read('x')).content, b'1')
        newer = await self.store.write('x', b'2', version)
        self.assertGreater(newer, version)

    async def test_watch_returns_all_then_waits_for_changes(self):
        await self.store.write('p/1', b'1', ports.NEW_OBJECT)
        await self.store.write('q/1', b'1', ports.NEW_OBJECT)
        first = await self.store.watch('p/', 0, 1)
        self.assertEqual([o.name for o in first.objects], ['p/1'])
        watching = asyncio.create_task(
            self.store.watch('p/', first.revision, 10)
        )
        await asyncio.sleep(0.05)
        await self.store.write('p/2', b'2', ports.NEW_OBJECT)
        changes = await watching
        self.assertEqual([o.name for o in changes.objects], ['p/2'])
        self.assertGreater(changes.revision, first.revision)

    async def test_watch_without_changes_times_out(self):
        changes = await self.store.watch('', 0, 0.05)
        self.assertEqual(changes.objects, ())

    async def test_outage_is_reported_and_writes_nothing(self):
        await self.set_mode('down')
        calls = [
            lambda: self.store.read('x'),
            lambda: self.store.write('x', b'1', ports.NEW_OBJECT),
            lambda: self.store.watch('', 0, 1),
        ]
        for call in calls:
            with self.assertRaises(errors.StoreUnavailableError):
                await call()
        await self.set_mode('up')
        with self.assertRaises(errors.ObjectNotFoundError):
            await self.store.read('x')

    async def test_oversized_content_is_rejected(self):
        with self.assertRaises(errors.StoreError):
            await self.store.write('x', b'0' * 1_000_001, ports.NEW_OBJECT)

    async def test_lost_answer_is_resolved_by_reading(self):
        before = await updates.read(self.store, 'doc')
        self.objects.answers_to_lose = 1
        after = await updates.replace(self.store, before, b'{"a":1}')
        self.assertEqual(after.body, b'{"a":1}')
        self.assertEqual(after.version, 1)

    def lose_answer_before_a_later_write(self) -> None:
        """Loses the next answer and replaces that write by another writer's."""
        self.objects.answers_to_lose = 1
        original_write = self.objects.write

        async def write_then_replace(name, content, expected):
            self.objects.write = original_write
            try:
                return await original_write(name, content, expected)
            finally:
                unwrapped = envelopes.unwrap(content, name)
                replacement = envelopes.wrap(b'2', 'other', unwrapped.write_ids)
                await original_write(name, replacement, 1)

        self.objects.write = write_then_replace

    async def test_lost_answer_with_a_later_writer_is_recognized(self):
        before = await updates.read(self.store, 'doc')
        self.lose_answer_before_a_later_write()
        after = await updates.replace(self.store, before, b'1')
        self.assertEqual((after.version, after.body), (2, b'2'))

    async def test_later_writer_is_a_conflict_unless_accepted(self):
        before = await updates.read(self.store, 'doc')
        self.lose_answer_before_a_later_write()
        with self.assertRaises(errors.VersionConflictError):
            await updates.replace(self.store, before, b'1', accept_later=False)

    async def test_lost_answer_alone_is_no_conflict(self):
        before = await updates.read(self.store, 'doc')
        self.objects.answers_to_lose = 1
        after = await updates.replace(
            self.store, before, b'1', accept_later=False
        )
        self.assertEqual((after.version, after.body), (1, b'1'))

    async def test_one_of_two_concurrent_writers_gets_a_conflict(self):
        before = await updates.read(self.store, 'doc')
        results = await asyncio.gather(
            updates.replace(self.store, before, b'1'),
            updates.replace(self.store, before, b'2'),
            return_exceptions=True,
        )
        conflicts = [
            r for r in results if isinstance(r, errors.VersionConflictError)
        ]
        self.assertEqual(len(conflicts), 1)

    async def test_content_without_an_envelope_is_rejected(self):
        await self.store.write('doc', b'not an envelope', ports.NEW_OBJECT)
        with self.assertRaises(errors.ConfigurationError):
            await updates.read(self.store, 'doc')


class MemoryStoreTest(ContractCase):
    """Runs the contract with the in-memory store."""

    async def asyncSetUp(self):
        self.store = self.objects = memory.MemoryStore()

    async def set_mode(self, mode):
        self.objects.down = mode == 'down'


class HttpStoreTest(ContractCase):
    """Runs the contract with the HTTP adapter and the testbed store."""

    async def asyncSetUp(self):
        self.server = testbed_store.StoreStandIn()
        self.objects = self.server.objects
        address = basecase.free_address()
        self.server.start(address.host, address.port)
        self.store = http.HttpStore(address)
        self.addAsyncCleanup(self.server.stop)
        self.addAsyncCleanup(self.store.close)

    async def set_mode(self, mode):
        self.server.behaviour.mode = mode

    async def test_rate_limit_is_reported(self):
        admit = self.server.behaviour.admit
        self.server.behaviour.admit = lambda kind, limit: admit(kind, 0)
        with self.assertRaises(errors.StoreBudgetError):
            await self.store.read('x')

    async def test_unreachable_store_is_reported(self):
        absent = http.HttpStore(basecase.free_address())
        self.addAsyncCleanup(absent.close)
        with self.assertRaises(errors.StoreUnavailableError):
            await absent.write('x', b'1', ports.NEW_OBJECT)


# Keeps the test runner from collecting the base class, which has no store.
del ContractCase

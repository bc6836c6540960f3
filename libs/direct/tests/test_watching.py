"""Tests of oriolefold_direct.watching and availability."""

import asyncio
from unittest import mock

import fakes

from oriolefold_coordination import ranges
from oriolefold_core import clock, errors, findings
from oriolefold_direct import availability, messages, watching
from oriolefold_store import ports
from oriolefold_testbed import basecase


class TextReader(watching.Reader):
    """Reads content as it is; `bad` is invalid."""

    prefix = 'k/'
    may_expire = True

    def read(self, stored):
        if stored.content == b'bad':
            location = findings.Location(stored.name)
            raise errors.ConfigurationError(
                (findings.Finding(location, 'bad'),)
            )
        return stored.content

    def build_message(self, values_by_name):
        return values_by_name


def stored(name, version, content=b'x'):
    return ports.StoredObject(f'k/{name}', version, content)


def in_era(era, revision):
    """Returns a version or revision of an era."""
    return era * ports.VERSIONS_PER_ERA + revision


class WatcherTest(basecase.AsyncCase):
    """Subscribers get each change once and never an older version."""

    async def asyncSetUp(self):
        self.store = fakes.ScriptedStore()
        self.subscriber = basecase.RecordingTask('subscriber')
        self.clock = clock.ManualClock(100.0)
        self.store_availability = availability.Availability(self.clock)
        self.watcher = watching.Watcher(
            availability.MonitoredStore(self.store, self.store_availability),
            TextReader(),
            [self.subscriber],
            self.clock,
            self.store_availability,
        )
        await self.start(self.subscriber, self.watcher)

    async def test_first_watch_after_a_failure_asks_for_an_answer_soon(self):
        self.store.is_down = True
        self.store.script.put_nowait(ports.Changes(3, (), complete=True))
        self.store.script.put_nowait(errors.StoreUnavailableError('away'))
        await self.wait_for(lambda: self.store_availability.is_unavailable)
        self.store.is_down = False
        await self.wait_for(lambda: len(self.store.timeouts_s) == 3)
        self.store.script.put_nowait(ports.Changes(3, ()))
        await self.wait_for(lambda: len(self.store.timeouts_s) == 4)
        self.assertEqual(
            self.store.timeouts_s[-2:],
            [watching.PROBE_TIMEOUT_S, watching.WATCH_TIMEOUT_S],
        )

    async def deliver(self, item, count):
        """Scripts the result of a watch and returns the latest message."""
        self.store.script.put_nowait(item)
        await self.wait_for(lambda: len(self.subscriber.messages) >= count)
        return self.subscriber.messages[-1]

    async def test_changes_removals_and_complete_lists(self):
        first = ports.Changes(
            3, (stored('a', 1), stored('b', 2)), complete=True
        )
        self.assertEqual(set(await self.deliver(first, 1)), {'k/a', 'k/b'})
        removed = ports.Changes(4, (), ('k/a',))
        self.assertEqual(set(await self.deliver(removed, 2)), {'k/b'})
        again = ports.Changes(9, (stored('c', 8),), complete=True)
        self.assertEqual(set(await self.deliver(again, 3)), {'k/c'})
        await self.wait_for(lambda: self.store.revisions[-1] == 9)

    async def test_watch_goes_on_after_an_unexpected_error(self):
        self.store.script.put_nowait(ValueError('unexpected'))
        first = ports.Changes(3, (stored('a', 1),), complete=True)
        self.assertEqual(set(await self.deliver(first, 1)), {'k/a'})

    async def test_older_and_invalid_objects(self):
        await self.deliver(ports.Changes(3, (stored('a', 5, b'new'),)), 1)
        old = ports.Changes(4, (stored('a', 4, b'old'), stored('b', 4)))
        self.assertEqual((await self.deliver(old, 2))['k/a'], b'new')
        bad = ports.Changes(5, (stored('a', 6, b'bad'),))
        self.assertNotIn('k/a', await self.deliver(bad, 3))

    async def test_lost_history_restarts_the_watch(self):
        await self.deliver(ports.Changes(3, (stored('a', 1),)), 1)
        self.store.script.put_nowait(errors.HistoryLostError('410'))
        await self.wait_for(lambda: self.store.revisions[-1] == 0)

    async def test_objects_that_expired_in_an_outage_may_return(self):
        both = ports.Changes(3, (stored('a', 1), stored('b', 2)))
        await self.deliver(both, 1)
        self.store.is_down = True
        self.store.script.put_nowait(errors.StoreUnavailableError('down'))
        await self.wait_for(lambda: self.store.stale_reads)
        self.clock.advance(availability.MIN_EXPIRY_S)
        self.store.is_down = False
        expired = ports.Changes(4, (), ('k/a', 'k/b'))
        self.store.script.put_nowait(expired)
        await self.wait_for(lambda: not self.store_availability.is_unavailable)
        returned = ports.Changes(5, (stored('a', 5, b'back'),))
        self.assertEqual(set(await self.deliver(returned, 2)), {'k/a', 'k/b'})
        self.clock.advance(watching.ABSENCE_GRACE_S)
        await self.wait_for(lambda: len(self.subscriber.messages) >= 3)
        self.assertEqual(set(self.subscriber.messages[-1]), {'k/a'})

    async def recover_then_remove(self, since_recovery_s):
        """Removes an object some time after the recovery from an outage."""
        await self.deliver(ports.Changes(3, (stored('a', 1),)), 1)
        for _ in range(availability.MIN_FAILED_CALLS):
            self.store_availability.mark_unavailable(
                errors.StoreUnavailableError('down')
            )
        self.clock.advance(availability.MIN_EXPIRY_S)
        self.store_availability.mark_available()
        self.clock.advance(since_recovery_s)
        self.store.script.put_nowait(ports.Changes(4, (), ('k/a',)))

    async def test_removal_is_delayed_no_longer_than_expired_objects_need(self):
        await self.recover_then_remove(watching.ABSENCE_GRACE_S - 0.2)
        await asyncio.sleep(0.1)
        self.assertEqual(len(self.subscriber.messages), 1)
        self.clock.advance(0.2)
        async with asyncio.timeout(1):
            await self.wait_for(lambda: len(self.subscriber.messages) == 2)
        self.assertEqual(self.subscriber.messages[-1], {})

    async def test_lost_answer_of_a_write_delays_no_removal(self):
        await self.deliver(ports.Changes(3, (stored('a', 1),)), 1)
        lost = _FailingStore(errors.StoreAnswerLostError('lost'))
        store = availability.MonitoredStore(lost, self.store_availability)
        with self.assertRaises(errors.StoreAnswerLostError):
            await store.write('k/z', b'{}', 1)
        self.store.script.put_nowait(ports.Changes(3, ()))
        await self.wait_for(lambda: not self.store_availability.is_unavailable)
        self.store.script.put_nowait(ports.Changes(4, (), ('k/a',)))
        async with asyncio.timeout(1):
            await self.wait_for(lambda: len(self.subscriber.messages) == 2)
        self.assertEqual(self.subscriber.messages[-1], {})

    async def test_removal_long_after_an_outage_takes_effect_at_once(self):
        await self.recover_then_remove(watching.ABSENCE_GRACE_S + 0.2)
        async with asyncio.timeout(0.5):
            await self.wait_for(lambda: len(self.subscriber.messages) == 2)

    async def test_any_failed_call_aborts_a_pending_watch(self):
        await self.wait_for(lambda: self.store.revisions)
        waiting = len(self.store.revisions)
        self.store_availability.mark_unavailable(
            errors.StoreUnavailableError('another call')
        )
        async with asyncio.timeout(2):
            await self.wait_for(lambda: len(self.store.revisions) > waiting)

    async def restore(self, *objects, count):
        """Delivers the complete list of the store after a restore."""
        self.store.script.put_nowait(errors.HistoryLostError('restored'))
        listing = ports.Changes(in_era(1, 2), objects, complete=True)
        return await self.deliver(listing, count)

    async def test_lower_revisions_after_a_restore_are_taken(self):
        await self.deliver(ports.Changes(30, (stored('a', 30),), (), True), 1)
        restored = stored('a', in_era(1, 1), b'older')
        self.assertEqual(
            (await self.restore(restored, count=2))['k/a'], b'older'
        )
        change = ports.Changes(
            in_era(1, 3), (stored('a', in_era(1, 3), b'newer'),)
        )
        self.assertEqual((await self.deliver(change, 3))['k/a'], b'newer')

    async def test_objects_missing_in_an_older_copy_may_return(self):
        both = ports.Changes(3, (stored('a', 1), stored('b', 2)), (), True)
        await self.deliver(both, 1)
        self.clock.advance(60)
        found = await self.restore(stored('c', in_era(1, 1)), count=2)
        self.assertEqual(set(found), {'k/a', 'k/b', 'k/c'})
        change = ports.Changes(in_era(1, 3), (stored('a', in_era(1, 3), b'y'),))
        await self.deliver(change, 3)
        self.clock.advance(watching.ABSENCE_GRACE_S)
        self.watcher.post(messages.Tick())
        await self.wait_for(lambda: len(self.subscriber.messages) >= 4)
        self.assertEqual(set(self.subscriber.messages[-1]), {'k/a', 'k/c'})

    async def test_first_list_is_not_that_of_a_restore(self):
        first = ports.Changes(in_era(1, 2), (stored('a', 1),), (), True)
        await self.deliver(first, 1)
        removed = ports.Changes(in_era(1, 3), (), ('k/a',))
        async with asyncio.timeout(0.5):
            self.assertEqual(await self.deliver(removed, 2), {})


class RememberingReader(TextReader):
    """Treats `old` as outdated until it is let in."""

    outdated_limit_s = 10.0

    def __init__(self):
        self.lets_in = False
        self.removed = []

    def reconcile(self, value, version, known, now_s):
        if value == b'old' and not self.lets_in:
            raise watching.OutdatedObjectError('old')
        return value

    def record_removal(self, value, now_s):
        self.removed.append(value)


class OutdatedObjectTest(basecase.AsyncCase):
    """An object that the reader finds outdated counts as missing."""

    async def asyncSetUp(self):
        self.store = fakes.ScriptedStore()
        self.subscriber = basecase.RecordingTask('subscriber')
        self.clock = clock.ManualClock(100.0)
        self.reader = RememberingReader()
        self.watcher = watching.Watcher(
            self.store,
            self.reader,
            [self.subscriber],
            self.clock,
            availability.Availability(self.clock),
        )
        await self.start(self.subscriber, self.watcher)

    async def deliver(self, *objects, revision, count, complete=True):
        self.store.script.put_nowait(
            ports.Changes(revision, objects, complete=complete)
        )
        await self.wait_for(lambda: len(self.subscriber.messages) >= count)
        return self.subscriber.messages[-1]

    async def tick(self, after_s):
        self.clock.advance(after_s)
        self.watcher.post(messages.Tick())
        await asyncio.sleep(0.05)
        return self.subscriber.messages[-1]

    async def test_known_value_has_the_grace_time_to_be_written_again(self):
        await self.deliver(stored('a', 1, b'new'), revision=3, count=1)
        old = stored('a', in_era(1, 1), b'old')
        other = stored('b', in_era(1, 1))
        found = await self.deliver(old, other, revision=in_era(1, 2), count=2)
        self.assertEqual(found, {'k/a': b'new', 'k/b': b'x'})
        found = await self.tick(watching.ABSENCE_GRACE_S)
        self.assertEqual(found, {'k/b': b'x'})
        self.assertEqual(self.reader.removed, [b'new'])

    async def test_outdated_object_that_stays_is_read_again(self):
        old = stored('a', in_era(1, 1), b'old')
        self.assertEqual(
            await self.deliver(old, revision=in_era(1, 2), count=1), {}
        )
        self.reader.lets_in = True
        self.assertEqual(await self.tick(9.0), {})
        self.assertEqual(await self.tick(1.0), {'k/a': b'old'})

    async def test_outdated_object_that_is_removed_is_not_read_again(self):
        old = stored('a', in_era(1, 1), b'old')
        await self.deliver(old, revision=in_era(1, 2), count=1)
        self.store.script.put_nowait(ports.Changes(in_era(1, 3), (), ('k/a',)))
        await self.wait_for(lambda: len(self.store.revisions) >= 3)
        self.reader.lets_in = True
        self.assertEqual(await self.tick(10.0), {})


class KeyMapReaderTest(basecase.BaseCase):
    """An older copy of a key map is not posted, whatever its version."""

    def build(self, next_token, version):
        key_map = ranges.KeyMap('svc', next_token)
        update = messages.KeyMapUpdated(key_map, version)
        return self.reader.build_message({'svc': update})

    def test_key_map_with_a_lower_next_token_is_an_older_copy(self):
        self.reader = watching.KeyMapReader()
        self.assertTrue(self.build(9000, 7))
        self.assertFalse(self.build(9000, 7))
        self.assertFalse(self.build(4000, in_era(1, 3)))
        self.assertEqual(self.reader.build_message({}), [])
        self.assertFalse(self.build(4000, in_era(1, 4)))
        self.assertTrue(self.build(9000, in_era(1, 5)))
        self.assertTrue(self.build(14000, in_era(1, 6)))


class ProbeTest(basecase.AsyncCase):
    """One watch at a time probes a store that is away."""

    async def test_one_watch_probes_whichever_is_served_by_the_store(self):
        health = availability.Availability(clock.ManualClock(100.0))
        with health.claim_probe() as first, health.claim_probe() as second:
            self.assertEqual((first, second), (True, False))
        with health.claim_probe() as later:
            self.assertTrue(later)

    async def test_cut_watch_goes_on_at_once(self):
        store = fakes.ScriptedStore()
        time = clock.ManualClock(100.0)
        health = availability.Availability(time)
        subscriber = basecase.RecordingTask('subscriber')
        watcher = watching.Watcher(
            store, TextReader(), [subscriber], time, health
        )
        store.script.put_nowait(ports.Changes(3, (), complete=True))
        store.script.put_nowait(errors.StoreUnavailableError('cut'))
        with mock.patch.object(watching, 'PROBE_INTERVAL_S', 60.0):
            await self.start(subscriber, watcher)
            await self.wait_for(lambda: len(store.timeouts_s) == 3)
        self.assertEqual(store.stale_reads, 1)

    async def test_outage_is_probed_by_cheap_calls_only(self):
        store = fakes.ScriptedStore()
        time = clock.ManualClock(100.0)
        health = availability.Availability(time)
        monitored = availability.MonitoredStore(store, health)
        watchers = []
        for _ in range(3):
            subscriber = basecase.RecordingTask('subscriber')
            watchers.append(
                watching.Watcher(
                    monitored, TextReader(), [subscriber], time, health
                )
            )
            store.script.put_nowait(ports.Changes(3, (), complete=True))
        await self.start(*watchers)
        await self.wait_for(lambda: len(store.timeouts_s) == 6)
        store.is_down = True
        store.script.put_nowait(errors.StoreUnavailableError('down'))
        with mock.patch.object(watching, 'PROBE_INTERVAL_S', 0.01):
            await self.wait_for(lambda: store.stale_reads > 10)
        self.assertEqual(len(store.timeouts_s), 6)
        store.is_down = False
        await self.wait_for(lambda: len(store.timeouts_s) == 9)


class _FailingStore(fakes.ScriptedStore):
    """Store whose reads and writes fail."""

    def __init__(self, error):
        super().__init__()
        self._error = error

    async def read(self, name):
        raise self._error

    async def write(self, name, content, expected_version):
        raise self._error


class MonitoredStoreTest(basecase.AsyncCase):
    """Calls that do not get through count as an outage; refusals do not."""

    async def is_unavailable_after(self, error):
        """Returns whether each of a failed read and write is an outage."""
        found = []
        for call in (
            lambda store: store.read('k/a'),
            lambda store: store.read_stale('k/a'),
            lambda store: store.write('k/a', b'{}', 1),
        ):
            health = availability.Availability(clock.ManualClock(100.0))
            store = availability.MonitoredStore(_FailingStore(error), health)
            with self.assertRaises(type(error)):
                await call(store)
            found.append(health.is_unavailable)
        return found

    async def test_failure_that_a_caller_resolves_is_an_outage(self):
        for error in (
            errors.StoreUnavailableError('away'),
            errors.StoreAnswerLostError('lost'),
            errors.StoreBudgetError('busy'),
        ):
            with self.subTest(error):
                found = await self.is_unavailable_after(error)
                self.assertEqual(found, [True, True, True])

    async def test_answer_of_the_store_is_no_outage(self):
        for error in (
            errors.VersionConflictError('newer'),
            errors.ObjectNotFoundError('none'),
        ):
            with self.subTest(error):
                found = await self.is_unavailable_after(error)
                self.assertEqual(found, [False, False, False])

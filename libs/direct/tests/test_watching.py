"""Tests of oriolefold_direct.watching and availability."""

import asyncio

import fakes

from oriolefold_core import clock, errors, findings
from oriolefold_direct import availability, watching
from oriolefold_store import ports
from oriolefold_testbed import basecase


class TextReader(watching.Reader):
    """Reads content as it is; `bad` is invalid."""

    prefix = 'k/'
    may_expire = True
    probes = True

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


class WatcherTest(basecase.AsyncCase):
    """Subscribers get each change once and never an older version."""

    async def asyncSetUp(self):
        self.store = fakes.ScriptedStore()
        self.subscriber = basecase.RecordingTask('subscriber')
        self.clock = clock.ManualClock(100.0)
        self.store_availability = availability.Availability(self.clock)
        self.watcher = watching.Watcher(
            self.store,
            TextReader(),
            [self.subscriber],
            self.clock,
            self.store_availability,
        )
        await self.start(self.subscriber, self.watcher)

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
        self.store.script.put_nowait(errors.StoreUnavailableError('down'))
        await self.wait_for(lambda: self.store_availability.is_unavailable)
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
        self.store_availability.mark_unavailable(
            errors.StoreUnavailableError('down')
        )
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

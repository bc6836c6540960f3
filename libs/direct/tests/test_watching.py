"""Tests of oriolefold_direct.watching and availability."""

import asyncio

import fakes

from oriolefold_core import clock, errors, findings
from oriolefold_direct import availability, watching
from oriolefold_store import ports
from oriolefold_testbed import basecase


class TextReader(watching.Reader):
    """Reads texts; `bad` cannot be read."""

    prefix = 'k/'
    may_lapse = True
    probes = True

    def read(self, stored):
        if stored.content == b'bad':
            place = findings.Place(stored.name)
            raise errors.ConfigurationError((findings.Finding(place, 'bad'),))
        return stored.content

    def notice(self, values_by_name):
        return values_by_name


def stored(name, version, content=b'x'):
    return ports.StoredObject(f'k/{name}', version, content)


class WatcherTest(basecase.AsyncCase):
    """Subscribers hear of every change, once, and never of older ones."""

    async def asyncSetUp(self):
        self.store = fakes.ScriptedStore()
        self.heard = basecase.RecordingTask('heard')
        self.clock = clock.ManualClock(100.0)
        self.available = availability.Availability(self.clock)
        self.watcher = watching.Watcher(
            self.store,
            TextReader(),
            [self.heard],
            self.clock,
            self.available,
        )
        await self.start(self.heard, self.watcher)

    async def hear(self, item, count):
        """Puts in what a watch returns; returns the newest notice."""
        self.store.script.put_nowait(item)
        await self.wait_for(lambda: len(self.heard.messages) >= count)
        return self.heard.messages[-1]

    async def test_changes_removals_and_complete_lists(self):
        first = ports.Changes(
            3, (stored('a', 1), stored('b', 2)), complete=True
        )
        self.assertEqual(set(await self.hear(first, 1)), {'k/a', 'k/b'})
        removed = ports.Changes(4, (), ('k/a',))
        self.assertEqual(set(await self.hear(removed, 2)), {'k/b'})
        again = ports.Changes(9, (stored('c', 8),), complete=True)
        self.assertEqual(set(await self.hear(again, 3)), {'k/c'})
        await self.wait_for(lambda: self.store.revisions[-1] == 9)

    async def test_older_and_unreadable_objects(self):
        await self.hear(ports.Changes(3, (stored('a', 5, b'new'),)), 1)
        old = ports.Changes(4, (stored('a', 4, b'old'), stored('b', 4)))
        self.assertEqual((await self.hear(old, 2))['k/a'], b'new')
        bad = ports.Changes(5, (stored('a', 6, b'bad'),))
        self.assertNotIn('k/a', await self.hear(bad, 3))

    async def test_lost_history_starts_anew(self):
        await self.hear(ports.Changes(3, (stored('a', 1),)), 1)
        self.store.script.put_nowait(errors.HistoryLostError('410'))
        await self.wait_for(lambda: self.store.revisions[-1] == 0)

    async def test_entries_that_lapsed_in_an_outage_get_time_to_return(self):
        both = ports.Changes(3, (stored('a', 1), stored('b', 2)))
        await self.hear(both, 1)
        self.store.script.put_nowait(errors.StoreUnavailableError('down'))
        await self.wait_for(lambda: self.available.is_lost)
        lapsed = ports.Changes(4, (), ('k/a', 'k/b'))
        self.store.script.put_nowait(lapsed)
        await self.wait_for(lambda: not self.available.is_lost)
        returned = ports.Changes(5, (stored('a', 5, b'back'),))
        self.assertEqual(set(await self.hear(returned, 2)), {'k/a', 'k/b'})
        self.clock.advance(watching.ABSENCE_GRACE_S)
        await self.wait_for(lambda: len(self.heard.messages) >= 3)
        self.assertEqual(set(self.heard.messages[-1]), {'k/a'})

    async def test_any_failing_call_ends_a_waiting_watch(self):
        await self.wait_for(lambda: self.store.revisions)
        waiting = len(self.store.revisions)
        self.available.lose(errors.StoreUnavailableError('another call'))
        async with asyncio.timeout(2):
            await self.wait_for(lambda: len(self.store.revisions) > waiting)

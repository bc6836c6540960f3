"""Stand-in for the object store.

`PUT /control` with a JSON object changes its behaviour: `mode` is `up`, `down`
(refuses every call), `silent` (never answers) or `slow` (answers after
`delay_ms`), and `answers_to_lose` is the number of next writes that take effect
but get no response. `GET /control` returns the mode and the call counts.
"""

import asyncio
import base64
import json
import time

import fire

from oriolefold_core import errors
from oriolefold_store import memory
from oriolefold_testbed import standins

READS_PER_S = 2000
WRITES_PER_S = 300
MAX_WATCH_S = 60.0


class Behaviour:
    """Adjustable behaviour of the store, and its call counts.

    Attributes:
        mode: `up`, `down`, `silent` or `slow`.
        delay_ms: Delay of each call in mode `slow`.
        refused_by_budget: Number of calls over the rate limit.
        total_reads: Number of reads and watches.
        total_writes: Number of writes.
    """

    def __init__(self):
        self.mode = 'up'
        self.delay_ms = 0
        self.refused_by_budget = 0
        self._counts_by_second: dict[tuple[str, int], int] = {}
        self.total_reads = 0
        self.total_writes = 0

    def admit(self, kind: str, limit: int) -> bool:
        """Counts a call and returns whether it is within the rate limit.

        Args:
            kind: `read` or `write`.
            limit: Calls of this kind that are allowed per second.
        """
        bucket = (kind, int(time.monotonic()))
        count = self._counts_by_second.get(bucket, 0) + 1
        if count == 1:
            self._counts_by_second = {
                other: bucket_count
                for other, bucket_count in self._counts_by_second.items()
                if other[1] == bucket[1]
            }
        self._counts_by_second[bucket] = count
        if kind == 'read':
            self.total_reads += 1
        else:
            self.total_writes += 1
        if count > limit:
            self.refused_by_budget += 1
        return count <= limit


class StoreStandIn(standins.StandIn):
    """In-memory object store with an HTTP interface."""

    def __init__(self):
        super().__init__(
            {
                '/objects/(.+)': _ObjectHandler,
                '/watch': _WatchHandler,
                '/control': _ControlHandler,
            }
        )
        self.objects = memory.MemoryStore()
        self.behaviour = Behaviour()


class _Handler(standins.Handler):
    """Base class of the request handlers."""

    def initialize(self, stand_in: StoreStandIn):
        """Stores the objects and the behaviour of the stand-in."""
        self._objects = stand_in.objects
        self._behaviour = stand_in.behaviour

    async def _admit(self, kind: str) -> bool:
        """Applies mode and rate limit; returns whether to serve the call."""
        limit = READS_PER_S if kind == 'read' else WRITES_PER_S
        if self._behaviour.mode == 'silent':
            await asyncio.sleep(3600)
        if self._behaviour.mode == 'slow':
            await asyncio.sleep(self._behaviour.delay_ms / 1000)
        if self._behaviour.mode == 'down':
            self.send_error(503)
            return False
        if not self._behaviour.admit(kind, limit):
            self.send_error(429)
            return False
        return True


class _ObjectHandler(_Handler):
    async def get(self, name: str):
        """Reads an object."""
        if not await self._admit('read'):
            return
        try:
            stored = await self._objects.read(name)
        except errors.ObjectNotFoundError:
            self.send_error(404)
            return
        self.set_header('ETag', f'"{stored.version}"')
        self.finish(stored.content)

    async def put(self, name: str):
        """Writes an object if it still has the version in `If-Match`."""
        if not await self._admit('write'):
            return
        match = self.request.headers.get('If-Match', '"0"').strip('"')
        try:
            version = await self._objects.write(
                name, self.request.body, int(match)
            )
        except errors.VersionConflictError:
            self.send_error(412)
            return
        except errors.StoreAnswerLostError:
            self.request.connection.stream.close()
            return
        except errors.StoreError:
            self.send_error(413)
            return
        self.set_header('ETag', f'"{version}"')
        self.finish()


class _WatchHandler(_Handler):
    async def get(self):
        """Returns changes after a revision, once there are any (long poll)."""
        if not await self._admit('read'):
            return
        timeout_s = int(self.get_query_argument('timeout_ms')) / 1000
        changes = await self._objects.watch(
            self.get_query_argument('prefix', ''),
            int(self.get_query_argument('after')),
            min(timeout_s, MAX_WATCH_S),
        )
        if self._behaviour.mode != 'up' and not await self._admit('read'):
            return
        response = {
            'revision': changes.revision,
            'objects': [
                {
                    'name': stored.name,
                    'version': stored.version,
                    'content': base64.b64encode(stored.content).decode(),
                }
                for stored in changes.objects
            ],
        }
        self.finish(json.dumps(response))

    def on_connection_close(self):
        """Does nothing; the abandoned watch ends at its timeout."""


class _ControlHandler(_Handler):
    def get(self):
        """Returns the mode and the call counts."""
        self.finish(
            {
                'mode': self._behaviour.mode,
                'reads': self._behaviour.total_reads,
                'writes': self._behaviour.total_writes,
                'refused_by_budget': self._behaviour.refused_by_budget,
            }
        )

    def put(self):
        """Changes the behaviour."""
        change = json.loads(self.request.body)
        self._behaviour.mode = change.get('mode', self._behaviour.mode)
        self._behaviour.delay_ms = change.get(
            'delay_ms', self._behaviour.delay_ms
        )
        self._objects.answers_to_lose = change.get(
            'answers_to_lose', self._objects.answers_to_lose
        )
        self.finish({})


def main(ip: str = '127.0.0.1', port: int = 9000) -> None:
    """Runs the store until it is interrupted."""
    standins.run_until_interrupted(lambda: StoreStandIn().start(ip, port))


if __name__ == '__main__':
    fire.Fire(main)

"""Sends requests for keys all the time and notes what comes back."""

import asyncio
import dataclasses
import itertools
import random
import uuid

from oriolefold_core import data, errors, results
from oriolefold_http import client
from oriolefold_testbed import scenarios, servers

NO_ANSWER = 'no-answer'
CALL_TIMEOUT_S = 8.0
MAX_CLIENTS = 512


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """One request of the prober.

    Attributes:
        request_id: Identity of the request.
        key: Key that it was for.
        method: HTTP method.
        sent_s: When it was sent.
        done_s: When its outcome was known.
        outcome: Outcome as the caller saw it.
        status: HTTP status, or 599.
    """

    request_id: str
    key: str
    method: str
    sent_s: float
    done_s: float
    outcome: str
    status: int


class Prober:
    """Probes keys through all entry VMs, open loop.

    Attributes:
        samples: Everything that was sent and has an outcome.
    """

    def __init__(
        self,
        vms: list[data.Vm],
        keys: list[str],
        interval_s: float,
        seed: int,
        post_share: float = 0.0,
    ):
        """Makes a prober.

        Args:
            vms: Entry VMs to send through.
            keys: Keys to probe.
            interval_s: Time between two requests for one key.
            seed: Seed of the choices.
            post_share: Share of requests that are not idempotent.
        """
        self._vms = vms
        self._keys = keys
        self._interval_s = interval_s
        self._random = random.Random(seed)
        self._post_share = post_share
        self._client = client.HttpClient(MAX_CLIENTS)
        self._loop_task: asyncio.Task | None = None
        self._pending: set[asyncio.Task] = set()
        self.sent = 0
        self.samples: list[Sample] = []

    def start(self) -> None:
        """Starts to probe."""
        self._loop_task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stops and waits for the outcomes that are still open."""
        self._loop_task.cancel()
        while self._pending:
            await asyncio.wait(self._pending)
        self._client.close()

    async def _run(self) -> None:
        step_s = self._interval_s / len(self._keys)
        due_s = servers.now_s()
        for key in itertools.cycle(self._keys):
            due_s += step_s
            await asyncio.sleep(max(0.0, due_s - servers.now_s()))
            sending = asyncio.create_task(self._send(key))
            self.sent += 1
            self._pending.add(sending)
            sending.add_done_callback(self._pending.discard)

    async def _send(self, key: str) -> None:
        vm = self._random.choice(self._vms)
        posts = self._random.random() < self._post_share
        method = 'POST' if posts else 'GET'
        request_id = uuid.uuid4().hex
        sent_s = servers.now_s()
        outcome, status = NO_ANSWER, 599
        try:
            response = await self._client.call(
                method,
                f'http://{vm.caller_address}/{scenarios.SERVICE}/{key}',
                timeout_s=CALL_TIMEOUT_S,
                connect_timeout_s=CALL_TIMEOUT_S,
                headers={results.REQUEST_ID_HEADER: request_id},
                body=b'x' if posts else None,
                once=posts,
            )
            status = response.code
            outcome = response.headers.get(results.OUTCOME_HEADER, NO_ANSWER)
        except errors.UnreachableError:
            outcome = results.Outcome.NOT_RUN.value
        except errors.OriolefoldError:
            outcome = NO_ANSWER
        self.samples.append(
            Sample(
                request_id,
                key,
                method,
                sent_s,
                servers.now_s(),
                outcome,
                status,
            )
        )

    def unavailable_s(self, lost_s: float, until_s: float) -> dict[str, float]:
        """Returns the time without service after a loss, by key.

        The longest time between two answers for requests sent close by counts,
        from the later of the loss and the earlier answer.

        Args:
            lost_s: When the loss happened.
            until_s: End of the time that is looked at.
        """
        gaps_by_key = {}
        for key in self._keys:
            answered = sorted(
                sample.done_s
                for sample in self.samples
                if sample.key == key
                and sample.outcome == results.Outcome.ANSWERED.value
                and sample.done_s <= until_s
            )
            points = [lost_s, *(t for t in answered if t > lost_s), until_s]
            gaps_by_key[key] = max(
                later - earlier for earlier, later in itertools.pairwise(points)
            )
        return gaps_by_key

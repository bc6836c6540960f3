"""Open-loop load generator that records the outcome of every request."""

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
    """A request of the prober and its outcome.

    Attributes:
        request_id: ID of the request.
        key: Key of the request.
        method: HTTP method.
        sent_s: When it was sent, on the clock of `servers.now_s`.
        done_s: When its outcome was known, on the same clock.
        outcome: Value of the outcome header, `not-run` if the VM could not be
            reached, or else `no-answer`.
        status: HTTP status, or 599 if there was no response.
    """

    request_id: str
    key: str
    method: str
    sent_s: float
    done_s: float
    outcome: str
    status: int


class Prober:
    """Sends requests for each key at a fixed interval through random entry VMs.

    Requests are sent on time even if earlier ones are still pending.

    Attributes:
        sent: Number of requests sent.
        samples: Requests whose outcome is known.
    """

    def __init__(
        self,
        vms: list[data.Vm],
        keys: list[str],
        interval_s: float,
        seed: int,
        post_share: float = 0.0,
    ):
        """Initializes the prober.

        Args:
            vms: Entry VMs to send through.
            keys: Keys to probe.
            interval_s: Time between two requests for the same key.
            seed: Seed for the choice of VMs and methods.
            post_share: Fraction of requests that are not idempotent (POST).
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
        """Starts sending requests."""
        self._loop_task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stops sending and waits for the pending requests."""
        self._loop_task.cancel()
        while self._pending:
            await asyncio.wait(self._pending)
        self._client.close()

    async def _run(self) -> None:
        spacing_s = self._interval_s / len(self._keys)
        due_s = servers.now_s()
        for key in itertools.cycle(self._keys):
            due_s += spacing_s
            await asyncio.sleep(max(0.0, due_s - servers.now_s()))
            send_task = asyncio.create_task(self._send(key))
            self.sent += 1
            self._pending.add(send_task)
            send_task.add_done_callback(self._pending.discard)

    async def _send(self, key: str) -> None:
        vm = self._random.choice(self._vms)
        is_post = self._random.random() < self._post_share
        method = 'POST' if is_post else 'GET'
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
                body=b'x' if is_post else None,
                at_most_once=is_post,
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

    def longest_outage_s_by_key(
        self, failure_s: float, end_s: float
    ) -> dict[str, float]:
        """Returns the longest time without an answer after a failure, by key.

        Only the time between the failure and `end_s` counts, including the
        time before the first answer and after the last one.

        Args:
            failure_s: Time of the failure, on the clock of `servers.now_s`.
            end_s: End of the observed period, on the same clock.
        """
        outage_s_by_key = {}
        for key in self._keys:
            answered_s = sorted(
                sample.done_s
                for sample in self.samples
                if sample.key == key
                and sample.outcome == results.Outcome.ANSWERED.value
                and sample.done_s <= end_s
            )
            times_s = [
                failure_s,
                *(t for t in answered_s if t > failure_s),
                end_s,
            ]
            outage_s_by_key[key] = max(
                later - earlier
                for earlier, later in itertools.pairwise(times_s)
            )
        return outage_s_by_key

"""Watches sends for instances that never answer what they cannot queue.

The object belongs to the dispatcher, in whose task all of it runs.
"""

import asyncio
from collections.abc import Awaitable

from oriolefold_core import clock, data, errors
from oriolefold_direct import pending, retries
from oriolefold_routing import concurrency, instancetable, silence

# Tolerance of timers, which may fire just before the time that they are for.
TIMER_TOLERANCE_S = 0.002


class SilentSends:
    """Ends idempotent sends that get no answer, and lowers limits."""

    def __init__(
        self,
        time: clock.Clock,
        retry_decisions: retries.Retries,
        reporter: pending.Reporter,
        instance_table: instancetable.InstanceTable,
    ):
        """Initializes it without sends.

        Args:
            time: Clock for deadlines.
            retry_decisions: Decides whether a request may be sent elsewhere.
            reporter: Logs and counters.
            instance_table: Gives typical times, and is told of services whose
                instances are silent when full.
        """
        self._clock = time
        self._retries = retry_decisions
        self._reporter = reporter
        self._instance_table = instance_table
        self._silence = silence.Silence()

    async def watch(
        self,
        request: pending.PendingRequest,
        instance: concurrency.InstanceState,
        sending: Awaitable[data.Answer],
    ) -> data.Answer:
        """Waits for the answer to a send, or until the instance is silent.

        Args:
            request: The request.
            instance: The instance that it is sent to.
            sending: The send; cancelling it closes its connection.

        Raises:
            SilentInstanceError: If the request is to be sent elsewhere.
            OriolefoldError: If the send fails.
        """
        service_id = request.service_id
        started_s = self._clock.now_s()
        usual_s = max(
            instance.service_time_s,
            instance.reserved.time_s(request.route.rank),
        ) or self._instance_table.typical_time_s(service_id)
        send = self._silence.start(
            instance.endpoint.instance_id,
            usual_s,
            started_s,
            instance.baseline_time_s,
        )
        answered = False
        try:
            if not self._silence.is_active(service_id, started_s):
                answer = await sending
            else:
                answer = await self._watch(request, instance, send, sending)
            answered = True
            return answer
        except asyncio.CancelledError:
            self._confirm(request, send)
            raise
        except errors.OutcomeUnknownError:
            if self._clock.now_s() >= request.expires_at_s - TIMER_TOLERANCE_S:
                self._confirm(request, send)
            raise
        finally:
            self._silence.end(send, answered, self._clock.now_s())

    def _confirm(
        self, request: pending.PendingRequest, send: silence.OpenSend
    ) -> None:
        """Records a send that its caller or its deadline has ended."""
        now_s = self._clock.now_s()
        if self._silence.confirm(request.service_id, send, now_s):
            self._instance_table.require_short_queues(request.service_id)
            self._reporter.silence_seen(request, send)

    async def _watch(self, request, instance, send, sending) -> data.Answer:
        timers: list[asyncio.TimerHandle] = []
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(None) as scope:
                for delay_s in (send.overdue_s, send.lone_overdue_s):
                    timers.append(
                        loop.call_later(
                            delay_s + TIMER_TOLERANCE_S,
                            self._check,
                            request,
                            instance,
                            send,
                            scope,
                        )
                    )
                return await sending
        except TimeoutError as error:
            if not scope.expired():
                raise
            raise errors.SilentInstanceError(
                f'the instance is silent for {send.overdue_s:.3f} s or more'
            ) from error
        finally:
            for timer in timers:
                timer.cancel()

    def _check(self, request, instance, send, scope) -> None:
        """Acts on a send that is overdue if it is silent."""
        now_s = self._clock.now_s()
        # Answers since the send may show that the instance became slower.
        send.usual_s = max(send.usual_s, instance.service_time_s)
        if scope.expired() or not self._silence.is_silent(
            request.service_id, send, now_s
        ):
            return
        elsewhere = (
            now_s + send.usual_s < request.expires_at_s
            and self._retries.may_retry(
                request, errors.OutcomeUnknownError('no answer')
            )
        )
        if not send.reported:
            send.reported = True
            instance.record_silence(now_s)
        self._reporter.silent(request, instance, send, elsewhere)
        if elsewhere:
            self._silence.confirm(request.service_id, send, now_s)
            scope.reschedule(asyncio.get_running_loop().time())

"""Client that sends to a cold-sensitive instance only after a health check.

An instance that was killed can be back at its address, cold, while every VM
still has its former registration, so each of many VMs must find out before its
first request there, not by it.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from oriolefold_coordination import ranges
from oriolefold_core import clock, data, errors, tasks
from oriolefold_direct import messages, ports
from oriolefold_routing import topology

WAIT_S = 0.6  # Longer than one check takes.


class VerifyingInstances(ports.Instances):
    """Adds health checks and reports of failures to another client."""

    def __init__(
        self,
        instances: ports.Instances,
        view: tasks.Task,
        health_checker: tasks.Task,
        time: clock.Clock,
    ):
        """Initializes the client.

        Args:
            instances: Client that sends.
            view: Receives `ConnectionFailed`.
            health_checker: Receives `CheckHealth`.
            time: Clock of cold periods.
        """
        self._instances = instances
        self._view = view
        self._health_checker = health_checker
        self._clock = time

    async def send(
        self,
        endpoint: topology.Endpoint,
        call: ports.Call,
        remaining_s: float,
        may_send: Callable[[], bool] | None = None,
    ) -> data.Answer:
        """Sends a request once the state of the instance is known."""
        if not endpoint.health_path:
            return await self._instances.send(
                endpoint, call, remaining_s, may_send
            )
        withheld = False

        def may_write() -> bool:
            nonlocal withheld
            withheld = may_send is not None and not may_send()
            return not withheld

        try:
            return await self._send_verified(
                endpoint, call, remaining_s, may_write
            )
        except errors.UnverifiedError:
            raise
        except (errors.UnreachableError, errors.ConnectionLostError):
            if not withheld:
                self._view.post(messages.ConnectionFailed(endpoint))
            raise

    async def _send_verified(
        self, endpoint, call, remaining_s: float, may_write
    ) -> data.Answer:
        if self._clock.now_s() < endpoint.cold_until_s:
            # Its state is known, and `may_write` lets no request pass that has
            # no permission for a cold instance.
            known = dataclasses.replace(endpoint, needs_proof=False)
            return await self._instances.send(
                known, call, remaining_s, may_write
            )
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + remaining_s
        try:
            return await self._instances.send(
                endpoint, call, remaining_s, may_write
            )
        except errors.UnverifiedError as error:
            try:
                async with asyncio.timeout(min(remaining_s, WAIT_S)):
                    is_warm = await self._health_checker.ask(
                        messages.CheckHealth(endpoint)
                    )
            except TimeoutError:
                is_warm = False
            except errors.OutcomeUnknownError:
                # The checker stops. Nothing has been sent.
                is_warm = False
            if not is_warm:
                raise errors.UnverifiedError(
                    f'{endpoint.instance_id} is cold or did not show that it '
                    'is warm'
                ) from error
        return await self._instances.send(
            endpoint, call, ends_at_s - loop.time(), may_write
        )

    async def grant(
        self,
        key_range: ranges.KeyRange,
        lease_s: float,
        handover: str,
        may_send: Callable[[], bool],
        newest_connection: int | None = None,
    ) -> ports.GrantOutcome:
        """Grants a key range as the other client does."""
        return await self._instances.grant(
            key_range, lease_s, handover, may_send, newest_connection
        )

    async def release(
        self, key_range: ranges.KeyRange, holder: ranges.Holder
    ) -> ports.ReleaseResult:
        """Asks for a release as the other client does."""
        return await self._instances.release(key_range, holder)

    async def check_health(
        self, endpoint: topology.Endpoint, path: str, timeout_s: float
    ) -> ports.HealthReport:
        """Checks the health as the other client does."""
        return await self._instances.check_health(endpoint, path, timeout_s)

    async def close(self) -> None:
        """Closes the connections of the other client."""
        await self._instances.close()

"""Reports of a VM's load to the leader of a service."""

import dataclasses

from oriolefold_core import errors, tasks
from oriolefold_direct import messages, ports
from oriolefold_telemetry import logs

MIN_REPORTED_KEYS = 4  # Fewer requests wait for the next report.
REPORTS_PER_TIMES_UPDATE = 4  # Every n-th report has service times.
# Reports without cold instances after the leader has not understood one, since
# leaders of earlier versions reject those with any. 15 s at two a second.
PAUSED_COLD_REPORTS = 30


class LoadReporter:
    """Collects the load of one service and applies the leader's replies."""

    def __init__(
        self,
        service_id: str,
        vm_id: str,
        peers: ports.Peers,
        dispatcher: tasks.Task,
    ):
        """Initializes the reporter.

        Args:
            service_id: The service.
            vm_id: This VM.
            peers: Client for the other VMs.
            dispatcher: Task that observes load and applies shares and key
                maps.
        """
        self._service_id = service_id
        self._vm_id = vm_id
        self._peers = peers
        self._dispatcher = dispatcher
        self._report_count = 0
        self._deferred_keys: tuple[int, ...] = ()
        self._leader_address = ''
        self._paused_cold_reports = 0
        self._reported_leaving_by_id: dict[str, int] = {}

    async def collect(self) -> messages.ObservedLoad:
        """Returns the load since the last call."""
        return await self._dispatcher.ask(
            messages.CollectLoad(self._service_id)
        )

    def apply(
        self, reply: messages.LoadReply, load: messages.ObservedLoad
    ) -> None:
        """Passes the leader's reply to a reported load on to the dispatcher."""
        self._dispatcher.post(
            messages.SharesUpdated(
                reply.shares_by_id,
                self._service_id,
                reply.short_queues,
                reply.admitted_by_id,
            )
        )
        if reply.granted is not None:
            self._dispatcher.post(reply.granted)
        if reply.permits_by_id:
            self._dispatcher.post(
                messages.PermitsGranted(reply.permits_by_id, load.read_at_s)
            )

    async def report(self, leader_address: str) -> bool:
        """Reports the keys of recent requests to the leader.

        A report with few keys is merged into the next one, so that many VMs
        with little load do not keep the leader busy. An instance that leaves is
        reported at once, also without keys, and so are cold instances.

        Args:
            leader_address: Address of the leader, or an empty string.

        Returns:
            Whether the leader answered, or nothing was sent.
        """
        recent = await self.collect()
        load = dataclasses.replace(
            recent, keys=self._deferred_keys + recent.keys
        )
        if leader_address != self._leader_address:
            self._leader_address = leader_address
            self._paused_cold_reports = 0
            self._reported_leaving_by_id = {}
        if self._paused_cold_reports:
            self._paused_cold_reports -= 1
            load = dataclasses.replace(
                load, cold_ids=(), needs_short_queues=False
            )
        has_news = bool(load.cold_ids) or not (
            load.leaving_by_id.items() <= self._reported_leaving_by_id.items()
        )
        if not leader_address or not (load.keys or has_news):
            return True
        if (
            len(load.keys) < MIN_REPORTED_KEYS
            and not self._deferred_keys
            and not load.leaving_by_id
            and not load.cold_ids
        ):
            self._deferred_keys = load.keys
            return True
        self._deferred_keys = ()
        self._report_count += 1
        if self._report_count % REPORTS_PER_TIMES_UPDATE:
            load = dataclasses.replace(load, times_by_id={})
        report = messages.LoadReport(self._vm_id, self._service_id, load)
        try:
            reply = await self._peers.report(leader_address, report)
        except errors.OriolefoldError as error:
            is_new = load.cold_ids or load.needs_short_queues
            if is_new and isinstance(error, errors.ProtocolError):
                self._paused_cold_reports = PAUSED_COLD_REPORTS
            # Not sent again: the leader uses the reports of the other VMs.
            logs.event(
                'load.report_failed',
                service=self._service_id,
                error=str(error),
            )
            return False
        self._reported_leaving_by_id = load.leaving_by_id
        self.apply(reply, load)
        return True

"""Task that reads and writes the guard record of this VM in the store."""

import asyncio
from typing import Any

from oriolefold_coordination import homeselection, shardmap
from oriolefold_core import data, errors, notices, tasks
from oriolefold_ownership import guardrecords, messages, names
from oriolefold_store import ports, updates
from oriolefold_telemetry import logs

RETRY_INTERVAL_S = 0.5


class GuardRecorder(tasks.Task):
    """Reads or creates the guard record at startup and writes new epochs."""

    def __init__(
        self, vm_id: str, store: ports.Store, lease_manager: tasks.Task
    ):
        super().__init__('guard recorder')
        self._vm_id = vm_id
        self._store = store
        self._lease_manager = lease_manager
        self._configuration: data.Configuration | None = None
        self._has_started = False

    async def handle(self, message: Any) -> None:
        """Handles one message."""
        match message:
            case notices.ConfigurationUpdated():
                self._configuration = message.configuration
                registered = self._vm_id in (
                    message.configuration.register.vms_by_id
                )
                if registered and not self._has_started:
                    self._has_started = True
                    self.spawn_loop(self._start)
            case messages.RecordGuard():
                self.spawn(self._record_and_answer(message), message)

    async def _start(self) -> None:
        while True:
            try:
                recorded = await self._read_or_create()
                self._lease_manager.post(recorded)
                return
            except errors.OriolefoldError as error:
                logs.event('guard.read_failed', error=str(error))
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _read_or_create(self) -> messages.GuardRecorded:
        name = names.guard_name(self._vm_id)
        document = await updates.read(self._store, name)
        if document.version != ports.NEW_OBJECT:
            guard = guardrecords.decode(document.body, name)
            return messages.GuardRecorded(guard, created_here=False)
        guard = self._choose_guard(epoch=1, former_standby_ids=())
        await updates.replace(self._store, document, guardrecords.encode(guard))
        return messages.GuardRecorded(guard, created_here=True)

    async def _record_and_answer(self, ask: messages.RecordGuard) -> None:
        try:
            ask.answer(await self._write_epoch(ask.epoch_before))
        except errors.OriolefoldError as error:
            ask.fail(error)

    async def _write_epoch(self, epoch_before: int) -> shardmap.Guard:
        name = names.guard_name(self._vm_id)
        document = await updates.read(self._store, name)
        former_standby_ids: tuple[str, ...] = ()
        epoch = epoch_before
        if document.version != ports.NEW_OBJECT:
            before = guardrecords.decode(document.body, name)
            epoch = max(epoch, before.epoch)
            former_standby_ids = (
                before.standby_id,
                *before.former_standby_ids,
            )
        unique_ids = tuple(
            dict.fromkeys(vm_id for vm_id in former_standby_ids if vm_id)
        )
        guard = self._choose_guard(epoch + 1, unique_ids)
        await updates.replace(self._store, document, guardrecords.encode(guard))
        return guard

    def _choose_guard(self, epoch: int, former_standby_ids) -> shardmap.Guard:
        register = self._configuration.register
        guards_by_vm_id = homeselection.choose_guards(
            register, list(register.vms_by_id)
        )
        chosen = guards_by_vm_id[self._vm_id]
        return shardmap.Guard(
            chosen.standby_id, chosen.witness_id, epoch, former_standby_ids
        )

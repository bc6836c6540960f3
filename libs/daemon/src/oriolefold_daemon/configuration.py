"""Activation of configurations that were read from the store."""

from collections.abc import Sequence

from oriolefold_config import documents
from oriolefold_core import data, notices, tasks
from oriolefold_ownership import watcher
from oriolefold_peer import messages as peer_messages
from oriolefold_store import updates
from oriolefold_telemetry import logs


class ConfigurationPublisher(watcher.ConfigurationReader):
    """Validates a configuration and publishes it to the subscribed tasks."""

    def __init__(
        self,
        vm_id: str,
        zone_id: str,
        subscribers: Sequence[tasks.Task],
        peers: tasks.Task,
    ):
        self._vm_id = vm_id
        self._zone_id = zone_id
        self._subscribers = subscribers
        self._peers = peers

    def read(self, document: updates.Document) -> None:
        """Validates and publishes a newer configuration."""
        configuration = documents.validate(
            documents.decode(document.body, document.name), document.version
        )
        self._check_own_entry(configuration)
        addresses_by_vm_id = {
            vm_id: vm.peer_address
            for vm_id, vm in configuration.register.vms_by_id.items()
        }
        self._peers.post(peer_messages.PeersUpdated(addresses_by_vm_id))
        notice = notices.ConfigurationUpdated(configuration)
        for subscriber in self._subscribers:
            subscriber.post(notice)
        logs.event('configuration.in_force', version=configuration.version)

    def _check_own_entry(self, configuration: data.Configuration) -> None:
        vm = configuration.register.vms_by_id.get(self._vm_id)
        if vm is None:
            logs.event('vm.not_registered', vm=self._vm_id)
        elif vm.zone_id != self._zone_id:
            logs.event(
                'vm.zone_differs',
                vm=self._vm_id,
                setting=self._zone_id,
                register=vm.zone_id,
            )

"""Brings accepted configurations into force."""

from collections.abc import Sequence

from oriolefold_config import documents
from oriolefold_core import notices, tasks
from oriolefold_ownership import watcher
from oriolefold_peer import messages as peer_messages
from oriolefold_store import updates
from oriolefold_telemetry import logs


class InForceReader(watcher.ConfigurationReader):
    """Validates a configuration and tells every task that acts on it."""

    def __init__(self, subscribers: Sequence[tasks.Task], peers: tasks.Task):
        self._subscribers = subscribers
        self._peers = peers

    def read(self, document: updates.Document) -> None:
        """Passes a newer configuration on."""
        configuration = documents.validate(
            documents.decode(document.body, document.name), document.version
        )
        addresses_by_vm_id = {
            vm_id: vm.peer_address
            for vm_id, vm in configuration.register.vms_by_id.items()
        }
        self._peers.post(peer_messages.PeersKnown(addresses_by_vm_id))
        notice = notices.ConfigurationInForce(configuration)
        for subscriber in self._subscribers:
            subscriber.post(notice)
        logs.event('configuration.in_force', version=configuration.version)

"""Tests of oriolefold_daemon.configuration."""

import json
import pathlib

from oriolefold_config import documents
from oriolefold_core import errors, notices
from oriolefold_daemon import configuration
from oriolefold_peer import messages as peer_messages
from oriolefold_store import updates
from oriolefold_testbed import basecase

EXAMPLE = pathlib.Path(__file__).resolve().parents[3] / 'examples' / 'qurum'


class ConfigurationPublisherTest(basecase.BaseCase):
    """Only valid configurations are published to the subscribed tasks."""

    def setUp(self):
        super().setUp()
        self.task = basecase.RecordingTask()
        self.peers = basecase.RecordingTask()
        self.reader = configuration.ConfigurationPublisher(
            'entry-muscat-1', 'muscat-a', [self.task], self.peers
        )

    def read(self, body):
        self.reader.read(updates.Document('configuration/current', 4, (), body))

    def test_valid_configuration(self):
        self.read(documents.encode(documents.read_folder(str(EXAMPLE))))
        (notice,) = self.task.messages_of_type(notices.ConfigurationUpdated)
        self.assertEqual(notice.configuration.version, 4)
        (update,) = self.peers.messages_of_type(peer_messages.PeersUpdated)
        self.assertEqual(len(update.addresses_by_vm_id), 9)

    def test_invalid_configuration_changes_nothing(self):
        body = json.dumps({'register': {}, 'rules': {}}).encode()
        with self.assertRaises(errors.ConfigurationError):
            self.read(body)
        self.assertEqual(self.task.messages, [])
        self.assertEqual(self.peers.messages, [])

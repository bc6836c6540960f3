"""Tests of oriolefold_testbed.basecase."""

import itertools
import socket
import unittest
from unittest import mock

from oriolefold_testbed import basecase


class FreeAddressTest(unittest.TestCase):
    """Addresses of a test run can be listened on."""

    def test_address_in_use_by_another_program_is_skipped(self):
        with socket.socket() as listener:
            listener.bind(('127.0.0.1', 0))
            listener.listen()
            port = listener.getsockname()[1]
            with mock.patch.object(basecase, '_PORTS', itertools.count(port)):
                found = basecase.free_address()
        self.assertGreater(found.port, port)

    def test_address_stays_reserved_while_its_server_is_down(self):
        address = basecase.free_address()
        for _ in range(2):
            with socket.create_server((address.host, address.port)) as server:
                client = socket.create_connection(server.getsockname())
                client.close()
            with self.assertRaises(ConnectionRefusedError):
                socket.create_connection((address.host, address.port))
            with socket.socket() as other:
                with self.assertRaises(OSError):
                    other.bind((address.host, address.port))

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

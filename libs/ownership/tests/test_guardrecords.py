"""Tests of oriolefold_ownership.guardrecords."""

from oriolefold_core import errors
from oriolefold_ownership import guardrecords
from oriolefold_testbed import basecase


class DecodeTest(basecase.BaseCase):
    """What is no guard record is rejected."""

    def test_malformed_records_are_rejected(self):
        deep = b'[' * 100_000 + b']' * 100_000
        for text in (b'', b'[]', b'7', b'{"more":%s}' % deep):
            with self.subTest(text[:20]):
                with self.assertRaises(errors.ConfigurationError):
                    guardrecords.decode(text, 'guard')

"""Tests of oriolefold_config.settings."""

import pydantic

from oriolefold_config import settings
from oriolefold_core import errors
from oriolefold_testbed import basecase


class _TestSettings(settings.Settings):
    """Settings with a required and an optional field."""

    port: int = pydantic.Field(ge=1, le=9, description='a port')
    name: str = pydantic.Field('n', description='a name')


class LoadTest(basecase.BaseCase):
    """Flags override variables, and all findings are reported together."""

    def load(self, arguments, environment):
        return settings.load(_TestSettings, 'p', 'p 1', arguments, environment)

    def test_flag_overrides_variable_and_variable_default(self):
        environment = {'ORIOLEFOLD_PORT': '3', 'ORIOLEFOLD_NAME': 'v'}
        self.assertEqual(self.load([], environment).port, 3)
        values = self.load(['--port=4'], environment)
        self.assertEqual((values.port, values.name), (4, 'v'))
        self.assertEqual(self.load(['--port', '5'], {}).name, 'n')

    def test_all_findings_name_their_source(self):
        environment = {'ORIOLEFOLD_PORT': 'many'}
        with self.assertRaises(errors.ConfigurationError) as caught:
            self.load(['--colour=red'], environment)
        texts = [str(finding) for finding in caught.exception.findings]
        self.assertEqual(len(texts), 2)
        self.assertIn('--colour=red: unknown flag', texts)
        self.assertTrue(any('ORIOLEFOLD_PORT' in text for text in texts))

    def test_missing_setting_names_flag_and_variable(self):
        with self.assertRaises(errors.ConfigurationError) as caught:
            self.load([], {})
        text = str(caught.exception.findings[0])
        self.assertIn('--port or ORIOLEFOLD_PORT', text)

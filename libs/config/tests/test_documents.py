"""Tests of oriolefold_config.documents."""

import pathlib

from oriolefold_config import documents, locations
from oriolefold_core import data, errors
from oriolefold_testbed import basecase

EXAMPLES = pathlib.Path(__file__).resolve().parents[3] / 'examples'

REGISTER = """\
regions:
  - id: r1
    zones: [{id: z1}, {id: z2}]
vms:
  - {id: vm1, zone: z1, ip: 127.0.0.1}
services:
  - id: stock
    keyed: true
    slots: 4
    connections: 100
    instances:
      - {id: s1, zone: z1, ip: 127.0.0.2, port: 80}
"""
RULES = 'rules: [{service: stock, key: {segment: 1}}]'

MISTAKES = """\
regions:
  - id: r1
    zones: [{id: z1}, {id: z1}]
vms:
  - {id: VM 1, zone: z9, ip: 127.0.0.1}
  - {id: vm2, zone: z9, ip: not-an-ip}
  - {id: vm3, zone: z1, ip: 127.0.0.3, caller_port: 70000}
services:
  - id: stock
    keyed: yes please
    slots: 0
    connections: 100
    colour: blue
    instances:
      - {id: s1, zone: z1, ip: 127.0.0.2}
      - {id: s1, zone: z1, ip: 127.0.0.2, port: "80"}
  - id: empty
    slots: 1
    connections: 1
    instances: []
"""


def parse(register, rules=RULES):
    return documents.Documents(
        locations.parse(register, 'register.yaml'),
        locations.parse(rules, 'rules.yaml'),
    )


class ValidateTest(basecase.BaseCase):
    """Valid documents become a configuration; all mistakes are reported."""

    def findings_of(self, register, rules=RULES):
        with self.assertRaises(errors.ConfigurationError) as caught:
            documents.validate(parse(register, rules))
        return [str(finding) for finding in caught.exception.findings]

    def test_valid_documents(self):
        configuration = documents.validate(parse(REGISTER), 5)
        self.assertEqual(configuration.version, 5)
        service = configuration.register.services_by_id['stock']
        self.assertEqual(service.instances_by_id['s1'].slots, 4)
        rule = configuration.rules_by_service_id['stock']
        self.assertIs(rule.key.source, data.KeySource.SEGMENT)

    def test_all_mistakes_are_reported_with_their_lines(self):
        found = self.findings_of(MISTAKES)
        self.assertGreaterEqual(len(found), 9)
        for line in (5, 6, 7, 10, 11, 13, 15, 16, 20):
            prefix = f'register.yaml:{line}:'
            self.assertTrue(
                any(text.startswith(prefix) for text in found),
                f'nothing for line {line} in {found}',
            )

    def test_references_are_checked(self):
        cases = [
            (
                REGISTER.replace('{id: z2}', '{id: z1}'),
                RULES,
                "'z1' is not unique",
            ),
            (
                REGISTER.replace(
                    'zone: z1, ip: 127.0.0.2', 'zone: zx, ip: 1.1.1.1'
                ),
                RULES,
                "zone 'zx'",
            ),
            (REGISTER, 'rules: []', 'has no rule'),
            (REGISTER, 'rules: [{service: stock}]', 'needs a key'),
            (REGISTER, RULES.replace('stock', 'other'), "no service 'other'"),
            (
                REGISTER,
                RULES.replace('segment: 1', 'segment: 1, header: X'),
                'exactly one',
            ),
        ]
        for register, rules, text in cases:
            with self.subTest(text=text):
                found = self.findings_of(register, rules)
                self.assertTrue(any(text in item for item in found), found)

    def test_invalid_yaml_is_reported_with_its_line(self):
        with self.assertRaises(errors.ConfigurationError) as caught:
            locations.parse('a: 1\nb: [1', 'x.yaml')
        self.assertIn('x.yaml:2', str(caught.exception.findings[0]))

    def test_duplicate_key_is_reported_with_its_line(self):
        with self.assertRaises(errors.ConfigurationError) as caught:
            locations.parse('a: 1\na: 2', 'x.yaml')
        self.assertIn('x.yaml:2: a:', str(caught.exception.findings[0]))

    def test_missing_files_are_reported_together(self):
        with self.assertRaises(errors.ConfigurationError) as caught:
            documents.read_folder('/nonexistent')
        self.assertEqual(len(caught.exception.findings), 2)

    def test_stored_form_round_trips(self):
        before = parse(REGISTER)
        after = documents.decode(documents.encode(before), 'store')
        self.assertEqual(
            documents.validate(before, 3), documents.validate(after, 3)
        )

    def test_malformed_stored_form_is_rejected(self):
        deep = b'[' * 100_000 + b']' * 100_000
        for content in (b'', b'[]', b'{"register": 1}', b'\xff', deep):
            with self.assertRaises(errors.ConfigurationError):
                documents.decode(content, 'store')

    def test_examples_are_valid(self):
        for name in ('qurum', 'ledeni-grozd'):
            folder = str(EXAMPLES / name)
            documents.validate(documents.read_folder(folder))

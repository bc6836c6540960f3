"""Tests of oriolefold_tool.checking and oriolefold_tool.registerformat."""

import contextlib
import io
import json
import pathlib
import tempfile

import hypothesis
import yaml
from hypothesis import strategies as st

from oriolefold_config import documents
from oriolefold_testbed import basecase
from oriolefold_tool import cmdline

REGISTER = """\
regions:
- {id: r1, zones: [{id: z1}]}
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
RULES = 'rules:\n- {service: stock, key: {segment: 1}}\n'
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda items: st.lists(items) | st.dictionaries(st.text(), items),
    max_leaves=8,
)
TEXTS = (
    st.text()
    | VALUES.map(yaml.safe_dump)
    | st.sampled_from(
        [
            '\x00',
            'a: 2020-13-45',
            '? [a]\n: 1',
            '!!int x',
        ]
    )
)


class CheckCommandTest(basecase.BaseCase):
    """Guards against crashes, and documents that the daemon would refuse."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def write(self, register=REGISTER, rules=RULES, name='new'):
        folder = self.folder / name
        folder.mkdir(exist_ok=True)
        for file, text in (('register.yaml', register), ('rules.yaml', rules)):
            content = text.encode('utf-8', 'surrogatepass')
            (folder / file).write_bytes(content)
        return str(folder)

    def run_check(self, *arguments):
        output, error_output = io.StringIO(), io.StringIO()
        code = 0
        with contextlib.redirect_stdout(output):
            with contextlib.redirect_stderr(error_output):
                try:
                    code = cmdline.main(['check', *arguments])
                except SystemExit as end:
                    code = end.code
        return code, output.getvalue()

    def test_each_issue(self):
        two_shards = RULES.replace('}\n', ', shards: 1}\n')
        second = '  - {id: s2, zone: z1, ip: 127.0.0.3, port: 80}\n'
        region = REGISTER.replace('vms:', '- {id: r2, zones: [{id: z2}]}\nvms:')
        few = REGISTER.replace('connections: 100', 'connections: 3')
        cases = [
            (
                REGISTER,
                RULES.replace('stock', 'x'),
                ':2: rules[0].service: error',
            ),
            (
                REGISTER + second,
                two_shards,
                ':2: rules[0].shards: never-matches',
            ),
            (region, RULES, ':3: regions[1]: never-matches'),
            (few, RULES, ':9: services[0].connections: contradiction'),
        ]
        self.assertEqual(self.run_check(self.write())[0], 0)
        for register, rules, expected in cases:
            code, output = self.run_check(self.write(register, rules))
            self.assertEqual(code, 1)
            self.assertIn(expected, output)

    def test_differences_have_lines_and_exit_with_1(self):
        before = self.write(name='old')
        after = self.write(
            REGISTER.replace('port: 80', 'port: 81'),
            RULES.replace('}\n', ', deadline_ms: 50}\n'),
        )
        code, output = self.run_check(after, f'--against={before}', '--json')
        found = json.loads(output)['findings']
        self.assertEqual(code, 1)
        self.assertEqual({f['kind'] for f in found}, {'difference'})
        self.assertEqual(
            [(f['line'], f['path']) for f in found],
            [
                (11, 'services[0].instances[0].address'),
                (2, 'rules[0].deadline_ms'),
            ],
        )
        self.assertEqual(self.run_check(before, f'--against={before}')[0], 0)

    def test_unreadable_documents_exit_with_2(self):
        before = self.write(name='old')
        for text in (
            '\x00',
            'a: 2020-13-45',
            '!!timestamp x',
            '[' * 3000,
            '&a [*a]',
        ):
            folder = self.write(text)
            self.assertEqual(self.run_check(folder)[0], 2, text[:9])
            code, _ = self.run_check(before, f'--against={folder}')
            self.assertEqual(code, 2, text[:9])

    @hypothesis.settings(deadline=None)
    @hypothesis.given(TEXTS | st.just(REGISTER), TEXTS | st.just(RULES))
    def test_generated_documents(self, register, rules):
        self.check_generated(register, rules)

    @hypothesis.settings(deadline=None)
    @hypothesis.given(
        st.sampled_from(['r1', 'z1', 'vm1', 'stock', 'true', '4', '80']), VALUES
    )
    def test_generated_values(self, replaced, value):
        text = yaml.safe_dump(value, default_flow_style=True, width=9999)
        text = text.removesuffix('...\n').strip()
        self.check_generated(REGISTER.replace(replaced, text, 1), RULES)

    def check_generated(self, register, rules):
        folder = self.write(register, rules)
        old = self.write(name='old')
        code, output = self.run_check(folder, f'--against={old}', '--json')
        self.assertIn(code, (0, 1, 2))
        if code == 2:
            return
        found = json.loads(output)['findings']
        if not any(finding['kind'] == 'error' for finding in found):
            stored = documents.encode(documents.read_folder(folder))
            documents.validate(documents.decode(stored, 'stored'))

"""Test that no decision depends on the time of day, which may jump."""

import ast
import pathlib

from oriolefold_testbed import basecase

ROOT = pathlib.Path(__file__).resolve().parents[2]
SOURCES = ('libs/*/src/**/*.py', 'platform/oriolefold_platform/*.py')
# Of module `time`: what reads, or waits for, the time of day.
WALL_NAMES = {'time', 'time_ns', 'localtime', 'gmtime', 'ctime', 'strftime'}
WALL_CLOCKS = {'CLOCK_REALTIME', 'CLOCK_TAI'}
WALL_MODULES = {'datetime', 'calendar'}


def wall_clock_uses(source: str) -> list[int]:
    """Returns the lines that use the time of day."""
    lines = []
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Attribute):
            owner = node.value
            if isinstance(owner, ast.Name) and owner.id == 'time':
                if node.attr in WALL_NAMES | WALL_CLOCKS:
                    lines.append(node.lineno)
        elif isinstance(node, ast.Import):
            if any(alias.name in WALL_MODULES for alias in node.names):
                lines.append(node.lineno)
        elif isinstance(node, ast.ImportFrom) and node.module in (
            WALL_MODULES | {'time'}
        ):
            lines.append(node.lineno)
    return lines


class ClockTest(basecase.BaseCase):
    """Leases, deadlines, ages and order of events use steady clocks only."""

    def test_no_source_uses_the_time_of_day(self):
        paths = [path for pattern in SOURCES for path in ROOT.glob(pattern)]
        self.assertGreater(len(paths), 100)
        found = [
            f'{path.relative_to(ROOT)}:{number}'
            for path in paths
            for number in wall_clock_uses(path.read_text('utf-8'))
        ]
        self.assertEqual(found, [])

    def test_uses_are_found(self):
        for source in (
            'import time\nnow = time.time()',
            'import datetime',
            'from time import time',
            'import time\ntime.clock_gettime(time.CLOCK_REALTIME)',
        ):
            self.assertTrue(wall_clock_uses(source), source)

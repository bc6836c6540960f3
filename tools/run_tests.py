"""Runs the tests of all libraries, or of those named as arguments.

The last line of the output is a summary. Each library is tested in a separate
process, so that its tests cannot depend on what those of another have imported.
A test that is listed in KNOWN-RED.txt may fail; it is printed, and it must be
removed from the list once it passes.
"""

import os
import pathlib
import subprocess
import sys
import tempfile
import xml.etree.ElementTree

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
HASH_SEED = '7'
LIBRARY_TIMEOUT_S = 1800


def read_known_failures() -> set[str]:
    """Returns the names of the tests listed as known to fail."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text('utf-8').splitlines()
    return {
        line.removeprefix('test:').strip()
        for line in lines
        if line.startswith('test:')
    }


def run_library(folder: pathlib.Path) -> dict:
    """Runs the tests in a folder and returns their results."""
    with tempfile.TemporaryDirectory() as scratch:
        report = pathlib.Path(scratch) / 'report.xml'
        subprocess.run(
            [
                *(sys.executable, '-m', 'nose2', '-s', folder, '-t', folder),
                *('--plugin', 'nose2.plugins.junitxml', '--junit-xml'),
                *('--junit-xml-path', report),
            ],
            cwd=ROOT,
            env=os.environ | {'PYTHONHASHSEED': HASH_SEED},
            timeout=LIBRARY_TIMEOUT_S,
            check=False,
        )
        if not report.exists():
            return {
                'ran': 1,
                'failed': [f'{folder}: no test report'],
                'skipped': 0,
            }
        return read_report(report)


def read_report(report: pathlib.Path) -> dict:
    """Returns the counts and the failed tests of a JUnit report."""
    cases = list(xml.etree.ElementTree.parse(report).getroot().iter('testcase'))
    failed = []
    skipped = 0
    for case in cases:
        if case.find('failure') is not None or case.find('error') is not None:
            failed.append(f'{case.get("classname")}.{case.get("name")}')
        skipped += case.find('skipped') is not None
    return {'ran': len(cases), 'failed': failed, 'skipped': skipped}


def main() -> int:
    """Runs the tests and returns the exit code."""
    names = sys.argv[1:]
    folders = sorted(ROOT.glob('libs/*/tests'))
    folders += [ROOT / 'platform' / 'tests', ROOT / 'testbed' / 'tests']
    if names:
        folders = [f for f in folders if f.parent.name in names]
    known_failures = read_known_failures()
    ran, skipped, failed = 0, 0, []
    for folder in folders:
        if not list(folder.glob('test_*.py')):
            continue
        print(f'--- {folder.parent.relative_to(ROOT)}', flush=True)
        result = run_library(folder)
        ran += result['ran']
        skipped += result['skipped']
        failed += result['failed']
    expected_failures = [name for name in failed if name in known_failures]
    unexpected_failures = [
        name for name in failed if name not in known_failures
    ]
    for name in expected_failures:
        print(f'known red: {name}')
    for name in unexpected_failures:
        print(f'failed: {name}')
    passed = ran - skipped - len(failed)
    print(
        f'{passed} passed, {len(unexpected_failures)} failed, {skipped} skipped'
    )
    return 1 if unexpected_failures or not ran else 0


if __name__ == '__main__':
    sys.exit(main())

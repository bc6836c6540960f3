"""Command line: runs benchmark suites and writes their result files."""

import asyncio
import sys

import fire

from measure import footprint_suite, ownership_suite, requests_suite

SUITES_BY_NAME = {
    suite.name: suite
    for suite in (
        requests_suite.RequestsSuite,
        ownership_suite.OwnershipSuite,
        footprint_suite.FootprintSuite,
    )
}


def main(suite: str = 'all') -> None:
    """Runs one suite, or all of them.

    Args:
        suite: Name of the suite, or `all`.
    """
    names = list(SUITES_BY_NAME) if suite == 'all' else [suite]
    unknown = [name for name in names if name not in SUITES_BY_NAME]
    if unknown:
        print(
            f'unknown suite {unknown[0]!r}; choose from: all, '
            f'{", ".join(SUITES_BY_NAME)}',
            file=sys.stderr,
        )
        sys.exit(2)
    for name in names:
        chosen = SUITES_BY_NAME[name]()
        try:
            asyncio.run(chosen.run())
        finally:
            print(f'written: {chosen.write()}')


if __name__ == '__main__':
    fire.Fire(main)

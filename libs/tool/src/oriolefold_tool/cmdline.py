"""Entry point and exit codes of the command-line tool."""

import sys
from collections.abc import Sequence

import fire

from oriolefold_core import errors
from oriolefold_tool import api, version

PROGRAM = 'oriolefold'
EXIT_FAILED = 1
EXIT_BAD_INPUT = 2


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs one command and returns the exit code of the process."""
    arguments = list(sys.argv[1:] if arguments is None else arguments)
    if arguments == ['--version']:
        print(f'{PROGRAM} {version.VERSION}')
        return 0
    try:
        fire.Fire(api.Tool, command=arguments, name=PROGRAM)
    except errors.ConfigurationError as error:
        for finding in error.findings:
            print(f'{PROGRAM}: {finding}', file=sys.stderr)
        return EXIT_BAD_INPUT
    except errors.OriolefoldError as error:
        print(f'{PROGRAM}: {error}', file=sys.stderr)
        return EXIT_FAILED
    except KeyboardInterrupt:
        return EXIT_FAILED
    return 0


if __name__ == '__main__':
    sys.exit(main())

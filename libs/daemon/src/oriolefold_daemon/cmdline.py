"""Command line of the daemon."""

import asyncio
import signal
import sys
from collections.abc import Sequence

from oriolefold_config import settings as settings_library
from oriolefold_core import errors
from oriolefold_daemon import application, settings, version
from oriolefold_gateway import stopsteps
from oriolefold_telemetry import logs

PROGRAM = 'oriolefoldd'
EXIT_CANNOT_LISTEN = 3


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the daemon and returns the exit code of the process."""
    try:
        values = settings_library.load(
            settings.DaemonSettings,
            PROGRAM,
            f'{PROGRAM} {version.VERSION}',
            arguments,
        )
    except errors.ConfigurationError as error:
        for finding in error.findings:
            print(f'{PROGRAM}: {finding}', file=sys.stderr)
        return settings_library.EXIT_BAD_SETTINGS
    output = None
    if values.log_file:
        output = open(values.log_file, 'a', encoding='utf-8')  # pylint: disable=consider-using-with
    logs.set_up(PROGRAM, values.vm_id, output)
    try:
        stopsteps.run(_run(values))
    except OSError as error:
        print(f'{PROGRAM}: cannot start: {error}', file=sys.stderr)
        return EXIT_CANNOT_LISTEN
    return 0


async def _run(values: settings.DaemonSettings) -> None:
    daemon = application.Application(values)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, daemon.request_stop)
    loop.add_signal_handler(signal.SIGHUP, _log_reload)
    await daemon.run()


def _log_reload() -> None:
    # Settings are flags and variables; the configuration comes from the store.
    # SIGHUP must not end the process, so it is just logged.
    logs.event('daemon.reload')


if __name__ == '__main__':
    sys.exit(main())

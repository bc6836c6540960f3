"""Structured logs: one JSON object a line, by eliot."""

import logging
import sys
from typing import TextIO

import eliot
from eliot import stdlib


def set_up(program: str, identity: str, output: TextIO | None = None) -> None:
    """Sends all log messages as JSON lines to an output.

    Args:
        program: Name of the program, put on each line.
        identity: VM or other name of this process, put on each line.
        output: Text stream; standard error by default.
    """
    eliot.add_global_fields(program=program, identity=identity)
    eliot.to_file(output or sys.stderr)
    root = logging.getLogger()
    root.handlers = [stdlib.EliotHandler()]
    root.setLevel(logging.WARNING)


def event(name: str, **fields: object) -> None:
    """Writes one message.

    Args:
        name: Kind of the message, such as `request.failed`.
        **fields: Values that JSON can hold.
    """
    eliot.log_message(message_type=name, **fields)

"""Structured logs: one JSON object a line, by eliot.

Writing never blocks and its volume is bounded: beyond a number of lines a
second, and while the reader of the output does not keep up, lines are left out
and counted.
"""

import logging
import os
import sys
import time
from typing import TextIO

import eliot
import msgspec
from eliot import stdlib

LINES_PER_S = 200.0
BURST_LINES = 400.0
REPORT_S = 1.0  # Least pause between reports of lines that were left out.


class _Output:
    """Destination of eliot messages."""

    def __init__(self, stream: TextIO):
        self._descriptor = stream.fileno()
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        self._left = BURST_LINES
        self._filled_at_s = time.monotonic()
        self._reported_at_s = 0.0
        self.omitted = 0
        os.set_blocking(self._descriptor, False)

    def __call__(self, message: dict) -> None:
        """Writes a message, or counts it as left out."""
        now_s = time.monotonic()
        passed_s = now_s - self._filled_at_s
        self._filled_at_s = now_s
        self._left = min(BURST_LINES, self._left + passed_s * LINES_PER_S)
        if self._left < 1:
            self.omitted += 1
            return
        self._left -= 1
        if self.omitted and now_s - self._reported_at_s > REPORT_S:
            message = message | {'omitted_before': self.omitted}
            self._reported_at_s = now_s
            self.omitted = 0
        try:
            os.write(self._descriptor, self._encoder.encode(message) + b'\n')
        except BlockingIOError:
            self.omitted += 1


def set_up(program: str, identity: str, output: TextIO | None = None) -> None:
    """Sends all log messages as JSON lines to an output.

    Args:
        program: Name of the program, put on each line.
        identity: VM or other name of this process, put on each line.
        output: Text stream; standard error by default.
    """
    eliot.add_global_fields(program=program, identity=identity)
    eliot.add_destinations(_Output(output or sys.stderr))
    root = logging.getLogger()
    root.handlers = [stdlib.EliotHandler()]
    root.setLevel(logging.WARNING)


def event(name: str, /, **fields: object) -> None:
    """Writes one message.

    Args:
        name: Kind of the message, such as `request.failed`.
        **fields: Values that JSON can hold.
    """
    eliot.log_message(message_type=name, **fields)

"""Structured logging with Eliot, one JSON object per line.

Writing never blocks, and a token bucket limits its rate. Lines beyond the rate
limit, or while the reader of the output is too slow, are omitted and counted.
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
REPORT_INTERVAL_S = 1.0  # Minimum time between reports of omitted lines.


class _Output:
    """Destination of Eliot messages with a token bucket as rate limit."""

    def __init__(self, stream: TextIO):
        self._descriptor = stream.fileno()
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        self._tokens = BURST_LINES
        self._refilled_at_s = time.monotonic()
        self._reported_at_s = 0.0
        self.omitted = 0
        os.set_blocking(self._descriptor, False)

    def __call__(self, message: dict) -> None:
        """Writes a message, or counts it as omitted."""
        now_s = time.monotonic()
        passed_s = now_s - self._refilled_at_s
        self._refilled_at_s = now_s
        self._tokens = min(BURST_LINES, self._tokens + passed_s * LINES_PER_S)
        if self._tokens < 1:
            self.omitted += 1
            return
        self._tokens -= 1
        if self.omitted and now_s - self._reported_at_s > REPORT_INTERVAL_S:
            message = message | {'omitted_before': self.omitted}
            self._reported_at_s = now_s
            self.omitted = 0
        try:
            os.write(self._descriptor, self._encoder.encode(message) + b'\n')
        except BlockingIOError:
            self.omitted += 1


def set_up(program: str, identity: str, output: TextIO | None = None) -> None:
    """Configures logging of all messages as JSON lines.

    Args:
        program: Name of the program, added to each line.
        identity: VM or other name of this process, added to each line.
        output: Text stream; standard error by default.
    """
    eliot.add_global_fields(program=program, identity=identity)
    eliot.add_destinations(_Output(output or sys.stderr))
    root = logging.getLogger()
    root.handlers = [stdlib.EliotHandler()]
    root.setLevel(logging.WARNING)


def event(name: str, /, **fields: object) -> None:
    """Logs an event.

    Args:
        name: Name of the event, such as `request.failed`.
        **fields: JSON-serializable values.
    """
    eliot.log_message(message_type=name, **fields)

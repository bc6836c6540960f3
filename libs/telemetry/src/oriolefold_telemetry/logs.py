"""Structured logging with Eliot, one JSON object per line.

Writing never blocks, and a token bucket limits its rate. Lines beyond the rate
limit, or while the reader of the output is too slow, are omitted and counted.
Lines about lost requests and about the process have a bucket of their own
beside it, and exceptions another one, so that frequent lines do not displace
rare ones.
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
RESERVED_LINES_PER_S = 20.0
RESERVED_BURST_LINES = 100.0
# Beginnings of the names of the lines that share a bucket beside the common
# one; those of `eliot:` report exceptions.
RESERVED_NAMES = (
    ('request.cut', 'daemon.', 'accept.failed', 'answer.unwritable'),
    ('eliot:',),
)
REPORT_INTERVAL_S = 1.0  # Minimum time between reports of omitted lines.


class _TokenBucket:
    """Rate limit that allows bursts."""

    def __init__(self, lines_per_s: float, burst_lines: float):
        self._lines_per_s = lines_per_s
        self._burst_lines = burst_lines
        self._tokens = burst_lines
        self._refilled_at_s = time.monotonic()

    def take(self, now_s: float) -> bool:
        """Takes a token, if there is one."""
        passed_s = now_s - self._refilled_at_s
        self._refilled_at_s = now_s
        self._tokens = min(
            self._burst_lines, self._tokens + passed_s * self._lines_per_s
        )
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class _Output:
    """Destination of Eliot messages with token buckets as rate limits."""

    def __init__(self, stream: TextIO):
        self._descriptor = stream.fileno()
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        self._bucket = _TokenBucket(LINES_PER_S, BURST_LINES)
        self._reserved_by_names = {
            names: _TokenBucket(RESERVED_LINES_PER_S, RESERVED_BURST_LINES)
            for names in RESERVED_NAMES
        }
        self._reported_at_s = 0.0
        self.omitted = 0
        os.set_blocking(self._descriptor, False)

    def __call__(self, message: dict) -> None:
        """Writes a message, or counts it as omitted."""
        now_s = time.monotonic()
        # The time of day may jump; this clock orders the lines of a VM.
        message = message | {
            'boot_s': round(time.clock_gettime(time.CLOCK_BOOTTIME), 4)
        }
        if not self._may_write(message, now_s):
            self.omitted += 1
            return
        if self.omitted and now_s - self._reported_at_s > REPORT_INTERVAL_S:
            message = message | {'omitted_before': self.omitted}
            self._reported_at_s = now_s
            self.omitted = 0
        try:
            os.write(self._descriptor, self._encoder.encode(message) + b'\n')
        except BlockingIOError:
            self.omitted += 1

    def _may_write(self, message: dict, now_s: float) -> bool:
        if self._bucket.take(now_s):
            return True
        name = message.get('message_type', '')
        return any(
            name.startswith(names) and reserved.take(now_s)
            for names, reserved in self._reserved_by_names.items()
        )


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

"""Stream to a caller that can be closed without losing what was written."""

import asyncio
import fcntl
import socket
import struct
import termios
from collections.abc import Callable

from tornado import ioloop, iostream

_LINE_ENDS = b'\r\n'


class CallerStream(iostream.IOStream):
    """Stream whose `close` ends only its output, once all of it is written.

    When a socket is closed while it has unread bytes, or gets bytes later, the
    kernel resets the connection, and the caller can lose an answer that it has
    not read yet. So the owner reads on after `close`, and then calls `abort`.
    A stream that has failed, or that the caller has closed, is closed at once.

    A caller that ends only its sending side looks like one that has left, until
    something is written. So output that has begun is written until that fails
    or stalls; without any, the end of the input closes the stream.

    Attributes:
        stalled: Whether it was closed since the caller took no more output.
        input_stopped: Whether no more is read, since the input is unreadable.
    """

    def __init__(
        self,
        connection: socket.socket,
        on_input: Callable[[], None],
        on_output_ended: Callable[[], None],
        is_between_requests: Callable[[], bool],
        owes_responses: Callable[[], bool],
    ):
        """Initializes the stream.

        Args:
            connection: The accepted socket.
            on_input: Called when bytes have arrived.
            on_output_ended: Called when all output has been written and the
                caller has been sent the end of the output.
            is_between_requests: Returns whether the bytes that arrive next
                belong to no request that has begun. Empty lines are dropped
                then (RFC 9112, section 2.2).
            owes_responses: Returns whether earlier requests wait for their
                responses, so that unreadable input must not end the stream.
        """
        super().__init__(connection)
        self._on_input = on_input
        self._on_output_ended = on_output_ended
        self._is_between_requests = is_between_requests
        self._owes_responses = owes_responses
        self._input_ended = False
        self._output_ended = False
        self._is_end_deferred = False
        self._sent_bytes = 0
        self._taken_bytes = -1
        self._taken_at_s = 0.0
        self._is_watched = False
        self.stalled = False
        self.input_stopped = False

    @property
    def output_ended(self) -> bool:
        """Whether nothing more may be written."""
        return self._output_ended

    @property
    def is_ending(self) -> bool:
        """Whether nothing more may be written, or the stream is closed."""
        return self._output_ended or self.closed()

    def reading(self) -> bool:
        """Returns whether bytes are waited for.

        The end of the input is read again once the output is written.
        """
        if self.input_stopped or (self._is_end_deferred and self.writing()):
            return False
        return super().reading()

    def has_unread_input(self) -> bool:
        """Returns whether bytes have arrived that were not read yet."""
        if self.closed():
            return False
        try:
            return bool(self.socket.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def skip_empty_lines(self) -> bool:
        """Drops empty lines that were read between two requests.

        Returns:
            Whether bytes of the next request were read, too.
        """
        unread = self._read_buffer
        if unread and unread[0] in _LINE_ENDS:
            self._consume(len(unread) - len(unread.lstrip(_LINE_ENDS)))
        return self._read_buffer_size > 0

    def read_from_fd(self, buf):
        """Reads bytes and reports that they have arrived."""
        size = super().read_from_fd(buf)
        if size and buf[0] in _LINE_ENDS and not self._read_buffer_size:
            if self._is_between_requests():
                size = _drop_empty_lines(buf, size) or None
        if size:
            self._on_input()
        elif size == 0:
            if self.writing():
                self._is_end_deferred = True
                return None
            self._input_ended = True
        return size

    def write(self, data):
        """Writes bytes.

        Raises:
            iostream.StreamClosedError: If the output has ended.
        """
        if self._output_ended:
            raise iostream.StreamClosedError
        return super().write(data)

    def write_to_fd(self, data):
        """Writes to the socket and counts what the kernel took."""
        size = super().write_to_fd(data)
        self._sent_bytes += size
        return size

    def is_delivering(self, stall_s: float) -> bool:
        """Returns whether the caller is still taking bytes from the kernel.

        Args:
            stall_s: Time in which it has to take a byte, counted from the
                first call, in seconds.
        """
        if self.closed():
            return False
        unacknowledged_bytes = _unacknowledged_bytes(self.socket)
        taken_bytes = self._sent_bytes - unacknowledged_bytes
        now_s = asyncio.get_running_loop().time()
        if taken_bytes > self._taken_bytes:
            self._taken_bytes = taken_bytes
            self._taken_at_s = now_s
        return unacknowledged_bytes > 0 and now_s - self._taken_at_s < stall_s

    def watch_output(self, limit_s: float) -> None:
        """Closes the stream if the caller stops taking its output.

        Acknowledged bytes are counted, since the kernel asks for more only
        after a large part of its buffer, which takes a slow caller long.

        Args:
            limit_s: Time in which the caller has to take a byte, in seconds.
        """
        if not self._is_watched:
            self._is_watched = True
            self._check_output(limit_s, -1)

    def _check_output(self, limit_s: float, taken_before: int) -> None:
        if self.closed() or not self.writing():
            self._is_watched = False
            return
        taken_bytes = self._sent_bytes - _unacknowledged_bytes(self.socket)
        if taken_bytes == taken_before:
            self.stalled = True
            self.abort()
            return
        asyncio.get_running_loop().call_later(
            limit_s, self._check_output, limit_s, taken_bytes
        )

    def close(self, exc_info=False):
        """Ends the output; after a failure, closes the stream.

        Input without an end of its head is not read any further; the stream is
        closed once the earlier requests have their responses.
        """
        is_endless = isinstance(exc_info, iostream.UnsatisfiableReadError)
        if is_endless and self._owes_responses():
            self._stop_reading()
        elif exc_info or self._input_ended:
            self._close_now(exc_info)
        elif not self._output_ended and not self.closed():
            written = super().write(b'')
            self._output_ended = True
            if written.done():
                self._shut_down()
            else:
                written.add_done_callback(lambda _: self._shut_down())

    def abort(self) -> None:
        """Closes the stream at once; what is not written yet is lost."""
        super().close()

    def _stop_reading(self) -> None:
        self.input_stopped = True
        if self._state is not None:
            self._state &= ~ioloop.IOLoop.READ
            self.io_loop.update_handler(self.socket, self._state)

    def _shut_down(self) -> None:
        if self.closed():
            return
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError as error:
            self._close_now(error)
            return
        self._on_output_ended()

    def _close_now(self, exc_info) -> None:
        super().close(exc_info)
        if self.error is not None:
            # Its frames refer to the answer that was being written.
            self.error.__traceback__ = None


def _drop_empty_lines(buf: bytearray | memoryview, size: int) -> int:
    """Removes leading line ends from a buffer and returns the size left."""
    kept = bytes(buf[:size]).lstrip(_LINE_ENDS)
    buf[: len(kept)] = kept
    return len(kept)


def _unacknowledged_bytes(connected: socket.socket) -> int:
    """Returns how many written bytes the peer has not acknowledged.

    Returns 0 where the socket cannot tell; then what the kernel took counts.
    """
    buffer = struct.pack('i', 0)
    try:
        found = fcntl.ioctl(connected.fileno(), termios.TIOCOUTQ, buffer)
    except OSError:
        return 0
    return struct.unpack('i', found)[0]

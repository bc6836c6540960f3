"""Accepts connections, and pauses while that fails."""

import asyncio
import socket
from collections.abc import Callable, Iterable

from tornado import httpserver, iostream, netutil

from oriolefold_core import data
from oriolefold_telemetry import logs

MAX_QUEUED_CONNECTIONS = 1024  # Held by the kernel until they are accepted.
BATCH_CONNECTIONS = 128  # Accepted before others have their turn.
PAUSE_S = 0.5  # After an error, such as a lack of descriptors.


class Acceptor:
    """Owns listening sockets and accepts their connections.

    A socket stays readable while a connection waits that cannot be accepted.
    So it is not watched for a while then, in which the event loop would not
    wait.
    """

    def __init__(
        self,
        listening: Iterable[socket.socket],
        on_accepted: Callable[[socket.socket], None],
    ):
        """Initializes the acceptor; `start` begins to accept.

        Args:
            listening: Listening sockets that do not block.
            on_accepted: Called with each accepted socket.
        """
        self._listening = tuple(listening)
        self._on_accepted = on_accepted
        self._loop = asyncio.get_running_loop()
        self._pause: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begins to accept connections."""
        self._pause = None
        for listening in self._listening:
            self._loop.add_reader(listening, self._on_readable, listening)

    def stop(self) -> None:
        """Accepts the connections that the kernel has queued, then no more."""
        self._unwatch()
        for listening in self._listening:
            self._accept(listening, MAX_QUEUED_CONNECTIONS + 1)
            listening.close()
        self._listening = ()

    def _unwatch(self) -> None:
        if self._pause is not None:
            self._pause.cancel()
        for listening in self._listening:
            self._loop.remove_reader(listening)

    def _on_readable(self, listening: socket.socket) -> None:
        if not self._accept(listening, BATCH_CONNECTIONS):
            self._unwatch()
            self._pause = self._loop.call_later(PAUSE_S, self.start)

    def _accept(self, listening: socket.socket, most: int) -> bool:
        """Accepts connections and returns whether that did not fail."""
        for _ in range(most):
            try:
                accepted, _address = listening.accept()
            except BlockingIOError:
                break
            except ConnectionAbortedError:
                continue
            except OSError as error:
                logs.event('accept.failed', error=repr(error))
                return False
            self._on_accepted(accepted)
        return True


def serve(server: httpserver.HTTPServer, address: data.Address) -> Acceptor:
    """Listens on an address and passes the connections to a server.

    Raises:
        OSError: If listening on the address fails.
    """
    acceptor = Acceptor(
        netutil.bind_sockets(address.port, address.host),
        lambda accepted: server.handle_stream(
            iostream.IOStream(accepted), address=None
        ),
    )
    acceptor.start()
    return acceptor

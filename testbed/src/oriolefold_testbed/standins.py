"""What all stand-ins share."""

import asyncio
import contextlib
from collections.abc import Callable

from tornado import httpserver, web


class StandIn:
    """A web application that plays a part of the platform."""

    def __init__(self, handlers_by_path: dict[str, type]):
        """Makes the application.

        Args:
            handlers_by_path: Handler classes, which get the stand-in.
        """
        self.application = web.Application(
            [
                (path, handler, {'stand_in': self})
                for path, handler in handlers_by_path.items()
            ],
            log_function=lambda handler: None,
        )
        self._server: httpserver.HTTPServer | None = None

    def make_server(self) -> httpserver.HTTPServer:
        """Returns the server to listen with."""
        return httpserver.HTTPServer(self.application)

    def start(self, host: str, port: int) -> None:
        """Opens the listening socket."""
        self._server = self.make_server()
        self._server.listen(port, host, backlog=1024)

    async def stop(self) -> None:
        """Closes all connections."""
        self._server.stop()
        await self._server.close_all_connections()


def run_until_interrupted(start: Callable[[], None]) -> None:
    """Runs an event loop, started by a function, until it is interrupted."""

    async def run() -> None:
        start()
        await asyncio.Event().wait()

    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(run())

"""Base class and main loop of the stand-ins."""

import asyncio
import contextlib
from collections.abc import Callable

from tornado import httpserver, web

from oriolefold_core import results


class Handler(web.RequestHandler):
    """Request handler whose answers name the calls that they belong to."""

    def set_default_headers(self) -> None:
        """Echoes the ID of the call."""
        call_id = self.request.headers.get(results.CALL_ID_HEADER)
        if call_id is not None:
            self.set_header(results.CALL_ID_HEADER, call_id)


class StandIn:
    """Test double of a part of the platform, as a web application."""

    def __init__(self, handlers_by_path: dict[str, type]):
        """Initializes the web application.

        Args:
            handlers_by_path: Handler classes by URL pattern; each handler is
                initialized with the stand-in.
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
        """Returns the HTTP server of the application."""
        return httpserver.HTTPServer(self.application)

    def start(self, host: str, port: int) -> None:
        """Opens the listening socket."""
        self._server = self.make_server()
        self._server.listen(port, host, backlog=1024)

    async def stop(self) -> None:
        """Stops listening and closes all connections."""
        self._server.stop()
        await self._server.close_all_connections()


def run_until_interrupted(start: Callable[[], None]) -> None:
    """Calls `start` in an event loop and runs the loop until interrupted."""

    async def run() -> None:
        start()
        await asyncio.Event().wait()

    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(run())

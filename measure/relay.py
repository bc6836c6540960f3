"""Baseline: a relay that does nothing but forward requests.

It is a minimal reverse proxy made of the HTTP server and the curl client of
Tornado.
"""

import asyncio
import itertools

import fire
from tornado import curl_httpclient, httpclient, web


class _RelayHandler(web.RequestHandler):
    """Forwards requests to the servers in turn (round robin)."""

    def initialize(self, client, servers):
        """Stores the client and the servers."""
        self._client = client
        self._servers = servers

    async def get(self):
        """Forwards one request and returns its response."""
        response = await self._client.fetch(
            httpclient.HTTPRequest(
                f'http://{next(self._servers)}{self.request.uri}',
                headers=self.request.headers,
                follow_redirects=False,
            ),
            raise_error=False,
        )
        self.set_status(response.code)
        for name, value in response.headers.get_all():
            if name not in ('Content-Length', 'Transfer-Encoding'):
                self.set_header(name, value)
        self.finish(response.body)


def main(ip: str, port: int, servers: str) -> None:
    """Runs the relay until it is terminated.

    Args:
        ip: IP address to listen on.
        port: Port to listen on.
        servers: Comma-separated IP:PORT of the servers.
    """

    async def run() -> None:
        client = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=1024
        )
        shared = {
            'client': client,
            'servers': itertools.cycle(servers.split(',')),
        }
        application = web.Application(
            [('/.*', _RelayHandler, shared)],
            log_function=lambda handler: None,
        )
        application.listen(port, ip)
        await asyncio.Event().wait()

    asyncio.run(run())


if __name__ == '__main__':
    fire.Fire(main)

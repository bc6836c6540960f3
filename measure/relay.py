"""Baseline: a bare relay of tornado's server and curl client."""

import asyncio
import itertools

import fire
from tornado import curl_httpclient, httpclient, web


class _RelayHandler(web.RequestHandler):
    """Sends each request on to the next server."""

    def initialize(self, client, servers):
        """Takes the client and the servers."""
        self._client = client
        self._servers = servers

    async def get(self):
        """Relays one request."""
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
    """Runs the relay until it is ended.

    Args:
        ip: IP number to listen on.
        port: Port to listen on.
        servers: IP:PORT of the servers, separated by commas.
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

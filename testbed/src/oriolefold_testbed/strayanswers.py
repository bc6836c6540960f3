"""HTTP server that writes answers where another one is due."""

import asyncio
import dataclasses

from oriolefold_core import data, results

EXTRA_LEAD_S = 0.1  # By how much an extra answer comes before the true one.
OTHER_CALL_ID = 'other'


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An answer without its call ID.

    Attributes:
        status: Status code.
        body: The body.
        headers: Further header lines.
    """

    status: int = 200
    body: bytes = b''
    headers: tuple[str, ...] = ()

    def encode(self, call_id: str | None) -> bytes:
        """Returns the answer to a call, or one that names no call."""
        lines = [f'HTTP/1.1 {self.status} X', *self.headers]
        lines.append(f'Content-Length: {len(self.body)}')
        if call_id is not None:
            lines.append(f'{results.CALL_ID_HEADER}: {call_id}')
        return '\r\n'.join([*lines, '', '']).encode() + self.body


class StrayAnswerServer:
    """Gives each request the same answer, and one request an extra one before.

    Attributes:
        truth: The answer to each request.
        names_calls: Whether true answers return the call ID.
        extra: Answer that is written once, after the next request was read
            and before its true answer; None for no extra answer.
        extra_call_id: ID of the call that the extra answer names, or None.
        request_heads: Heads of the requests so far.
        connections: Number of connections so far.
        open_connections: Number of connections that are open.
    """

    def __init__(self, truth: Answer):
        self.truth = truth
        self.names_calls = True
        self.extra: Answer | None = None
        self.extra_call_id: str | None = None
        self.request_heads: list[str] = []
        self.connections = 0
        self.open_connections = 0
        self._server: asyncio.Server | None = None

    async def start(self, address: data.Address) -> None:
        """Opens the listening socket."""
        self._server = await asyncio.start_server(
            self._serve, address.host, address.port
        )

    def close(self) -> None:
        """Closes the listening socket."""
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        self.open_connections += 1
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                headers_by_name = _headers_by_name(head)
                await reader.readexactly(
                    int(headers_by_name.get('content-length', '0'))
                )
                self.request_heads.append(head)
                if self.extra is not None:
                    extra, self.extra = self.extra, None
                    writer.write(extra.encode(self.extra_call_id))
                    await asyncio.sleep(EXTRA_LEAD_S)
                call_id = headers_by_name.get(results.CALL_ID_HEADER.lower())
                writer.write(
                    self.truth.encode(call_id if self.names_calls else None)
                )
        except (EOFError, ConnectionError):
            pass
        finally:
            self.open_connections -= 1
            writer.close()


def _headers_by_name(head: str) -> dict[str, str]:
    pairs = (line.partition(':') for line in head.split('\r\n')[1:])
    return {name.lower(): value.strip() for name, _, value in pairs}

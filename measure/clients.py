"""Closed-loop HTTP load generator: one request at a time on each connection.

With a rate, latencies count from the time at which a request was due, so that
a slow server does not hide the requests it delays (coordinated omission).

It uses asyncio streams without an HTTP library, so that it is cheap enough not
to be the bottleneck of a measurement.
"""

import asyncio
import dataclasses
import itertools
import time

import fire

from oriolefold_telemetry import latency as telemetry_latency


@dataclasses.dataclass(slots=True)
class Result:
    """Result of a run.

    Attributes:
        answered: Number of responses with status 200.
        failed: Number of responses with another status and of lost connections.
        took_s: Duration of the run.
        latency: Latencies of the responses with status 200, each counted from
            the time at which its request was due.
    """

    answered: int = 0
    failed: int = 0
    took_s: float = 0.0
    latency: telemetry_latency.LatencyHistogram = dataclasses.field(
        default_factory=telemetry_latency.LatencyHistogram
    )

    @property
    def rate_per_s(self) -> float:
        """Responses with status 200 per second."""
        return self.answered / self.took_s


async def run(
    host: str,
    port: int,
    targets: list[str],
    connections: int,
    duration_s: float,
    rate_per_s: float | None = None,
) -> Result:
    """Sends GET requests over a number of connections.

    Args:
        host: IP address of the server.
        port: Port of the server.
        targets: Paths to request in turn.
        connections: Number of connections, each with one request at a time.
        duration_s: Duration of the run.
        rate_per_s: Total request rate of all connections; None for no limit.
    """
    result = Result()
    paths = itertools.cycle(targets)
    pacer = _Pacer(rate_per_s)
    started_s = time.perf_counter()
    ends_s = started_s + duration_s
    await asyncio.gather(
        *(
            _run_connection(host, port, paths, ends_s, pacer, result)
            for _ in range(connections)
        )
    )
    result.took_s = time.perf_counter() - started_s
    return result


class _Pacer:
    """Schedules requests at a fixed rate, or at once without a rate."""

    def __init__(self, rate_per_s: float | None):
        self._interval_s = 1 / rate_per_s if rate_per_s else 0.0
        self._due_s = time.perf_counter()

    async def wait(self) -> float:
        """Waits until the next request is due and returns that time."""
        if not self._interval_s:
            return time.perf_counter()
        due_s = self._due_s
        self._due_s += self._interval_s
        wait_s = due_s - time.perf_counter()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        return due_s


async def _run_connection(host, port, paths, ends_s, pacer, result) -> None:
    while time.perf_counter() < ends_s:
        reader, writer = await asyncio.open_connection(host, port)
        try:
            await _run_requests(
                reader, writer, host, paths, ends_s, pacer, result
            )
        except (OSError, EOFError):
            result.failed += 1
        finally:
            writer.close()


async def _run_requests(
    reader, writer, host, paths, ends_s, pacer, result
) -> None:
    while time.perf_counter() < ends_s:
        due_s = await pacer.wait()
        head = f'GET {next(paths)} HTTP/1.1\r\nHost: {host}\r\n\r\n'
        writer.write(head.encode())
        response_head = await reader.readuntil(b'\r\n\r\n')
        length = _content_length(response_head)
        if length:
            await reader.readexactly(length)
        if response_head.startswith(b'HTTP/1.1 200'):
            result.answered += 1
            result.latency.record_s(time.perf_counter() - due_s)
        else:
            result.failed += 1


def _content_length(head: bytes) -> int:
    for line in head.split(b'\r\n'):
        if line[:15].lower() == b'content-length:':
            return int(line[15:])
    return 0


def main(
    host: str,
    port: int,
    targets: str,
    connections: int = 32,
    duration_s: float = 4.0,
    rate_per_s: float = 0.0,
) -> None:
    """Runs the load generator and prints the result on one line.

    The line holds the rate of responses with status 200, the number of failed
    requests, and the 50th and 99th percentile of the latency in milliseconds.
    """
    result = asyncio.run(
        run(
            host,
            port,
            targets.split(','),
            connections,
            duration_s,
            rate_per_s or None,
        )
    )
    print(
        result.rate_per_s,
        result.failed,
        result.latency.percentile_ms(50),
        result.latency.percentile_ms(99),
    )


if __name__ == '__main__':
    fire.Fire(main)

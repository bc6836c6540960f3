"""Reports of load between entry VMs, over HTTP."""

import msgspec

from oriolefold_core import data, errors
from oriolefold_direct import messages, ports
from oriolefold_http import connections

REPORT_PATH = '/load'
REPORT_TIMEOUT_S = 0.5  # A report that is late is of little use.
MAX_ANSWER_BYTES = 4096
NO_CONTENT = 204


class _Report(msgspec.Struct, forbid_unknown_fields=True):
    service_id: str
    keys: list[int]


class HttpPeers(ports.Peers):
    """Posts reports to the status server of another VM."""

    def __init__(self):
        self._pool = connections.Pool(MAX_ANSWER_BYTES)

    async def report(self, address: str, report: messages.LoadReported) -> None:
        """Reports load to the VM at an address."""
        host, _, port = address.rpartition(':')
        body = msgspec.json.encode(
            _Report(report.service_id, list(report.keys))
        )
        outgoing = connections.Outgoing('POST', REPORT_PATH, [], body)
        answer = await self._pool.exchange(
            data.Address(host, int(port)),
            outgoing,
            REPORT_TIMEOUT_S,
            REPORT_TIMEOUT_S,
        )
        if answer.status != NO_CONTENT:
            raise errors.ProtocolError(f'the peer answered {answer.status}')

    def close(self) -> None:
        """Closes the kept connections."""
        self._pool.close()


def read_report(body: bytes) -> messages.LoadReported:
    """Returns the report in the body of a request.

    Raises:
        ProtocolError: If the body is no report.
    """
    try:
        found = msgspec.json.decode(body, type=_Report)
    except msgspec.MsgspecError as error:
        raise errors.ProtocolError(f'not a report of load: {error}') from error
    return messages.LoadReported(found.service_id, tuple(found.keys))

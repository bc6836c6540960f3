"""Reports of load between entry VMs, over HTTP."""

import msgspec

from oriolefold_core import data, errors
from oriolefold_direct import messages, ports
from oriolefold_http import connections

REPORT_PATH = '/load'
REPORT_TIMEOUT_S = 0.5  # A report that is late is of little use.
MAX_ANSWER_BYTES = 65536
OK = 200


class _Report(msgspec.Struct, forbid_unknown_fields=True):
    vm_id: str
    service_id: str
    keys: list[int]
    times_by_id: dict[str, float] = {}


class HttpPeers(ports.Peers):
    """Posts reports to the status server of another VM."""

    def __init__(self):
        self._pool = connections.Pool(MAX_ANSWER_BYTES)

    async def report(
        self, address: str, report: messages.LoadReported
    ) -> dict[str, float]:
        """Reports load to the VM at an address."""
        host, _, port = address.rpartition(':')
        body = msgspec.json.encode(
            _Report(
                report.vm_id,
                report.service_id,
                list(report.seen.keys),
                report.seen.times_by_id,
            )
        )
        outgoing = connections.Outgoing('POST', REPORT_PATH, [], body)
        answer = await self._pool.exchange(
            data.Address(host, int(port)),
            outgoing,
            REPORT_TIMEOUT_S,
            REPORT_TIMEOUT_S,
        )
        if answer.status != OK:
            raise errors.ProtocolError(f'the peer answered {answer.status}')
        return _decode(answer.body, dict[str, float])

    def close(self) -> None:
        """Closes the kept connections."""
        self._pool.close()


def read_report(body: bytes) -> messages.LoadReported:
    """Returns the report in the body of a request.

    Raises:
        ProtocolError: If the body is no report.
    """
    found = _decode(body, _Report)
    seen = messages.SeenLoad(tuple(found.keys), found.times_by_id)
    return messages.LoadReported(found.vm_id, found.service_id, seen)


def shares_text(shares_by_id: dict[str, float]) -> bytes:
    """Returns the answer to a report."""
    return msgspec.json.encode(shares_by_id)


def _decode(body: bytes, model):
    try:
        return msgspec.json.decode(body, type=model)
    except msgspec.MsgspecError as error:
        raise errors.ProtocolError(f'unreadable load: {error}') from error

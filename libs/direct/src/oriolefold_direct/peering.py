"""Reports of load and changes of stored objects between VMs, over HTTP."""

import msgspec

from oriolefold_core import data, errors
from oriolefold_direct import messages, ports
from oriolefold_http import connections
from oriolefold_store import ports as store_ports

REPORT_PATH = '/load'
CHANGES_PATH = '/changes'
CHANGES_TIMEOUT_S = 1.4  # The other VM waits for 1 s for changes.
REPORT_TIMEOUT_S = 0.5  # A report that is late is of little use.
MAX_ANSWER_BYTES = 4 * 1024 * 1024
OK = 200


class _Report(msgspec.Struct, forbid_unknown_fields=True):
    vm_id: str
    service_id: str
    keys: list[int]
    times_by_id: dict[str, float] = {}


class _Stored(msgspec.Struct, array_like=True):
    name: str
    version: int
    content: msgspec.Raw


class _Changes(msgspec.Struct, forbid_unknown_fields=True):
    revision: int
    objects: list[_Stored] = []
    removed: list[str] = []
    complete: bool = False


class HttpPeers(ports.Peers):
    """Posts reports to the status server of another VM."""

    def __init__(self):
        self._pool = connections.Pool(MAX_ANSWER_BYTES)

    async def report(
        self, address: str, report: messages.LoadReported
    ) -> dict[str, float]:
        """Reports load to the VM at an address."""
        body = msgspec.json.encode(
            _Report(
                report.vm_id,
                report.service_id,
                list(report.seen.keys),
                report.seen.times_by_id,
            )
        )
        answer = await self._call(address, REPORT_PATH, body, REPORT_TIMEOUT_S)
        return _decode(answer, dict[str, float])

    async def changes(
        self, address: str, revisions_by_prefix: dict[str, int]
    ) -> dict[str, store_ports.Changes]:
        """Waits for changes of stored objects that another VM has read."""
        body = msgspec.json.encode(revisions_by_prefix)
        answer = await self._call(
            address, CHANGES_PATH, body, CHANGES_TIMEOUT_S
        )
        found = _decode(answer, dict[str, _Changes])
        return {
            prefix: store_ports.Changes(
                changes.revision,
                tuple(
                    store_ports.StoredObject(
                        stored.name, stored.version, bytes(stored.content)
                    )
                    for stored in changes.objects
                ),
                tuple(changes.removed),
                changes.complete,
            )
            for prefix, changes in found.items()
        }

    async def _call(
        self, address: str, path: str, body: bytes, timeout_s: float
    ) -> bytes:
        host, _, port = address.rpartition(':')
        answer = await self._pool.exchange(
            data.Address(host, int(port)),
            connections.Outgoing('POST', path, [], body),
            timeout_s,
            REPORT_TIMEOUT_S,
        )
        if answer.status != OK:
            raise errors.ProtocolError(f'the peer answered {answer.status}')
        return answer.body

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


def read_revisions(body: bytes) -> dict[str, int]:
    """Returns the revisions in the body of a request for changes.

    Raises:
        ProtocolError: If the body is no such request.
    """
    return _decode(body, dict[str, int])


def changes_text(found: dict[str, store_ports.Changes]) -> bytes:
    """Returns the answer to a request for changes."""
    return msgspec.json.encode(
        {
            prefix: _Changes(
                changes.revision,
                [
                    _Stored(o.name, o.version, msgspec.Raw(o.content))
                    for o in changes.objects
                ],
                list(changes.removed_names),
                changes.complete,
            )
            for prefix, changes in found.items()
        }
    )


def _decode(body: bytes, model):
    try:
        return msgspec.json.decode(body, type=model)
    except msgspec.MsgspecError as error:
        raise errors.ProtocolError(f'unreadable load: {error}') from error

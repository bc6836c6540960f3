"""Reports of load and changes of stored objects between VMs, over HTTP."""

import zlib

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
LEAST_PACKED_BYTES = 400  # Shorter texts gain nothing from compression.
PACKING_LEVEL = 6  # Takes 2 ms for 100 kB, a tenth of the time on 50 Mbit/s.
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


class _Poll(msgspec.Struct, forbid_unknown_fields=True):
    asker: messages.Asker
    revisions: dict[str, int]


class _Told(msgspec.Struct, forbid_unknown_fields=True):
    changes: dict[str, _Changes] = {}
    told_at_s: float = 0.0
    contact_at_s: float = 0.0
    relay_address: str = ''


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
        self,
        address: str,
        asker: messages.Asker,
        revisions_by_prefix: dict[str, int],
    ) -> messages.Told:
        """Waits for changes of stored objects that another VM has read."""
        body = msgspec.json.encode(_Poll(asker, revisions_by_prefix))
        answer = await self._call(
            address, CHANGES_PATH, body, CHANGES_TIMEOUT_S
        )
        told = _decode(_unpacked(answer), _Told)
        changes_by_prefix = {
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
            for prefix, changes in told.changes.items()
        }
        return messages.Told(
            changes_by_prefix,
            told.told_at_s,
            told.contact_at_s,
            told.relay_address,
        )

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


def read_poll(body: bytes) -> tuple[messages.Asker, dict[str, int]]:
    """Returns who asks for changes and the revisions that it knows.

    Raises:
        ProtocolError: If the body is no such request.
    """
    found = _decode(body, _Poll)
    return found.asker, found.revisions


def told_text(told: messages.Told) -> bytes:
    """Returns the answer to a request for changes."""
    changes = {
        prefix: _Changes(
            changes.revision,
            [
                _Stored(o.name, o.version, msgspec.Raw(o.content))
                for o in changes.objects
            ],
            list(changes.removed_names),
            changes.complete,
        )
        for prefix, changes in told.changes_by_prefix.items()
    }
    text = msgspec.json.encode(
        _Told(changes, told.told_at_s, told.contact_at_s, told.relay_address)
    )
    if len(text) < LEAST_PACKED_BYTES:
        return text
    return zlib.compress(text, PACKING_LEVEL)


def _unpacked(body: bytes) -> bytes:
    """Returns a text that may have been compressed."""
    if body.startswith(b'{'):
        return body
    unpacking = zlib.decompressobj()
    try:
        text = unpacking.decompress(body, MAX_ANSWER_BYTES)
    except zlib.error as error:
        raise errors.ProtocolError(f'unreadable changes: {error}') from error
    if not unpacking.eof:
        raise errors.ProtocolError('unreadable changes: cut short or too long')
    return text


def _decode(body: bytes, model):
    try:
        return msgspec.json.decode(body, type=model)
    except msgspec.MsgspecError as error:
        raise errors.ProtocolError(f'unreadable load: {error}') from error

"""HTTP protocol between VMs: load reports, change feed polls, ends of terms."""

import re
import secrets
import zlib
from typing import Annotated, TypeVar

import msgspec

from oriolefold_coordination import leaderelection
from oriolefold_core import bytebudget, data, errors, results
from oriolefold_direct import documents, messages, ports
from oriolefold_http import connections, exchanges, matching
from oriolefold_store import ports as store_ports
from oriolefold_store import salvage
from oriolefold_telemetry import logs

REPORT_PATH = '/load'
# Asks for a reply with granted ranges. Leaders of earlier versions ignore it,
# and VMs of earlier versions, which read only shares, do not send it.
GRANTED_QUERY = 'granted'
# Also reads which part of the requests is admitted. Leaders of earlier versions
# reply to it with shares only.
ADMISSIONS_QUERY = 'granted&admitted'
CHANGES_PATH = '/changes'
END_TERMS_PATH = '/end-terms'
CALL_ID_BYTES = 8
CHANGES_TIMEOUT_S = 1.4  # The peer holds a poll for up to 1 s.
REPORT_TIMEOUT_S = 0.5  # A late report is of little use.
END_TERMS_TIMEOUT_S = 1.0  # The peer waits for its grants in flight.
MAX_ANSWER_BYTES = 4 * 1024 * 1024
MIN_COMPRESSED_BYTES = 400  # Smaller replies gain nothing from compression.
# 100 kB take 2 ms, a tenth of their transfer time at 50 Mbit/s.
COMPRESSION_LEVEL = 6
OK = 200
UNAVAILABLE = 503
# The reply, its prefixes, their changes, the objects, and the parts of each.
CHANGES_LEVELS = 5
MAX_SERVICE_TIME_S = 3600.0
MAX_COLD_IDS = 64  # Several times what a VM of this version sends.
MAX_PERMITS = 1000  # For one instance in one reply.
_ADDRESS = re.compile(r'(.+):([0-9]{1,5})')
_Model = TypeVar('_Model')
_ServiceTime = Annotated[float, msgspec.Meta(gt=0, le=MAX_SERVICE_TIME_S)]
_Permits = Annotated[int, msgspec.Meta(ge=0, le=MAX_PERMITS)]
# Sums of shares are rounded.
_Share = Annotated[float, msgspec.Meta(ge=0, le=1.001)]


# Leaders of earlier versions reject a report with leaving or cold instances, so
# their fields are left out of the others.
class _Report(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    vm_id: str
    service_id: str
    keys: list[documents.Key]
    times_by_id: dict[str, _ServiceTime] = {}
    leaving_by_id: dict[str, documents.Counter] = {}
    cold_ids: Annotated[list[str], msgspec.Meta(max_length=MAX_COLD_IDS)] = []
    needs_short_queues: bool = False


# VMs of earlier versions reject a reply with permits. They do not ask for any.
class _LoadReply(
    msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True
):
    shares_by_id: dict[str, _Share]
    map_version: documents.Counter = 0
    granted: list[tuple[documents.Key, documents.Key, documents.Counter]] = []
    permits_by_id: dict[str, _Permits] = {}
    # Only for VMs that asked by `ADMISSIONS_QUERY`.
    short_queues: bool = False
    admitted_by_id: dict[str, _Share] = {}


class _EndTerms(msgspec.Struct, forbid_unknown_fields=True):
    service_id: str
    version: documents.Counter


class _TermsEnded(msgspec.Struct, forbid_unknown_fields=True):
    vm_id: str
    incarnation: str
    version: documents.Counter


class _Stored(msgspec.Struct, array_like=True):
    name: str
    version: documents.Counter
    content: msgspec.Raw


class _Changes(msgspec.Struct, forbid_unknown_fields=True):
    revision: documents.Counter
    objects: list[msgspec.Raw] = []  # Of `_Stored`, decoded one by one.
    removed: list[str] = []
    complete: bool = False


class _Poll(msgspec.Struct, forbid_unknown_fields=True):
    asker: messages.Follower
    revisions: dict[str, documents.Counter]


class _ChangesReply(
    msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True
):
    changes: dict[str, _Changes] = {}
    told_at_s: float = 0.0
    contact_at_s: float = 0.0
    relay_address: str = ''
    # Unknown to VMs of earlier versions, which then watch the store. They would
    # compare revisions without eras.
    era: int = 0
    held_s: float | None = None  # Unknown to them, too; see `Follower`.


class HttpPeers(ports.Peers):
    """Client of the status servers of other VMs."""

    def __init__(self, budget: bytebudget.ByteBudget | None = None):
        """Initializes the client.

        Args:
            budget: Budget of the bytes of all responses; by default this
                client has its own.
        """
        self._pool = connections.ConnectionPool(
            MAX_ANSWER_BYTES, budget=budget, essential=True
        )

    async def report(
        self, address: str, report: messages.LoadReport
    ) -> messages.LoadReply:
        """Sends a load report to the leader at an address."""
        body = msgspec.json.encode(
            _Report(
                report.vm_id,
                report.service_id,
                list(report.load.keys),
                report.load.times_by_id,
                report.load.leaving_by_id,
                list(report.load.cold_ids),
                report.load.needs_short_queues,
            )
        )
        answer = await self._call(
            address, f'{REPORT_PATH}?{ADMISSIONS_QUERY}', body, REPORT_TIMEOUT_S
        )
        return _decode_load_reply(report.service_id, answer)

    async def end_terms(
        self, address: str, service_id: str, version: int
    ) -> leaderelection.TermsEnded:
        """Asks a former leader at an address to end its terms."""
        body = msgspec.json.encode(_EndTerms(service_id, version))
        answer = await self._call(
            address, END_TERMS_PATH, body, END_TERMS_TIMEOUT_S
        )
        reply = _decode(answer, _TermsEnded)
        return leaderelection.TermsEnded(
            reply.vm_id, reply.incarnation, reply.version
        )

    async def changes(
        self,
        address: str,
        follower: messages.Follower,
        revisions_by_prefix: dict[str, int],
    ) -> messages.ChangesReply:
        """Polls another VM for changes of stored objects."""
        body = msgspec.json.encode(_Poll(follower, revisions_by_prefix))
        answer = await self._call(
            address, CHANGES_PATH, body, CHANGES_TIMEOUT_S
        )
        reply = await _decode_changes(_decompressed(answer))
        changes_by_prefix = {
            prefix: store_ports.Changes(
                changes.revision,
                _stored_objects(prefix, changes.objects),
                tuple(changes.removed),
                changes.complete,
            )
            for prefix, changes in reply.changes.items()
        }
        return messages.ChangesReply(
            changes_by_prefix,
            reply.told_at_s,
            reply.contact_at_s,
            reply.relay_address,
            reply.era,
            reply.held_s or 0.0,
        )

    async def _call(
        self, address: str, path: str, body: bytes, timeout_s: float
    ) -> bytes:
        found = _ADDRESS.fullmatch(address)
        if found is None:
            raise errors.ProtocolError(f'no address: {address[:100]!r}')
        call_id = secrets.token_hex(CALL_ID_BYTES)
        answer = await self._pool.exchange(
            data.Address(found[1], int(found[2])),
            exchanges.OutgoingRequest(
                'POST',
                path,
                [(results.CALL_ID_HEADER, call_id)],
                body,
                # VMs of earlier versions do not echo the ID.
                matcher=matching.EchoedId(
                    results.CALL_ID_HEADER, call_id, required=False
                ),
            ),
            timeout_s,
            REPORT_TIMEOUT_S,
        )
        text = f'peer {address} answered {path} with status {answer.status}'
        if path == CHANGES_PATH and answer.status == UNAVAILABLE:
            raise errors.StaleFeedError(text)
        if answer.status != OK:
            raise errors.ProtocolError(text)
        return answer.body

    def close(self) -> None:
        """Closes the pooled connections."""
        self._pool.close()


def decode_report(body: bytes, query: str = '') -> messages.LoadReport:
    """Decodes the body of a load report.

    Args:
        body: The body.
        query: Query of the request, which tells what the VM reads.

    Raises:
        ProtocolError: If the body is not a valid report.
    """
    decoded = _decode(body, _Report)
    load = messages.ObservedLoad(
        tuple(decoded.keys),
        decoded.times_by_id,
        decoded.leaving_by_id,
        tuple(decoded.cold_ids),
        decoded.needs_short_queues,
    )
    return messages.LoadReport(
        decoded.vm_id, decoded.service_id, load, query == ADMISSIONS_QUERY
    )


def encode_shares(reply: messages.LoadReply) -> bytes:
    """Encodes the reply to a load report of a VM that reads only shares."""
    return msgspec.json.encode(reply.shares_by_id)


def encode_load_reply(reply: messages.LoadReply) -> bytes:
    """Encodes the reply to a load report."""
    if reply.granted is None and not (
        reply.permits_by_id or reply.short_queues
    ):
        return encode_shares(reply)
    encoded = _LoadReply(
        reply.shares_by_id,
        permits_by_id=reply.permits_by_id,
        short_queues=reply.short_queues,
        admitted_by_id=reply.admitted_by_id,
    )
    if reply.granted is not None:
        encoded.map_version = reply.granted.map_version
        encoded.granted = sorted(reply.granted.bounds)
    return msgspec.json.encode(encoded)


def _decode_load_reply(service_id: str, body: bytes) -> messages.LoadReply:
    try:
        decoded = msgspec.json.decode(body, type=_LoadReply)
    except (msgspec.MsgspecError, RecursionError):
        # Without granted ranges the reply has only shares.
        return messages.LoadReply(_decode(body, dict[str, _Share]))
    granted = None
    if decoded.granted:
        granted = messages.GrantedRanges(
            service_id, decoded.map_version, frozenset(decoded.granted)
        )
    return messages.LoadReply(
        decoded.shares_by_id,
        granted,
        decoded.permits_by_id,
        decoded.short_queues,
        decoded.admitted_by_id,
    )


def decode_end_terms(body: bytes) -> messages.EndTerms:
    """Decodes the body of a request to end earlier terms.

    Raises:
        ProtocolError: If the body is not a valid request.
    """
    decoded = _decode(body, _EndTerms)
    return messages.EndTerms(decoded.service_id, decoded.version)


def encode_terms_ended(statement: leaderelection.TermsEnded) -> bytes:
    """Encodes the reply to a request to end earlier terms."""
    return msgspec.json.encode(statement)


def decode_poll(body: bytes) -> tuple[messages.Follower, dict[str, int]]:
    """Decodes the body of a poll into the follower and its known revisions.

    Raises:
        ProtocolError: If the body is not a valid poll.
    """
    decoded = _decode(body, _Poll)
    return decoded.asker, decoded.revisions


def encode_changes(reply: messages.ChangesReply) -> bytes:
    """Encodes the reply to a poll, compressed if that makes it smaller."""
    changes = {
        prefix: _Changes(
            changes.revision,
            [
                msgspec.Raw(
                    msgspec.json.encode(
                        _Stored(o.name, o.version, msgspec.Raw(o.content))
                    )
                )
                for o in changes.objects
            ],
            list(changes.removed_names),
            changes.complete,
        )
        for prefix, changes in reply.changes_by_prefix.items()
    }
    text = msgspec.json.encode(
        _ChangesReply(
            changes,
            reply.sent_at_s,
            reply.contact_at_s,
            reply.relay_address,
            reply.era,
            reply.held_s or None,
        )
    )
    if len(text) < MIN_COMPRESSED_BYTES:
        return text
    return zlib.compress(text, COMPRESSION_LEVEL)


def _decompressed(body: bytes) -> bytes:
    """Returns the JSON text of a reply that may be compressed."""
    if body.startswith(b'{'):
        return body
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(body, MAX_ANSWER_BYTES)
    except zlib.error as error:
        raise errors.ProtocolError(f'invalid changes reply: {error}') from error
    if not decompressor.eof:
        raise errors.ProtocolError(
            'invalid changes reply: truncated or too large'
        )
    return text


async def _decode_changes(text: bytes) -> _ChangesReply:
    """Decodes a reply to a poll, in which contents may be unreadable."""
    try:
        return _decode(text, _ChangesReply)
    except errors.ProtocolError:
        readable = await salvage.replace_unreadable(text, CHANGES_LEVELS)
        return _decode(readable, _ChangesReply)


def _stored_objects(
    prefix: str, items: list[msgspec.Raw]
) -> tuple[store_ports.StoredObject, ...]:
    """Decodes the objects of a feed; invalid ones are logged and left out."""
    objects = []
    for index, item in enumerate(items):
        try:
            stored = _decode(item, _Stored)
        except errors.ProtocolError as error:
            logs.event(
                'object.unreadable',
                kind=prefix,
                place=f'objects.{index}',
                error=str(error),
            )
            continue
        objects.append(
            store_ports.StoredObject(
                stored.name, stored.version, bytes(stored.content)
            )
        )
    return tuple(objects)


def _decode(body: bytes, model: type[_Model]) -> _Model:
    try:
        return msgspec.json.decode(body, type=model)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise errors.ProtocolError(f'invalid message: {error}') from error

"""Decides which service and key a request is for."""

import dataclasses
import re
from collections.abc import Mapping
from urllib import parse

from oriolefold_core import data, errors

MAX_KEY_BYTES = 1024
MAX_TARGET_BYTES = 8192

# A fragment would be cut off by the HTTP client on the way to the server.
_TARGET = re.compile(r'/[!"$-~]*')


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where a request goes and how it may be treated.

    Attributes:
        service: The service that the request is for.
        key: Key of the request, or an empty string.
        idempotent: Whether the work may safely run again.
        deadline_s: Time that the request may take, in seconds.
        importance: Higher values are shed later.
    """

    service: data.Service
    key: str
    idempotent: bool
    deadline_s: float
    importance: int


def route(
    configuration: data.Configuration,
    method: str,
    target: str,
    headers: Mapping[str, str],
) -> Route:
    """Finds the service and the key of a request.

    Args:
        configuration: The configuration in force.
        method: HTTP method in upper case.
        target: Path and query as the caller sent them.
        headers: Headers by name, found in any case.

    Raises:
        RequestError: If the target or the key is malformed.
        UnknownServiceError: If the first segment names no service.
        MissingKeyError: If the service is keyed and no key is given.
    """
    if len(target) > MAX_TARGET_BYTES:
        raise errors.RequestError(
            f'target is longer than {MAX_TARGET_BYTES} bytes'
        )
    if not _TARGET.fullmatch(target):
        raise errors.RequestError(
            'target: not a path of printable ASCII that starts with /'
        )
    path = target.partition('?')[0]
    segments = path.split('/')
    service_id = segments[1]
    service = configuration.register.services_by_id.get(service_id)
    if service is None:
        raise errors.UnknownServiceError(
            f'path segment 0: the register has no service {service_id[:64]!r}'
        )
    rule = configuration.rules_by_service_id[service_id]
    key = ''
    if service.keyed:
        key = _key(rule.key, segments, headers)
    idempotent = method in rule.idempotent_methods
    return Route(service, key, idempotent, rule.deadline_s, rule.importance)


def _key(rule: data.KeyRule, segments, headers) -> str:
    if rule.source is data.KeySource.SEGMENT:
        place = f'path segment {rule.segment}'
        # The list starts with the empty text before the first slash.
        index = rule.segment + 1
        raw = segments[index] if index < len(segments) else ''
        key = parse.unquote(raw, errors='surrogateescape')
    else:
        place = f'header {rule.header}'
        key = headers.get(rule.header, '')
    if not key:
        raise errors.MissingKeyError(f'{place}: the key is missing')
    size = len(key.encode('utf-8', 'surrogateescape'))
    if size > MAX_KEY_BYTES:
        raise errors.RequestError(
            f'{place}: the key has {size} bytes, at most {MAX_KEY_BYTES}'
        )
    return key

"""Routing by register and rules: finds the service and key of a request."""

import dataclasses
import re
from collections.abc import Mapping
from urllib import parse

from oriolefold_core import data, errors

MAX_KEY_BYTES = 1024
MAX_TARGET_BYTES = 8192

# `#` is excluded: the HTTP client would strip the fragment before sending.
_TARGET = re.compile(r'/[!"$-~]*')


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Service and key of a request, and the rules that apply to it.

    Attributes:
        service: The service that the request is for.
        key: Key of the request; empty if the service is not keyed.
        idempotent: Whether the request may safely run more than once.
        deadline_s: Longest time that the request may take, in seconds.
        importance: Requests with lower values are shed first.
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
        configuration: The active configuration.
        method: HTTP method in upper case.
        target: Path and query as the caller sent them.
        headers: Headers by case-insensitive name.

    Raises:
        RequestError: If the target or the key is malformed.
        UnknownServiceError: If the first path segment names no service.
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
        key = _extract_key(rule.key, segments, headers)
    idempotent = method in rule.idempotent_methods
    return Route(service, key, idempotent, rule.deadline_s, rule.importance)


def _extract_key(rule: data.KeyRule, segments, headers) -> str:
    if rule.source is data.KeySource.SEGMENT:
        location = f'path segment {rule.segment}'
        # The first element is the empty string before the leading slash.
        index = rule.segment + 1
        raw = segments[index] if index < len(segments) else ''
        key = parse.unquote(raw, errors='surrogateescape')
    else:
        location = f'header {rule.header}'
        key = headers.get(rule.header, '')
    if not key:
        raise errors.MissingKeyError(f'{location}: the key is missing')
    size = len(key.encode('utf-8', 'surrogateescape'))
    if size > MAX_KEY_BYTES:
        raise errors.RequestError(
            f'{location}: the key has {size} bytes, at most {MAX_KEY_BYTES}'
        )
    return key

"""Validated models of the register and the rules documents.

Unknown fields are errors. Each model validates one document; references between
its parts and between documents are checked in `documents`.
"""

import ipaddress
from typing import Annotated, Literal

import pydantic

MAX_NAME_LENGTH = 63
MAX_SHARDS = 8192  # Keeps a shard map below the 1 MB object limit of the store.
DEFAULT_SHARDS = 256
DEFAULT_DEADLINE_MS = 2_000
MAX_DEADLINE_MS = 600_000
DEFAULT_IMPORTANCE = 50

Name = Annotated[
    str,
    pydantic.StringConstraints(
        pattern=r'^[a-z0-9]([a-z0-9-]*[a-z0-9])?$', max_length=MAX_NAME_LENGTH
    ),
]
Method = Literal['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'POST', 'PATCH']


def _check_ip(value: str) -> str:
    ipaddress.ip_address(value)
    return value


IpAddress = Annotated[str, pydantic.AfterValidator(_check_ip)]
Port = Annotated[int, pydantic.Field(ge=1, le=65535)]


class DocumentModel(pydantic.BaseModel):
    """Base of all models; rejects unknown fields and does not convert types."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True, strict=True)


class ZoneModel(DocumentModel):
    """An availability zone."""

    id: Name


class RegionModel(DocumentModel):
    """A region with its availability zones."""

    id: Name
    zones: list[ZoneModel] = pydantic.Field(min_length=1)


class VmModel(DocumentModel):
    """A VM that runs the daemon."""

    id: Name
    zone: Name
    ip: IpAddress
    caller_port: Port = 8080
    peer_port: Port = 8081
    admin_port: Port = 8082


class InstanceModel(DocumentModel):
    """An instance of a service."""

    id: Name
    zone: Name
    ip: IpAddress
    port: Port


class ServiceModel(DocumentModel):
    """A service, its instances and the properties that they share."""

    id: Name
    keyed: bool = False
    checks_tokens: bool = False
    slots: int = pydantic.Field(ge=1, le=100_000)
    connections: int = pydantic.Field(ge=1, le=1_000_000)
    instances: list[InstanceModel] = pydantic.Field(min_length=1)


class RegisterModel(DocumentModel):
    """The register document."""

    regions: list[RegionModel] = pydantic.Field(min_length=1)
    vms: list[VmModel] = pydantic.Field(min_length=1)
    services: list[ServiceModel] = pydantic.Field(min_length=1)


class KeyModel(DocumentModel):
    """Source of the key of a request: a path segment or a header."""

    segment: int | None = pydantic.Field(default=None, ge=1, le=32)
    header: Annotated[
        str | None, pydantic.Field(pattern=r'^[A-Za-z0-9-]+$', max_length=64)
    ] = None

    @pydantic.model_validator(mode='after')
    def _check_one_source(self) -> 'KeyModel':
        if (self.segment is None) == (self.header is None):
            raise ValueError('give exactly one of segment and header')
        return self


class RuleModel(DocumentModel):
    """The routing rule of one service."""

    service: Name
    key: KeyModel | None = None
    shards: int = pydantic.Field(default=DEFAULT_SHARDS, ge=1, le=MAX_SHARDS)
    deadline_ms: int = pydantic.Field(
        default=DEFAULT_DEADLINE_MS, ge=1, le=MAX_DEADLINE_MS
    )
    idempotent_methods: list[Method] = ['GET', 'HEAD', 'OPTIONS']
    placement: Literal['imbalance-first', 'availability-first'] = (
        'imbalance-first'
    )
    importance: int = pydantic.Field(default=DEFAULT_IMPORTANCE, ge=0, le=100)


class RulesModel(DocumentModel):
    """The rules document."""

    rules: list[RuleModel] = []

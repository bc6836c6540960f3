"""Settings of the daemon."""

import ipaddress
from typing import Annotated, Literal

import pydantic

from oriolefold_config import settings
from oriolefold_core import data

Port = Annotated[int, pydantic.Field(ge=1, le=65535)]


def _check_ip(value: str) -> str:
    ipaddress.ip_address(value)
    return value


IpAddress = Annotated[str, pydantic.AfterValidator(_check_ip)]


class DaemonSettings(settings.Settings):
    """Router for servers that each own their keys exclusively."""

    vm_id: str = pydantic.Field(
        min_length=1, description='name of this VM in the register'
    )
    zone: str = pydantic.Field(
        min_length=1, description='availability zone of this VM'
    )
    ip: IpAddress = pydantic.Field(description='IP address to listen on')
    caller_port: Port = pydantic.Field(8080, description='port for callers')
    peer_port: Port = pydantic.Field(8081, description='port for other daemons')
    admin_port: Port = pydantic.Field(8082, description='port for operators')
    store_ip: IpAddress = pydantic.Field(description='IP address of the store')
    store_port: Port = pydantic.Field(description='port of the store')
    vm_list_ip: IpAddress | None = pydantic.Field(
        None, description='IP address of the VM list service; none: not used'
    )
    vm_list_port: Port = pydantic.Field(
        9001, description='port of the VM list service'
    )
    max_body_bytes: int = pydantic.Field(
        16 * 1024 * 1024,
        ge=0,
        le=1024 * 1024 * 1024,
        description='maximum size of a request body, in bytes',
    )
    max_buffer_bytes: int = pydantic.Field(
        96 * 1024 * 1024,
        ge=1024 * 1024,
        description='maximum size of all buffered responses and frames',
    )
    max_bodies_bytes: int = pydantic.Field(
        64 * 1024 * 1024,
        ge=1024 * 1024,
        description='maximum size of the bodies of all requests, in bytes',
    )
    stop_limit_s: float = pydantic.Field(
        30.0,
        gt=0,
        le=600,
        description='time limit for a graceful stop, in seconds',
    )
    access_log: Literal['failures', 'all'] = pydantic.Field(
        'failures', description='requests to log: failures or all'
    )
    log_file: str = pydantic.Field(
        '', description='file to append logs to; empty: standard error'
    )
    random_seed: int | None = pydantic.Field(
        None, description='seed of the random generator; none: from the system'
    )

    @property
    def caller_address(self) -> data.Address:
        """Address of the listener for callers."""
        return data.Address(self.ip, self.caller_port)

    @property
    def peer_address(self) -> data.Address:
        """Address of the listener for other daemons."""
        return data.Address(self.ip, self.peer_port)

    @property
    def admin_address(self) -> data.Address:
        """Address of the listener for operators."""
        return data.Address(self.ip, self.admin_port)

    @property
    def store_address(self) -> data.Address:
        """Address of the store."""
        return data.Address(self.store_ip, self.store_port)

    @property
    def vm_list_address(self) -> data.Address | None:
        """Address of the VM list service, or None if it is not used."""
        if self.vm_list_ip is None:
            return None
        return data.Address(self.vm_list_ip, self.vm_list_port)

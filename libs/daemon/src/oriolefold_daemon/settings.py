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


IpNumber = Annotated[str, pydantic.AfterValidator(_check_ip)]


class DaemonSettings(settings.Settings):
    """Router for servers that own their keys alone."""

    vm_id: str = pydantic.Field(
        min_length=1, description='name of this VM in the register'
    )
    zone: str = pydantic.Field(
        min_length=1, description='availability zone of this VM'
    )
    ip: IpNumber = pydantic.Field(description='IP number to listen on')
    caller_port: Port = pydantic.Field(8080, description='port for callers')
    peer_port: Port = pydantic.Field(8081, description='port for other daemons')
    admin_port: Port = pydantic.Field(8082, description='port for operators')
    store_ip: IpNumber = pydantic.Field(description='IP number of the store')
    store_port: Port = pydantic.Field(description='port of the store')
    vm_list_ip: IpNumber | None = pydantic.Field(
        None, description='IP number of the list of VMs; none: no list'
    )
    vm_list_port: Port = pydantic.Field(
        9001, description='port of the list of VMs'
    )
    max_body_bytes: int = pydantic.Field(
        16 * 1024 * 1024,
        ge=0,
        le=1024 * 1024 * 1024,
        description='largest body of a request, in bytes',
    )
    stop_limit_s: float = pydantic.Field(
        30.0,
        gt=0,
        le=600,
        description='time that requests have to end at a stop, in seconds',
    )
    access_log: Literal['failures', 'all'] = pydantic.Field(
        'failures', description='requests that are logged: failures or all'
    )
    log_file: str = pydantic.Field(
        '', description='file that logs are appended to; empty: standard error'
    )
    random_seed: int | None = pydantic.Field(
        None, description='seed of random choices; none: from the system'
    )

    @property
    def caller_address(self) -> data.Address:
        """Where callers connect."""
        return data.Address(self.ip, self.caller_port)

    @property
    def peer_address(self) -> data.Address:
        """Where other daemons connect."""
        return data.Address(self.ip, self.peer_port)

    @property
    def admin_address(self) -> data.Address:
        """Where operators connect."""
        return data.Address(self.ip, self.admin_port)

    @property
    def store_address(self) -> data.Address:
        """Where the store is."""
        return data.Address(self.store_ip, self.store_port)

    @property
    def vm_list_address(self) -> data.Address | None:
        """Where the list of VMs is, or None."""
        if self.vm_list_ip is None:
            return None
        return data.Address(self.vm_list_ip, self.vm_list_port)

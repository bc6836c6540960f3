"""Names of the stored objects that the ownership tasks read and write."""

CONFIGURATION = 'configuration/current'
MAP_PREFIX = 'maps/'
GUARD_PREFIX = 'guards/'


def map_name(service_id: str) -> str:
    """Returns the name of the shard map of a service."""
    return MAP_PREFIX + service_id


def guard_name(vm_id: str) -> str:
    """Returns the name of the guard record of a VM."""
    return GUARD_PREFIX + vm_id

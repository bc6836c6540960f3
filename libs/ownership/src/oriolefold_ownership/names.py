"""Names of the objects that ownership keeps in the store."""

CONFIGURATION = 'configuration/current'
MAP_PREFIX = 'maps/'
GUARD_PREFIX = 'guards/'


def map_name(service_id: str) -> str:
    """Returns the name of the shard map of a service."""
    return MAP_PREFIX + service_id


def guard_name(vm_id: str) -> str:
    """Returns the name of the guard record of a VM."""
    return GUARD_PREFIX + vm_id

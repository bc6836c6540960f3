"""Owners of keys, by the key map of each service and the known instances."""

import dataclasses
from collections.abc import Collection

from oriolefold_coordination import ranges
from oriolefold_direct import messages
from oriolefold_routing import concurrency, instancetable


class KeyOwners:
    """The newest key map of each service, and the instances that it names."""

    def __init__(self, instance_table: instancetable.InstanceTable):
        """Initializes it without any key map.

        Args:
            instance_table: The known instances, which another object updates.
        """
        self._instance_table = instance_table
        self._maps_by_service_id: dict[str, ranges.KeyMap] = {}
        self._map_versions_by_service_id: dict[str, int] = {}

    def update(self, update: messages.KeyMapUpdated) -> bool:
        """Takes a key map if it is newer; returns whether it is."""
        service_id = update.key_map.service_id
        if update.version <= self._map_versions_by_service_id.get(
            service_id, 0
        ):
            return False
        known = self._maps_by_service_id.get(service_id)
        if known and update.key_map.next_token < known.next_token:
            # An older copy from a restored store: each write raises the token.
            return False
        self._map_versions_by_service_id[service_id] = update.version
        self._maps_by_service_id[service_id] = update.key_map
        return True

    def apply_granted(self, granted: messages.GrantedRanges) -> bool:
        """Lets requests go to ranges that their owners hold already.

        The ranges of any other version of the map may have moved since.

        Returns:
            Whether the ranges are of the known version of the map.
        """
        service_id = granted.service_id
        version = self._map_versions_by_service_id.get(service_id)
        if granted.map_version != version:
            return False
        key_map = self._maps_by_service_id[service_id]
        self._maps_by_service_id[service_id] = dataclasses.replace(
            key_map,
            ranges=tuple(
                dataclasses.replace(r, priors=())
                if (r.first, r.last, r.token) in granted.bounds
                else r
                for r in key_map.ranges
            ),
        )
        return True

    def find(
        self, service_id: str, key: int
    ) -> tuple[concurrency.InstanceState | None, str]:
        """Returns the owner of the key, or None and why it has none now."""
        key_map = self._maps_by_service_id.get(service_id)
        if key_map is None:
            return None, 'no key map'
        key_range = key_map.range_of(key)
        if key_range is None:
            return None, 'not assigned'
        if key_range.priors:
            return None, 'moving'
        holder = key_range.owner
        known = self._instance_table.states_by_id.get(holder.instance_id)
        if known is None:
            return None, 'not registered'
        if known.endpoint.born_ms != holder.born_ms:
            return None, 'other incarnation'
        if known.endpoint.evacuated:
            return None, 'evacuated'
        if known.endpoint.draining:
            return None, 'draining'
        return known, ''

    def wanted_cold_ids(
        self, service_id: str, keys: Collection[int], waiting: int, now_s: float
    ) -> tuple[str, ...]:
        """Returns the cold instances that this VM would send requests to.

        Those that own keys of recent requests come first. Without any requests
        there are none, since permits that are not used are lost to others.

        Args:
            service_id: The service.
            keys: Keys of recent requests.
            waiting: Number of queued requests.
            now_s: Current time.
        """
        if not (keys or waiting) or not self._instance_table.any_cold(
            service_id, now_s
        ):
            return ()
        owner_ids: set[str] = set()
        key_map = self._maps_by_service_id.get(service_id)
        if key_map is not None:
            found = (key_map.range_of(key) for key in set(keys))
            owner_ids = {r.owner.instance_id for r in found if r is not None}
        return self._instance_table.wanted_cold_ids(
            service_id, owner_ids, now_s
        )

    def token(self, service_id: str, key: int | None) -> int | None:
        """Returns the token of the range of a key, or None without one."""
        key_map = self._maps_by_service_id.get(service_id)
        if key_map is None or key is None:
            return None
        key_range = key_map.range_of(key)
        return None if key_range is None else key_range.token

    def next_tokens_by_service_id(self) -> dict[str, int]:
        """Returns the first unused token of each key map."""
        return {
            service_id: key_map.next_token
            for service_id, key_map in self._maps_by_service_id.items()
        }

    def next_token(self, service_id: str) -> int:
        """Returns the first unused token of a key map, 0 without a map."""
        key_map = self._maps_by_service_id.get(service_id)
        return key_map.next_token if key_map else 0

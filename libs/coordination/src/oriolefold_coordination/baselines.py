"""Placement policies from the literature, as baselines for comparison."""

import bisect
import math

import xxhash

from oriolefold_coordination import placement

VIRTUAL_NODES = 100
LOAD_BOUND = 1.25  # Maximum load of an instance as a multiple of the mean.


class Modulo(placement.Placement):
    """Shard number modulo the number of instances."""

    def place(self, problem: placement.Problem) -> list[str]:
        """Returns the owner of each shard."""
        ids = problem.instance_ids
        return [ids[i % len(ids)] for i in range(len(problem.weights))]


class Ring(placement.Placement):
    """Consistent hashing with virtual nodes."""

    def place(self, problem: placement.Problem) -> list[str]:
        """Returns the owner of each shard."""
        points, ids = _ring(problem.instance_ids)
        return [
            ids[_position(points, shard)]
            for shard in range(len(problem.weights))
        ]


class Rendezvous(placement.Placement):
    """Rendezvous hashing (highest random weight)."""

    def place(self, problem: placement.Problem) -> list[str]:
        """Returns the owner of each shard."""
        return [
            max(
                problem.instance_ids,
                key=lambda instance_id, shard=shard: hash_text(
                    f'{instance_id}/{shard}'
                ),
            )
            for shard in range(len(problem.weights))
        ]


class BoundedLoads(placement.Placement):
    """Consistent hashing with bounded loads."""

    def place(self, problem: placement.Problem) -> list[str]:
        """Returns the owner of each shard."""
        points, ids = _ring(problem.instance_ids)
        mean = sum(problem.weights) / len(problem.instance_ids)
        heaviest = max(problem.weights, default=0.0)
        bound = max(mean * LOAD_BOUND, heaviest)
        if not math.isfinite(bound):
            raise ValueError('weights must be finite')
        loads_by_id = dict.fromkeys(problem.instance_ids, 0.0)
        owners = []
        for shard, weight in enumerate(problem.weights):
            owner = self._first_with_room(
                points, ids, shard, weight, bound, loads_by_id
            )
            loads_by_id[owner] += weight
            owners.append(owner)
        return owners

    def _first_with_room(
        self, points, ids, shard, weight, bound, loads_by_id
    ) -> str:
        start = _position(points, shard)
        for step in range(len(ids)):
            owner = ids[(start + step) % len(ids)]
            if loads_by_id[owner] + weight <= bound:
                return owner
        return min(loads_by_id, key=loads_by_id.__getitem__)


def _ring(instance_ids: tuple[str, ...]) -> tuple[list[int], list[str]]:
    entries = sorted(
        (hash_text(f'{instance_id}#{node}'), instance_id)
        for instance_id in instance_ids
        for node in range(VIRTUAL_NODES)
    )
    return [point for point, _ in entries], [name for _, name in entries]


def _position(points: list[int], shard: int) -> int:
    return bisect.bisect(points, hash_text(f'shard/{shard}')) % len(points)


def hash_text(text: str) -> int:
    """Returns a hash that is stable across processes."""
    return xxhash.xxh3_64_intdigest(text.encode())

"""Policies that place shards on instances."""

import abc
import dataclasses
from collections.abc import Sequence

ENOUGH_SHARE = 0.5  # Load over the mean at which an instance has enough to do.
IMBALANCE_TOLERANCE = 0.05  # Load over the mean that is left alone.


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """What a placement has to solve.

    Attributes:
        instance_ids: Instances that may own shards, in sorted order.
        current_ids: Present owner of each shard, or empty where there is none.
        weights: Load of each shard in any one unit.
        heir_ids: Instance that each shard should fall to, or empty.
        max_moves: Moves allowed beside those that a lost owner forces.
    """

    instance_ids: tuple[str, ...]
    current_ids: tuple[str, ...]
    weights: tuple[float, ...]
    heir_ids: tuple[str, ...]
    max_moves: int


class Placement(abc.ABC):
    """Policy that chooses the owner of each shard."""

    @abc.abstractmethod
    def place(self, problem: Problem) -> list[str]:
        """Returns the owner of each shard, in the order of the shards."""


class ImbalanceFirst(Placement):
    """Evens out the load, within the allowed number of moves."""

    def place(self, problem: Problem) -> list[str]:
        """Keeps owners, spreads orphans, then moves shards off the fullest."""
        table = _Table(problem)
        table.place_orphans(problem, use_heirs=False)
        for _ in range(problem.max_moves):
            if not table.move_one(problem.weights):
                break
        return table.owner_ids


class AvailabilityFirst(Placement):
    """Keeps every owner that lives and lets orphans fall to their heirs.

    A voluntary move costs a short unavailable time, so it makes none unless an
    instance has little to do, as one that has just joined.
    """

    def place(self, problem: Problem) -> list[str]:
        """Keeps owners, gives orphans to heirs and fills idle instances."""
        # Shards count alike here: load alone is no reason for a move.
        alike = (1.0,) * len(problem.weights)
        problem = dataclasses.replace(problem, weights=alike)
        table = _Table(problem)
        table.place_orphans(problem, use_heirs=True)
        for _ in range(problem.max_moves):
            if table.least_share() >= ENOUGH_SHARE:
                break
            if not table.move_one(problem.weights):
                break
        return table.owner_ids


POLICIES_BY_NAME = {
    'imbalance-first': ImbalanceFirst(),
    'availability-first': AvailabilityFirst(),
}


class _Table:
    """Owners under change with the load of each instance."""

    def __init__(self, problem: Problem):
        allowed = set(problem.instance_ids)
        self.owner_ids = [
            owner if owner in allowed else '' for owner in problem.current_ids
        ]
        self._loads_by_id = dict.fromkeys(problem.instance_ids, 0.0)
        self._shards_by_id: dict[str, list[int]] = {
            instance_id: [] for instance_id in problem.instance_ids
        }
        for shard, owner in enumerate(self.owner_ids):
            if owner:
                self._add(shard, owner, problem.weights[shard])

    def place_orphans(self, problem: Problem, use_heirs: bool) -> None:
        """Gives each shard without owner to its heir or the least loaded."""
        orphans = [i for i, owner in enumerate(self.owner_ids) if not owner]
        orphans.sort(key=lambda shard: -problem.weights[shard])
        for shard in orphans:
            heir = problem.heir_ids[shard]
            if not use_heirs or heir not in self._loads_by_id:
                heir = self._least_loaded()
            self.owner_ids[shard] = heir
            self._add(shard, heir, problem.weights[shard])

    def least_share(self) -> float:
        """Returns the least load of an instance over the mean."""
        total = sum(self._loads_by_id.values())
        if not total:
            return 1.0
        least = min(self._loads_by_id.values())
        return least * len(self._loads_by_id) / total

    def move_one(self, weights: Sequence[float]) -> bool:
        """Moves the best shard from the fullest to the emptiest instance.

        Returns:
            Whether a shard was moved, which lowers the greatest load or evens
            out two instances.
        """
        fullest = max(self._loads_by_id, key=self._loads_by_id.__getitem__)
        emptiest = self._least_loaded()
        gap = self._loads_by_id[fullest] - self._loads_by_id[emptiest]
        mean = sum(self._loads_by_id.values()) / len(self._loads_by_id)
        if self._loads_by_id[fullest] <= mean * (1 + IMBALANCE_TOLERANCE):
            return False
        candidates = [
            shard
            for shard in self._shards_by_id[fullest]
            if 0 < weights[shard] < gap
        ]
        if not candidates:
            return False
        shard = min(candidates, key=lambda item: abs(gap / 2 - weights[item]))
        self._shards_by_id[fullest].remove(shard)
        self._loads_by_id[fullest] -= weights[shard]
        self.owner_ids[shard] = emptiest
        self._add(shard, emptiest, weights[shard])
        return True

    def _least_loaded(self) -> str:
        return min(self._loads_by_id, key=self._loads_by_id.__getitem__)

    def _add(self, shard: int, owner: str, weight: float) -> None:
        self._loads_by_id[owner] += weight
        self._shards_by_id[owner].append(shard)

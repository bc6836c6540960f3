"""Placement policies: which instance owns which shard."""

import abc
import dataclasses
from collections.abc import Sequence

MIN_LOAD_RATIO = 0.5  # Load over the mean below which an instance is idle.
# Tolerated excess of the highest load over the mean, as a fraction of the mean.
IMBALANCE_TOLERANCE = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """Input of a placement policy.

    Attributes:
        instance_ids: Instances that may own shards, sorted.
        current_ids: Current owner of each shard, or empty.
        weights: Load of each shard, in any unit.
        standby_ids: Preferred owner of each shard if its owner is lost, or
            empty.
        max_moves: Maximum number of voluntary moves; shards of lost owners do
            not count.
    """

    instance_ids: tuple[str, ...]
    current_ids: tuple[str, ...]
    weights: tuple[float, ...]
    standby_ids: tuple[str, ...]
    max_moves: int


class Placement(abc.ABC):
    """Policy that chooses the owner of each shard."""

    @abc.abstractmethod
    def place(self, problem: Problem) -> list[str]:
        """Returns the owner of each shard, in the order of the shards."""


class ImbalanceFirst(Placement):
    """Minimizes load imbalance within the allowed number of moves."""

    def place(self, problem: Problem) -> list[str]:
        """Returns the owner of each shard.

        Shards without an owner go to the least loaded instances; then shards
        move off the most loaded ones.
        """
        assignment = _Assignment(problem)
        assignment.assign_unowned(problem, use_standbys=False)
        for _ in range(problem.max_moves):
            if not assignment.move_one(problem.weights):
                break
        return assignment.owner_ids


class AvailabilityFirst(Placement):
    """Keeps available owners and fails shards over to their standbys.

    A voluntary move makes its shard unavailable for a short time, so there are
    none unless an instance is nearly idle, such as one that has just joined.
    """

    def place(self, problem: Problem) -> list[str]:
        """Returns the owner of each shard."""
        # With equal weights, load alone never causes a move.
        equal = (1.0,) * len(problem.weights)
        problem = dataclasses.replace(problem, weights=equal)
        assignment = _Assignment(problem)
        assignment.assign_unowned(problem, use_standbys=True)
        for _ in range(problem.max_moves):
            if assignment.min_load_ratio() >= MIN_LOAD_RATIO:
                break
            if not assignment.move_one(problem.weights):
                break
        return assignment.owner_ids


POLICIES_BY_NAME = {
    'imbalance-first': ImbalanceFirst(),
    'availability-first': AvailabilityFirst(),
}


class _Assignment:
    """Working copy of the owners with the load of each instance."""

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

    def assign_unowned(self, problem: Problem, use_standbys: bool) -> None:
        """Gives shards without an owner to standbys or the least loaded."""
        unowned = [i for i, owner in enumerate(self.owner_ids) if not owner]
        unowned.sort(key=lambda shard: -problem.weights[shard])
        for shard in unowned:
            owner = problem.standby_ids[shard]
            if not use_standbys or owner not in self._loads_by_id:
                owner = self._least_loaded()
            self.owner_ids[shard] = owner
            self._add(shard, owner, problem.weights[shard])

    def min_load_ratio(self) -> float:
        """Returns the lowest load of an instance over the mean."""
        total = sum(self._loads_by_id.values())
        if not total:
            return 1.0
        least = min(self._loads_by_id.values())
        return least * len(self._loads_by_id) / total

    def move_one(self, weights: Sequence[float]) -> bool:
        """Moves one shard from the most to the least loaded instance.

        The shard whose load is closest to half the difference is chosen.

        Returns:
            Whether a shard was moved, which lowers the highest load or evens
            out the two instances.
        """
        most_loaded = max(self._loads_by_id, key=self._loads_by_id.__getitem__)
        least_loaded = self._least_loaded()
        gap = self._loads_by_id[most_loaded] - self._loads_by_id[least_loaded]
        mean = sum(self._loads_by_id.values()) / len(self._loads_by_id)
        if self._loads_by_id[most_loaded] <= mean * (1 + IMBALANCE_TOLERANCE):
            return False
        candidates = [
            shard
            for shard in self._shards_by_id[most_loaded]
            if 0 < weights[shard] < gap
        ]
        if not candidates:
            return False
        shard = min(candidates, key=lambda item: abs(gap / 2 - weights[item]))
        self._shards_by_id[most_loaded].remove(shard)
        self._loads_by_id[most_loaded] -= weights[shard]
        self.owner_ids[shard] = least_loaded
        self._add(shard, least_loaded, weights[shard])
        return True

    def _least_loaded(self) -> str:
        return min(self._loads_by_id, key=self._loads_by_id.__getitem__)

    def _add(self, shard: int, owner: str, weight: float) -> None:
        self._loads_by_id[owner] += weight
        self._shards_by_id[owner].append(shard)

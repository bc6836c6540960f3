"""Load of shards, measured by the homes that send to their owners."""

HALF_LIFE_S = 10.0
MIN_RATE_PER_S = 50.0  # Below it the differences between shards are noise.
IDLE_WEIGHT_RATIO = 0.1  # Weight of an idle shard relative to the mean.
MAX_LOAD_RATIO = 1.2  # Tolerated highest load of an instance over the mean.
MIN_LOAD_RATIO = 0.5  # Tolerated lowest load of an instance over the mean.


class ShardLoads:
    """Exponentially decaying request counts by shard."""

    def __init__(self, now_s: float):
        self._counts_by_shard: dict[int, float] = {}
        self._decayed_at_s = now_s

    def record(self, shard: int) -> None:
        """Counts a request."""
        count = self._counts_by_shard.get(shard, 0.0)
        self._counts_by_shard[shard] = count + 1.0

    def rates(self, now_s: float) -> dict[int, float]:
        """Decays the counts and returns the requests per second by shard."""
        factor = 0.5 ** ((now_s - self._decayed_at_s) / HALF_LIFE_S)
        self._decayed_at_s = now_s
        self._counts_by_shard = {
            shard: count * factor
            for shard, count in self._counts_by_shard.items()
            if count * factor > 0.01
        }
        # At a constant rate the count converges to rate * mean lifetime.
        mean_life_s = HALF_LIFE_S / 0.6931  # ln 2
        return {
            shard: count / mean_life_s
            for shard, count in self._counts_by_shard.items()
        }


def weights_of(
    rates_by_shard: dict[int, float], shard_count: int
) -> tuple[float, ...]:
    """Returns the weight of each shard for placement.

    With too little traffic all shards get the same weight.
    """
    total = sum(rates_by_shard.values())
    if total < MIN_RATE_PER_S:
        return (1.0,) * shard_count
    floor = IDLE_WEIGHT_RATIO * total / shard_count
    return tuple(
        rates_by_shard.get(shard, 0.0) + floor for shard in range(shard_count)
    )


def needs_moves(
    owner_ids: tuple[str, ...],
    weights: tuple[float, ...],
    instance_ids: tuple[str, ...],
) -> bool:
    """Returns whether the load of an instance is too far from the mean."""
    loads_by_id = dict.fromkeys(instance_ids, 0.0)
    for owner_id, weight in zip(owner_ids, weights, strict=True):
        loads_by_id[owner_id] = loads_by_id.get(owner_id, 0.0) + weight
    mean = sum(weights) / len(instance_ids)
    overloaded = max(loads_by_id.values()) > MAX_LOAD_RATIO * mean
    underloaded = min(loads_by_id.values()) < MIN_LOAD_RATIO * mean
    return overloaded or underloaded

"""Load of shards as seen by the homes that send to their owners."""

HALF_LIFE_S = 10.0
LEAST_RATE_PER_S = 50.0  # Below it the shares of the shards are mere noise.
FLOOR_SHARE = 0.1  # Weight of an idle shard, as a share of the mean.
MOVE_AT_IMBALANCE = 1.2  # Greatest load over the mean that is left alone.
MOVE_AT_SHARE = 0.5  # Least load over the mean that is left alone.


class ShardLoads:
    """Requests a second of each shard, with older ones fading out."""

    def __init__(self, now_s: float):
        self._counts_by_shard: dict[int, float] = {}
        self._faded_s = now_s

    def record(self, shard: int) -> None:
        """Counts a request."""
        count = self._counts_by_shard.get(shard, 0.0)
        self._counts_by_shard[shard] = count + 1.0

    def rates(self, now_s: float) -> dict[int, float]:
        """Returns the requests a second by shard, as of now."""
        factor = 0.5 ** ((now_s - self._faded_s) / HALF_LIFE_S)
        self._faded_s = now_s
        self._counts_by_shard = {
            shard: count * factor
            for shard, count in self._counts_by_shard.items()
            if count * factor > 0.01
        }
        # A steady rate r settles at a count of r times the mean life.
        mean_life_s = HALF_LIFE_S / 0.6931
        return {
            shard: count / mean_life_s
            for shard, count in self._counts_by_shard.items()
        }


def weights_of(
    rates_by_shard: dict[int, float], shard_count: int
) -> tuple[float, ...]:
    """Returns the weight of each shard for placement.

    With too little traffic all shards count alike.
    """
    total = sum(rates_by_shard.values())
    if total < LEAST_RATE_PER_S:
        return (1.0,) * shard_count
    floor = FLOOR_SHARE * total / shard_count
    return tuple(
        rates_by_shard.get(shard, 0.0) + floor for shard in range(shard_count)
    )


def needs_moves(
    owner_ids: tuple[str, ...],
    weights: tuple[float, ...],
    instance_ids: tuple[str, ...],
) -> bool:
    """Returns whether an instance has far too much or far too little to do."""
    loads_by_id = dict.fromkeys(instance_ids, 0.0)
    for owner_id, weight in zip(owner_ids, weights, strict=True):
        loads_by_id[owner_id] = loads_by_id.get(owner_id, 0.0) + weight
    mean = sum(weights) / len(instance_ids)
    too_much = max(loads_by_id.values()) > MOVE_AT_IMBALANCE * mean
    too_little = min(loads_by_id.values()) < MOVE_AT_SHARE * mean
    return too_much or too_little

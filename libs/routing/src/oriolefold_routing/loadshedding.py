"""Load shedding for owners that all VMs together would overload.

The leader sees the requests for an owner of all VMs and says which part of them
it can take. A VM that sends it a request every few seconds cannot pace them, so
each VM admits that part at random, at the cost of the lower ranks.
"""

import collections

DECAY_PER_REQUEST = 0.98  # Of the work by rank, over about 50 requests.
INITIAL_TIME_S = 0.2  # Assumed for a rank until its first answer.
# Least part of a lower rank that is admitted. With it a caller that comes back
# once is served in 3 of 4 cases, however much the higher ranks need.
MIN_PROBABILITY = 0.5


class LoadShedding:
    """Work of each rank of a service at this VM, and who is admitted."""

    def __init__(self):
        self._work_by_rank: collections.Counter[int] = collections.Counter()

    def record(self, rank: int, time_s: float) -> None:
        """Records a new request.

        Args:
            rank: Its rank.
            time_s: Usual time to an answer of the rank, 0 if unknown.
        """
        for other in self._work_by_rank:
            self._work_by_rank[other] *= DECAY_PER_REQUEST
        self._work_by_rank[rank] += time_s or INITIAL_TIME_S

    def probability(self, rank: int, admitted: float) -> float:
        """Returns the probability with which a request is admitted.

        Higher ranks use the room first, so that a rank gets what they leave.
        The highest one is always admitted: nobody else has a use for its room,
        and some of its answers are late rather than rejected.

        Args:
            rank: Rank of the request.
            admitted: Part of all work for the owner that it can take.
        """
        total = self._work_by_rank.total()
        own = self._work_by_rank[rank]
        higher = sum(
            work for other, work in self._work_by_rank.items() if other < rank
        )
        if not higher:
            return 1.0
        if not own:
            return max(MIN_PROBABILITY, admitted)
        left = admitted * total - higher
        return min(1.0, max(MIN_PROBABILITY, left / own))

    def admits(self, rank: int, admitted: float, draw: float) -> bool:
        """Whether a request is admitted.

        Args:
            rank: Its rank.
            admitted: Part of all work for the owner that it can take.
            draw: Random number from 0 to 1.
        """
        return draw < self.probability(rank, admitted)

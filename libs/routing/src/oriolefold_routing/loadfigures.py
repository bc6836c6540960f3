"""Load that instances report in responses, and how long it stays valid."""

import dataclasses

USUAL_TIME_PERCENT = 100
# An instance is slow for 0.4 s at a time, so the reported time says nothing
# about a request that is sent later than that.
TIME_VALID_S = 0.4
TIME_SMOOTHING = 0.15  # Weight of a new answer in the time of an instance.
PRIOR_ANSWERS = 1.0  # Answers that the average of the service counts as.


@dataclasses.dataclass(frozen=True, slots=True)
class LoadFigures:
    """Load of an instance at the moment of a response.

    Attributes:
        running: Requests that it runs.
        waiting: Requests that wait there for a slot.
        slots: Requests that it can run at a time.
        time_percent: Current time of a request, relative to the usual one.
    """

    running: int
    waiting: int
    slots: int
    time_percent: int = USUAL_TIME_PERCENT


@dataclasses.dataclass(slots=True)
class KnownLoad:
    """What is known of the load of one instance.

    Attributes:
        figures: The newest figures.
        read_at_s: When the instance sent them, by the clock of this VM.
        sends_since: Requests of this VM sent since then.
        time_s: Moving average of the time of a request without queueing; 0 if
            unknown.
        answers: Answers in that average.
    """

    figures: LoadFigures
    read_at_s: float
    sends_since: int = 0
    time_s: float = 0.0
    answers: int = 0

    def record_figures(self, figures: LoadFigures, read_at_s: float) -> bool:
        """Records figures; returns whether they are newer than the known."""
        if read_at_s < self.read_at_s:
            return False
        self.figures = figures
        self.read_at_s = read_at_s
        self.sends_since = 0
        return True

    def record_answer(self, took_s: float) -> None:
        """Records the time to an answer, which came with the figures."""
        # The queue that the request met is estimated by the one behind it.
        time_s = took_s / (1 + self.figures.waiting / self.figures.slots)
        self.answers += 1
        weight = max(TIME_SMOOTHING, 1 / self.answers)
        self.time_s += weight * (time_s - self.time_s)

    def usual_time_s(self, typical_s: float) -> float:
        """Returns the expected time of a request without queueing.

        Args:
            typical_s: Average of the service, which counts as a few answers.
        """
        total_s = self.time_s * self.answers + typical_s * PRIOR_ANSWERS
        return total_s / (self.answers + PRIOR_ANSWERS)

    def time_factor(self, now_s: float) -> float:
        """Returns the expected time of a request over the usual time.

        The reported factor is discounted by its age.
        """
        age_s = max(0.0, now_s - self.read_at_s)
        if age_s >= TIME_VALID_S:
            return 1.0
        excess = self.figures.time_percent / USUAL_TIME_PERCENT - 1
        return 1 + excess * (1 - age_s / TIME_VALID_S)

    def weight(self, valid_s: float, now_s: float) -> float:
        """Returns how much the figures count, 1 when new and 0 when old.

        Args:
            valid_s: Age from which on they count for nothing.
            now_s: Current time.
        """
        return max(0.0, 1 - max(0.0, now_s - self.read_at_s) / valid_s)

    def requests(self, in_flight: int) -> int:
        """Returns the requests at the instance, with own ones sent since.

        Args:
            in_flight: Requests of this VM that have not ended.
        """
        figures = self.figures
        known = figures.running + figures.waiting + self.sends_since
        return max(known, in_flight)

    def others_wait(self, in_flight: int, now_s: float) -> bool:
        """Whether requests of other VMs wait there, by valid figures.

        Args:
            in_flight: Requests of this VM that have not ended.
            now_s: Current time.
        """
        return (
            now_s < self.read_at_s + TIME_VALID_S
            and self.figures.waiting > in_flight
        )

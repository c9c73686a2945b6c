"""Response times of targets, measured by the acknowledgements of callers.

Load pattern: servers of different age whose configured slots do not reflect their
speed. With equal shares, requests queue at the slow servers while the fast ones are
idle. A target's response time includes both its work and its queue, so a share
inverse to the response time falls as the queue grows and rises again when the queue
is gone.
"""

import typing

# A new sample has this weight in the exponentially weighted moving average.
SMOOTHING: typing.Final = 0.1
# A mean is used after this many samples, because work times differ by half of their
# mean.
MIN_SAMPLES: typing.Final = 8
# These bounds of a speed factor limit what a target can gain or lose by few or late
# samples.
MIN_FACTOR: typing.Final = 0.35
MAX_FACTOR: typing.Final = 1.6


class SmoothedAnswerTime(typing.NamedTuple):
    """Smoothed response time of a target.

    Attributes:
        mean_ms: Smoothed time to the first acknowledged part of a response.
        samples: Number of responses that were measured.
    """

    mean_ms: float
    samples: int


class AnswerTimes:
    """Response times by cookie, as measured by this VM.

    Attributes:
        changed: Cookies with new records or without their former records, since the
            set was last emptied.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self.changed: set[int] = set()
        self._answers: dict[int, SmoothedAnswerTime] = {}

    def record(self, cookie: int, answer_ms: int) -> None:
        """Record the time of one response."""
        self.changed.add(cookie)
        previous = self._answers.get(cookie)
        if previous is None:
            self._answers[cookie] = SmoothedAnswerTime(float(answer_ms), 1)
            return
        # The first samples are averaged with equal weights, so that a slow response
        # at the start does not dominate the mean for long.
        weight = max(SMOOTHING, 1 / (previous.samples + 1))
        mean_ms = previous.mean_ms + weight * (answer_ms - previous.mean_ms)
        self._answers[cookie] = SmoothedAnswerTime(mean_ms, previous.samples + 1)

    def mean_ms(self, cookie: int) -> float | None:
        """Return a target's smoothed response time; None with too few samples."""
        previous = self._answers.get(cookie)
        if previous is None or previous.samples < MIN_SAMPLES:
            return None
        return max(1.0, previous.mean_ms)

    def retain(self, cookies: typing.Collection[int]) -> None:
        """Delete the records of all other targets."""
        for cookie in [item for item in self._answers if item not in cookies]:
            del self._answers[cookie]
            self.changed.add(cookie)


def speed_factors(means_ms: typing.Mapping[int, float | None]) -> dict[int, float]:
    """Return the factor for the slots of each target.

    Args:
        means_ms: Response times of the targets of one service by cookie, None for
            unknown ones.

    Returns:
        The factors by cookie, 1 for a target of usual or unknown speed.
    """
    measured_ms = [value for value in means_ms.values() if value is not None]
    if len(measured_ms) < 2:
        return dict.fromkeys(means_ms, 1.0)
    # This is the harmonic mean of the times, which averages speeds. With the
    # arithmetic mean, one very slow target would make all others look fast.
    usual_ms = len(measured_ms) / sum(1 / value for value in measured_ms)
    return {
        cookie: 1.0 if value is None else _factor(usual_ms, value)
        for cookie, value in means_ms.items()
    }


def _factor(usual_ms: float, mean_ms: float) -> float:
    return max(MIN_FACTOR, min(MAX_FACTOR, usual_ms / mean_ms))

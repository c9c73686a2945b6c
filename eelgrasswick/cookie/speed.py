"""How fast targets answer, by what callers acknowledge.

Load pattern: servers bought over years whose claimed slots say nothing of
their speed. With equal shares the slow ones queue while the fast ones idle. A
target's answer time holds both its work and its queue, so a share that is
inverse to it falls as the queue grows and rises again when it is gone.
"""

import typing

SMOOTHING: typing.Final = 0.1
# Answers before a mean counts; work times differ by half of their mean.
MIN_SAMPLES: typing.Final = 8
# What a target can gain or lose by few answers, or late ones, at most.
MIN_FACTOR: typing.Final = 0.35
MAX_FACTOR: typing.Final = 1.6


class SmoothedAnswerTime(typing.NamedTuple):
    """Smoothed answer time of a target.

    Attributes:
        mean_ms: Smoothed time to the first acknowledged part of an answer.
        samples: Number of answers that went into it.
    """

    mean_ms: float
    samples: int


class AnswerTimes:
    """Answer times by cookie, as this VM sees them."""

    def __init__(self) -> None:
        """Know no target."""
        self._answers: dict[int, SmoothedAnswerTime] = {}

    def record(self, cookie: int, answer_ms: int) -> None:
        """Note how long an answer took."""
        known = self._answers.get(cookie)
        if known is None:
            self._answers[cookie] = SmoothedAnswerTime(float(answer_ms), 1)
            return
        # The first answers are averaged, so that one slow one at the start does
        # not count for long.
        part = max(SMOOTHING, 1 / (known.samples + 1))
        mean_ms = known.mean_ms + part * (answer_ms - known.mean_ms)
        self._answers[cookie] = SmoothedAnswerTime(mean_ms, known.samples + 1)

    def mean_ms(self, cookie: int) -> float | None:
        """Return a target's smoothed answer time, once enough is known."""
        known = self._answers.get(cookie)
        if known is None or known.samples < MIN_SAMPLES:
            return None
        return max(1.0, known.mean_ms)

    def keep(self, cookies: typing.Collection[int]) -> None:
        """Forget all other targets."""
        for cookie in [item for item in self._answers if item not in cookies]:
            del self._answers[cookie]


def speed_factors(means_ms: typing.Mapping[int, float | None]) -> dict[int, float]:
    """Return what each target's slots are to be multiplied with.

    Args:
        means_ms: Answer times of the targets of one service, None for unknown.

    Returns:
        By cookie, 1 for a target of usual or unknown speed.
    """
    known = [value for value in means_ms.values() if value is not None]
    if len(known) < 2:
        return dict.fromkeys(means_ms, 1.0)
    # The mean of speeds, not of times: one very slow target would make all
    # others look fast.
    usual_ms = len(known) / sum(1 / value for value in known)
    return {
        cookie: 1.0 if value is None else _factor(usual_ms, value)
        for cookie, value in means_ms.items()
    }


def _factor(usual_ms: float, mean_ms: float) -> float:
    return max(MIN_FACTOR, min(MAX_FACTOR, usual_ms / mean_ms))

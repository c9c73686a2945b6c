"""Limit of requests in flight at each target, as kept by the scheduler of its group.

Load pattern: more requests than the targets can serve, at targets of unequal speed.
With a limit that is too low, slots idle while a request is in transit; with one that is
too high, requests queue at the target, where an urgent request can't be served first,
and the target rejects them when its own queue is full.

The limit follows the throughput and the residence time of the requests of all VMs. Both
are means over windows of responses, because a few long requests among short ones make
single responses, and also single windows, look slow.
"""

import enum
import math
import typing

# A window ends after this number of responses and this time, whichever is later, and
# at the latest after ``MAX_WINDOW_MS``.
WINDOW_RESPONSES: typing.Final = 16
WINDOW_MS: typing.Final = 500
MAX_WINDOW_MS: typing.Final = 2000
# The mean of fewer responses does not change the limit.
MIN_RESPONSES: typing.Final = 4
# Limit at the start, and number of slots for the upper bound, when slots are unknown.
UNKNOWN_SLOTS: typing.Final = 4
# With one queued request per slot, a request stays for the time of two. The shortest
# residence time contains the transit and the wait for the acknowledgement too, so that
# the queue may be longer than that where these take long.
MAX_RESIDENCE_RATIO: typing.Final = 2.0
# The limit is lowered after so many slow windows in a row. One of 25 responses often
# has several of the requests that take seven times as long.
SLOW_WINDOWS: typing.Final = 2
# The shortest residence time approaches that of each slower window by this share.
SHORTEST_RISE: typing.Final = 0.01
# The target counts as being at its limit when it was there for this share of a window.
AT_LIMIT_SHARE: typing.Final = 0.5
# Throughput counts as risen when it grew by this share of the growth of the limit. At
# a target whose slots are all busy, it does not grow.
MIN_GAIN: typing.Final = 0.4
# The limit is raised after so many windows at the limit, because the throughput of a
# single window varies by more than one limit differs from the next.
MIN_WINDOWS: typing.Final = 4
# Weight of a window in the throughput at a limit, once there are enough windows.
THROUGHPUT_WEIGHT: typing.Final = 0.2
# Without a measurement at another limit, a residence time up to this multiple of the
# shortest one shows that no queue forms at the limit.
NO_QUEUE_RATIO: typing.Final = 1.15
# Requests that were sent before the limit was lowered may still be rejected, so further
# rejections within this time don't lower it again.
REJECTION_SPACING_MS: typing.Final = 100
# After a rejection the limit is not raised for this time. Otherwise a target that is
# full at the next limit would reject requests every few windows.
REJECTION_HOLD_MS: typing.Final = 5000
# Weight of a window's mean in the estimate of the residence time.
MEAN_WEIGHT: typing.Final = 0.3


class Reason(enum.StrEnum):
    """Why a limit was changed."""

    THROUGHPUT = "throughput"
    RESIDENCE = "residence"
    REJECTION = "rejection"


class LimitChange(typing.NamedTuple):
    """A change of a target's limit, with its inputs.

    Attributes:
        cookie: The target's cookie.
        before: The former limit.
        after: The new limit.
        reason: Why it was changed.
        residence_ms: Mean residence time of the window, or the present estimate after
            a rejection; None when unknown.
        shortest_ms: The shortest usual residence time; None when unknown.
        in_flight: Mean requests in flight in the window, or the present ones after a
            rejection.
    """

    cookie: int
    before: int
    after: int
    reason: Reason
    residence_ms: float | None
    shortest_ms: float | None
    in_flight: float


class _Window(typing.NamedTuple):
    """Means over a window."""

    in_flight: float
    residence_ms: float

    @property
    def throughput(self) -> float:
        """Responses per millisecond, by Little's law."""
        return self.in_flight / self.residence_ms


class _Throughput:
    """Mean throughput while a target was at one limit."""

    __slots__ = ("per_ms", "windows")

    def __init__(self) -> None:
        self.per_ms = 0.0
        self.windows = 0

    def add(self, per_ms: float) -> None:
        self.windows += 1
        weight = max(THROUGHPUT_WEIGHT, 1 / self.windows)
        self.per_ms += weight * (per_ms - self.per_ms)


class _State:
    __slots__ = (
        "at_limit_ms",
        "busy_ms",
        "completed",
        "in_flight",
        "in_flight_ms",
        "limit",
        "lowered_ms",
        "mean_ms",
        "recorded_ms",
        "seen_below",
        "shortest_ms",
        "slots",
        "slow_windows",
        "start_ms",
        "throughput",
        "windows",
    )

    def __init__(self, now_ms: int, slots: int) -> None:
        self.slots = slots
        self.limit = _initial_limit(slots)
        self.lowered_ms: int | None = None
        self.mean_ms: float | None = None
        self.shortest_ms: float | None = None
        # Whether a window was measured in which the limit was never reached.
        self.seen_below = False
        self.throughput: dict[int, _Throughput] = {}
        # Windows at the present limit since the last change.
        self.windows = 0
        self.slow_windows = 0
        self.in_flight = 0
        self.recorded_ms = now_ms
        self.begin_window(now_ms)

    def begin_window(self, now_ms: int) -> None:
        self.start_ms = now_ms
        self.completed = 0
        self.busy_ms = 0.0
        self.in_flight_ms = 0
        self.at_limit_ms = 0

    def add(self, now_ms: int, in_flight: int, completed: int, busy_ms: float) -> None:
        """Add a record. The former number in flight was valid until now."""
        span_ms = max(0, now_ms - self.recorded_ms)
        self.in_flight_ms += span_ms * self.in_flight
        self.at_limit_ms += span_ms * (self.in_flight >= self.limit)
        self.recorded_ms = max(now_ms, self.recorded_ms)
        self.in_flight = in_flight
        self.completed += completed
        self.busy_ms += busy_ms

    def window_ended(self, now_ms: int) -> bool:
        age_ms = now_ms - self.start_ms
        full = self.completed >= WINDOW_RESPONSES and age_ms >= WINDOW_MS
        return full or age_ms >= MAX_WINDOW_MS


class TargetLimits:
    """Limits of requests in flight by target."""

    def __init__(self) -> None:
        """Create a table without targets."""
        self._states: dict[int, _State] = {}

    def limit(self, cookie: int, slots: int) -> int:
        """Return how many requests may be in flight at a target.

        Args:
            cookie: The target's cookie.
            slots: Requests that it handles concurrently; 0 when unknown.
        """
        state = self._states.get(cookie)
        if state is None or state.slots != slots:
            return _initial_limit(slots)
        return state.limit

    def record(
        self,
        now_ms: int,
        cookie: int,
        slots: int,
        in_flight: int,
        completed: int,
        busy_ms: float,
        rejected: int,
    ) -> LimitChange | None:
        """Record the use of a target by all VMs; return the change of its limit.

        A target whose number of slots changes starts again.

        Args:
            now_ms: Present time in milliseconds.
            cookie: The target's cookie.
            slots: Requests that it handles concurrently; 0 when unknown.
            in_flight: Requests in flight at present.
            completed: Responses since the last call.
            busy_ms: Sum of the times of these responses.
            rejected: Rejections by the target since the last call.
        """
        state = self._states.get(cookie)
        if state is None or state.slots != slots:
            state = self._states[cookie] = _State(now_ms, slots)
        # The report of a rejection also ends the rejected request, so the former count
        # is the one at which the target rejected it.
        highest = max(in_flight, state.in_flight)
        state.add(now_ms, in_flight, completed, busy_ms)
        before = state.limit
        # Above the limit, flows that reserved nothing filled the target, so that its
        # rejections do not show the limit to be too high.
        if rejected and highest <= before:
            if not _lower_after_rejection(state, now_ms):
                return None
            return LimitChange(
                cookie,
                before,
                state.limit,
                Reason.REJECTION,
                state.mean_ms,
                state.shortest_ms,
                in_flight,
            )
        if not state.window_ended(now_ms):
            return None
        return _end_window(state, now_ms, cookie)

    def mean_ms(self, cookie: int) -> float | None:
        """Return the mean residence time of a request; None when unknown."""
        state = self._states.get(cookie)
        if state is None:
            return None
        if state.mean_ms is None and state.completed >= MIN_RESPONSES:
            return state.busy_ms / state.completed
        return state.mean_ms

    def retain(self, cookies: typing.Collection[int]) -> None:
        """Delete the records of all other targets."""
        for cookie in [item for item in self._states if item not in cookies]:
            del self._states[cookie]


def _initial_limit(slots: int) -> int:
    # A request is in transit, its response waits for an acknowledgement, or its end is
    # not reported yet, for up to the time of its work. One further request for each
    # slot, and one for all, keep the slots busy meanwhile.
    return 2 * slots + 1 if slots else UNKNOWN_SLOTS


def _min_limit(slots: int) -> int:
    # Below two requests for each slot, slots idle while requests are in transit.
    return max(1, 2 * slots)


def _max_limit(slots: int) -> int:
    return 3 * (slots or UNKNOWN_SLOTS) + 2


def _lower(state: _State) -> bool:
    """Lower the limit by one; return False if it is at its minimum."""
    if state.limit <= _min_limit(state.slots):
        return False
    state.limit -= 1
    state.windows = 0
    return True


def _lower_after_rejection(state: _State, now_ms: int) -> bool:
    last_ms = state.lowered_ms
    if last_ms is not None and now_ms - last_ms < REJECTION_SPACING_MS:
        return False
    if not _lower(state):
        return False
    state.lowered_ms = now_ms
    # A window from before the rejection must not raise the limit again.
    state.begin_window(now_ms)
    return True


def _end_window(state: _State, now_ms: int, cookie: int) -> LimitChange | None:
    span_ms = now_ms - state.start_ms
    completed, busy_ms = state.completed, state.busy_ms
    in_flight = state.in_flight_ms / span_ms
    at_limit = state.at_limit_ms >= AT_LIMIT_SHARE * span_ms
    never_at_limit = not state.at_limit_ms
    state.begin_window(now_ms)
    if not completed or busy_ms <= 0:
        return None
    window = _Window(in_flight, busy_ms / completed)
    before_ms = window.residence_ms if state.mean_ms is None else state.mean_ms
    state.mean_ms = before_ms + MEAN_WEIGHT * (window.residence_ms - before_ms)
    if completed < MIN_RESPONSES:
        return None
    state.seen_below = state.seen_below or never_at_limit
    reason, before = _adjust(state, now_ms, window, at_limit), state.limit
    if reason is None:
        return None
    if reason is Reason.THROUGHPUT:
        state.limit += 1
        state.windows = 0
        state.throughput.pop(state.limit, None)
    elif not _lower(state):
        return None
    return LimitChange(
        cookie,
        before,
        state.limit,
        reason,
        window.residence_ms,
        state.shortest_ms,
        window.in_flight,
    )


def _adjust(
    state: _State, now_ms: int, window: _Window, at_limit: bool
) -> Reason | None:
    """Compare a window with earlier ones; return why to change the limit."""
    shortest_ms = math.inf if state.shortest_ms is None else state.shortest_ms
    slow = window.residence_ms > MAX_RESIDENCE_RATIO * shortest_ms
    state.slow_windows = state.slow_windows + 1 if slow else 0
    if window.residence_ms <= shortest_ms:
        state.shortest_ms = window.residence_ms
    else:
        state.shortest_ms = shortest_ms + SHORTEST_RISE * (
            window.residence_ms - shortest_ms
        )
    if at_limit:
        state.windows += 1
        measured = state.throughput.setdefault(state.limit, _Throughput())
        measured.add(window.throughput)
    if state.slow_windows >= SLOW_WINDOWS:
        state.slow_windows = 0
        return Reason.RESIDENCE
    if at_limit and not slow and _should_raise(state, now_ms):
        return Reason.THROUGHPUT
    return None


def _should_raise(state: _State, now_ms: int) -> bool:
    limit, lowered_ms = state.limit, state.lowered_ms
    if lowered_ms is not None and now_ms - lowered_ms < REJECTION_HOLD_MS:
        return False
    if state.windows < MIN_WINDOWS or limit >= _max_limit(state.slots):
        return False
    # The next limit was measured if the limit was lowered since.
    if limit + 1 in state.throughput:
        return _throughput_rose(state, limit, limit + 1)
    if limit - 1 in state.throughput:
        return _throughput_rose(state, limit - 1, limit)
    if limit < _initial_limit(state.slots) or not state.slots:
        # A target of unknown size may never have been seen below its limit, so its
        # limit is raised once to get a second measurement.
        return True
    assert state.mean_ms is not None and state.shortest_ms is not None
    return state.seen_below and state.mean_ms <= NO_QUEUE_RATIO * state.shortest_ms


def _throughput_rose(state: _State, lower: int, higher: int) -> bool:
    # Up to the initial limit, requests in transit let throughput rise by less.
    returns = state.limit < _initial_limit(state.slots)
    needed = MIN_GAIN / 2 if returns else MIN_GAIN
    gain = state.throughput[higher].per_ms / max(state.throughput[lower].per_ms, 1e-9)
    return gain - 1 >= needed / lower

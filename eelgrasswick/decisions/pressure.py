"""Detection of pools whose load approaches or exceeds their capacity.

Load pattern: a pool has too few targets for the load, for minutes or at a daily peak.
Each VM then fills targets by the few flows that it sees itself, so that some targets
reject requests while others have free slots. Reservations prevent that, but cost a
message in each direction, so they are used only while a pool is under pressure.

The estimate of the load comes from few flows of a VM and is noisy. If one sample could
begin pressure, pools with enough capacity would use reservations all the time. If
pressure ended with its last sign, it would begin and end several times a second at a
load near the threshold.
"""

import collections
import enum
import math
import statistics
import typing

from eelgrasswick.decisions import overload

# Above this load, queues form through random variation.
PRESSED_LOAD: typing.Final = 0.8
SMOOTHING_MS: typing.Final = 1000
REJECTION_WINDOW_MS: typing.Final = 1000
# Pressure ends this long after its last sign.
HOLD_MS: typing.Final = 3000
# The median of so many samples is smoothed, so that a single sample has no effect.
MEDIAN_SAMPLES: typing.Final = 3
# A sample stands for at most this time. Otherwise one sample after a pause would
# replace the smoothed load.
MAX_SAMPLE_MS: typing.Final = 500
# Higher loads are capped, so that the smoothed load falls soon after a peak.
MAX_LOAD: typing.Final = 2.0


class Sign(enum.StrEnum):
    """Why a pool counts as being under pressure."""

    LOAD = "load"
    REJECTIONS = "rejections"
    NOTICE = "notice"


class Change(typing.NamedTuple):
    """Begin or end of pressure on a pool.

    Attributes:
        at_ms: When it changed, in milliseconds.
        pool: The pool.
        begun: True at the begin, False at the end.
        own: Whether this VM found the sign itself. Only a begin with an own sign may
            cause notices; otherwise notices would keep each other alive.
        reason: The sign that began the pressure, or the last sign before its end.
        load: The smoothed load, as a share of the slots.
        in_flight: The last estimate of requests in flight.
        slots: The slots of that estimate.
        rejections: Rejections since the pressure began, or at its begin the ones that
            are not older than ``REJECTION_WINDOW_MS``.
    """

    at_ms: int
    pool: overload.Pool
    begun: bool
    own: bool
    reason: Sign
    load: float
    in_flight: float
    slots: float
    rejections: int


class _State:
    __slots__ = (
        "in_flight",
        "load",
        "own_ms",
        "pressed",
        "reason",
        "rejected_ms",
        "rejections",
        "sampled_ms",
        "samples",
        "sign_ms",
        "slots",
    )

    def __init__(self) -> None:
        self.samples: collections.deque[float] = collections.deque(
            maxlen=MEDIAN_SAMPLES
        )
        self.sampled_ms = 0
        self.load = 0.0
        self.in_flight = 0.0
        self.slots = 0.0
        self.rejected_ms: int | None = None
        self.rejections = 0
        self.pressed = False
        self.reason = Sign.LOAD
        self.sign_ms = 0
        self.own_ms: int | None = None


class Pressure:
    """Which pools are under pressure, as known to this VM."""

    def __init__(self) -> None:
        """Create a record in which no pool is under pressure."""
        self._states: dict[overload.Pool, _State] = {}
        self._pressed: set[overload.Pool] = set()
        self._changes: list[Change] = []

    def record_load(
        self, now_ms: int, pool: overload.Pool, in_flight: float, slots: float
    ) -> None:
        """Record an estimate of the load of a whole pool.

        Args:
            now_ms: Present time in milliseconds.
            pool: The pool.
            in_flight: Requests in flight at all its targets.
            slots: Requests that all its targets handle concurrently. An estimate
                without slots is ignored.
        """
        if slots <= 0:
            return
        state = self._state(pool)
        state.in_flight, state.slots = in_flight, slots
        _smooth(state, now_ms, min(MAX_LOAD, in_flight / slots))
        if state.load >= PRESSED_LOAD:
            self._sign(now_ms, pool, state, Sign.LOAD)

    def record_rejection(self, now_ms: int, pool: overload.Pool) -> None:
        """Record that a target of a pool answered that it is full."""
        state = self._state(pool)
        last_ms, state.rejected_ms = state.rejected_ms, now_ms
        again = last_ms is not None and now_ms - last_ms <= REJECTION_WINDOW_MS
        if not again and not state.pressed:
            state.rejections = 0
        state.rejections += 1
        if again:
            self._sign(now_ms, pool, state, Sign.REJECTIONS)

    def record_notice(self, now_ms: int, pool: overload.Pool) -> None:
        """Record that another VM found a pool to be under pressure."""
        self._sign(now_ms, pool, self._state(pool), Sign.NOTICE)

    def pressed(self, now_ms: int, pool: overload.Pool) -> bool:
        """Return whether a pool is under pressure."""
        if pool not in self._pressed:
            return False
        return now_ms - self._states[pool].sign_ms < HOLD_MS

    def has_own_sign(self, now_ms: int, pool: overload.Pool) -> bool:
        """Return whether this VM itself found a sign within ``HOLD_MS``."""
        state = self._states.get(pool)
        if state is None or state.own_ms is None:
            return False
        return now_ms - state.own_ms < HOLD_MS

    def take_changes(self, now_ms: int) -> list[Change]:
        """Return the changes since the last call, the oldest first."""
        for pool in list(self._pressed):
            self._end_if_over(now_ms, pool, self._states[pool])
        changes, self._changes = self._changes, []
        return changes

    def retain(self, pools: typing.Collection[overload.Pool]) -> None:
        """Delete the state of all other pools, without a change for them."""
        for pool in [item for item in self._states if item not in pools]:
            del self._states[pool]
            self._pressed.discard(pool)

    def _state(self, pool: overload.Pool) -> _State:
        state = self._states.get(pool)
        if state is None:
            state = self._states[pool] = _State()
        return state

    def _sign(
        self, now_ms: int, pool: overload.Pool, state: _State, reason: Sign
    ) -> None:
        self._end_if_over(now_ms, pool, state)
        state.sign_ms = now_ms
        state.reason = reason
        if reason is not Sign.NOTICE:
            state.own_ms = now_ms
        if not state.pressed:
            state.pressed = True
            self._pressed.add(pool)
            own = reason is not Sign.NOTICE
            self._changes.append(_change(now_ms, pool, state, own))

    def _end_if_over(self, now_ms: int, pool: overload.Pool, state: _State) -> None:
        if not state.pressed or now_ms - state.sign_ms < HOLD_MS:
            return
        state.pressed = False
        self._pressed.discard(pool)
        own = state.reason is not Sign.NOTICE
        self._changes.append(_change(state.sign_ms + HOLD_MS, pool, state, own))
        state.rejections = 0


def _smooth(state: _State, now_ms: int, load: float) -> None:
    span_ms = now_ms - state.sampled_ms
    if span_ms > HOLD_MS:
        # Samples from before a pause say nothing about the present load.
        state.samples.clear()
        state.load = 0.0
    state.sampled_ms = now_ms
    state.samples.append(load)
    if len(state.samples) < MEDIAN_SAMPLES:
        return
    weight = 1 - math.exp(-min(span_ms, MAX_SAMPLE_MS) / SMOOTHING_MS)
    state.load += weight * (statistics.median(state.samples) - state.load)


def _change(at_ms: int, pool: overload.Pool, state: _State, own: bool) -> Change:
    return Change(
        at_ms,
        pool,
        state.pressed,
        own,
        state.reason,
        state.load,
        state.in_flight,
        state.slots,
        state.rejections,
    )

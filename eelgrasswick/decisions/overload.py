"""Load shedding: the share of new flows to refuse while answers are late.

Load pattern: for a while callers send more requests than the targets can serve, as when
many come at once or a zone is cut off with too few targets. Every queue fills, so that
nearly every answer is late, and retries keep the queues full although all slots work.
Callers are served better if some flows are refused at once and the others are answered
in time.

A VM measures the answer times of its own flows only, some tens a second. From them it
controls the share that it refuses, as a router controls the share of packets that it
drops (RFC 8033, "Proportional Integral Controller Enhanced"): the share rises while
answers take longer than they should, and falls when they do not. No counts of other VMs
are used. Such counts are a second old, and VMs that follow them all refuse flows
together and all admit flows together.

Nothing is refused before most answers were late for a while, so that stragglers, a slow
target or a lost packet cause no refusals.
"""

import collections
import math
import typing

# Answer times are smoothed with this time constant, a third of the time in which a
# queue that is too long can be worked off.
SMOOTHING_MS: typing.Final = 100
# A new answer has at least this weight. Without a minimum, answers that come together
# would have no weight.
MIN_WEIGHT: typing.Final = 0.2
# Ratios above this one are capped. The lateness of an answer measures only how long the
# queue was, and that is known already.
MAX_RATIO: typing.Final = 2.0
# The queue may take this share of the time between the usual answer time and the
# objective. With less, slots would idle when several short requests come in a row.
QUEUE_SHARE: typing.Final = 0.4
# This ratio of answer time to objective is assumed to be usual until enough answers
# were measured.
INITIAL_USUAL_RATIO: typing.Final = 0.2
# These are the gains of the controller: by how much of the excess the refused share
# rises in one control interval, and by how much of the change of the excess it rises at
# once. The integral term converges to the share, and the proportional term damps its
# oscillation.
CONTROL_INTERVAL_MS: typing.Final = 100
INTEGRAL_GAIN: typing.Final = 0.1
PROPORTIONAL_GAIN: typing.Final = 0.5
# After this time without answers the load is unknown, and the refused share decays with
# the time constant ``FADE_MS``.
STALE_MS: typing.Final = 200
FADE_MS: typing.Final = 500
# The share of late answers is smoothed over some twenty of them. An overload begins
# above ``BEGIN_LATE_SHARE`` and ends below ``END_LATE_SHARE``.
LATE_SMOOTHING: typing.Final = 0.05
BEGIN_LATE_SHARE: typing.Final = 0.5
END_LATE_SHARE: typing.Final = 0.02
# Refused shares below this one count as none.
END_REFUSED_SHARE: typing.Final = 0.02
# This share is refused at the start of an overload; most answers are late by then.
INITIAL_REFUSED_SHARE: typing.Final = 0.5
# The usual answer time is smoothed with this weight. From this share of late answers on
# it is not updated.
USUAL_SMOOTHING: typing.Final = 0.02
USUAL_LATE_SHARE: typing.Final = 0.1
# The lowest ratio rises by this factor with each further answer.
MIN_RATIO_RISE: typing.Final = 1.005
# A first acknowledgement covers at most this many bytes, two full packets. An
# acknowledgement that covers more follows another one that was lost. Compared with its
# length, all other answers would look short.
MAX_FIRST_ACK_BYTES: typing.Final = 2400
# Answers shorter than this share of the longest ones are treated as refusals. The
# recorded length decays by the second factor with each answer.
REFUSAL_LENGTH_SHARE: typing.Final = 0.25
# A refusal is a status line with a few headers. Longer answers are no refusals, however
# long other answers of the route are.
MAX_REFUSAL_BYTES: typing.Final = 256
LENGTH_DECAY: typing.Final = 0.999
# A priority level counts while it has this share of a service's new flows, in the
# present window of this length and the one before.
MIN_LEVEL_SHARE: typing.Final = 0.05
LEVEL_WINDOW_MS: typing.Final = 5000

# This type has counts of flows by service and priority.
_Counts = dict[str, collections.Counter[int]]


class Pool(typing.NamedTuple):
    """Targets that are interchangeable for a VM: those of a service in a zone."""

    service: str
    zone: str


class Rank(typing.NamedTuple):
    """How urgent a flow is among those of its service.

    Attributes:
        above: How many priority levels are more urgent than its own.
        levels: How many priority levels there are.
    """

    above: int
    levels: int


class ResponseSizes:
    """Usual lengths of the answers of each route, to distinguish refusals.

    A VM can't read answers but detects how much of them callers acknowledge. A target
    that is full refuses at once and in few bytes. If refusals were treated as answers
    in time, each would indicate that the target has room.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self._longest: dict[str, float] = {}

    def refused(self, route: str, answer_bytes: int) -> bool:
        """Record an answer; return whether it is much shorter than usual.

        Args:
            route: Name of the route of the request.
            answer_bytes: How much of the answer the caller's first acknowledgement
                covers.
        """
        first = min(answer_bytes, MAX_FIRST_ACK_BYTES)
        longest = max(first, self._longest.get(route, 0.0) * LENGTH_DECAY)
        self._longest[route] = longest
        short = answer_bytes < REFUSAL_LENGTH_SHARE * longest
        return short and answer_bytes <= MAX_REFUSAL_BYTES

    def retain(self, routes: typing.Collection[str]) -> None:
        """Delete the records of all other routes."""
        for route in [item for item in self._longest if item not in routes]:
            del self._longest[route]


class PriorityLevels:
    """Priority levels that recent flows of each service had.

    The levels that a configuration lists are not used: routes without traffic would
    take room from routes with traffic.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self._window_start_ms = 0
        self._flows: _Counts = {}
        self._previous: _Counts = {}

    def opened(self, now_ms: int, service: str, priority: int) -> None:
        """Record a new flow."""
        if now_ms - self._window_start_ms >= LEVEL_WINDOW_MS:
            self._window_start_ms = now_ms
            self._previous, self._flows = self._flows, {}
        self._flows.setdefault(service, collections.Counter())[priority] += 1

    def rank(self, service: str, priority: int) -> Rank:
        """Return the rank of a priority among the flows of a service."""
        empty: collections.Counter[int] = collections.Counter()
        levels = self._previous.get(service, empty) + self._flows.get(service, empty)
        min_flows = levels.total() * MIN_LEVEL_SHARE
        counted = [level for level, n in levels.items() if n >= min_flows]
        above = sum(level < priority for level in counted)
        below = sum(level > priority for level in counted)
        return Rank(above, above + 1 + below)


class _State:
    __slots__ = ("at_ms", "late", "limiting", "refused", "lowest", "ratio", "usual")

    def __init__(self, now_ms: int, ratio: float) -> None:
        self.at_ms = now_ms
        self.ratio = ratio
        self.usual = INITIAL_USUAL_RATIO
        self.late = 0.0
        self.limiting = False
        self.refused = 0.0
        self.lowest = math.inf

    @property
    def setpoint(self) -> float:
        """Answer time over objective to which the controller steers."""
        return self.usual + QUEUE_SHARE * (1 - self.usual)


class LoadShedder:
    """The share of new flows to refuse for each pool, as measured by this VM.

    The refused share ranges up to the number of priority levels: the least urgent level
    is refused whole before any flow of the next one is.

    Attributes:
        changed: Pools whose overload began or ended since the list was last emptied.
    """

    def __init__(self, enabled: bool = True) -> None:
        """Create a shedder in which no pool is overloaded.

        Args:
            enabled: False to refuse nothing.
        """
        self.changed: list[Pool] = []
        self._enabled = enabled
        self._states: dict[Pool, _State] = {}

    def answered(
        self, now_ms: int, pool: Pool, ratio: float, refused: bool, levels: int
    ) -> None:
        """Update the state of a pool from an answer.

        Args:
            now_ms: Present time in milliseconds.
            pool: The pool of the target that answered.
            ratio: Answer time over the latency objective of the route.
            refused: True when the answer is a refusal of the target.
            levels: Priority levels among the flows of the service.
        """
        ratio = min(MAX_RATIO, max(ratio, 1.0) if refused else ratio)
        state = self._states.get(pool)
        if state is None:
            state = self._states[pool] = _State(now_ms, ratio)
        span_ms = min(CONTROL_INTERVAL_MS, now_ms - state.at_ms)
        state.at_ms = now_ms
        if not refused:
            state.lowest = min(ratio, state.lowest * MIN_RATIO_RISE)
        before = state.ratio
        weight = max(MIN_WEIGHT, 1 - math.exp(-span_ms / SMOOTHING_MS))
        state.ratio += weight * (ratio - state.ratio)
        state.late += LATE_SMOOTHING * ((ratio >= 1.0) - state.late)
        limiting = state.limiting
        if limiting:
            _control(state, span_ms / CONTROL_INTERVAL_MS, before, levels)
        elif self._enabled:
            _detect_overload(state, ratio)
        if state.limiting != limiting:
            self.changed.append(pool)

    def refused_share(self, now_ms: int, pool: Pool, rank: Rank) -> float:
        """Return the share of new flows of a rank to refuse, 0 to 1."""
        state = self._states.get(pool)
        if state is None or not state.limiting:
            return 0.0
        silent_ms = max(0, now_ms - state.at_ms - STALE_MS)
        part = state.refused * math.exp(-silent_ms / FADE_MS)
        return min(1.0, max(0.0, part - (rank.levels - 1 - rank.above)))

    def retain(self, pools: typing.Collection[Pool]) -> None:
        """Delete the state of all other pools."""
        for pool in [item for item in self._states if item not in pools]:
            del self._states[pool]

    def refused_levels(self, pool: Pool) -> float:
        """Return the refused share, up to the number of priority levels."""
        state = self._states.get(pool)
        return 0.0 if state is None else state.refused

    def limiting(self, pool: Pool) -> bool:
        """Return whether a pool is overloaded."""
        state = self._states.get(pool)
        return state is not None and state.limiting

    def ratio(self, pool: Pool) -> float:
        """Return the smoothed answer time of a pool over its objective."""
        state = self._states.get(pool)
        return 0.0 if state is None else state.ratio


def _detect_overload(state: _State, ratio: float) -> None:
    if state.late < USUAL_LATE_SHARE:
        state.usual += USUAL_SMOOTHING * (ratio - state.usual)
    # Where not even the quickest answer is in time, the objective can't be met, and
    # refusing some flows would help no other flow.
    if state.late > BEGIN_LATE_SHARE and state.lowest < 1.0:
        state.limiting = True
        state.refused = INITIAL_REFUSED_SHARE


def _control(state: _State, spans: float, before: float, levels: int) -> None:
    rise = INTEGRAL_GAIN * (state.ratio - state.setpoint) * spans
    swing = PROPORTIONAL_GAIN * (state.ratio - before)
    state.refused = min(float(levels), max(0.0, state.refused + rise + swing))
    # Few answers are late while enough flows are refused, so a low share of late
    # answers alone does not end the overload.
    if state.late < END_LATE_SHARE and state.refused < END_REFUSED_SHARE:
        state.limiting = False

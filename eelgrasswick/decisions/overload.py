"""Which part of new flows is turned away while targets can't answer in time.

Load pattern: for a while callers ask for more than the targets can do, as when
many come at once or a zone is cut off with too few targets. Every queue fills, so
that nearly every answer is late, and retries keep it so although all slots work.
Callers are served better if some flows are turned away at once and the others are
answered in time.

A VM sees the answer times of its own flows only, some tens a second. From them it
steers the part that it refuses, as a router steers the part of packets that it
drops (RFC 8033, "Proportional Integral Controller Enhanced"): up while answers take
longer than they should, and down when they do not. No count of other VMs goes in.
Such counts are a second old, and VMs that follow them refuse all together and let
in all together.

Nothing is refused before most answers were late for a while, so that stragglers, a
slow target or a lost packet turn nobody away.
"""

import collections
import math
import typing

# Time over which answer times are smoothed, a third of the time in which a queue
# that is too long can be worked off.
SMOOTHING_MS: typing.Final = 100
# Least weight of a new answer; answers that come together would count for nothing.
LEAST_WEIGHT: typing.Final = 0.2
# An answer counts as this many objectives at most: how late it is says how long the
# queue was, and that is known already.
MOST_RATIO: typing.Final = 2.0
# Part of the room between the usual answer time and the objective that the queue may
# take. With less, slots would idle when several short requests come in a row.
QUEUE_PART: typing.Final = 0.4
# Answer time over objective that is taken for usual until enough was seen.
FIRST_USUAL: typing.Final = 0.2
# By how much of the excess the refused part rises in this span, and by how much of
# its change at once. The first finds the part, the second keeps it from swinging.
SPAN_MS: typing.Final = 100
INTEGRAL: typing.Final = 0.1
PROPORTIONAL: typing.Final = 0.5
# Without answers for so long nothing is known, and the refused part fades.
UNKNOWN_MS: typing.Final = 200
FADE_MS: typing.Final = 500
# Part of the answers that are late, over some twenty of them, from which there is an
# overload and below which there is none.
LATE_SMOOTHING: typing.Final = 0.05
BEGIN_LATE_SHARE: typing.Final = 0.5
END_LATE: typing.Final = 0.02
# Refused part that counts as none.
END_PART: typing.Final = 0.02
# Refused part to begin with; most answers are late by then.
FIRST_PART: typing.Final = 0.5
# Smoothing of the usual answer time, and the part of late answers above which none
# is usual.
USUAL_SMOOTHING: typing.Final = 0.02
CALM_LATE: typing.Final = 0.1
# By how much the quickest answer is forgotten with each further one.
QUICKEST_RISE: typing.Final = 1.005
# What a first acknowledgement covers at most, two full packets. One that covers more
# comes after another that was lost; by its length all others would look short.
FIRST_BYTES: typing.Final = 2400
# Answers shorter than this part of the longest ones are refusals, and part of that
# length that is remembered from answer to answer.
SHORT_PART: typing.Final = 0.25
SIZE_KEPT: typing.Final = 0.999
# A priority counts while it has this part of a service's new flows, in the present
# span of this length and the one before.
LEVEL_PART: typing.Final = 0.05
LEVELS_MS: typing.Final = 5000

# Flows by service and priority.
_Counts = dict[str, collections.Counter[int]]


class Pool(typing.NamedTuple):
    """Targets that are interchangeable for a VM: those of a service in a zone."""

    service: str
    zone: str


class Rank(typing.NamedTuple):
    """How urgent a flow is among those of its service.

    Attributes:
        above: How many levels of priority are above its own.
        levels: How many levels there are.
    """

    above: int
    levels: int


class ResponseSizes:
    """How long the answers of each route are, to tell refusals from them.

    A VM can't read answers, but sees how much of them callers acknowledge. A target
    that is full refuses at once and in few bytes. Taken for an answer in time, each
    refusal would say that the target has room.
    """

    def __init__(self) -> None:
        """Know no route."""
        self._longest: dict[str, float] = {}

    def refused(self, route: str, answer_bytes: int) -> bool:
        """Take an answer; tell whether it is much shorter than usual.

        Args:
            route: What was asked.
            answer_bytes: How much of the answer the caller acknowledged first.
        """
        first = min(answer_bytes, FIRST_BYTES)
        longest = max(first, self._longest.get(route, 0.0) * SIZE_KEPT)
        self._longest[route] = longest
        return answer_bytes < SHORT_PART * longest

    def keep(self, routes: typing.Collection[str]) -> None:
        """Forget all other routes."""
        for route in [item for item in self._longest if item not in routes]:
            del self._longest[route]


class PriorityLevels:
    """The levels of priority that flows of each service lately had.

    What a configuration lists says little: routes that see no traffic would take
    room from those that do.
    """

    def __init__(self) -> None:
        """Begin without flows."""
        self._since_ms = 0
        self._flows: _Counts = {}
        self._before: _Counts = {}

    def opened(self, now_ms: int, service: str, priority: int) -> None:
        """Note a new flow."""
        if now_ms - self._since_ms >= LEVELS_MS:
            self._since_ms = now_ms
            self._before, self._flows = self._flows, {}
        self._flows.setdefault(service, collections.Counter())[priority] += 1

    def rank(self, service: str, priority: int) -> Rank:
        """Return the rank of a priority among the flows of a service."""
        nothing: collections.Counter[int] = collections.Counter()
        levels = self._before.get(service, nothing) + self._flows.get(service, nothing)
        least = levels.total() * LEVEL_PART
        others = [level for level, n in levels.items() if n >= least]
        above = sum(level < priority for level in others)
        below = sum(level > priority for level in others)
        return Rank(above, above + 1 + below)


class _State:
    __slots__ = ("at_ms", "late", "limiting", "part", "quickest", "ratio", "usual")

    def __init__(self, now_ms: int, ratio: float) -> None:
        self.at_ms = now_ms
        self.ratio = ratio
        self.usual = FIRST_USUAL
        self.late = 0.0
        self.limiting = False
        self.part = 0.0
        self.quickest = math.inf

    @property
    def aim(self) -> float:
        """Answer time over objective that the refused part is steered to."""
        return self.usual + QUEUE_PART * (1 - self.usual)


class LoadShedder:
    """The part of new flows that is refused for each pool, as this VM sees it.

    The part goes up to the number of levels of priority: the lowest level is refused
    whole before any flow of the next is.

    Attributes:
        changed: Pools whose overload began or ended since this was last emptied.
    """

    def __init__(self, enabled: bool = True) -> None:
        """Begin without overload.

        Args:
            enabled: False to refuse nothing ever.
        """
        self.changed: list[Pool] = []
        self._enabled = enabled
        self._states: dict[Pool, _State] = {}

    def answered(
        self, now_ms: int, pool: Pool, ratio: float, refused: bool, levels: int
    ) -> None:
        """Learn from an answer.

        Args:
            now_ms: Present time.
            pool: Where it came from.
            ratio: Its time over the latency objective of its route.
            refused: It was a refusal of the target.
            levels: Levels of priority among the flows of the service.
        """
        ratio = min(MOST_RATIO, max(ratio, 1.0) if refused else ratio)
        state = self._states.get(pool)
        if state is None:
            state = self._states[pool] = _State(now_ms, ratio)
        span_ms = min(SPAN_MS, now_ms - state.at_ms)
        state.at_ms = now_ms
        if not refused:
            state.quickest = min(ratio, state.quickest * QUICKEST_RISE)
        before = state.ratio
        weight = max(LEAST_WEIGHT, 1 - math.exp(-span_ms / SMOOTHING_MS))
        state.ratio += weight * (ratio - state.ratio)
        state.late += LATE_SMOOTHING * ((ratio >= 1.0) - state.late)
        limiting = state.limiting
        if limiting:
            _steer(state, span_ms / SPAN_MS, before, levels)
        elif self._enabled:
            _watch(state, ratio)
        if state.limiting != limiting:
            self.changed.append(pool)

    def refused_share(self, now_ms: int, pool: Pool, rank: Rank) -> float:
        """Return the part of new flows of a rank to refuse, 0 to 1."""
        state = self._states.get(pool)
        if state is None or not state.limiting:
            return 0.0
        silent_ms = max(0, now_ms - state.at_ms - UNKNOWN_MS)
        part = state.part * math.exp(-silent_ms / FADE_MS)
        return min(1.0, max(0.0, part - (rank.levels - 1 - rank.above)))

    def keep(self, pools: typing.Collection[Pool]) -> None:
        """Forget all other pools."""
        for pool in [item for item in self._states if item not in pools]:
            del self._states[pool]

    def refused_levels(self, pool: Pool) -> float:
        """Return the refused part, up to the number of levels of priority."""
        state = self._states.get(pool)
        return 0.0 if state is None else state.part

    def limiting(self, pool: Pool) -> bool:
        """Tell whether there is an overload of a pool."""
        state = self._states.get(pool)
        return state is not None and state.limiting

    def ratio(self, pool: Pool) -> float:
        """Return the answer time of a pool over the objective, smoothed."""
        state = self._states.get(pool)
        return 0.0 if state is None else state.ratio


def _watch(state: _State, ratio: float) -> None:
    if state.late < CALM_LATE:
        state.usual += USUAL_SMOOTHING * (ratio - state.usual)
    # Where not even the quickest answer is in time, the objective can't be met, and
    # refusing some flows would help no other.
    if state.late > BEGIN_LATE_SHARE and state.quickest < 1.0:
        state.limiting = True
        state.part = FIRST_PART


def _steer(state: _State, spans: float, before: float, levels: int) -> None:
    rise = INTEGRAL * (state.ratio - state.aim) * spans
    swing = PROPORTIONAL * (state.ratio - before)
    state.part = min(float(levels), max(0.0, state.part + rise + swing))
    # Few answers are late while enough is refused, so that alone ends nothing.
    if state.late < END_LATE and state.part < END_PART:
        state.limiting = False

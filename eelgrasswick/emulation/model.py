"""A target in virtual time, for the command ``load``.

It has work slots, a queue without bound behind them and a limit of connections
above which it sheds. It may start cold, hang, fail fast and flatter itself at
its load endpoint.
"""

import collections
import typing

from eelgrasswick.decisions import ramp
from eelgrasswick.emulation import scenario

Done = typing.Callable[[float, "Request"], None]


class Request:
    """One request of a caller, over all its attempts.

    Attributes:
        number: Unique in a run.
        work: Its kind.
        caller: Index of its caller.
        began_ms: When its first attempt began.
        attempt_ms: When its present attempt began.
        tries: Attempts so far.
        returned: True when the present attempt follows a refusal.
        refused: True while it waits for its return after a refusal.
        ran: How often a target began to work on it.
        ended: True when its caller has its answer or has given up.
    """

    __slots__ = (
        "attempt_ms",
        "began_ms",
        "caller",
        "ended",
        "number",
        "ran",
        "refused",
        "returned",
        "tries",
        "work",
    )

    def __init__(
        self, number: int, work: scenario.Work, caller: int, now_ms: float
    ) -> None:
        """Describe a request whose first attempt is still to come."""
        self.number = number
        self.work = work
        self.caller = caller
        self.began_ms = now_ms
        self.attempt_ms = now_ms
        self.tries = 0
        self.returned = False
        self.refused = False
        self.ran = 0
        self.ended = False


class Attempt(typing.NamedTuple):
    """One flow that carries a request to a target."""

    flow: bytes
    request: Request
    number: int

    @property
    def alive(self) -> bool:
        """True while the caller waits for this attempt."""
        return not self.request.ended and self.request.tries == self.number


class StartedWork(typing.NamedTuple):
    """Work that a target has begun, and when it is done."""

    attempt: Attempt
    done_ms: float


class Target:
    """The state of one target.

    Attributes:
        model: How it behaves.
        up: False while it neither answers nor works.
        hangs: True while it accepts flows but does no work.
        open_flows: Flows it holds.
        worked_ms: Work it has done, as on a slot of speed 1.
    """

    def __init__(self, model: scenario.TargetModel) -> None:
        """Start warm and idle."""
        self.model = model
        self.up = True
        self.hangs = False
        self.open_flows: dict[bytes, Attempt] = {}
        self.worked_ms = 0.0
        self.started_ms = -1e9
        self._queue: collections.deque[Attempt] = collections.deque()
        self._working = 0
        self._life = 0

    @property
    def incarnation(self) -> int:
        """Grows with each stop, so that work of an earlier life is known."""
        return self._life

    @property
    def reported_load(self) -> float:
        """Load as its endpoint tells it."""
        return (len(self._queue) + self._working) * self.model.flattery

    def accept(self, attempt: Attempt) -> bool:
        """Take a flow; False when it is shed."""
        if len(self.open_flows) >= self.model.connections:
            return False
        self.open_flows[attempt.flow] = attempt
        return True

    def enqueue(self, attempt: Attempt) -> None:
        """Take a request of an accepted flow."""
        self._queue.append(attempt)

    def begin(self, now_ms: float) -> StartedWork | None:
        """Begin the next request if a slot is free."""
        if self.hangs or not self.up or self._working >= self.model.slots:
            return None
        while self._queue:
            attempt = self._queue.popleft()
            if not attempt.alive:
                continue
            self._working += 1
            return StartedWork(attempt, now_ms + self._work_ms(now_ms, attempt))
        return None

    def finish(self, attempt: Attempt) -> None:
        """End the work on a request."""
        self._working -= 1
        self.worked_ms += attempt.request.work.work_ms

    def close(self, flow: bytes) -> None:
        """Forget a flow."""
        self.open_flows.pop(flow, None)

    def stop(self) -> list[Attempt]:
        """Go down; return the flows that are cut."""
        cut = list(self.open_flows.values())
        self.up = False
        self._life += 1
        self._working = 0
        self._queue.clear()
        self.open_flows.clear()
        return cut

    def start(self, now_ms: float) -> None:
        """Come back, cold."""
        self.up = True
        self.hangs = False
        self.started_ms = now_ms

    def _work_ms(self, now_ms: float, attempt: Attempt) -> float:
        cold = now_ms - self.started_ms < self.model.cold_ms
        speed = self.model.speed * (ramp.START_FACTOR if cold else 1.0)
        return attempt.request.work.work_ms / speed

"""Model of a target in virtual time, for the command ``load``.

A target has work slots, an unbounded queue of requests that wait for a slot, and a
limit of connections above which it refuses flows. It may start cold, hang, fail fast,
and report less load than it has at its load endpoint.
"""

import collections
import typing

from eelgrasswick.decisions import ramp
from eelgrasswick.emulation import scenario

Done = typing.Callable[[float, "Request"], None]


class Request:
    """One request of a caller, with all its attempts.

    Attributes:
        number: Number that is unique in a run.
        work: Kind of the request.
        caller: Index of its caller.
        began_ms: When its first attempt began.
        attempt_ms: When its present attempt began.
        tries: Attempts so far.
        returned: True if the present attempt follows a refusal.
        refused: True from a refusal until its next attempt.
        ran: How often targets began to work on it.
        ended: True after its caller has the answer or has given up.
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
        """Create a request that has not been attempted."""
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
    """One attempt at a request, on a flow of its own.

    Attributes:
        flow_key: Packed key of the flow.
        request: The request.
        number: Number of the attempt, from 1.
    """

    flow_key: bytes
    request: Request
    number: int

    @property
    def alive(self) -> bool:
        """True while the caller waits for the answer to this attempt."""
        return not self.request.ended and self.request.tries == self.number


class StartedWork(typing.NamedTuple):
    """Work that a target has begun, and the virtual time at which it is done."""

    attempt: Attempt
    done_ms: float


class Target:
    """A target: its flows, its queue and the work that it does.

    Attributes:
        model: Its claimed and its true properties.
        up: False while it is stopped: it neither answers nor works.
        hangs: True while it accepts flows but does no work.
        open_flows: Attempts on the flows that it has accepted, by flow.
        worked_ms: Work that it has done, as the time on a slot of speed 1.
        started_ms: When it last started; long before the run for a warm target.
    """

    def __init__(self, model: scenario.TargetModel) -> None:
        """Create a warm and idle target."""
        self.model = model
        self.up = True
        self.hangs = False
        self.open_flows: dict[bytes, Attempt] = {}
        self.worked_ms = 0.0
        self.started_ms = -1e9
        self._queue: collections.deque[Attempt] = collections.deque()
        self._busy_slots = 0
        self._incarnation = 0

    @property
    def incarnation(self) -> int:
        """Number of stops so far; work begun in an earlier incarnation is lost."""
        return self._incarnation

    @property
    def reported_load(self) -> float:
        """Load that its endpoint reports, true or not."""
        return (len(self._queue) + self._busy_slots) * self.model.flattery

    def accept(self, attempt: Attempt) -> bool:
        """Accept a flow; return False if it is refused at the connection limit."""
        if len(self.open_flows) >= self.model.connections:
            return False
        self.open_flows[attempt.flow_key] = attempt
        return True

    def enqueue(self, attempt: Attempt) -> None:
        """Queue the request of an accepted flow."""
        self._queue.append(attempt)

    def begin(self, now_ms: float) -> StartedWork | None:
        """Begin the next request that is still wanted, if a slot is free."""
        if self.hangs or not self.up or self._busy_slots >= self.model.slots:
            return None
        while self._queue:
            attempt = self._queue.popleft()
            if not attempt.alive:
                continue
            self._busy_slots += 1
            return StartedWork(attempt, now_ms + self._work_ms(now_ms, attempt))
        return None

    def finish(self, attempt: Attempt) -> None:
        """End the work on a request."""
        self._busy_slots -= 1
        self.worked_ms += attempt.request.work.work_ms

    def close(self, flow_key: bytes) -> None:
        """Remove a flow."""
        self.open_flows.pop(flow_key, None)

    def stop(self) -> list[Attempt]:
        """Stop the target; return the attempts whose flows are broken."""
        cut = list(self.open_flows.values())
        self.up = False
        self._incarnation += 1
        self._busy_slots = 0
        self._queue.clear()
        self.open_flows.clear()
        return cut

    def start(self, now_ms: float) -> None:
        """Start the target again; it is cold for ``cold_ms``."""
        self.up = True
        self.hangs = False
        self.started_ms = now_ms

    def _work_ms(self, now_ms: float, attempt: Attempt) -> float:
        cold = now_ms - self.started_ms < self.model.cold_ms
        speed = self.model.speed * (ramp.START_FACTOR if cold else 1.0)
        return attempt.request.work.work_ms / speed

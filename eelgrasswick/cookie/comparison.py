"""Compares a silent target with other targets of its zone by connection attempts.

A connection that is not accepted in time shows that a target is dead only if the path
is known to be good and fast at that moment. The link of the VM may be congested, so
that all answers wait in its queue, and it may lose packets. Other targets of the zone,
the controls, are therefore probed at the same moments as the target, and the target
gets several times as long as the slowest control. If a control is slow, the wait is
extended. If controls that are alive leave several attempts unanswered, the path loses
packets, and the comparison is inconclusive.

Only time in which the VM was active counts, because answers may be unread after a
pause.
"""

import enum
import typing

# A comparison is evaluated at this interval. A longer interval is due to a pause of the
# VM, and counts as MAX_STEP_MS.
STEP_MS: typing.Final = 10
MAX_STEP_MS: typing.Final = 20
# The target gets at least this time, which is many round trips of a path without load.
MIN_WAIT_MS: typing.Final = 250
# Most suspected targets are alive, and no control is probed for those that accept
# within FIRST_ROUND_MS. Further rounds of attempts are needed because opening packets
# may be lost.
FIRST_ROUND_MS: typing.Final = 25
ROUNDS_MS: typing.Final = (FIRST_ROUND_MS, 85, 150)
# At most this many attempts at controls that are alive may be unanswered.
MAX_LOST_ATTEMPTS: typing.Final = 1
# The target gets this many times as long as the slowest control of the last round.
CONTROL_FACTOR: typing.Final = 3
# The comparison is inconclusive after this time.
MAX_WAIT_MS: typing.Final = 1500

FIRST_ATTEMPT: typing.Final = -1


class Outcome(enum.Enum):
    """What a target answered to connection attempts."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    NO_ANSWER = "no_answer"


class Result(typing.NamedTuple):
    """The result of a comparison.

    Attributes:
        outcome: What the target answered.
        took_ms: Time until the answer, or until the comparison ended without one.
        control_ms: Time in which the slowest control accepted a connection that was
            attempted together with the last one to the target; None when the
            comparison is inconclusive, or no control was needed.
    """

    outcome: Outcome
    took_ms: int
    control_ms: int | None = None

    @property
    def accepted(self) -> bool:
        """True when the target accepts connections."""
        return self.outcome is Outcome.ACCEPTED


class _Round:
    """Attempts at the target and the controls that began at the same time."""

    def __init__(self, begun_ms: int) -> None:
        self.begun_ms = begun_ms
        self.target_refused = False
        # This table has the time in which each control accepted.
        self.answers_ms: dict[int, int] = {}


class Attempt(typing.NamedTuple):
    """A connection attempt that is due.

    Attributes:
        control: Number of the control; None for the target.
        round: Number of the round that the attempt belongs to; `FIRST_ATTEMPT` for
            the attempt at the target before the first round.
    """

    control: int | None
    round: int


class Comparison:
    """The state of one comparison."""

    def __init__(self, controls: int) -> None:
        """Create a comparison that has just begun.

        Args:
            controls: Number of controls.
        """
        self._controls = controls
        self._elapsed_ms = 0
        self._outcome = Outcome.NO_ANSWER
        self._answered_ms = 0
        self._rounds: list[_Round] = []
        self._first_attempted = False

    def advance(self, step_ms: int) -> None:
        """Let time pass.

        Args:
            step_ms: Time since the last call; a pause of the VM counts in part only.
        """
        self._elapsed_ms += min(step_ms, MAX_STEP_MS)

    def due_attempts(self) -> list[Attempt]:
        """Return the attempts to begin now."""
        attempts = []
        if not self._first_attempted:
            self._first_attempted = True
            attempts.append(Attempt(None, FIRST_ATTEMPT))
        if self._round_due():
            self._rounds.append(_Round(self._elapsed_ms))
            number = len(self._rounds) - 1
            attempts.append(Attempt(None, number))
            attempts += [Attempt(item, number) for item in range(self._controls)]
        return attempts

    def _round_due(self) -> bool:
        if self._outcome is Outcome.REFUSED:
            # A cut may refuse connections, too, and only a control that accepts after
            # the refusal excludes a cut. The target may be about to restart.
            return not self._rounds or self._rounds[-1].begun_ms < self._answered_ms
        number = len(self._rounds)
        return number < len(ROUNDS_MS) and self._elapsed_ms >= ROUNDS_MS[number]

    def record(self, attempt: Attempt, outcome: Outcome) -> None:
        """Record the outcome of an attempt.

        Args:
            attempt: The attempt.
            outcome: What the target or control answered.
        """
        if attempt.control is not None:
            if outcome is Outcome.ACCEPTED:
                own = self._rounds[attempt.round]
                own.answers_ms[attempt.control] = self._elapsed_ms - own.begun_ms
            return
        if outcome is Outcome.ACCEPTED:
            self._set_outcome(outcome)
        elif outcome is Outcome.REFUSED:
            if attempt.round != FIRST_ATTEMPT:
                self._rounds[attempt.round].target_refused = True
            if self._outcome is Outcome.NO_ANSWER:
                self._set_outcome(outcome)

    def _set_outcome(self, outcome: Outcome) -> None:
        self._outcome = outcome
        # An answer is recorded up to one step after the time that has been counted, and
        # a round that began in this step was before it.
        self._answered_ms = self._elapsed_ms + 1

    def result(self) -> Result | None:
        """Return the result, or None while the comparison goes on."""
        if self._outcome is Outcome.ACCEPTED:
            return Result(Outcome.ACCEPTED, self._answered_ms)
        if self._outcome is Outcome.REFUSED:
            return self._refused()
        if not self._controls and self._elapsed_ms >= MIN_WAIT_MS:
            return Result(Outcome.NO_ANSWER, self._elapsed_ms)
        control_ms = self._control_ms()
        if control_ms is not None:
            limit_ms = self._rounds[-1].begun_ms + CONTROL_FACTOR * control_ms
            if self._elapsed_ms >= max(MIN_WAIT_MS, limit_ms):
                return Result(Outcome.NO_ANSWER, self._elapsed_ms, control_ms)
        if self._elapsed_ms >= MAX_WAIT_MS:
            return Result(Outcome.NO_ANSWER, self._elapsed_ms)
        return None

    def _refused(self) -> Result | None:
        last = self._rounds[-1] if self._rounds else None
        if last is not None and self._confirms_refusal(last):
            control_ms = max(last.answers_ms.values())
            return Result(Outcome.REFUSED, self._answered_ms, control_ms)
        if not self._controls or self._elapsed_ms >= MAX_WAIT_MS:
            return Result(Outcome.REFUSED, self._answered_ms)
        return None

    def _confirms_refusal(self, item: _Round) -> bool:
        after_refusal = item.begun_ms >= self._answered_ms
        return after_refusal and item.target_refused and bool(item.answers_ms)

    def _control_ms(self) -> int | None:
        if len(self._rounds) < len(ROUNDS_MS):
            return None
        alive = {control for item in self._rounds for control in item.answers_ms}
        lost = sum(len(alive - item.answers_ms.keys()) for item in self._rounds)
        if lost > MAX_LOST_ATTEMPTS:
            return None
        return max(self._rounds[-1].answers_ms.values(), default=None)
